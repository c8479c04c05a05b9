"""Fixed options and injectable faults of an upstream stand-in."""

from typing import NamedTuple


class UpstreamOptions(NamedTuple):
    """Properties of one healthy instance."""

    name: str = "upstream"  # Reported in responses.
    slots: int = 6  # Maximum number of concurrent requests.
    queue: int = 12  # Maximum number of waiting requests; further ones are shed.
    connections: int = 400  # Connection limit; further connections are reset.
    median_s: float = 0.02  # Median of the log-normal service time.
    sigma: float = 0.4  # Standard deviation of the logarithm of the service time.
    seed: int = 1  # Seed of service times and of random faults.
    cold_s: float = 0.0  # Time from the start until service times are normal.
    cold_factor: float = 5.0  # Factor on service times at a cold start, falling linearly to 1.
    connection_cost_s: float = 0.001  # Added to the next service time by each new connection.
    probe_cost_s: float = 0.025  # Time for which a health check occupies a slot.
    report_lag_s: float = 2.0  # Age of the state that the health and load endpoints report.


class Faults(NamedTuple):
    """Faults of an instance; a control call replaces the whole tuple."""

    stall_share: float = 0.0  # Share of requests without a response until the stall ends.
    stall_started: bool = True  # Requests stall after they ran; otherwise before they start.
    stall_sheds: bool = False  # A stalled instance still sends rejections at once.
    fail_share: float = 0.0  # Share of requests that run and get the status fail_status.
    fail_status: int = 500  # Status of failed requests.
    slow_factor: float = 1.0  # Factor on service times.
    truncate_share: float = 0.0  # Share of responses that end after half of their bytes.
    truncate_chunked: bool = False  # Truncated responses are chunked, without a Content-Length.
    late_s: float = 0.0  # Delay of each response after the request released its slot.
    refuse: bool = False  # Resets all connections and refuses new ones.
    flap_period_s: float = 0.0  # Period in which the faults above start and end; 0 keeps them.
    flap_bad_share: float = 0.5  # Share of each period, from its start, in which they are active.
    cancel_hangs: bool = False  # Cancellations get no response and have no effect.
    health: str = ""  # Status that /health reports; empty reports "ok" or "draining", with lag.
    reported_load: float = -1.0  # Reported instead of the real load, unless negative.

    def at(self, elapsed_s: float) -> "Faults":
        """Returns the faults that are active `elapsed_s` after they were set."""
        if self.flap_period_s <= 0:
            return self
        if elapsed_s % self.flap_period_s < self.flap_bad_share * self.flap_period_s:
            return self
        return Faults(
            cancel_hangs=self.cancel_hangs, health=self.health, reported_load=self.reported_load
        )
