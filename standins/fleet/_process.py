"""One child process, ended by its process id."""

import atexit
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

from standins._waiting import poll_until

_ROOT = Path(__file__).parents[2]

# Generous, since a busy machine starts a Python process slowly; a healthy start takes a second.
START_BOUND_S = 30.0

_running: set["ManagedProcess"] = set()


class ProcessEnded(Exception):
    """The process ended by itself; the message has the end of its output."""


class ManagedProcess:
    """Runs `python -m MODULE ARGUMENTS`, with its output in a file.

    The process is ended by its id: by `kill`, `terminate` or `end`, and at the latest when the
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
        """Whether it has started and not ended; a paused process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the last run; None while it runs. Negative for a signal."""
        return None if self._process is None else self._process.poll()

    @property
    def process_id(self) -> int:
        """Id of the running process; raises ProcessEnded if it does not run."""
        if self._process is None or self._process.poll() is not None:
            raise ProcessEnded(f"{self.name} does not run: {self.tail()}")
        return self._process.pid

    def start(self) -> None:
        """Starts the process; its output is appended to that of earlier runs."""
        if self.running:
            raise RuntimeError(f"{self.name} runs already")
        with self.output.open("ab") as output:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                cwd=_ROOT,
                # Ctrl-C in a terminal goes to the launcher only, which then ends the others.
                start_new_session=True,
            )
        _running.add(self)

    async def start_ready(self) -> list[str]:
        """Starts a stand-in and returns the words after `ready` in its output."""
        size = self.output.stat().st_size if self.output.exists() else 0
        self.start()
        found: list[str] = []

        def ready() -> bool:
            if not self.running:
                raise ProcessEnded(f"{self.name} ended with {self.exit_code}: {self.tail()}")
            for line in self.output.read_text("utf-8", "replace")[size:].splitlines():
                if line.startswith("ready "):
                    found.extend(line.split()[1:])
            return bool(found)

        await poll_until(ready, START_BOUND_S)
        return found

    def pause(self) -> None:
        """Stops the process with SIGSTOP; its connections stay open."""
        os.kill(self.process_id, signal.SIGSTOP)

    def resume(self) -> None:
        """Continues a paused process."""
        os.kill(self.process_id, signal.SIGCONT)

    def kill(self) -> None:
        """Ends the process at once, also a paused one."""
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, signal.SIGKILL)
            self._process.wait()
        _running.discard(self)

    def terminate(self) -> None:
        """Asks the process to shut down gracefully."""
        os.kill(self.process_id, signal.SIGTERM)

    async def ended(self, bound_s: float) -> int:
        """Waits for the end and returns the exit code; raises TimeoutError."""
        await poll_until(lambda: not self.running, bound_s)
        _running.discard(self)
        code = self.exit_code
        assert code is not None
        return code

    def tail(self, lines: int = 20) -> str:
        """Returns the end of the output."""
        if not self.output.exists():
            return ""
        return "\n".join(self.output.read_text("utf-8", "replace").splitlines()[-lines:])


@atexit.register
def _end_all() -> None:
    for process in list(_running):
        process.kill()
