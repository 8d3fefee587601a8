"""Applies the limits of workspaces to the calls of one entry, and reports them to operators."""

import contextlib
from collections.abc import Callable, Iterator

from verbenashore import logs, misc
from verbenashore.exceptions import OverloadedError
from verbenashore.fairness import FairShares
from verbenashore.logs import Event
from verbenashore.process import Process
from verbenashore.quotas import WorkspaceQuotas
from verbenashore.types import NO_WORKSPACE, WorkspaceId
from verbenashore.usage import UsageExchange, UsageTable

#: Retry-After in seconds while it isn't known how many entries share the limits.
NOT_READY_RETRY_SECONDS = 0.8


class QuotaGate:
    """The limits in force at one entry, and what it exchanges with others about them."""

    def __init__(self, process: Process) -> None:
        self._clock = process.clock
        hashed = misc.quick_hash(process.incarnation)
        table = UsageTable()
        self.quotas = WorkspaceQuotas(table, process.clock(), hashed, self._log_limited)
        self.fair_shares = FairShares(
            lambda: self.quotas.names, self.quotas.recent, self.quotas.weight
        )
        self.exchange = UsageExchange(
            process.name,
            hashed,
            table,
            lambda: self.quotas.is_active,
            self.quotas.own_counts,
        )
        process.metrics.add_gauges(lambda: self.quotas.gauges(self._clock()))

    @contextlib.contextmanager
    def admitted(
        self, workspace: WorkspaceId | None, has_run: Callable[[], bool]
    ) -> Iterator[None]:
        """Counts a call against its workspace's limit; subtracts it if it ends without having run.

        :raises OverloadedError: if the limit is reached or can't be known yet.
        """
        name, now = workspace or NO_WORKSPACE, self._clock()
        if not self.quotas.is_ready(now):
            raise OverloadedError(
                "the number of entries is not known",
                step="place",
                retry_after=NOT_READY_RETRY_SECONDS,
            )
        seconds = self.quotas.admit(name, now)
        if seconds:
            raise OverloadedError(
                "the workspace's limit is reached",
                step="quota",
                retry_after=seconds,
                details=self.quotas.describe(name, now),
            )
        try:
            yield
        finally:
            if not has_run():
                self.quotas.take_back(name, now)

    def _log_limited(self, name: WorkspaceId, is_limited: bool) -> None:
        event = Event.WORKSPACE_LIMITED if is_limited else Event.WORKSPACE_UNLIMITED
        logs.info(event, **self.quotas.describe(name, self._clock()))
