"""Fetches what another host knows of the store."""

import aiohttp

from anviltray.messages import MessageError, StoreSnapshot, decode_message

SNAPSHOT_PATH = "/.anviltray/snapshot"
# A host of the same zone answers within milliseconds unless it is suspended or cut off.
_TIMEOUT_S = 0.5


class SnapshotUnavailable(Exception):
    """The host did not answer with a snapshot."""


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
            message = decode_message(await response.read())
    except (TimeoutError, aiohttp.ClientError, OSError, MessageError) as error:
        raise SnapshotUnavailable(f"{address}: {error or type(error).__name__}") from error
    if not isinstance(message, StoreSnapshot):
        raise SnapshotUnavailable(f"{address}: the answer is no snapshot")
    return message
