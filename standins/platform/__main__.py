"""Process entry point: `python -m standins.platform --listen IP:PORT`."""

import asyncio

import defopt

from standins._serving import run_until_signal
from standins.platform._application import PlatformStandin


def main(*, listen: str = "127.0.0.1:0", seed: int = 1) -> None:
    """Runs the platform stand-in and prints `ready ADDRESS` when it accepts calls.

    :param listen: IP:port; port 0 takes a free one.
    :param seed: Seed of the random choices of faults.
    """
    asyncio.run(_serve(listen, seed))


async def _serve(listen: str, seed: int) -> None:
    standin = PlatformStandin(listen, seed)
    print(f"ready {await standin.start()}", flush=True)
    await run_until_signal()
    await standin.close()


if __name__ == "__main__":
    defopt.run(main)
