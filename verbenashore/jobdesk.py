"""What a ledger process does for relayed calls while it leads: list, load reports, item jobs."""

import asyncio
from collections.abc import Callable

import msgspec

from verbenashore import control, itemjobs, misc, routing
from verbenashore.backendcall import Dialect
from verbenashore.board import LoadBoard, Report
from verbenashore.directory import Directory
from verbenashore.dispatch import Dispatcher
from verbenashore.exceptions import NotFoundError
from verbenashore.gossip import Gossip
from verbenashore.itemjobs import ItemJob, ResultsPage
from verbenashore.jobrunner import JobRunner
from verbenashore.listing import READ_SECONDS, Fetch, ListKeeper
from verbenashore.messages import Heartbeat, HeartbeatReply, ItemBody, ReadItemBody, ReadResults
from verbenashore.prober import Prober
from verbenashore.process import Process
from verbenashore.replica import ReplicaRunner
from verbenashore.routing import RouteIndex, RouteTable
from verbenashore.types import JobId

#: Longest wait for a result, in seconds.
MAX_WAIT_SECONDS = 5.0


class RelaySettings(msgspec.Struct):
    """What a process needs to relay calls.

    :param fetch: reads the list of backend servers.
    :param reports: ``IP:PORT`` on which it takes reports of load.
    """

    dialect: Dialect
    fetch: Fetch
    reports: str


class JobDesk:
    """The relaying side of one ledger process.

    :param runner: the replica whose state holds the routes and the jobs.
    """

    def __init__(self, running: Process, runner: ReplicaRunner, given: RelaySettings) -> None:
        settings = running.settings
        self._process = running
        self._given = given
        self._runner = runner
        self._routes = RouteIndex(RouteTable())
        self._listed = asyncio.Event()
        self._board = LoadBoard()
        self._directory = Directory()
        # Versions of different leaders must not be taken for each other.
        self._directory.version = misc.quick_hash(running.incarnation) >> 16
        dispatcher = Dispatcher(self._directory, self._board, settings.data_centre)
        self._prober = Prober(
            given.dialect, dispatcher, running.clock, lambda: self._routes, self._on_load_change
        )
        self._jobs = JobRunner(
            given.dialect,
            self._directory,
            self._board,
            dispatcher,
            self._prober,
            running.clock,
            lambda: runner.serving,
            lambda: runner.state.item_jobs,
            lambda: self._routes,
            runner.propose,
            self._on_load_change,
            lambda: runner.ledger_time,
            running.metrics,
        )
        self._gossip = Gossip(
            self._board,
            running.name,
            running.incarnation,
            running.clock,
            self._on_report,
            dispatcher,
        )
        self._list = ListKeeper(
            self._directory,
            dispatcher,
            given.fetch,
            running.clock,
            self._jobs.wake,
        )
        runner.on_progress.append(self._on_progress)

    def start(self, running: Process) -> None:
        """Starts the tasks."""
        running.start(self._gossip.run(self._given.reports))
        running.start(self._jobs.run())
        running.start(self._prober.run())
        running.start(self._read_while_leading())

    @property
    def backends_version(self) -> int:
        """The version of the list of backend servers; negative if there is none."""
        return self._list.version

    def backends_document(self) -> bytes:
        """Returns the list of backend servers as members fetch it."""
        return self._list.document()

    def extend(
        self, reply: HeartbeatReply, heartbeat: Heartbeat, peers: set[str]
    ) -> HeartbeatReply:
        """Returns an answer to a heartbeat with what relaying members need.

        :param peers: where the other members take reports of load.
        """
        self._gossip.peers = peers
        return msgspec.structs.replace(
            reply,
            backends_version=self._list.version,
            backends_age=self._list.age,
            ledgers=self._runner.addresses,
            reports_to=self._given.reports,
            near=self._near(heartbeat.member.data_centre),
        )

    def _near(self, data_centre: str) -> str:
        """Returns the address of a replica in a data centre, this one if possible."""
        if data_centre == self._process.settings.data_centre:
            return self._runner.peer.address
        links = [self._process.links.to(address) for address in self._runner.addresses]
        near = (link for link in links if link.data_centre == data_centre and not link.is_silent)
        return next((link.address for link in near), "")

    async def read_results(self, body: ReadResults, check: Callable[[], None]) -> ResultsPage:
        """Returns results, and waits for one if the asker wants that.

        :param check: raises an error unless this replica may answer.
        :raises NotFoundError: if there is no such job.
        """
        try:
            async with asyncio.timeout(min(body.wait, MAX_WAIT_SECONDS)):
                while True:
                    job = self._job(body.job)
                    if len(job.results) > body.first or len(job.results) == len(job.items):
                        break
                    listed = self._listed
                    await listed.wait()
        except TimeoutError:
            pass
        check()
        return itemjobs.page(self._job(body.job), body.first)

    def read_body(self, body: ReadItemBody) -> ItemBody:
        """Returns the part of an item's body that is asked for.

        :raises NotFoundError: if there is none, or its job was ended.
        """
        data = itemjobs.item_body(self._job(body.job), body.item)
        if data is None:
            raise NotFoundError("no such item", step="read", field="id")
        end = body.first + body.count if body.count else len(data)
        return ItemBody(data[body.first : end], len(data))

    def _job(self, job_id: JobId) -> ItemJob:
        job = self._runner.state.item_jobs.job_by_id.get(job_id)
        if job is None:
            raise NotFoundError("no such job", step="read", field="job")
        return job

    async def _read_while_leading(self) -> None:
        while True:
            if self._runner.serving:
                await self._list.read()
            await asyncio.sleep(READ_SECONDS)

    def _on_report(self, report: Report | None) -> None:
        if report is not None:
            self._prober.take(report)
        self._jobs.wake()

    def _on_load_change(self) -> None:
        self._gossip.mark_changed()

    def _on_progress(self) -> None:
        change = control.current(self._runner.state.control)
        if change.revision != self._routes.table.version:
            self._routes = RouteIndex(routing.decode(change.text))
        self._listed.set()
        self._listed = asyncio.Event()
        self._jobs.wake()
