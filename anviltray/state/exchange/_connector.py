"""Opens connections to other nodes."""

import asyncio
from typing import NamedTuple

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from anviltray.messages import Hello
from anviltray.state.exchange._handshake import HandshakeError, authenticate
from anviltray.state.exchange._link import MAX_MESSAGE_BYTES

OPEN_TIMEOUT_S = 1.0  # Time limit of a connect and of the handshake, each.
CLOSE_TIMEOUT_S = 1.0  # Time to wait for the other side's close frame.
PEER_PATH = "/peer"
PROBE_PATH = "/probe"  # For connections that only prove that the node responds.
_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 30.0


class ConnectFailed(Exception):
    """No authenticated connection was established."""


async def open_connection(
    address: str, path: str, hello: Hello, key: bytes
) -> tuple[ClientConnection, Hello]:
    """Connects to a peer address and returns the socket and the Hello of the other side.

    Raises ConnectFailed, or HandshakeError if the other side responds but is not a valid peer.
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
        peer_hello = await authenticate(socket, hello, key, opener=True, timeout_s=OPEN_TIMEOUT_S)
    except HandshakeError:
        socket.transport.abort()
        raise
    except (OSError, WebSocketException) as error:
        socket.transport.abort()
        raise ConnectFailed(f"{address}: {error}") from error
    except asyncio.CancelledError:
        socket.transport.abort()
        raise
    return socket, peer_hello


class _Failure(NamedTuple):
    failures: int  # Consecutive failures.
    until_s: float  # Time of the earliest new attempt.


class Backoff:
    """Exponential backoff for connection attempts, by address."""

    def __init__(self) -> None:
        self._failures: dict[str, _Failure] = {}

    def record_failure(self, now_s: float, address: str) -> None:
        """Records a failed attempt and doubles the backoff."""
        previous = self._failures.get(address)
        count = previous.failures + 1 if previous is not None else 1
        backoff_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2 ** min(count - 1, 10))
        self._failures[address] = _Failure(count, now_s + backoff_s)

    def record_success(self, address: str) -> None:
        """Resets the backoff of an address."""
        self._failures.pop(address, None)

    def is_blocked(self, now_s: float, address: str) -> bool:
        """Returns whether the backoff of an address has not ended yet."""
        previous = self._failures.get(address)
        return previous is not None and now_s < previous.until_s
