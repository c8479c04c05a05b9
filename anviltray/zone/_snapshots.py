"""Transfers snapshots of the store state between the hosts of a zone."""

import zlib

import aiohttp

from anviltray.messages import MessageError, StoreSnapshot, decode_message, encode_message
from anviltray.platform import ResponseTooLarge, read_body
from anviltray.telemetry import describe_error

SNAPSHOT_PATH = "/.anviltray/snapshot"
SNAPSHOT_CODING = "deflate"  # HTTP content coding of a snapshot (RFC 9110, 8.4.1.2).
# A host of the same zone responds within milliseconds, unless it is suspended or unreachable or
# sends the snapshot to several hosts over a slow link.
_TIMEOUT_S = 1.0
# Routes repeat their field names, so the fastest level already reduces them to a ninth.
_COMPRESSION_LEVEL = 1


class SnapshotUnavailable(Exception):
    """The host did not respond with a valid snapshot."""


def encode_snapshot(snapshot: StoreSnapshot) -> bytes:
    """Returns the message of a snapshot, compressed with `SNAPSHOT_CODING`.

    All hosts of a zone fetch a new configuration at the same time, and uncompressed, a
    configuration of a thousand routes takes seconds on a link of 10 Mbit/s.
    """
    return zlib.compress(encode_message(snapshot), _COMPRESSION_LEVEL)


async def fetch_snapshot(address: str) -> StoreSnapshot:
    """Returns the snapshot of the host at "IP:port"; raises SnapshotUnavailable."""
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{address}{SNAPSHOT_PATH}") as response,
        ):
            if response.status != 200:
                raise SnapshotUnavailable(f"{address}: status {response.status}")
            message = decode_message(await read_body(response))
    except (TimeoutError, aiohttp.ClientError, OSError, ResponseTooLarge, MessageError) as error:
        raise SnapshotUnavailable(f"{address}: {describe_error(error)}") from error
    if not isinstance(message, StoreSnapshot):
        raise SnapshotUnavailable(f"{address}: expected a snapshot, found another message type")
    return message
