"""Stand-in for callers: asks for entry addresses, sends requests and records the outcomes."""

from standins.caller._caller import AskAnswer, Attempt, Caller, CallRecord, NoAnswer
from standins.caller._load import LoadKind, LoadPlan, LoadResult, run_load

__all__ = [
    "AskAnswer",
    "Caller",
    "CallRecord",
    "LoadKind",
    "LoadPlan",
    "LoadResult",
    "NoAnswer",
    "Attempt",
    "run_load",
]
