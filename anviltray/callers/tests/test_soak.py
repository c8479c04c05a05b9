"""Guards the invariants of the request path under random faults.

Each caller gets the response to its own request, a request that is reported as `not-run` was not
run, and an unrepeatable request runs at most once.
"""

import asyncio
import random
from collections import Counter

import pytest

from anviltray.callers.tests.support import Node, Upstream, encode, ok, raw, read_response

CALLERS, REQUESTS = 24, 40


class FaultyUpstream:
    """Counts executions by path and injects random faults."""

    def __init__(self, generator, executions):
        self.generator, self.executions = generator, executions

    async def __call__(self, request, writer):
        method, path, _ = request.line.split()
        body = path.encode() * self.generator.choice([1, 1, 50, 5000])
        fault = self.generator.random()
        if method == "POST" and path == "/cancel":
            return await ok(b'{"outcome": "unknown"}')(request, writer)
        if fault < 0.1:
            shed = b"HTTP/1.1 503 X\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n"
            return await raw(shed, then_close=False)(request, writer)
        self.executions[path] += 1
        if fault < 0.15:
            return False  # The connection closes after the request ran.
        if fault < 0.2:
            await asyncio.sleep(0.7)  # The response is late for short deadlines.
        if fault < 0.25:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(body) + 1)
            return await raw(head + body)(request, writer)
        if fault < 0.3:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
            return await raw(head + body + b"\r\n")(request, writer)
        await ok(body)(request, writer)
        if fault < 0.35:  # An unsolicited second response.
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
        return fault >= 0.4


async def caller(node, name, generator, answers):
    host, port = node.address.split(":")
    reader = writer = None
    for number in range(REQUESTS):
        method = generator.choice(["GET", "POST"])
        path = f"/{'levels' if method == 'GET' else 'crews'}/{name}-{number}."
        if writer is None:
            reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            encode(f"{method} {path}", Anviltray_Deadline_Ms=generator.choice([500, 5000]))
        )
        try:
            if generator.random() < 0.05:
                raise ConnectionError  # The caller disconnects without reading its response.
            response = await asyncio.wait_for(read_response(reader), 5)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()
            writer = None
            continue
        answers.append((method, path, response))
        if response.headers.get("connection") == "close":
            writer.close()
            writer = None
    if writer is not None:
        writer.close()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_invariants_hold_under_random_faults(seed):
    async def main():
        generator, executions, answers = random.Random(seed), Counter(), []
        faulty = FaultyUpstream(generator, executions)
        async with Upstream(faulty) as one, Upstream(faulty) as two, Node() as node:
            node.context.ejector.addresses = (one.address, two.address)
            node.context.budget.allowed = 1_000_000
            await asyncio.gather(*(caller(node, n, generator, answers) for n in range(CALLERS)))
            await asyncio.sleep(0.8)
            assert (
                node.context.admission_control.running == node.context.load_tracker.outstanding == 0
            )
        statuses = Counter(response.status for _, _, response in answers)
        assert statuses[200] > CALLERS * REQUESTS / 2 and set(statuses) <= {200, 502, 503, 504}
        for _, path, response in answers:
            outcome = response.headers["anviltray-outcome"]
            if response.status == 200:
                unit = path.encode()
                assert response.body and response.body == unit * (len(response.body) // len(unit))
            if outcome == "not-run":
                assert executions[path] == 0, path
        assert all(count <= 1 for path, count in executions.items() if "crews" in path)
        assert any(count > 1 for path, count in executions.items() if "levels" in path)

    asyncio.run(main())
