"""The relaying part of a ledger process: the list of backend servers, load reports, item jobs."""

import asyncio
from collections.abc import Callable

import msgspec

from verbenashore import control, itemjobs, misc, routing
from verbenashore.backendcall import Dialect
from verbenashore.directory import Directory
from verbenashore.dispatch import Dispatcher
from verbenashore.exceptions import NotFoundError
from verbenashore.gossip import LoadReporter, node_of
from verbenashore.itemjobs import ItemJob, ResultsPage
from verbenashore.jobrunner import JobRunner
from verbenashore.listing import READ_INTERVAL_SECONDS, BackendListUpdater, Fetch
from verbenashore.loadtable import LoadTable, Report
from verbenashore.members import MemberTable
from verbenashore.messages import Heartbeat, HeartbeatReply, ItemBody, ReadItemBody, ReadResults
from verbenashore.prober import Prober
from verbenashore.process import Process, new_crashed_calls, new_quarantine, new_rate_limits
from verbenashore.replica import ReplicaRunner
from verbenashore.routing import RouteIndex, RouteTable
from verbenashore.types import MemberRole

#: Longest time in seconds for which a read of results waits for a further result.
MAX_RESULT_WAIT_SECONDS = 5.0


class RelaySettings(msgspec.Struct):
    """What a process needs to relay calls.

    :param fetch: reads the list of backend servers.
    :param reports_address: ``IP:PORT`` on which it receives load reports.
    """

    dialect: Dialect
    fetch: Fetch
    reports_address: str


