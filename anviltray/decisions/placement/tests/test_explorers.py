"""Guards against exploration that is left to idempotent requests that hardly ever come."""

import pytest

from anviltray.decisions.placement import IdempotentShare


@pytest.mark.parametrize(
    ("requests", "expected"),
    [
        ([], False),
        ([(0.0, False)] * 20, False),
        ([(0.0, True)], True),
        ([(0.0, True)] * 5 + [(0.0, False)] * 15, True),
        # One minor route sends an idempotent request now and then.
        ([(0.0, True)] + [(0.0, False)] * 19, False),
        # The operator moves the idempotent route to another service.
        ([(0.0, True)] * 20 + [(60.0, False)] * 20, False),
    ],
)
def test_has_explorers(requests, expected):
    share = IdempotentShare()
    for now_s, idempotent in requests:
        share.on_request(now_s, "orders", idempotent)
    assert share.has_explorers("orders") == expected
    share.keep_only([])
    assert not share.has_explorers("orders")
