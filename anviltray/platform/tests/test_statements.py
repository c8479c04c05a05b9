"""Guards against statements of instances that are misread or believed although they are invalid."""

import math

import pytest

from anviltray.platform import (
    MAX_RETRY_AFTER_S,
    InstanceStatements,
    decode_statements,
    is_promise,
)

DATE = "Sat, 05 Dec 2026 15:00:00 GMT"


@pytest.mark.parametrize(
    ("status", "name", "value", "expected"),
    [
        (200, "response-seal", "3e1b.07", InstanceStatements(sealed=True)),
        (200, "server-leaving", "1", InstanceStatements(leaving=True)),
        (200, "server-leaving", " 1 ", InstanceStatements(leaving=True)),
        (200, "server-leaving", "0", InstanceStatements()),
        (200, "server-limit", "7.5", InstanceStatements(limit_per_s=7.5)),
        (200, "server-limit", "0", InstanceStatements(limit_per_s=0.0)),
        (503, "retry-after", "4", InstanceStatements(retry_after_s=4.0)),
        (503, "retry-after", " 0.25", InstanceStatements(retry_after_s=0.25)),
        (503, "retry-after", ".5", InstanceStatements(retry_after_s=0.5)),
        (503, "retry-after", "0", InstanceStatements()),
        (503, "retry-after", "99999999", InstanceStatements(retry_after_s=MAX_RETRY_AFTER_S)),
        (200, "retry-after", "4", InstanceStatements()),
        (429, "retry-after", "4", InstanceStatements()),
        (503, "x-retry-after", "4", InstanceStatements()),
    ],
)
def test_statement(status, name, value, expected):
    fields = [(b"content-length", b"0"), (name.encode(), value.encode())]
    assert decode_statements(status, fields) == expected


@pytest.mark.parametrize(
    "value",
    ["", ".", "-1", "+1", "nan", "inf", "1e3", "1_0", "0x4", "4 s", "9" * 400, DATE],
)
def test_values_that_are_no_decimal_number_are_ignored(value):
    fields = [(b"retry-after", value.encode()), (b"server-limit", value.encode())]
    assert decode_statements(503, fields) == InstanceStatements(limit_per_s=math.inf)


def test_promises_that_a_request_has_not_run():
    assert {status for status in range(200, 600) if is_promise(status)} == {408, 421, 429, 503}
