"""Puts new configurations in force without blocking requests while accounts are indexed."""

import asyncio
from collections.abc import Callable

import logbook

from anviltray.decisions.accounts import AccountIndexer
from anviltray.declarations import RoutingConfiguration
from anviltray.edge._state import EdgeState

_log = logbook.Logger("anviltray.accounts")

# Accounts that are indexed without a pause, some milliseconds of work on a small host.
_STEP_ACCOUNTS = 500


class ConfigurationActivation:
    """Activates configurations in the order of their versions.

    Routes, accounts and limits of one version take effect at the same moment; fewer than 500
    accounts need no pause. An activation is completed before the next one begins, as versions that
    follow each other quickly would otherwise keep any from taking effect; those in between are
    skipped.
    """

    def __init__(self, state: EdgeState, on_active: Callable[[RoutingConfiguration], None]) -> None:
        """`on_active` is called when a configuration has taken effect."""
        self._state = state
        self._on_active = on_active
        self._task: asyncio.Task[None] | None = None
        self._next: RoutingConfiguration | None = None  # Newest one that has arrived meanwhile.

    def start(self, configuration: RoutingConfiguration) -> None:
        """Begins to activate a configuration that is newer than all before."""
        if self._task is not None:
            self._next = configuration
            return
        accounts = configuration.accounts
        if accounts is None:
            self._activate(configuration, None)
            return
        indexer = AccountIndexer(accounts, self._state.account_index)
        if indexer.step(_STEP_ACCOUNTS):
            self._activate(configuration, indexer)
        else:
            self._task = asyncio.create_task(self._index(configuration, indexer))

    def cancel(self) -> None:
        """Ends an activation that has not completed."""
        self._next = None
        if self._task is not None:
            self._task.cancel()

    async def _index(self, configuration: RoutingConfiguration, indexer: AccountIndexer) -> None:
        complete = False
        try:
            while not complete:
                await asyncio.sleep(0)  # Requests are served between two steps.
                complete = indexer.step(_STEP_ACCOUNTS)
            self._activate(configuration, indexer)
        except Exception:
            _log.exception("configuration {} is not activated", configuration.version)
        finally:
            self._task = None
            if self._next is not None:
                following, self._next = self._next, None
                self.start(following)

    def _activate(
        self, configuration: RoutingConfiguration, indexer: AccountIndexer | None
    ) -> None:
        self._state.configure(configuration, None if indexer is None else indexer.index)
        for omission in configuration.omissions:
            _log.warning("configuration {}: {}", configuration.version, omission)
        if indexer is not None:
            _log.info(
                "accounts in force",
                extra={
                    "version": configuration.version,
                    "accounts": len(indexer.index),
                    "changed_keys": indexer.digested,
                },
            )
        self._on_active(configuration)
