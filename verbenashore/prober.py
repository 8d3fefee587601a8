"""Probes the backend servers that are suspected, and shares suspicion with the other members."""

import asyncio
from collections.abc import Callable
from typing import Any

from verbenashore import backendcall, logs, misc
from verbenashore.backendcall import Dialect
from verbenashore.board import Report
from verbenashore.directory import BackendEntry
from verbenashore.dispatch import Dispatcher, Failure
from verbenashore.exceptions import BackendBusyError, BackendError
from verbenashore.logs import Event
from verbenashore.routing import RouteIndex
from verbenashore.types import BackendName, Clock, MemberName

#: Seconds between two looks at what is to be probed.
LOOK_SECONDS = 0.05


class Prober:
    """Owns the probes of one process.

    :param routes: returns the routes in force, which name each service's status check.
    :param on_change: called when a server is suspected or trusted again.
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
        self._tasks: set[asyncio.Task[Any]] = set()

    def note_error(self, name: BackendName, error: BackendError) -> None:
        """Notes how a call failed at a server."""
        if isinstance(error, BackendBusyError):
            self._dispatcher.note_full(name, self._clock())
        else:
            self._note(name, backendcall.failure_kind(error))

    def take(self, report: Report) -> None:
        """Takes over what another member newly suspects."""
        before = self._suspects_by_member.get(report.member, frozenset())
        suspects = frozenset(report.suspects)
        self._suspects_by_member[report.member] = suspects
        for name in suspects - before:
            self._note(name, Failure.REPORTED)

    async def run(self) -> None:
        """Probes until it is cancelled."""
        try:
            while True:
                await asyncio.sleep(LOOK_SECONDS)
                for server in self._dispatcher.due_probes(self._clock()):
                    misc.spawn(self._probe(server), self._tasks)
        finally:
            await misc.cancel_and_wait(*self._tasks)

    def _note(self, name: BackendName, kind: Failure) -> None:
        if self._dispatcher.note_failure(name, kind, self._clock()):
            logs.warning(Event.BACKEND_AVOIDED, server=name, cause=kind)
            self._on_change()

    async def _probe(self, server: BackendEntry) -> None:
        service = self._routes().service_by_name.get(server.service)
        path = service.health_path if service is not None else ""
        if path and await backendcall.probe(self._dialect, server, path):
            self._dispatcher.note_probe(server.name)
            logs.info(Event.BACKEND_READMITTED, server=server.name)
            self._on_change()
