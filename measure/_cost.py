"""Processor time of the outlier ejector on the request path and per update."""

from random import Random
from time import perf_counter

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.ejection import OutlierEjector
from measure._fleet import SERVICE, build_service

_EXCHANGES = 20000
_UPSTREAMS = 40


def cost_rows() -> list[tuple[str, float, str]]:
    """Returns the minimum of five runs with 40 upstreams, in microseconds."""
    service = build_service("fast", _UPSTREAMS)
    ejector = OutlierEjector("n0", "r", "z0", Random(1))
    ejector.configure({SERVICE: service}, 0.0)
    addresses = [upstream.address for upstream in service.upstreams]
    exchange_us, update_us, routable_us = [], [], []
    now_s = 0.0
    for _ in range(5):
        update_time_s = 0.0
        started = perf_counter()
        for number in range(_EXCHANGES):
            now_s += 0.001
            exchange = ejector.on_exchange_started(
                now_s, SERVICE, addresses[number % _UPSTREAMS], False
            )
            ejector.on_first_byte(now_s + 0.02, exchange)
            ejector.on_exchange_ended(now_s + 0.021, exchange, ExchangeOutcome.OK)
            if number % 50 == 49:
                before = perf_counter()
                ejector.update(now_s)
                update_time_s += perf_counter() - before
        exchange_us.append((perf_counter() - started - update_time_s) / _EXCHANGES * 1e6)
        update_us.append(update_time_s / (_EXCHANGES / 50) * 1e6)
        started = perf_counter()
        for _ in range(_EXCHANGES):
            ejector.routable(SERVICE)
        routable_us.append((perf_counter() - started) / _EXCHANGES * 1e6)
    return [
        ("board_exchange_us", min(exchange_us), "us"),
        ("board_update_us", min(update_us), "us"),
        ("board_routable_us", min(routable_us), "us"),
    ]
