"""Snapshots of the configuration, split into chunks of bounded size."""

from collections.abc import Iterator

import xxhash

from anviltray.messages import ConfigState, SnapshotPart
from anviltray.state.configuration._fold import decode_state, encode_state
from anviltray.state.configuration._records import RecordError


def split_state(state: ConfigState, chunk_bytes: int) -> Iterator[SnapshotPart]:
    """Yields the encoded state in parts whose payload has at most `chunk_bytes` bytes."""
    data = encode_state(state)
    digest = xxhash.xxh3_128_hexdigest(data)
    count = -(-len(data) // chunk_bytes)
    for index in range(count):
        chunk = data[index * chunk_bytes : (index + 1) * chunk_bytes]
        yield SnapshotPart(state.version, digest, index, count, chunk)


class SnapshotAssembler:
    """Collects the parts of one snapshot at a time, the one with the highest version seen.

    Two writers produce equal parts for the same version, so their parts may arrive interleaved. A
    part with another version or digest starts a new snapshot unless its version is lower than that
    of the current one, so an incomplete snapshot never blocks a later one.
    """

    def __init__(self) -> None:
        self._current_key: tuple[int, str, int] = (-1, "", 0)
        self._payloads: dict[int, bytes] = {}

    def add(self, part: SnapshotPart) -> ConfigState | None:
        """Adds a part and returns the state once it is complete; raises RecordError if damaged."""
        key = (part.version, part.digest, part.chunk_count)
        if key != self._current_key:
            if part.version < self._current_key[0]:
                return None
            self._current_key = key
            self._payloads = {}
        if not 0 <= part.chunk_index < part.chunk_count:
            raise RecordError(
                f"invalid index of a snapshot part: {part.chunk_index} of {part.chunk_count}"
            )
        self._payloads[part.chunk_index] = part.payload
        if len(self._payloads) < part.chunk_count:
            return None
        data = b"".join(self._payloads[index] for index in range(part.chunk_count))
        self._payloads = {}
        if xxhash.xxh3_128_hexdigest(data) != part.digest:
            self._current_key = (-1, "", 0)
            raise RecordError(
                f"the digest of the snapshot of version {part.version} does not match"
            )
        state = decode_state(data)
        if state.version != part.version:
            raise RecordError(
                f"the snapshot of version {part.version} contains version {state.version}"
            )
        return state
