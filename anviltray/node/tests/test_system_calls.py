"""Guards against a daemon that uses io_uring, which hosts forbid, or starts processes.

uvloop 0.23.0 calls io_uring_setup even with UV_USE_IO_URING=0.
"""

import shutil
import signal
import subprocess
import sys

import pytest

from anviltray.node.tests.test_daemon import TIMEOUT_S, wait_until_healthy, write_settings

TRACER = shutil.which("strace")


@pytest.mark.skipif(TRACER is None, reason="no system call tracer (strace) is installed")
def test_daemon_uses_no_forbidden_system_call(tmp_path):
    path, settings = write_settings(tmp_path)
    trace = tmp_path / "trace"
    calls = "trace=io_uring_setup,io_uring_enter,execve,fork,vfork,shmget"
    # With -D the daemon is the direct child, which gets the signals.
    command = [TRACER, "-D", "-f", "-e", calls, "-o", str(trace), sys.executable]
    process = subprocess.Popen([*command, "-m", "anviltray.node", str(path)])
    try:
        wait_until_healthy(settings["caller_address"])
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=TIMEOUT_S)
    finally:
        process.kill()
        process.wait(timeout=TIMEOUT_S)
    lines = trace.read_text(encoding="utf-8").splitlines()
    forbidden = [line for line in lines if "(" in line and "execve" not in line]
    assert forbidden == []
    assert sum("execve(" in line for line in lines) == 1
