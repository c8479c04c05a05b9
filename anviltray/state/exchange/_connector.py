"""Opens connections to other nodes."""

import asyncio
from typing import NamedTuple

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from anviltray.messages import Hello
from anviltray.state.exchange._handshake import HandshakeError, authenticate
from anviltray.state.exchange._link import MAX_MESSAGE_BYTES

OPEN_TIMEOUT_S = 1.0  # Time limit of a connect and of the handshake, each.
CLOSE_TIMEOUT_S = 1.0  # Wait for the other side's close frame.
PEER_PATH = "/peer"
PROBE_PATH = "/probe"  # A connection that only proves that the node answers.
_FIRST_BACKOFF_S = 0.5
_LONGEST_BACKOFF_S = 30.0


class ConnectFailed(Exception):
    """No authenticated connection was established."""


async def open_connection(
    address: str, path: str, hello: Hello, key: bytes
) -> tuple[ClientConnection, Hello]:
    """Connects to the peer address and returns the socket and the other side's Hello.

    Raises ConnectFailed, or HandshakeError if the other side answered but is no peer.
    """
    try:
        socket = await connect(
            f"ws://{address}{path}",
            compression=None,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
            max_size=MAX_MESSAGE_BYTES,
            user_agent_header=None,
            proxy=None,
        )
    except (OSError, TimeoutError, WebSocketException, ValueError) as error:
        raise ConnectFailed(f"{address}: {error}") from error
    try:
        other = await authenticate(socket, hello, key, opener=True, timeout_s=OPEN_TIMEOUT_S)
    except HandshakeError:
        socket.transport.abort()
        raise
    except (OSError, WebSocketException) as error:
        socket.transport.abort()
        raise ConnectFailed(f"{address}: {error}") from error
    except asyncio.CancelledError:
        socket.transport.abort()
        raise
    return socket, other


class _Failure(NamedTuple):
    failures: int  # Failures in a row.
    until_s: float  # Time before which there is no new attempt.


class Backoff:
    """Failed attempts by address, with a pause that doubles with each one."""

    def __init__(self) -> None:
        self._failures: dict[str, _Failure] = {}

    def failed(self, now_s: float, address: str) -> None:
        """Notes a failed attempt."""
        known = self._failures.get(address)
        count = known.failures + 1 if known is not None else 1
        pause_s = min(_LONGEST_BACKOFF_S, _FIRST_BACKOFF_S * 2 ** min(count - 1, 10))
        self._failures[address] = _Failure(count, now_s + pause_s)

    def succeeded(self, address: str) -> None:
        """Forgets the failures."""
        self._failures.pop(address, None)

    def blocked(self, now_s: float, address: str) -> bool:
        """Tells whether an attempt is too early."""
        known = self._failures.get(address)
        return known is not None and now_s < known.until_s
