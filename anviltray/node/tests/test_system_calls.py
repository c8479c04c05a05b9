"""Guards against io_uring and against processes that the daemon would start.

uvloop 0.23.0 was seen to call io_uring_setup also with UV_USE_IO_URING=0; hosts forbid it.
"""

import shutil
import signal
import subprocess
import sys

import pytest

from anviltray.node.tests.test_daemon import BOUND_S, wait_healthy, write_settings

TRACER = shutil.which("strace")


@pytest.mark.skipif(TRACER is None, reason="no system call tracer (strace) is installed")
def test_daemon_uses_no_forbidden_system_call(tmp_path):
    path, settings = write_settings(tmp_path)
    trace = tmp_path / "trace"
    calls = "trace=io_uring_setup,io_uring_enter,execve,fork,vfork,shmget"
    # -D keeps the daemon the direct child, which gets the signals.
    command = [TRACER, "-D", "-f", "-e", calls, "-o", str(trace), sys.executable]
    process = subprocess.Popen([*command, "-m", "anviltray.node", str(path)])
    try:
        wait_healthy(settings["caller_address"])
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=BOUND_S)
    finally:
        process.kill()
        process.wait(timeout=BOUND_S)
    lines = trace.read_text(encoding="utf-8").splitlines()
    seen = [line for line in lines if "(" in line and "execve" not in line]
    assert seen == []
    assert sum("execve(" in line for line in lines) == 1
