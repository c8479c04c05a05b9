"""Hypothesis settings for stateful tests."""

import os

from hypothesis import HealthCheck, Phase, settings

# Examples per second of FUZZ_SECONDS, so that `make fuzz` runs each test for about that long.
_EXAMPLES_PER_S = 20


def fuzz_settings(examples: int, steps: int, *, seeded_fault: bool = False) -> settings:
    """Returns settings for a state machine: `examples` runs of at most `steps` rules.

    Without the environment variable FUZZ_SECONDS, the runs are deterministic, so that CI has the
    same result each time for one commit. With it, the runs are random and more numerous. A run that
    is expected to find a `seeded_fault` stops at the first failure and does not shrink it.
    """
    seconds = int(os.environ.get("FUZZ_SECONDS", "0"))
    return settings(
        max_examples=max(examples, seconds * _EXAMPLES_PER_S),
        stateful_step_count=steps,
        derandomize=seconds == 0,
        database=None,
        deadline=None,
        print_blob=True,
        report_multiple_bugs=not seeded_fault,
        phases=[Phase.generate] if seeded_fault else list(Phase),
        suppress_health_check=list(HealthCheck),
    )
