"""Snapshots of the configuration in bounded chunks."""

from collections.abc import Iterator

import xxhash

from anviltray.messages import ConfigState, SnapshotPart
from anviltray.state.configuration._fold import decode_state, encode_state
from anviltray.state.configuration._records import RecordError


def split_state(state: ConfigState, chunk_bytes: int) -> Iterator[SnapshotPart]:
    """Yields the encoded state in parts with a payload of at most `chunk_bytes`."""
    data = encode_state(state)
    digest = xxhash.xxh3_128_hexdigest(data)
    count = -(-len(data) // chunk_bytes)
    for index in range(count):
        chunk = data[index * chunk_bytes : (index + 1) * chunk_bytes]
        yield SnapshotPart(state.version, digest, index, count, chunk)


class SnapshotAssembler:
    """Collects the parts of one snapshot at a time, the one with the highest version seen.

    Parts of two writers that describe the same version are equal and may arrive interleaved. A
    part of another version or digest than the collected one replaces it if its version is not
    lower, so an incomplete snapshot never blocks a later one.
    """

    def __init__(self) -> None:
        self._key: tuple[int, str, int] = (-1, "", 0)
        self._payloads: dict[int, bytes] = {}

    def add(self, part: SnapshotPart) -> ConfigState | None:
        """Returns the state once all parts are there; raises RecordError if it is damaged."""
        key = (part.version, part.digest, part.chunk_count)
        if key != self._key:
            if part.version < self._key[0]:
                return None
            self._key = key
            self._payloads = {}
        if not 0 <= part.chunk_index < part.chunk_count:
            raise RecordError(f"snapshot part {part.chunk_index} of {part.chunk_count}")
        self._payloads[part.chunk_index] = part.payload
        if len(self._payloads) < part.chunk_count:
            return None
        data = b"".join(self._payloads[index] for index in range(part.chunk_count))
        self._payloads = {}
        if xxhash.xxh3_128_hexdigest(data) != part.digest:
            self._key = (-1, "", 0)
            raise RecordError(f"the snapshot of version {part.version} is damaged")
        state = decode_state(data)
        if state.version != part.version:
            raise RecordError(f"the snapshot of version {part.version} holds {state.version}")
        return state
