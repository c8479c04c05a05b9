"""Guards against tests that wait in real time or hang instead of failing."""

import asyncio

import pytest

from anviltray.testing import DeadlockError, free_address, run_with_virtual_clock


def test_sleeping_tasks_wake_in_the_order_of_their_timers():
    async def main():
        order = []

        async def wait(delay_s):
            await asyncio.sleep(delay_s)
            order.append(asyncio.get_running_loop().time())

        await asyncio.gather(wait(3600.0), wait(1.0), wait(60.0))
        return order

    assert run_with_virtual_clock(main()) == [1.0, 60.0, 3600.0]


def test_deadlock_is_reported():
    async def main():
        await asyncio.get_running_loop().create_future()

    with pytest.raises(DeadlockError):
        run_with_virtual_clock(main())


def test_socket_data_is_handled_before_a_timer():
    async def main():
        async def echo(reader, writer):
            writer.write(await reader.readexactly(4))
            writer.close()

        host, port = free_address("127.0.0.9").split(":")
        async with await asyncio.start_server(echo, host, int(port)):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"ping")
            answer = await asyncio.wait_for(reader.readexactly(4), 0.001)
            writer.close()
            return answer

    assert run_with_virtual_clock(main(), settle_s=0.05) == b"ping"
