"""Stand-in for callers: asks for addresses, sends requests and records what it was told."""

from standins.caller._caller import AskAnswer, Caller, CallRecord, NoAnswer, Try
from standins.caller._load import LoadKind, LoadPlan, LoadResult, run_load

__all__ = [
    "AskAnswer",
    "Caller",
    "CallRecord",
    "LoadKind",
    "LoadPlan",
    "LoadResult",
    "NoAnswer",
    "Try",
    "run_load",
]
