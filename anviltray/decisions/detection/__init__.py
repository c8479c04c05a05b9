"""Detectors: collect evidence that upstreams of one service are unhealthy.

Evidence is a log-likelihood ratio of unhealthy to healthy, so that the ratios of several nodes can
be added.
"""

from anviltray.decisions.detection._consecutive_errors import ConsecutiveErrorsDetector
from anviltray.decisions.detection._latency import LatencyModel
from anviltray.decisions.detection._likelihood import LikelihoodRatioDetector
from anviltray.decisions.detection._types import (
    SENSITIVITIES,
    Detector,
    Reading,
    Sensitivity,
    detectors,
)

__all__ = [
    "SENSITIVITIES",
    "ConsecutiveErrorsDetector",
    "Detector",
    "LatencyModel",
    "LikelihoodRatioDetector",
    "Reading",
    "Sensitivity",
    "detectors",
]
