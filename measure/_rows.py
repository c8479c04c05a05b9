"""Rows of the measurements and their targets."""

from typing import Literal, NamedTuple


class Row(NamedTuple):
    """One measured figure."""

    name: str  # Fixed name of the figure.
    value: float  # Measured value.
    unit: str  # Unit of the value.


class Target(NamedTuple):
    """Bound of one figure; comes from the stated targets, never from a measured value."""

    bound: float  # Limit of the value.
    kind: Literal["at most", "at least"]  # Whether the bound is an upper or a lower limit.

    def verdict(self, value: float) -> str:
        """Returns "ok" if the value meets the target, else "short"."""
        good = value <= self.bound if self.kind == "at most" else value >= self.bound
        return "ok" if good else "short"


def _detection(name: str, noorani_s: float) -> dict[str, Target]:
    """Returns the targets of one figure; the bounds of Vatuloa are twice those of Noorani."""
    return {
        f"{name}_noorani": Target(noorani_s, "at most"),
        f"{name}_vatuloa": Target(2 * noorani_s, "at most"),
    }


TARGETS: dict[str, Target] = {
    **_detection("detect_stall_p50_s", 0.4),
    **_detection("detect_stall_p99_s", 1.0),
    **_detection("detect_errors_p50_s", 0.5),
    **_detection("detect_errors_p99_s", 1.5),
    **_detection("detect_slow_p50_s", 1.0),
    **_detection("detect_slow_p99_s", 3.0),
    "false_ejections_24h_noorani": Target(2, "at most"),
    "false_ejections_24h_vatuloa": Target(0, "at most"),
    "floor_violations": Target(0, "at most"),
    "double_executions": Target(0, "at most"),
    "false_not_run": Target(0, "at most"),
    "goodput_2x_overload_ratio": Target(0.9, "at least"),
    "retry_amplification": Target(1.1, "at most"),
    "recovery_after_overload_s": Target(10, "at most"),
    "drain_stop_s": Target(3, "at most"),
    "config_in_force_p99_s": Target(2, "at most"),
    "config_reverts": Target(0, "at most"),
    "cold_node_ready_log_away_s": Target(10, "at most"),
    "decision_us_40": Target(50, "at most"),
    "added_latency_p99_ms": Target(5.6, "at most"),
    "throughput_one_core_rps": Target(1500, "at least"),
    "throughput_ratio_to_bare": Target(0.6, "at least"),
    "control_cpu_pct": Target(0.5, "at most"),
    "control_bytes_s": Target(4000, "at most"),
    "control_rss_mb": Target(64, "at most"),
}
