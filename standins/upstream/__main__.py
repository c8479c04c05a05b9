"""Process entry point: `python -m standins.upstream --listen IP:PORT --control IP:PORT`."""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

import defopt

from standins._serving import run_until_signal
from standins.upstream._application import UpstreamStandin
from standins.upstream._options import UpstreamOptions


def main(
    *,
    listen: str = "127.0.0.1:0",
    control: str = "127.0.0.1:0",
    name: str = "upstream",
    slots: int = 6,
    queue: int = 12,
    median_ms: float = 20.0,
    sigma: float = 0.4,
    seed: int = 1,
    cold_s: float = 0.0,
    report_lag_s: float = 2.0,
    executions: Path | None = None,
) -> None:
    """Runs one upstream and prints `ready ADDRESS CONTROL_ADDRESS` once it accepts requests.

    :param listen: IP:port for requests; port 0 takes a free one.
    :param control: IP:port that serves only control calls.
    :param name: Name in responses.
    :param slots: Maximum number of requests that run concurrently.
    :param queue: Maximum number of requests that wait for a slot.
    :param median_ms: Median of the log-normal service time.
    :param sigma: Standard deviation of the logarithm of the service time.
    :param seed: Seed of service times and faults.
    :param cold_s: Time from the start until service times are normal.
    :param report_lag_s: Age of the state that the health and load endpoints report.
    :param executions: File to which the identifier of each execution is appended as a line before
        it starts, so that the count survives a kill.
    """
    options = UpstreamOptions(
        name=name,
        slots=slots,
        queue=queue,
        median_s=median_ms / 1000,
        sigma=sigma,
        seed=seed,
        cold_s=cold_s,
        report_lag_s=report_lag_s,
    )
    asyncio.run(_serve(options, listen, control, executions))


async def _serve(
    options: UpstreamOptions, listen: str, control: str, executions: Path | None
) -> None:
    record: Callable[[str], None] | None = None
    if executions is not None:
        descriptor = os.open(executions, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

        def record(request_id: str) -> None:
            os.write(descriptor, f"{request_id}\n".encode())

    standin = UpstreamStandin(options, listen, control, record)
    print(f"ready {await standin.start()} {standin.control_address}", flush=True)
    await run_until_signal()
    await standin.close()


if __name__ == "__main__":
    defopt.run(main)
