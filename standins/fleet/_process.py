"""A child process, which is signalled by its process id only."""

import atexit
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

from standins._waiting import poll_until

_ROOT = Path(__file__).parents[2]

# A normal start takes a second, but a busy machine starts Python processes slowly.
START_TIMEOUT_S = 30.0

_running: set["ManagedProcess"] = set()


class ProcessEnded(Exception):
    """The process exited unexpectedly; the message has the last lines of its output."""


class ManagedProcess:
    """Runs `python -m MODULE ARGUMENTS`, with its output in a file.

    The process is stopped by its id with `kill` or `terminate`. It is killed at the latest when the
    interpreter that started it exits.
    """

    def __init__(
        self, name: str, module: str, arguments: Sequence[str | Path], directory: Path
    ) -> None:
        self.name = name
        self.output = directory / f"{name}.log"
        self._command = [sys.executable, "-m", module, *map(str, arguments)]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited; a paused process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the last run; None while it runs, negative after a signal."""
        return None if self._process is None else self._process.poll()

    @property
    def process_id(self) -> int:
        """Process id; raises ProcessEnded if the process does not run."""
        if self._process is None or self._process.poll() is not None:
            raise ProcessEnded(f"{self.name} is not running: {self.tail()}")
        return self._process.pid

    def start(self) -> None:
        """Starts the process and appends its output to that of earlier runs."""
        if self.running:
            raise RuntimeError(f"{self.name} is already running")
        with self.output.open("ab") as output:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                cwd=_ROOT,
                # Ctrl-C in a terminal then reaches only the launcher, which stops the processes.
                start_new_session=True,
            )
        _running.add(self)

    async def start_and_wait_ready(self) -> list[str]:
        """Starts a stand-in, waits for its `ready` line and returns the words after `ready`.

        Raises ProcessEnded or TimeoutError.
        """
        size = self.output.stat().st_size if self.output.exists() else 0
        self.start()
        found: list[str] = []

        def ready() -> bool:
            if not self.running:
                raise ProcessEnded(f"{self.name} exited with {self.exit_code}: {self.tail()}")
            for line in self.output.read_text("utf-8", "replace")[size:].splitlines():
                if line.startswith("ready "):
                    found.extend(line.split()[1:])
            return bool(found)

        await poll_until(ready, START_TIMEOUT_S)
        return found

    def pause(self) -> None:
        """Pauses the process with SIGSTOP; its connections stay open."""
        os.kill(self.process_id, signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a paused process with SIGCONT."""
        os.kill(self.process_id, signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process with SIGKILL, also a paused one."""
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, signal.SIGKILL)
            self._process.wait()
        _running.discard(self)

    def terminate(self) -> None:
        """Requests a graceful shutdown with SIGTERM."""
        os.kill(self.process_id, signal.SIGTERM)

    async def wait_for_exit(self, timeout_s: float) -> int:
        """Waits until the process exits and returns its exit code; raises TimeoutError."""
        await poll_until(lambda: not self.running, timeout_s)
        _running.discard(self)
        code = self.exit_code
        assert code is not None
        return code

    def tail(self, lines: int = 20) -> str:
        """Returns the last lines of the output."""
        if not self.output.exists():
            return ""
        return "\n".join(self.output.read_text("utf-8", "replace").splitlines()[-lines:])


@atexit.register
def _kill_all() -> None:
    for process in list(_running):
        process.kill()
