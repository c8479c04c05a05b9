"""Process entry point: `python -m standins.relay TARGET --listen IP:PORT --control IP:PORT`."""

import asyncio

import defopt

from standins._serving import run_until_signal
from standins.relay._control import RelayControl
from standins.relay._relay import Relay


def main(target: str, *, listen: str = "127.0.0.1:0", control: str = "127.0.0.1:0") -> None:
    """Relays to a target and prints `ready ADDRESS CONTROL_ADDRESS` once it accepts connections.

    :param target: IP:port to relay to.
    :param listen: IP:port to relay from; port 0 takes a free one.
    :param control: IP:port for control calls.
    """
    asyncio.run(_serve(target, listen, control))


async def _serve(target: str, listen: str, control: str) -> None:
    relay = Relay(target, listen)
    controller = RelayControl(relay, control)
    print(f"ready {await relay.start()} {await controller.start()}", flush=True)
    await run_until_signal()
    await controller.close()
    await relay.close()


if __name__ == "__main__":
    defopt.run(main)
