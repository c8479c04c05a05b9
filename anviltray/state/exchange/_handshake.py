"""Mutual authentication of two nodes at the start of a connection."""

import asyncio
import hmac
import secrets
from typing import Protocol

from anviltray.messages import (
    Hello,
    Member,
    MessageError,
    Proof,
    decode_message,
    encode_message,
)

_NONCE_BYTES = 16


class HandshakeError(Exception):
    """The other side is not a valid peer of this node."""


class WrongKey(HandshakeError):
    """The other side does not know the shared key."""


class Socket(Protocol):
    """The part of the websocket interface that the handshake needs."""

    async def send(self, message: bytes) -> None:
        """Sends one binary message."""

    async def recv(self) -> str | bytes:
        """Returns the next message."""


def make_hello(own: Member, schema_version: int, config_version: int) -> Hello:
    """Returns a Hello with a new random nonce."""
    return Hello(own, schema_version, config_version, secrets.token_bytes(_NONCE_BYTES))


async def authenticate(
    socket: Socket, hello: Hello, key: bytes, *, opener: bool, timeout_s: float
) -> Hello:
    """Exchanges Hello and Proof messages and returns the Hello of the other side.

    The opener sends its proof first, so that an unauthenticated client gets no signature. The
    signed text contains the signer's role, both names and both nonces, so that a signature can be
    neither replayed nor reflected. Raises HandshakeError, and WrongKey for a wrong signature.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await socket.send(encode_message(hello))
            peer_hello = decode_message(_require_binary(await socket.recv()))
            if not isinstance(peer_hello, Hello):
                raise HandshakeError(f"expected Hello, found {type(peer_hello).__name__}")
            if peer_hello.member.node == hello.member.node:
                raise HandshakeError("the other side has the same node name as this node")
            if opener:
                await socket.send(encode_message(_sign(hello, peer_hello, key, opener=True)))
            proof = decode_message(_require_binary(await socket.recv()))
            expected = _sign(peer_hello, hello, key, opener=not opener)
            if not isinstance(proof, Proof):
                raise HandshakeError(f"expected Proof, found {type(proof).__name__}")
            if not hmac.compare_digest(proof.signature, expected.signature):
                raise WrongKey(
                    f"the signature of {peer_hello.member.node} does not match the peer key"
                )
            if not opener:
                await socket.send(encode_message(_sign(hello, peer_hello, key, opener=False)))
            return peer_hello
    except (MessageError, TimeoutError) as error:
        raise HandshakeError(str(error) or "no answer in time") from error


def _sign(signer: Hello, verifier: Hello, key: bytes, *, opener: bool) -> Proof:
    parts = (
        b"opener" if opener else b"acceptor",
        signer.member.node.encode(),
        verifier.member.node.encode(),
        signer.nonce,
        verifier.nonce,
    )
    text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return Proof(hmac.digest(key, text, "sha256"))


def _require_binary(data: str | bytes) -> bytes:
    if isinstance(data, str):
        raise HandshakeError("expected a binary message")
    return data
