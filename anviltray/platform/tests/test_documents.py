"""Guards against foreign or damaged records that are decoded as an instance or a configuration."""

import pytest

from anviltray.platform import DocumentInvalid, decode_configuration, decode_instance
from anviltray.platform.tests.documents import REMOVED, configuration, registration


def test_configuration():
    decoded = decode_configuration(configuration())
    first, second = decoded.routes
    assert (decoded.version, decoded.limits.idle_timeout_s) == (7, 15.0)
    assert (first.host, first.prefix, first.idempotent) == ("ficu95.example", "/level/", True)
    assert [tuple(part) for part in first.destinations] == [("keeper", 90.0), ("supply", 10.0)]
    assert (second.idempotent, second.timeout_s, second.instance_limit) == (False, 4.0, 2)
    assert [part.service for part in second.destinations] == ["keeper"]
    assert decoded.services["supply"].connection_limit == 390


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"[" * 100_000,
        configuration(version="12"),
        configuration(version="rx"),
        configuration(version=7),
        configuration(limits=REMOVED),
        configuration(routes=[{"name": "r"}]),
        configuration(services=None),
        configuration(limits={"maxHeaderBytes": 1, "maxBodyBytes": 1, "headerTimeoutMs": 10**400}),
    ],
)
def test_invalid_configuration_is_an_error(payload):
    with pytest.raises(DocumentInvalid):
        decode_configuration(payload)


def test_route_of_unknown_kind_is_not_idempotent():
    route = {
        "name": "r",
        "host": "h",
        "pathPrefix": "/",
        "kind": "stream",
        "timeoutMs": 1,
        "targetLatencyMs": 1,
        "priority": 0,
        "service": "s",
        "maxAttempts": 1,
    }
    (decoded,) = decode_configuration(configuration(routes=[route])).routes
    assert not decoded.idempotent


@pytest.mark.parametrize(
    "key", ["", "a\r\nX-A: 1", "a\nb", "a\0b", " i-1", "i-1\t", "\ufffd", "\ud800", "x" * 256]
)
def test_key_that_fits_into_no_header_is_an_error(key):
    with pytest.raises(DocumentInvalid):
        decode_instance(key, registration())


@pytest.mark.parametrize("key", ["i-7f3a91c2", "Kiosk 3 (Suva)", "savusavu-é", "x" * 255])
def test_key_of_an_instance(key):
    assert decode_instance(key, registration()).id == key


@pytest.mark.parametrize("address", ["10.128.0.9:8080", "[2001:db8::5]:8080"])
def test_address_of_an_instance(address):
    assert decode_instance("i-1", registration(address=address)).address == address


@pytest.mark.parametrize(
    ("state", "draining"),
    [("ready", False), ("draining", True)],
)
def test_instance(state, draining):
    payload = registration(status__state=state, status__warmupLeftMs=1500)
    instance = decode_instance("i-1", payload)
    assert (instance.id, instance.service, instance.address) == ("i-1", "keeper", "10.128.0.9:8080")
    assert (instance.draining, instance.warmup_s, instance.slots) == (draining, 1.5, 6)


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x00\xff",
        b"17",
        registration(status__state="resting"),
        registration(status__state=1),
        registration(status=REMOVED),
        registration(info=REMOVED),
        registration(info="x"),
        registration(info__service=REMOVED),
        registration(info__service=7),
        registration(info__service=""),
        registration(info__slots="6"),
        registration(info__slots=0),
        registration(info__slots=True),
        registration(info__zone=None),
        registration(info__version=2),
        registration(status__sequence="4"),
        registration(status__warmupLeftMs=None),
        registration(address="somewhere"),
        registration(address=REMOVED),
        registration(born="now"),
        registration(born=1.5),
        # Odd entries of other writers: numbers that are too large, addresses that are none.
        registration(born=10**400),
        registration(info__slots=10**400),
        registration(info__slots=10**9),
        registration(status__warmupLeftMs=10**400),
        registration(status__warmupLeftMs=float("inf")),
        registration(status__warmupLeftMs=float("nan")),
        registration(status__sequence=10**400),
        registration(address="10.0.0.1:0"),
        registration(address="10.0.0.1:65536"),
        registration(address="10.0.0.1:" + "9" * 5000),
        registration(address="10.0.0.1:\u00b2"),
        registration(address="host.example:80"),
        registration(address="::1:8144"),
        registration(address="[::1:8144"),
        registration(address="[10.0.0.1]:8144"),
        registration(address="[fe80::1%eth0]:8144"),
        *(
            registration(**{f"info__{name}": value})
            for name in ("service", "zone", "version")
            for value in ("a\nb", "a\0b", "\ud800", "x" * 256)
        ),
        b'{"info":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        b"[" * 100_000,
    ],
)
def test_invalid_instance_is_an_error(payload):
    with pytest.raises(DocumentInvalid):
        decode_instance("i-1", payload)
