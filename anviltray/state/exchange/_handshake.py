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
    """The other side is no peer of this node."""


class WrongKey(HandshakeError):
    """The other side does not know the shared key."""


class Socket(Protocol):
    """The part of a websocket that is used."""

    async def send(self, message: bytes) -> None:
        """Sends one binary message."""

    async def recv(self) -> str | bytes:
        """Returns the next message."""


def make_hello(own: Member, schema_version: int, config_version: int) -> Hello:
    """Returns a Hello with a fresh nonce."""
    return Hello(own, schema_version, config_version, secrets.token_bytes(_NONCE_BYTES))


async def authenticate(
    socket: Socket, hello: Hello, key: bytes, *, opener: bool, timeout_s: float
) -> Hello:
    """Exchanges Hello and Proof and returns the other side's Hello.

    The opener proves itself first, so that a stranger gets no signature. The signed text holds the
    signer's side, both names and both nonces: a signature can be neither replayed nor reflected.
    Raises HandshakeError, and WrongKey for a wrong signature.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await socket.send(encode_message(hello))
            other = decode_message(_binary(await socket.recv()))
            if not isinstance(other, Hello):
                raise HandshakeError(f"expected Hello, found {type(other).__name__}")
            if other.member.node == hello.member.node:
                raise HandshakeError("the other side has this node's name")
            if opener:
                await socket.send(encode_message(_sign(hello, other, key, opener=True)))
            proof = decode_message(_binary(await socket.recv()))
            wanted = _sign(other, hello, key, opener=not opener)
            if not isinstance(proof, Proof):
                raise HandshakeError(f"expected Proof, found {type(proof).__name__}")
            if not hmac.compare_digest(proof.signature, wanted.signature):
                raise WrongKey(f"{other.member.node} has another peer key")
            if not opener:
                await socket.send(encode_message(_sign(hello, other, key, opener=False)))
            return other
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


def _binary(data: str | bytes) -> bytes:
    if isinstance(data, str):
        raise HandshakeError("expected a binary message")
    return data
