"""`make run`: one node with stand-ins for the platform and upstreams, in one process."""

import asyncio
import signal
import sys
import time
from pathlib import Path

import defopt

from anviltray.declarations import Service, load_declarations
from anviltray.messages import ConfigCommand
from anviltray.node import Node
from anviltray.platform import MemoryPlatform
from anviltray.schema import DocumentError
from anviltray.settings import load_settings
from anviltray.state.configuration import STREAM, encode_record, put_service
from anviltray.telemetry import set_up_logs
from standins._waiting import poll_until
from standins.upstream import UpstreamOptions, UpstreamStandin

_READY_TIMEOUT_S = 30.0
_CONTROL_ADDRESS = "127.0.0.1:0"


def main(settings: Path, declarations: Path) -> int:
    """Run one node with embedded stand-ins until Ctrl-C.

    :param settings: Settings of the node.
    :param declarations: Services whose upstreams run in this process.
    """
    try:
        return asyncio.run(_run(settings, declarations))
    except DocumentError as error:
        print(f"demo: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"demo: {error}; is another program using the port?", file=sys.stderr)
        return 3


async def _run(settings_path: Path, declarations_path: Path) -> int:
    settings = load_settings(settings_path)
    services = load_declarations([declarations_path]).services
    set_up_logs(settings.telemetry.log_level, as_json=settings.telemetry.log_json)
    platform = MemoryPlatform()
    standins = [
        UpstreamStandin(
            UpstreamOptions(name=upstream.address, slots=upstream.slots, seed=number),
            upstream.address,
            _CONTROL_ADDRESS,
        )
        for number, upstream in enumerate(
            upstream for service in services for upstream in service.upstreams
        )
    ]
    node: Node | None = None
    try:
        for standin in standins:
            await standin.start()
        for service in services:
            await platform.append(STREAM, encode_record(_command(service)))
        node = Node(settings, platform)
        await node.start()
        context = node.context
        await poll_until(
            lambda: context.listening and not context.not_ready_reasons(), _READY_TIMEOUT_S
        )
        _print_commands(settings.caller_address, settings.operator_address, services[0])
        await _wait_for_signal()
    finally:
        if node is not None:
            await node.close()
        for standin in standins:
            await standin.close()
    return 0


def _command(service: Service) -> ConfigCommand:
    return put_service(service, based_on=-1, who="demo", why="demo", issued_unix_s=time.time())


def _print_commands(caller_address: str, operator_address: str, service: Service) -> None:
    upstream = service.upstreams[0].address
    tool = f"ANVILTRAY_NODES={operator_address} .venv/bin/python -m anviltray_cli"
    print(f"curl -i http://{caller_address}{service.routes[0].prefix}/1")
    print(f"{tool} show upstreams of {service.name}")
    print(f"{tool} explain upstream {upstream}")
    print(f'{tool} drain {upstream} because "a try"')
    print(f"{tool} show history")
    print(f"{tool} report burn", flush=True)


async def _wait_for_signal() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


if __name__ == "__main__":
    sys.exit(defopt.run(main))
