"""Probes suspected backend servers, and records what answers and other members say of servers."""

import asyncio
from collections.abc import Callable
from typing import Any

from verbenashore import backendcall, logs, misc
from verbenashore.backendcall import Dialect
from verbenashore.directory import BackendEntry
from verbenashore.dispatch import Dispatcher, FailureKind
from verbenashore.exceptions import BackendBusyError, BackendError, BackendReplacedError
from verbenashore.loadtable import Report
from verbenashore.logs import Event
from verbenashore.routing import RouteIndex
from verbenashore.types import BackendName, Clock, MemberName

#: Seconds between two checks for due probes.
POLL_SECONDS = 0.05


class Prober:
    """The probes of one process.

    :param routes: returns the route table in force, which holds each service's status check path.
    :param on_change: called when a server becomes suspected, is readmitted or says that it leaves.
    """

    def __init__(
        self,
        dialect: Dialect,
        dispatcher: Dispatcher,
        clock: Clock,
        routes: Callable[[], RouteIndex],
        on_change: Callable[[], None],
    ) -> None:
        self._dialect = dialect
        self._dispatcher = dispatcher
        self._clock = clock
        self._routes = routes
        self._on_change = on_change
        self._suspects_by_member: dict[MemberName, frozenset[BackendName]] = {}
        self._failed = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()

    def record_error(self, name: BackendName, error: BackendError) -> None:
        """Records that a call failed at a server, or was refused because the server is full."""
        if isinstance(error, BackendBusyError):
            self._dispatcher.record_full(name, self._clock())
        else:
            self._record_failure(name, backendcall.failure_kind(error))

    def record_leaving(self, server: BackendEntry) -> None:
        """Records that a server stated in an answer that it leaves."""
        if self._dispatcher.record_leaving(server):
            logs.info(Event.BACKEND_LEAVING, server=server.name)
            self._on_change()

    def record_rate(self, server: BackendEntry, per_second: float | None) -> None:
        """Records the rate of requests that a server stated; None if it states none any more."""
        if self._dispatcher.limits.record_statement(server.name, per_second):
            self._on_change()

    def record_suspects(self, report: Report) -> None:
        """Records the suspects that a member reports or passes on, unless it has before."""
        previous = self._suspects_by_member.get(report.member, frozenset())
        suspects = frozenset((*report.suspects, *report.relayed_suspects))
        self._suspects_by_member[report.member] = suspects
        for name in suspects - previous:
            self._record_failure(name, FailureKind.REPORTED)

    async def run(self) -> None:
        """Runs due probes until it is cancelled."""
        try:
            while True:
                if not self._dispatcher.has_suspects:
                    self._failed.clear()
                    await self._failed.wait()
                await asyncio.sleep(POLL_SECONDS)
                for server in self._dispatcher.due_probes(self._clock()):
                    if not self._dispatcher.may_use_in_background(server):
                        continue
                    self._dispatcher.limits.record_request(server.name)
                    misc.spawn(self._probe(server), self._tasks)
        finally:
            await misc.cancel_and_wait(*self._tasks)

    def _record_failure(self, name: BackendName, kind: FailureKind) -> None:
        self._failed.set()
        if self._dispatcher.record_failure(name, kind, self._clock()):
            logs.warning(Event.BACKEND_AVOIDED, server=name, cause=kind)
            self._on_change()

    async def _probe(self, server: BackendEntry) -> None:
        service = self._routes().service_by_name.get(server.service)
        path = service.health_path if service is not None else ""
        if not path:
            return
        try:
            await backendcall.check_status(
                self._dialect, server, path, self.record_leaving, self.record_rate
            )
        except BackendError as error:
            logs.info(Event.PROBE_FAILED, server=server.name, step=error.step, error=error.message)
            if isinstance(error, BackendReplacedError):
                self._record_failure(server.name, FailureKind.REPLACED)
            return
        self._dispatcher.record_probe_success(server.name)
        logs.info(Event.BACKEND_READMITTED, server=server.name)
        self._on_change()
