"""Guards against misparsed statements and unhelpful error messages."""

import pytest

from anviltray.language import (
    Condition,
    ExplainUpstream,
    LanguageError,
    SetFloor,
    SetUpstreamState,
    ShowAttempts,
    ShowConfigVersion,
    ShowHistory,
    ShowNodes,
    ShowServices,
    ShowUpstreams,
    UnknownColumnError,
    filter_rows,
    parse_statement,
)

EJECTED = Condition("state", "=", "ejected")


@pytest.mark.parametrize(
    ("text", "statement"),
    [
        ("show upstreams", ShowUpstreams(None, ())),
        (
            "show upstreams of supply-yard where state = ejected",
            ShowUpstreams("supply-yard", (EJECTED,)),
        ),
        (
            "SHOW Upstreams WHERE state = ejected AND slots >= 4;",
            ShowUpstreams(None, (EJECTED, Condition("slots", ">=", 4.0))),
        ),
        (
            'show nodes where zone != "viti a"',
            ShowNodes((Condition("zone", "!=", "viti a"),)),
        ),
        ("show services", ShowServices(())),
        ("show config version by node", ShowConfigVersion()),
        ("show attempts of n1.5f3c.7.abc-1", ShowAttempts("n1.5f3c.7.abc-1")),
        ("show history", ShowHistory(None)),
        ("show history of order-desk", ShowHistory("order-desk")),
        ("explain upstream 10.0.0.1:80", ExplainUpstream("10.0.0.1:80")),
        ("explain upstream [::1]:80", ExplainUpstream("[::1]:80")),
        ("set floor of order-desk to 12 slots", SetFloor("order-desk", 12, None, "")),
        (
            'set floor of order-desk to 62.5 % because "harvest week"',
            SetFloor("order-desk", None, 0.625, "harvest week"),
        ),
        ("drain 10.0.0.1:80", SetUpstreamState("10.0.0.1:80", "draining", "")),
        ('restore 10.0.0.1:80 because "x"', SetUpstreamState("10.0.0.1:80", "active", "x")),
        ("eject 10.0.0.1:80", SetUpstreamState("10.0.0.1:80", "ejected", "")),
    ],
)
def test_statement(text, statement):
    assert parse_statement(text) == statement


@pytest.mark.parametrize(
    ("text", "column", "expected"),
    [
        ("", 1, "show"),
        ("show", 5, "upstreams"),
        ("show upstream", 6, "upstreams"),
        ("show upstreams of", 18, "a name"),
        ("show upstreams where state ejected", 28, "one of ="),
        ("explain upstream supply-yard", 18, "an address"),
        ("set floor of order-desk to many slots", 28, "a number"),
        ("set floor of order-desk to 12", 30, "slots"),
        ("set floor of order-desk to 1.5 slots", 28, "a whole number"),
        ("set floor of order-desk to 150 %", 28, "from 0 to 100"),
        ("drain 10.0.0.1:80 because late", 27, "a quoted text"),
        ("show nodes show nodes", 12, "the end"),
    ],
)
def test_error_contains_the_column(text, column, expected):
    with pytest.raises(LanguageError) as caught:
        parse_statement(text)
    assert caught.value.column == column
    assert any(word.startswith(expected) or expected in word for word in caught.value.expected)
    assert f"column {column}" in str(caught.value)


ROWS = [{"state": "ejected", "slots": 4, "up": True}, {"state": "active", "slots": 6, "up": False}]


@pytest.mark.parametrize(
    ("condition", "count"),
    [
        (EJECTED, 1),
        (Condition("slots", ">", 4.0), 1),
        (Condition("slots", "<=", 6.0), 2),
        (Condition("up", "=", "true"), 1),
        (Condition("state", "!=", "warming"), 2),
    ],
)
def test_filter(condition, count):
    assert len(filter_rows(ROWS, (condition,))) == count


def test_unknown_column_is_an_error():
    with pytest.raises(UnknownColumnError, match="no column 'colour'"):
        filter_rows(ROWS, (Condition("colour", "=", "red"),))
