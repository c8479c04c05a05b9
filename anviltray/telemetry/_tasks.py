"""Logging of failures of background tasks."""

from collections.abc import Coroutine
from typing import Any

import logbook


async def log_failure(task: Coroutine[Any, Any, None], log: logbook.Logger) -> None:
    """Awaits a task and logs its exception, which would otherwise surface only at shutdown."""
    try:
        await task
    except Exception:
        log.exception("background task failed")
        raise
