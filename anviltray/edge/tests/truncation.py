"""Instances that send a part of a response, and callers that may take it for the whole one."""

import asyncio

from anviltray.callers.tests.support import encode
from anviltray.edge.tests.support import SEAL

PART = b"0123456789" * 20
BLOCK = b"x" * 65536
STREAMED_BLOCKS = 6  # More than a host holds back until a response is whole.
DEADLINE_MS = 9000
FRAMINGS = ["Connection: close", "Content-Length: 4000000", "Transfer-Encoding: chunked"]


def send_part(framing, parts, pause_s=0.0):
    """Returns the handler of an instance that sends parts of a response and then nothing more."""

    async def answer(request, writer):
        head = f"HTTP/1.1 200 OK\r\n{SEAL}Request-Id: {request.headers['request-id']}\r\n"
        writer.write(f"{head}{framing}\r\n\r\n".encode())
        for part in parts:
            chunked = framing.endswith("chunked")
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
            await writer.drain()
            await asyncio.sleep(pause_s)
        await asyncio.Event().wait()

    return answer


async def connect(settings, head, version="1.1", deadline_ms=DEADLINE_MS):
    """Sends one request, and returns the connection."""
    address, port = settings.caller_address.split(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    request = encode(head, Request_Id="c1", Deadline_Ms=str(deadline_ms))
    writer.write(request.replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
    return reader, writer


def is_complete(received, was_reset):
    """Returns whether a caller takes what it has received for a whole response."""
    head, _, body = received.partition(b"\r\n\r\n")
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    if b"content-length" in fields:
        return len(body) == int(fields[b"content-length"])
    if b"transfer-encoding" in fields:
        return body.endswith(b"0\r\n\r\n")
    return bool(head) and not was_reset


async def receive_head(reader):
    """Returns the head of a response, whose body is being streamed then."""
    return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)


async def receive_rest(reader):
    """Returns what arrives until the end of the connection, and whether it was reset."""
    received, was_reset = bytearray(), False
    try:
        while data := await reader.read(1 << 20):
            received += data
    except ConnectionError:
        was_reset = True
    return bytes(received), was_reset


__all__ = [
    "BLOCK",
    "DEADLINE_MS",
    "FRAMINGS",
    "PART",
    "STREAMED_BLOCKS",
    "connect",
    "is_complete",
    "receive_head",
    "receive_rest",
    "send_part",
]
