"""Guards against a graceful shutdown that interrupts requests."""

import asyncio

import pytest

from anviltray.callers.tests.support import Node, Upstream, encode, ok, read_response


@pytest.mark.parametrize("answer_s", [0.0, 0.02, 0.3])
def test_graceful_shutdown_interrupts_no_request(answer_s):
    async def answer(request, writer):
        await asyncio.sleep(answer_s)
        return await ok(b"z" * 300_000)(request, writer)

    async def client(address, results, stopped):
        """Sends requests until `stopped` is set; every request must be answered.

        Reconnects after a response with `Connection: close`.
        """
        host, port = address.split(":")
        while not stopped.is_set():
            reader, writer = await asyncio.open_connection(host, int(port))
            closing = False
            while not closing and not stopped.is_set():
                writer.write(encode("GET /levels") if len(results) % 2 else encode("POST /crews"))
                response = await read_response(reader)
                closing = response.headers.get("connection") == "close"
                results.append((response.status, len(response.body), closing))
            writer.close()

    async def main():
        async with Upstream(answer) as upstream, Node() as node:
            node.context.ejector.addresses = (upstream.address,)
            results, stopped = [], asyncio.Event()
            clients = [
                asyncio.create_task(client(node.address, results, stopped)) for _ in range(10)
            ]
            await asyncio.sleep(0.4)
            assert not any(closing for _, _, closing in results)
            node.context.shutting_down = True
            before = len(results)
            await asyncio.sleep(0.4)
            assert len(results) > before
            # The lifetime of the entry addresses has passed, so callers use other nodes now.
            stopped.set()
            node.stop.set()
            await asyncio.wait_for(asyncio.gather(*clients), 5)
            await asyncio.wait_for(node.serving, 5)
            assert {result[:2] for result in results} == {(200, 300_000)}
            assert all(closing for _, _, closing in results[before + 10 :])

    asyncio.run(main())


def test_partially_received_requests_are_still_answered():
    async def main():
        async with Upstream(ok()) as upstream, Node() as node:
            node.context.ejector.addresses = (upstream.address,)
            host, port = node.address.split(":")
            streams = [await asyncio.open_connection(host, int(port)) for _ in range(3)]
            requests = [encode("POST /crews", b"x" * 1000) for _ in streams]
            split_positions = [10, 500, 0]
            for (_, writer), request, position in zip(
                streams, requests, split_positions, strict=True
            ):
                writer.write(request[:position])
            await asyncio.sleep(0.05)
            node.stop.set()
            # Within the grace period for requests in flight when the shutdown begins.
            await asyncio.sleep(0.08)
            for (reader, writer), request, position in zip(
                streams, requests, split_positions, strict=True
            ):
                writer.write(request[position:])
                response = await asyncio.wait_for(read_response(reader), 5)
                assert response.status == 200
                assert response.headers["connection"] == "close"
                writer.close()
            await asyncio.wait_for(node.serving, 5)

    asyncio.run(main())
