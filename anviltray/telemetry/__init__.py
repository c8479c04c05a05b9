"""Metrics through statsd and logging through Logbook."""

from anviltray.telemetry._errors import describe_error
from anviltray.telemetry._logs import BoundedOutput, set_up_bounded_logs, set_up_logs
from anviltray.telemetry._metrics import Metrics
from anviltray.telemetry._tasks import log_failure

__all__ = [
    "BoundedOutput",
    "Metrics",
    "describe_error",
    "log_failure",
    "set_up_bounded_logs",
    "set_up_logs",
]
