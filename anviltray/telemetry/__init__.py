"""Metrics by statsd and logs by Logbook."""

from anviltray.telemetry._logs import set_up_logs
from anviltray.telemetry._metrics import Metrics

__all__ = ["Metrics", "set_up_logs"]
