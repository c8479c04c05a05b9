"""Command of the edge host: runs until a signal stops it."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

import logbook

from anviltray.edge._edge import Edge
from anviltray.platform import HostSettingsError, load_host_settings, names
from anviltray.settings import HostSettings
from anviltray.telemetry import set_up_bounded_logs

_log = logbook.Logger("anviltray.edge")

EXIT_FAILED = 1  # A task has failed; the platform restarts the process.
EXIT_SETTINGS = 2  # The settings are invalid.
EXIT_ADDRESS = 3  # An address cannot be bound.
# A host serves fewer than 20 requests/s and logs one line each; the limit leaves room for bursts
# and for lines about configuration and instance changes.
_LOG_LINES_PER_S = 200.0
_SETTINGS_POLL_INTERVAL_S = 1.0


def edge(settings: Path | None = None, *, check: bool = False) -> int:
    """Serve callers on one host of the platform.

    SIGTERM shuts down gracefully; SIGHUP and a changed file reload the settings.

    :param settings: TOML file of the platform; by default the one that the environment names.
    :param check: Only validate the settings.
    """
    path = settings or Path(os.environ.get(names.SETTINGS_VARIABLE, ""))
    try:
        loaded = load_host_settings(path)
    except HostSettingsError as error:
        print(f"anviltray edge: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if check:
        return 0
    set_up_bounded_logs("info", _LOG_LINES_PER_S)
    try:
        # Set explicitly because uvloop, if it is installed, would use io_uring.
        with asyncio.Runner(loop_factory=asyncio.SelectorEventLoop) as runner:
            return runner.run(_run(path, loaded))
    except OSError as error:
        _log.error("cannot start: {}", error)
        return EXIT_ADDRESS


async def _run(path: Path, settings: HostSettings) -> int:
    host = Edge(settings)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    changed = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    await host.start()
    watching = asyncio.create_task(_watch_settings(path, host, changed))
    waiters = [asyncio.create_task(event.wait()) for event in (stopped, host.failed)]
    await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    for task in (watching, *waiters):
        task.cancel()
    if host.failed.is_set():
        await host.close()
        return EXIT_FAILED
    await host.stop()
    return 0


async def _watch_settings(path: Path, host: Edge, changed: asyncio.Event) -> None:
    """Reloads the settings when `changed` is set or the content of their file differs."""
    last_content = _read_content(path)
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), _SETTINGS_POLL_INTERVAL_S)
        signalled = changed.is_set()
        changed.clear()
        content = _read_content(path)
        if content == last_content and not signalled:
            continue
        last_content = content
        try:
            host.reload(load_host_settings(path))
        except HostSettingsError as error:
            _log.error("keeping the previous settings, the changed file is invalid: {}", error)


def _read_content(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        return b""


def main() -> None:
    """Entry point of the program."""
    if len(sys.argv) == 1:
        sys.exit(edge())
    # Imported only if there are arguments: defopt takes a third of the memory of a host, and the
    # platform starts hosts without arguments.
    import defopt

    sys.exit(defopt.run(edge, argparse_kwargs={"prog": "anviltray.edge"}))
