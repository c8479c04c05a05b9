"""Guards against servers that wake up often without a request or end late."""

import asyncio

import falcon.asgi
import pytest
import uvicorn

from anviltray.callers import bind, serve_internal
from anviltray.testing import free_address


@pytest.mark.parametrize(("idle_s", "most_ticks"), [(0.0, 1), (2.5, 4)])
def test_an_idle_server_wakes_up_once_a_second_and_ends_at_once(monkeypatch, idle_s, most_ticks):
    ticks = []
    on_tick = uvicorn.Server.on_tick

    async def count(self, counter):
        ticks.append(counter)
        return await on_tick(self, counter)

    monkeypatch.setattr(uvicorn.Server, "on_tick", count)

    async def main():
        stop = asyncio.Event()
        listener = bind(free_address())
        serving = asyncio.create_task(serve_internal(falcon.asgi.App(), [listener], stop))
        await asyncio.sleep(0.3 + idle_s)
        assert 1 <= len(ticks) <= most_ticks
        stop.set()
        async with asyncio.timeout(0.6):
            await serving

    asyncio.run(main())
