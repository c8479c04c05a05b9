"""Validation rules for commands; they depend on the record alone."""

import math
from sys import intern

from anviltray.declarations import RetryRule, Route, Service, Upstream

_UPSTREAM_STATES = frozenset(("active", "draining", "ejected"))
_SENSITIVITIES = frozenset(("fast", "balanced", "careful"))


def validate_service(service: Service) -> str:
    """Returns why a service is invalid, or an empty string.

    Checks the subset of the declaration schema that the rest of the node relies on. The full schema
    is checked only where a command is issued, because checking it for each record of a long log
    would block the event loop for seconds.
    """
    addresses = [upstream.address for upstream in service.upstreams]
    checks = (
        (bool(service.name), "the service has no name"),
        (len(set(addresses)) == len(addresses), "an upstream is declared twice"),
        (all(upstream.slots >= 1 for upstream in service.upstreams), "an upstream has no slots"),
        (
            all(upstream.state in _UPSTREAM_STATES for upstream in service.upstreams),
            "the state of an upstream is unknown",
        ),
        (all(route.prefix.startswith("/") for route in service.routes), "a prefix lacks its /"),
        (
            all(1 <= rule.attempts <= 5 for rule in service.retry_rules),
            "a retry rule needs 1 to 5 attempts",
        ),
        (service.sensitivity in _SENSITIVITIES, "the sensitivity is unknown"),
        (0 < service.objective_share < 1, "the objective share is not between 0 and 1"),
        (
            0 < service.objective_latency_ms < math.inf,
            "the objective latency is not above 0",
        ),
    )
    for valid, error in checks:
        if not valid:
            return error
    return validate_floor(service.floor_slots, service.floor_share)


def validate_floor(floor_slots: int, floor_share: float) -> str:
    """Returns why a floor is invalid, or an empty string."""
    if floor_slots < 0:
        return "the floor in slots is below 0"
    if not 0 <= floor_share <= 1:
        return "the floor share is not between 0 and 1"
    return ""


def validate_upstream_state(state: str) -> str:
    """Returns why a state of an upstream is invalid, or an empty string."""
    return "" if state in _UPSTREAM_STATES else f"the state {state!r} is unknown"


def intern_strings(service: Service) -> Service:
    """Returns an equal service whose recurring strings are interned, to save memory.

    Regions, zones, states, hosts and methods have few distinct values, but decoding creates a new
    string for each occurrence.
    """
    return service._replace(
        name=intern(service.name),
        sensitivity=intern(service.sensitivity),
        upstreams=tuple(
            Upstream(
                upstream.address,
                intern(upstream.region),
                intern(upstream.zone),
                upstream.slots,
                intern(upstream.state),
            )
            for upstream in service.upstreams
        ),
        routes=tuple(Route(route.prefix, intern(route.host)) for route in service.routes),
        retry_rules=tuple(
            RetryRule(
                tuple(intern(method) for method in rule.methods),
                rule.prefix,
                rule.attempts,
                rule.hedge,
            )
            for rule in service.retry_rules
        ),
    )
