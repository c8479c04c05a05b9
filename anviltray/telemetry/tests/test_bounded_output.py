"""Guards against log readers that block a host."""

import json
import os

import logbook
import pytest

from anviltray.telemetry import BoundedOutput


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read(reader):
    data = b""
    try:
        while chunk := os.read(reader, 65536):
            data += chunk
    except BlockingIOError:
        pass
    return data.decode().splitlines()


def test_lines_above_the_rate_are_dropped_and_counted(pipe, monkeypatch):
    reader, writer = pipe
    now_s = 100.0
    monkeypatch.setattr("anviltray.telemetry._logs.time.monotonic", lambda: now_s)
    output = BoundedOutput(writer, 5.0)
    for number in range(20):
        output.write(f"line {number}\n")
    assert read(reader) == [f"line {number}" for number in range(5)]
    now_s += 1.0
    output.write("later\n")
    notice, later = read(reader)
    assert (json.loads(notice)["n"], later) == (15, "later")


def test_a_stalled_reader_drops_lines_without_blocking(pipe):
    reader, writer = pipe
    output = BoundedOutput(writer, 1e9)
    text = "x" * 999 + "\n"
    for _ in range(500):
        output.write(text)  # A blocking pipe would block indefinitely after 64 KiB.
    assert output.dropped > 400
    first_lines = read(reader)
    output.write("after\n")
    lines = first_lines + read(reader)
    # The partially written line is completed first, so that no line is truncated.
    assert lines[-1] == "after"
    assert all(line == "x" * 999 for line in lines[:-2])


def test_a_closed_reader_is_not_an_error():
    closed_reader, open_writer = os.pipe()
    os.close(closed_reader)
    output = BoundedOutput(open_writer, 1e9)
    output.write("line\n")
    os.close(open_writer)
    assert output.dropped == 0


def test_values_keep_their_types(pipe):
    from anviltray.telemetry._logs import _typed_json_line

    reader, writer = pipe
    handler = logbook.StreamHandler(BoundedOutput(writer, 100.0), bubble=False)
    handler.formatter = _typed_json_line
    with handler.applicationbound():
        sends = [{"load": 0.5, "result": None}]
        logbook.Logger("requests").info("answered", extra={"id": "c1", "ms": 12, "sends": sends})
    (line,) = read(reader)
    found = json.loads(line)
    assert (found["id"], found["ms"], found["sends"]) == ("c1", 12, sends)
