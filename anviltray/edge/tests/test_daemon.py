"""Guards against an edge process that mishandles its settings or its signals."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest

from anviltray.edge.tests.support import Fleet, respond

ROOT = Path(__file__).resolve().parents[3]


async def start(path, *arguments):
    environment = {**os.environ, "ANVILTRAY_SETTINGS": str(path), "PYTHONPATH": str(ROOT)}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "anviltray.edge",
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


async def log_line(process, message):
    """Returns the fields of the next log line with this message."""
    while True:
        found = json.loads(await asyncio.wait_for(process.stdout.readline(), 15))
        if found["message"] == message:
            return found


def test_start_reload_and_stop(tmp_path):
    async def main():
        async with Fleet(tmp_path, [respond()]) as fleet:
            path = tmp_path / "process.toml"
            text = fleet.settings_text(9)
            path.write_text(text)
            process = await start(path)
            try:
                assert (await log_line(process, "started"))["node"] == "edge-9"
                await fleet.until(lambda: len(fleet.hosts[0].entry_addresses()) == 2, 10.0)
                process.send_signal(signal.SIGHUP)
                assert (await log_line(process, "settings reloaded"))["changed"] == []
                path.write_text(text.replace("drainMs=2000", "drainMs=3000"))
                assert (await log_line(process, "settings reloaded"))["changed"] == ["guarantees"]
                process.send_signal(signal.SIGTERM)
                await log_line(process, "stopping")
                await log_line(process, "stopped")
                assert await asyncio.wait_for(process.wait(), 5) == 0
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    asyncio.run(main())


@pytest.mark.parametrize("arguments", [(), ("--check",)])
def test_invalid_settings_print_one_line_and_exit(tmp_path, arguments):
    async def main():
        path = tmp_path / "node.toml"
        path.write_text('nodeName = "edge-1"\n')
        process = await start(path, *([str(path), *arguments] if arguments else []))
        _, errors = await asyncio.wait_for(process.communicate(), 15)
        assert process.returncode == 2
        (only,) = errors.decode().splitlines()
        assert str(path) in only

    asyncio.run(main())
