"""Which requests a host that stops still passes on to instances."""

from anviltray.decisions.stopping._stop import GracefulStop

__all__ = ["GracefulStop"]
