"""Guards against a daemon that starts with invalid settings, or that ignores signals."""

import signal
import subprocess
import sys
import time
import urllib.request

import pytest
import yaml

from anviltray.testing import free_address

TIMEOUT_S = 60


def write_settings(tmp_path, **changes):
    settings = {
        "node": "n1",
        "region": "viti",
        "zone": "viti-a",
        "caller_address": free_address(),
        "peer_address": free_address(),
        "operator_address": free_address(),
        "platform": {"kind": "memory"},
        "callers": {"answer_lifetime_s": 0.1},
        **changes,
    }
    path = tmp_path / "node.yaml"
    path.write_text(yaml.safe_dump(settings), encoding="utf-8")
    return path, settings


def start(*arguments):
    command = [sys.executable, "-m", "anviltray.node", *map(str, arguments)]
    return subprocess.Popen(command, stderr=subprocess.PIPE, text=True)


def wait_until_healthy(address):
    for _ in range(TIMEOUT_S * 20):
        try:
            with urllib.request.urlopen(
                f"http://{address}/.anviltray/health", timeout=5
            ) as response:
                return response.status
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(address)


@pytest.mark.parametrize(
    ("changes", "code", "text"),
    [({}, 0, ""), ({"colour": 1}, 2, "colour"), ({"caller_address": "x:1"}, 2, "caller_address")],
)
def test_check(tmp_path, changes, code, text):
    path, _ = write_settings(tmp_path, **changes)
    process = start(path, "--check")
    _, errors = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == code
    assert text in errors and errors.count("\n") == (1 if code else 0)


def test_invalid_settings_prevent_start(tmp_path):
    path, _ = write_settings(tmp_path, node="N 1")
    process = start(path)
    _, errors = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 2
    assert str(path) in errors and errors.count("\n") == 1


def test_empty_key_file_prevents_start(tmp_path):
    key = tmp_path / "key"
    key.write_text("\n", encoding="utf-8")
    path, _ = write_settings(tmp_path, peer_key_file=str(key))
    process = start(path)
    _, errors = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 2
    assert "empty" in errors and "Traceback" not in errors


def test_address_in_use_is_reported_in_the_last_line(tmp_path):
    path, settings = write_settings(tmp_path)
    first = start(path)
    try:
        wait_until_healthy(settings["caller_address"])
        second = start(path)
        _, errors = second.communicate(timeout=TIMEOUT_S)
        assert second.returncode == 3
        assert "in use" in errors.splitlines()[-1]
        assert "Traceback" not in errors
    finally:
        first.kill()
        first.communicate(timeout=TIMEOUT_S)


@pytest.mark.parametrize(
    ("lifetime_s", "signals", "code"), [(0.1, 1, 0), (3600, 2, 1)], ids=["graceful", "at once"]
)
def test_sigterm(tmp_path, lifetime_s, signals, code):
    """With an ask response lifetime of an hour, only a second signal ends the process in time."""
    path, settings = write_settings(tmp_path, callers={"answer_lifetime_s": lifetime_s})
    process = start(path)
    wait_until_healthy(settings["caller_address"])
    for _ in range(signals):
        process.send_signal(signal.SIGTERM)
        time.sleep(0.5 * (signals - 1))
    process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == code
