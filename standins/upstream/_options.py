"""Fixed options and switchable faults of an upstream stand-in."""

from typing import NamedTuple


class UpstreamOptions(NamedTuple):
    """What one instance is like when nothing is wrong."""

    name: str = "upstream"  # Named in answers.
    slots: int = 6  # Requests that run at the same time.
    queue: int = 12  # Requests that wait for a slot; further ones are shed.
    connections: int = 400  # Connections above this number are reset.
    median_s: float = 0.02  # Median of the log-normal service time.
    sigma: float = 0.4  # Standard deviation of the logarithm of the service time.
    seed: int = 1  # Seed of service times and of the random choices of faults.
    cold_s: float = 0.0  # Time from the start until service times are normal.
    cold_factor: float = 5.0  # Factor on service times at the start, falling linearly to 1.
    connection_cost_s: float = 0.001  # Added to the next service time by each new connection.
    probe_cost_s: float = 0.025  # Time for which a health check occupies a slot.
    report_lag_s: float = 2.0  # Age of what the health and load endpoints report.


class Faults(NamedTuple):
    """Faults of an instance; a control call replaces the whole tuple."""

    stall_share: float = 0.0  # Share of requests without an answer until the stall ends.
    stall_started: bool = True  # Stalled requests have run; else they are held before the start.
    stall_sheds: bool = False  # A stalled instance still answers refusals.
    fail_share: float = 0.0  # Share of requests that run and are answered with fail_status.
    fail_status: int = 500  # Status of failed requests.
    slow_factor: float = 1.0  # Factor on service times.
    truncate_share: float = 0.0  # Share of answers that end after half of their bytes.
    truncate_chunked: bool = False  # Truncated answers are chunked instead of having a length.
    late_s: float = 0.0  # Delay of each answer after the request has left its slot.
    refuse: bool = False  # Resets all connections and refuses new ones.
    flap_period_s: float = 0.0  # Period with which the faults above come and go; 0 keeps them.
    flap_bad_share: float = 0.5  # Share of each period, from its start, in which they are present.
    cancel_hangs: bool = False  # Cancellations get no answer and have no effect.
    health: str = ""  # Status that /health reports; empty reports "ok" or "draining", with lag.
    reported_load: float = -1.0  # Load that is reported instead of the real one, unless negative.

    def at(self, elapsed_s: float) -> "Faults":
        """Returns the faults that are present `elapsed_s` after they were set."""
        if self.flap_period_s <= 0:
            return self
        if elapsed_s % self.flap_period_s < self.flap_bad_share * self.flap_period_s:
            return self
        return Faults(
            cancel_hangs=self.cancel_hangs, health=self.health, reported_load=self.reported_load
        )
