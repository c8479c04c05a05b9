"""Sends and receives the datagrams of one availability zone.

Everything here is repeated or soon out of date, so a lost datagram needs no repetition, and no
connection can go silent. What must arrive, such as a configuration, is fetched over HTTP.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any, TypeVar

import logbook

from anviltray.messages import (
    HostBeacon,
    HostList,
    HostPlace,
    HostsRequest,
    Message,
    MessageError,
    decode_message,
    encode_message,
)
from anviltray.zone._hosts import HostTable, ZoneHost

_log = logbook.Logger("anviltray.zone")

BEACON_INTERVAL_S = 0.5
# Datagrams above this size are fragmented, and one lost fragment loses all.
DATAGRAM_BYTES = 8192

_Received = TypeVar("_Received", bound=Message)


class ZoneExchange(asyncio.DatagramProtocol):
    """Owns the datagram socket of a host and the table of the hosts that it knows.

    `beacon` returns the current beacon of this host; its argument tells whether the receiver should
    answer. All hosts of the fleet use the same port.
    """

    def __init__(self, own: HostPlace, port: int, beacon: Callable[[bool], HostBeacon]) -> None:
        self._own = own
        self._port = port
        self._beacon = beacon
        self._handlers: dict[type[Any], Callable[[Any], None]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._on_silent: list[Callable[[str], None]] = []
        self.hosts = HostTable(own)
        self.counters: Counter[str] = Counter()
        self.on(HostsRequest, self._answer_hosts)
        self.on(HostList, lambda message: self.hosts.add(message.hosts))
        self._on_beacon: list[Callable[[HostBeacon], None]] = []

    def on(self, kind: type[_Received], handler: Callable[[_Received], None]) -> None:
        """Registers the handler of a message type."""
        self._handlers[kind] = handler

    def on_beacon(self, handler: Callable[[HostBeacon], None]) -> None:
        """Registers a handler of beacons that are news."""
        self._on_beacon.append(handler)

    def on_silent(self, handler: Callable[[str], None]) -> None:
        """Registers a handler of hosts that have fallen silent or restarted."""
        self._on_silent.append(handler)

    async def start(self) -> None:
        """Binds the socket; raises OSError."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._own.address, self._port)
        )

    async def run(self) -> None:
        """Sends beacons until cancelled."""
        while True:
            self.send_beacon()
            await asyncio.sleep(BEACON_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            for address in self.hosts.take_silent(now_s):
                _log.info("host {} has fallen silent", address)
                self._lost(address)

    def send_beacon(self) -> None:
        """Sends a beacon to the zone."""
        now_s = asyncio.get_running_loop().time()
        data = encode_message(self._beacon(False))
        for address in self.hosts.receivers(now_s):
            self._send_data(address, data)

    def request_hosts(self, seeds: tuple[str, ...]) -> None:
        """Asks hosts of any zone which hosts there are."""
        for address in seeds:
            if address != self._own.address:
                self.send(address, HostsRequest(self._own.address, self._own.zone))

    def send(self, address: str, message: Message) -> None:
        """Sends a message to one host."""
        self._send_data(address, encode_message(message))

    def send_to_zone(self, message: Message) -> None:
        """Sends a message to all hosts of the zone that are alive."""
        data = encode_message(message)
        for host in self.alive():
            self._send_data(host.beacon.host, data)

    def alive(self) -> tuple[ZoneHost, ...]:
        """Returns the other hosts of the zone that were heard of."""
        return self.hosts.alive(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self._transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """Counts errors of the network, such as a host without a process."""
        self.counters["errors"] += 1

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Passes a message on to its handler."""
        try:
            message = decode_message(data)
        except MessageError as error:
            self.counters["invalid"] += 1
            _log.warning("invalid datagram of {}: {}", addr[0], error)
            return
        self.counters["received"] += 1
        if isinstance(message, HostBeacon):
            self._take_beacon(message)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _take_beacon(self, beacon: HostBeacon) -> None:
        now_s = asyncio.get_running_loop().time()
        news = self.hosts.take(now_s, beacon)
        if news == "stale":
            return
        if news == "restarted":
            self._lost(beacon.host)
        if news != "known":
            _log.info("host {} of zone {} is {}", beacon.host, beacon.zone, beacon.state)
        if beacon.answer or news != "known":
            self.send(beacon.host, self._beacon(False))
        for handler in self._on_beacon:
            handler(beacon)

    def _lost(self, address: str) -> None:
        for handler in self._on_silent:
            handler(address)

    def _answer_hosts(self, request: HostsRequest) -> None:
        self.hosts.add((HostPlace(request.host, request.zone),))
        self.send(request.host, HostList(self.hosts.places()))

    def _send_data(self, address: str, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (address, self._port))
            self.counters["sent"] += 1
