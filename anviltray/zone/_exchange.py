"""Sends and receives the datagrams of one availability zone.

All messages are sent periodically or are soon out of date, so lost datagrams are not retransmitted,
and there are no connections that could hang. State that must arrive, such as a configuration, is
fetched over HTTP.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import logbook

from anviltray.messages import (
    HostBeacon,
    HostList,
    HostLocality,
    HostsRequest,
    Message,
    MessageError,
    decode_message,
    encode_message,
)
from anviltray.zone._hosts import (
    BEACON_INTERVAL_S,
    STANDBY,
    STANDBY_INTERVAL_S,
    HostTable,
    ZoneHost,
    is_ip_address,
)

_log = logbook.Logger("anviltray.zone")

# Larger datagrams are fragmented, and the loss of one fragment loses the whole datagram.
MAX_DATAGRAM_BYTES = 8192

_Received = TypeVar("_Received", bound=Message)


class ZoneExchange(asyncio.DatagramProtocol):
    """The datagram socket of a host and its table of known hosts.

    `beacon` returns the current beacon of this host; its argument says whether the receiver is to
    respond with its own beacon. All hosts of the fleet use the same port.
    """

    def __init__(self, own: HostLocality, port: int, beacon: Callable[[bool], HostBeacon]) -> None:
        self._own = own
        self._port = port
        self._beacon = beacon
        self._last_beacon_s = float("-inf")  # Time of the latest beacon to the zone.
        self._last_beacon_state = ""
        self._handlers: dict[type[Any], Callable[[Any], None]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._host_lost_handlers: list[Callable[[str], None]] = []
        self.hosts = HostTable(own)
        self.counters: Counter[str] = Counter()
        self.register_handler(HostsRequest, self._handle_hosts_request)
        self.register_handler(HostList, lambda message: self.hosts.add(message.hosts))
        self._beacon_handlers: list[Callable[[HostBeacon], None]] = []

    def register_handler(self, kind: type[_Received], handler: Callable[[_Received], None]) -> None:
        """Sets the handler of a message type."""
        self._handlers[kind] = handler

    def subscribe_to_beacons(self, handler: Callable[[HostBeacon], None]) -> None:
        """Registers a handler of beacons from this zone, except stale ones."""
        self._beacon_handlers.append(handler)

    def subscribe_to_lost_hosts(self, handler: Callable[[str], None]) -> None:
        """Registers a handler that gets the address of each host that timed out or restarted."""
        self._host_lost_handlers.append(handler)

    async def start(self) -> None:
        """Binds the socket; raises OSError if the address is in use."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._own.address, self._port)
        )

    async def run(self) -> None:
        """Sends beacons and checks for lost hosts until cancelled."""
        while True:
            self._send_periodic_beacon()
            await asyncio.sleep(BEACON_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            for address in self.hosts.remove_expired(now_s):
                _log.info("host {} timed out: no recent beacon", address)
                self._notify_host_lost(address)

    def _send_periodic_beacon(self) -> None:
        beacon = self._beacon(False)
        age_s = asyncio.get_running_loop().time() - self._last_beacon_s
        # Beacons that were sent in between for other reasons count, and timers vary a little.
        if (
            beacon.state != STANDBY
            or self._last_beacon_state != STANDBY
            or age_s > STANDBY_INTERVAL_S - BEACON_INTERVAL_S / 2
        ):
            self._send_to_zone_hosts(beacon)

    def send_beacon(self) -> None:
        """Sends a beacon to the zone."""
        self._send_to_zone_hosts(self._beacon(False))

    def _send_to_zone_hosts(self, beacon: HostBeacon) -> None:
        now_s = asyncio.get_running_loop().time()
        self._last_beacon_s, self._last_beacon_state = now_s, beacon.state
        data = encode_message(beacon)
        for address in self.hosts.beacon_targets(now_s):
            self._send_data(address, data)

    def request_hosts(self, seeds: tuple[str, ...]) -> None:
        """Requests the host list from seed hosts of any zone."""
        for address in seeds:
            if address != self._own.address:
                self.send(address, HostsRequest(self._own.address, self._own.zone))

    def send(self, address: str, message: Message) -> None:
        """Sends a message to one host."""
        self._send_data(address, encode_message(message))

    def send_to_zone(self, message: Message) -> None:
        """Sends a message to all live hosts of the zone."""
        self.send_to_hosts((host.beacon.host for host in self.alive()), message)

    def send_to_hosts(self, addresses: Iterable[str], message: Message) -> None:
        """Sends a message to several hosts."""
        data = encode_message(message)
        for address in addresses:
            self._send_data(address, data)

    def alive(self) -> tuple[ZoneHost, ...]:
        """Returns the other live hosts of the zone."""
        return self.hosts.alive(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the socket."""
        self._transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """Counts network errors, such as a host on which no process listens."""
        self.counters["errors"] += 1

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Decodes a datagram and calls the handler of its message type."""
        try:
            message = decode_message(data)
        except MessageError as error:
            self.counters["invalid"] += 1
            _log.warning("dropped an invalid datagram from {}: {}", addr[0], error)
            return
        self.counters["received"] += 1
        if isinstance(message, HostBeacon):
            self._handle_beacon(message)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _handle_beacon(self, beacon: HostBeacon) -> None:
        now_s = asyncio.get_running_loop().time()
        result = self.hosts.update(now_s, beacon)
        if result == "stale":
            return
        if result == "restarted":
            self._notify_host_lost(beacon.host)
        if result != "known":
            _log.info("host {} of zone {} is {}", beacon.host, beacon.zone, beacon.state)
        if beacon.answer or result != "known":
            self.send(beacon.host, self._beacon(False))
        for handler in self._beacon_handlers:
            handler(beacon)

    def _notify_host_lost(self, address: str) -> None:
        for handler in self._host_lost_handlers:
            handler(address)

    def _handle_hosts_request(self, request: HostsRequest) -> None:
        self.hosts.add((HostLocality(request.host, request.zone),))
        self.send(request.host, HostList(self.hosts.localities()))

    def _send_data(self, address: str, data: bytes) -> None:
        # The socket looks up names, which blocks the loop, and is closed by names that are invalid.
        if not is_ip_address(address):
            self.counters["invalid"] += 1
            _log.warning("sent nothing to {!r}, which is no IP address", address)
            return
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (address, self._port))
            self.counters["sent"] += 1
