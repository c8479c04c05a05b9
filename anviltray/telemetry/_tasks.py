"""Tasks whose failure does not stay unseen."""

from collections.abc import Coroutine
from typing import Any

import logbook


async def log_failure(task: Coroutine[Any, Any, None], log: logbook.Logger) -> None:
    """Awaits a task and logs its error, which would otherwise stay unseen until the shutdown."""
    try:
        await task
    except Exception:
        log.exception("a task has failed")
        raise