class LedgerRelay:
    """The relaying part of one ledger process.

    :param replica_runner: the replica whose state holds the routes and the jobs.
    """

    def __init__(
        self, process: Process, replica_runner: ReplicaRunner, relay_settings: RelaySettings
    ) -> None:
        settings = process.settings
        self._process = process
        self._relay_settings = relay_settings
        self._replica_runner = replica_runner
        self._routes = RouteIndex(RouteTable())
        self._state_changed = asyncio.Event()
        self._members_version = -1
        self._load_table = LoadTable()
        self._directory = Directory()
        # Members compare versions to see changes, so those of different leaders must differ.
        self._directory.version = misc.quick_hash(process.incarnation) >> 16
        dispatcher = self._dispatcher = Dispatcher(
            self._directory,
            self._load_table,
            settings.data_centre,
            limits=new_rate_limits(process, self._load_table),
        )
        self._prober = Prober(
            relay_settings.dialect,
            dispatcher,
            process.clock,
            lambda: self._routes,
            self._on_load_change,
        )
        quarantine = new_quarantine(process)
        crashed_calls = new_crashed_calls(process)
        self._job_runner = JobRunner(
            relay_settings.dialect,
            self._directory,
            self._load_table,
            dispatcher,
            self._prober,
            process.clock,
            lambda: replica_runner.serving,
            lambda: replica_runner.state.item_jobs,
            lambda: self._routes,
            replica_runner.propose,
            self._on_load_change,
            lambda: replica_runner.ledger_time,
            process.metrics,
            quarantine,
            crashed_calls,
        )
        self._load_reporter = LoadReporter(
            self._load_table,
            node_of(
                process.name,
                relay_settings.reports_address,
                settings.data_centre,
                passes_on_last=True,
            ),
            process.incarnation,
            process.clock,
            self._on_report,
            dispatcher,
            quarantine,
            crashed_calls,
            lambda: replica_runner.serving,
        )
        self._list_updater = BackendListUpdater(
            self._directory,
            dispatcher,
            relay_settings.fetch,
            process.clock,
            self._job_runner.wake,
        )
        replica_runner.on_progress.append(self._on_progress)

    def start(self, process: Process) -> None:
        """Starts the load reports, item jobs, probes and list reads as tasks of the process."""
        process.start_task(self._load_reporter.run())
        process.start_task(self._job_runner.run())
        process.start_task(self._prober.run())
        process.start_task(self._read_list_while_leading())

    @property
    def backends_version(self) -> int:
        """The version of the list of backend servers; negative if no list is known."""
        return self._list_updater.version

    def backends_document(self) -> bytes:
        """Returns the list of backend servers in the encoding that members fetch."""
        return self._list_updater.document()

    def complete_heartbeat_reply(
        self, reply: HeartbeatReply, heartbeat: Heartbeat
    ) -> HeartbeatReply:
        """Returns a heartbeat reply, completed with the fields that relaying members need."""
        return msgspec.structs.replace(
            reply,
            backends_version=self._list_updater.version,
            backends_age=self._list_updater.age,
            ledgers=self._replica_runner.addresses,
            report_address=self._relay_settings.reports_address,
            nearby_replica=self._nearby_replica(heartbeat.member.data_centre),
        )

    def set_members(self, table: MemberTable) -> None:
        """Tells this process's load reports of the live entries, unless they know them already."""
        if self._members_version != table.version:
            self._members_version = table.version
            self._load_reporter.set_members(
                member for member in table.by_name.values() if member.role is MemberRole.ENTRY
            )

    def _nearby_replica(self, data_centre: str) -> str:
        """Returns the address of a replica in a data centre, or "" if none is known there.

        This process's own replica goes before all others.
        """
        if data_centre == self._process.settings.data_centre:
            return self._replica_runner.peer.address
        links = [self._process.links.to(address) for address in self._replica_runner.addresses]
        nearby = (link for link in links if link.data_centre == data_centre and not link.is_silent)
        return next((link.address for link in nearby), "")

    async def read_results(self, ask: ReadResults, check: Callable[[], None]) -> ResultsPage:
        """Returns results from a position on.

        Waits for a result at that position for the requested time, but at most for
        ``MAX_RESULT_WAIT_SECONDS``, unless all results are there.

        :param check: called before the answer; raises an error unless this replica may answer.
        :raises NotFoundError: if there is no such job.
        """
        try:
            async with asyncio.timeout(min(ask.wait, MAX_RESULT_WAIT_SECONDS)):
                while True:
                    job = self._find_job(ask)
                    if len(job.results) > ask.first or len(job.results) == len(job.items):
                        break
                    state_changed = self._state_changed
                    await state_changed.wait()
        except TimeoutError:
            pass
        check()
        return itemjobs.results_page(self._find_job(ask), ask.first)

    def read_body(self, ask: ReadItemBody) -> ItemBody:
        """Returns the requested part of an item's body.

        :raises NotFoundError: if there is no such item, or its job was ended.
        """
        body = itemjobs.item_body(self._find_job(ask), ask.item)
        if body is None:
            raise NotFoundError("no such item", step="read", field="id")
        end = ask.first + ask.count if ask.count else len(body)
        return ItemBody(body[ask.first : end], len(body))

    def _find_job(self, ask: ReadResults | ReadItemBody) -> ItemJob:
        job = self._replica_runner.state.item_jobs.job_by_id.get(ask.job)
        if job is None or not job.is_visible_to(ask.workspace):
            raise NotFoundError("no such job", step="read", field="job")
        return job

    async def _read_list_while_leading(self) -> None:
        while True:
            if self._replica_runner.serving:
                await self._list_updater.refresh()
            await asyncio.sleep(READ_INTERVAL_SECONDS)

    def _on_report(self, report: Report | None) -> None:
        if report is not None:
            self._prober.record_suspects(report)
        self._job_runner.wake()

    def _on_load_change(self) -> None:
        self._load_reporter.mark_changed()

    def _on_progress(self) -> None:
        current = control.current_change(self._replica_runner.state.control)
        if current.revision != self._routes.table.version:
            self._routes = RouteIndex(routing.decode(current.text))
            self._dispatcher.memory.install(self._routes.table.services)
        self._state_changed.set()
        self._state_changed = asyncio.Event()
        self._job_runner.wake()
