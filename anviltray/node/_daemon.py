"""`anviltrayd`: runs one node until it receives SIGTERM or SIGINT."""

import asyncio
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import defopt
import logbook

from anviltray.node._node import Node
from anviltray.schema import DocumentError
from anviltray.settings import Settings, load_settings
from anviltray.state import EmptyKey
from anviltray.telemetry import set_up_logs

_log = logbook.Logger("anviltray.node")

EXIT_SETTINGS = 2  # The settings are invalid.
EXIT_ADDRESS = 3  # An address cannot be bound.


def anviltrayd(settings: Path, *, check: bool = False) -> int:
    """Run one node of the proxy fleet.

    SIGTERM or SIGINT shuts down gracefully; a second one ends at once.

    :param settings: YAML file, see docs/operators/settings.md.
    :param check: Only validate the settings.
    """
    try:
        loaded = load_settings(settings)
    except DocumentError as error:
        print(f"anviltrayd: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if check:
        return 0
    set_up_logs(loaded.telemetry.log_level, as_json=loaded.telemetry.log_json)
    try:
        # Set explicitly, since uvloop, where it is installed, would use io_uring.
        with asyncio.Runner(loop_factory=asyncio.SelectorEventLoop) as runner:
            return runner.run(_run(loaded))
    except EmptyKey as error:
        print(f"anviltrayd: {settings}: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    except OSError as error:
        print(f"anviltrayd: {settings}: {error}", file=sys.stderr)
        return EXIT_ADDRESS


async def _run(settings: Settings) -> int:
    node = Node(settings)
    loop = asyncio.get_running_loop()
    signals = asyncio.Queue[int]()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    try:
        await node.start()
    except OSError:
        await node.close()
        raise
    _log.info("node {} accepts caller connections at {}", settings.node, settings.caller_address)
    await signals.get()
    stopping = asyncio.create_task(node.stop())
    second_signal = asyncio.create_task(signals.get())
    await asyncio.wait({stopping, second_signal}, return_when=asyncio.FIRST_COMPLETED)
    if not stopping.done():
        _log.warning("second signal received; exiting before the graceful shutdown is complete")
        return 1
    await stopping
    second_signal.cancel()
    return 0


def main(argv: Sequence[str] | None = None) -> None:
    """Entry point of `anviltrayd`."""
    sys.exit(defopt.run(anviltrayd, argv=argv, argparse_kwargs={"prog": "anviltrayd"}))
