"""Runs the items of item jobs on backend servers, in the slots that online calls leave.

The load that this answers: jobs due in many seconds beside online calls due in some hundred
milliseconds, on servers that admit in order of arrival.  Items fill what is idle, leave a server
as soon as online calls need their slots, and go on later from the last event that came.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from verbenashore import backendcall, itemjobs, logs, misc, routing
from verbenashore.backendcall import Call, Dialect
from verbenashore.board import LoadBoard
from verbenashore.directory import BackendEntry, Directory
from verbenashore.dispatch import Dispatcher
from verbenashore.events import NO_NUMBER, EventSplitter
from verbenashore.exceptions import BackendBusyError, BackendError, VerbenaError
from verbenashore.itemjobs import (
    Advanced,
    Attempt,
    ItemJob,
    ItemJobBook,
    ItemState,
    Outcome,
    Spent,
)
from verbenashore.logs import Event
from verbenashore.metrics import Metrics
from verbenashore.prober import Prober
from verbenashore.routing import RouteIndex
from verbenashore.types import BackendName, Clock, JobId, ServiceName

#: Seconds without an event after which an item goes on at another server.
STALL_SECONDS = 1.0
#: Seconds before an item that failed is tried again.
RETRY_SECONDS = 0.15
#: Slots of each server that items leave free for the next online call.
RESERVED_SLOTS = 1
#: Seconds for which a server gets no new item after one had to yield there: each start reads the
#: prompt again, which slows the online calls that the item yielded to.
YIELD_PAUSE_SECONDS = 0.15
#: Longest pause of an item in seconds that counts as one for online calls, which come in bursts of
#: some seconds; one that waits longer waits for other items.
LONGEST_PAUSE_SECONDS = 3.0
#: Seconds between two commits of what running items have produced; what is newer is run again
#: when the leader is lost.  A whole run takes some seconds, a commit some milliseconds.
KEEP_SECONDS = 1.0
#: Commits of one result, which another commit of the same item may have overtaken.
MAX_COMMITS = 3
#: Seconds between two looks at what may start.
LOOK_SECONDS = 0.02
IMPOSSIBLE_STATUS = 422
NO_SERVERS: set[BackendName] = set()

ItemKey = tuple[JobId, int]


class Progress(msgspec.Struct):
    """What an item has shown so far.

    :param before: events that an earlier leader had kept.
    :param texts: the data of each event after those.
    :param not_before: when it may be tried again.
    :param ran: seconds that it spent at servers.
    :param paused: seconds in between, for online calls.
    :param stopped_at: when it last left a server.
    :param failed_at: servers that failed it; they get it again once all others have, too.
    """

    before: int = 0
    texts: list[str] = msgspec.field(default_factory=list)
    last_event: int | None = None
    not_before: float = float("-inf")
    ran: float = 0.0
    paused: float = 0.0
    stopped_at: float | None = None
    failed_at: set[BackendName] = msgspec.field(default_factory=set)

    @property
    def events(self) -> int:
        """How many events there are in all."""
        return self.before + len(self.texts)

    @property
    def spent(self) -> Spent:
        """What its events took, without those that an earlier leader had kept."""
        return Spent(len(self.texts), self.ran, self.paused)

    def after(self, kept: int) -> list[str]:
        """Returns the data of the events after the first ones, which are kept."""
        return self.texts[kept - self.before :]

    def note_start(self, now: float) -> None:
        """Notes that it is placed."""
        if self.stopped_at is not None:
            self.paused += min(LONGEST_PAUSE_SECONDS, now - self.stopped_at)

    def note_stop(self, started: float, now: float) -> None:
        """Notes that it left the server at which it was placed."""
        self.ran += now - started
        self.stopped_at = now


class Urgency(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Orders items; the lowest goes first.

    The load that this answers: more work than can be done in time.  By due time alone, every item
    would end a little late; those that can't be done in time any more wait for the others.
    """

    is_late: bool
    due_at: float
    key: ItemKey


def in_order(
    jobs: Iterable[ItemJob], now: float, left: Callable[[JobId, int], float]
) -> list[ItemKey]:
    """Returns the items that aren't listed in the order in which they should run.

    :param now: ledger time in seconds.
    :param left: returns the seconds that an item still takes.
    """
    return [
        urgency.key
        for urgency in sorted(
            urgency_of(job, index, now, left)
            for job in jobs
            if job.open
            for index, item in enumerate(job.items)
            if not item.listed
        )
    ]


def urgency_of(
    job: ItemJob, index: int, now: float, left: Callable[[JobId, int], float]
) -> Urgency:
    """Returns how urgent an item is."""
    return Urgency(now + left(job.id, index) > job.due_at, job.due_at, (job.id, index))


class Run(msgspec.Struct):
    """One item at one server.

    :param item: the item's own id.
    :param placed: true while it counts on the load board.
    """

    key: ItemKey
    item: str
    server: BackendEntry
    placed: bool = True
    task: asyncio.Task[Any] | None = None


class JobRunner:
    """The runs of one process, which exist only while it leads.

    :param serving: tells whether this process may run items now.
    :param book: returns the jobs.
    :param routes: returns the routes in force.
    :param commit: records how attempts ended and how far items are.
    :param ledger_time: returns the time that jobs are due by.
    :param metrics: takes what becomes of the items of each route.
    """

    def __init__(
        self,
        dialect: Dialect,
        directory: Directory,
        board: LoadBoard,
        dispatcher: Dispatcher,
        prober: Prober,
        clock: Clock,
        serving: Callable[[], bool],
        book: Callable[[], ItemJobBook],
        routes: Callable[[], RouteIndex],
        commit: Callable[[itemjobs.RecordAttempts | itemjobs.KeepProgress], Any],
        on_load: Callable[[], None],
        ledger_time: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._dialect = dialect
        self._directory = directory
        self._board = board
        self._dispatcher = dispatcher
        self._prober = prober
        self._clock = clock
        self._serving = serving
        self._book = book
        self._routes = routes
        self._commit = commit
        self._on_load = on_load
        self._ledger_time = ledger_time
        self._metrics = metrics
        self._run_by_key: dict[ItemKey, Run] = {}
        self._progress_by_key: dict[ItemKey, Progress] = {}
        self._yielded_at: dict[BackendName, float] = {}
        self._given_up: set[ItemKey] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Looks soon at what may start and what has to yield."""
        self._wake.set()

    async def run(self) -> None:
        """Runs items until it is cancelled."""
        misc.spawn(self._keep_progress(), self._tasks)
        try:
            while True:
                try:
                    async with asyncio.timeout(LOOK_SECONDS):
                        await self._wake.wait()
                except TimeoutError:
                    pass
                self._wake.clear()
                self._look()
        finally:
            await misc.cancel_and_wait(*self._tasks)

    def _look(self) -> None:
        if not self._serving():
            if self._run_by_key or self._progress_by_key:
                for run in list(self._run_by_key.values()):
                    self._stop(run, "not leading")
                self._progress_by_key.clear()
            return
        self._stop_ended()
        self._yield()
        self._start_waiting()

    def _stop_ended(self) -> None:
        """Stops the runs whose job was ended, and forgets servers that are gone."""
        for name in self._yielded_at.keys() - self._directory.by_name.keys():
            del self._yielded_at[name]
        jobs = self._book().job_by_id
        for run in list(self._run_by_key.values()):
            job = jobs.get(run.key[0])
            if job is None or not job.open:
                self._stop(run, "job ended")
        for key in [key for key in self._progress_by_key if key[0] not in jobs]:
            del self._progress_by_key[key]

    def _yield(self) -> None:
        """Stops the least urgent runs of the servers that have more calls than slots."""
        runs_by_server: dict[BackendName, list[Run]] = {}
        for run in self._run_by_key.values():
            if run.placed:
                runs_by_server.setdefault(run.server.name, []).append(run)
        jobs, now = self._book().job_by_id, self._ledger_time()
        for name, runs in runs_by_server.items():
            total = self._board.total(name)
            over = total.online + total.batch - runs[0].server.slots
            if over <= 0:
                continue
            by_urgency = sorted(
                runs,
                key=lambda run: urgency_of(jobs[run.key[0]], run.key[1], now, self._left),
                reverse=True,
            )
            for run in by_urgency[:over]:
                logs.info(
                    Event.ITEM_YIELDED,
                    **_names(run),
                    online=total.online,
                    batch=total.batch,
                    events=self._progress_by_key[run.key].events,
                )
                self._stop(run, "yielded")
                self._metrics.count(f"{jobs[run.key[0]].route}.item_yielded")
                self._yielded_at[name] = self._clock()

    def _stop(self, run: Run, reason: str) -> None:
        self._run_by_key.pop(run.key, None)
        self._take_off(run)
        if run.task is not None:
            run.task.cancel(reason)

    def _take_off(self, run: Run) -> None:
        if run.placed:
            run.placed = False
            self._board.add(run.server.name, batch=-1)
            self._on_load()

    def _start_waiting(self) -> None:
        now = self._clock()
        # Before the first table no route can be said to be gone.
        if not self._routes().table.version or not self._has_room(now):
            return
        jobs = self._book().job_by_id
        free_by_service: dict[ServiceName, bool] = {}
        for key in in_order(jobs.values(), self._ledger_time(), self._left):
            if key in self._run_by_key or key in self._given_up:
                continue
            job, item = jobs[key[0]], jobs[key[0]].items[key[1]]
            progress = self._progress_of(key, item)
            if progress.not_before > now:
                continue
            route = self._routes().find(job.host, item.spec.target.partition("?")[0])
            if route is None:
                self._give_up(key)
                continue
            service = routing.choose_service(route, item.spec.id)
            if not free_by_service.get(service, True):
                continue
            server = self._choose(service, now, progress.failed_at)
            if server is not None:
                self._start(job, key, server, progress)
            elif not progress.failed_at:
                free_by_service[service] = False

    def _has_room(self, now: float) -> bool:
        """Tells whether any service has a free slot, without a look at the items."""
        services = {server.service for server in self._directory.by_name.values()}
        return any(self._choose(service, now) is not None for service in services)

    def _progress_of(self, key: ItemKey, item: ItemState) -> Progress:
        """Returns what an item has produced; at first that is what the last leader kept."""
        progress = self._progress_by_key.get(key)
        if progress is None:
            progress = Progress(item.events, last_event=item.last_event)
            self._progress_by_key[key] = progress
        return progress

    def _left(self, job: JobId, index: int) -> float:
        """Returns the seconds that an item still takes."""
        book = self._book()
        progress = self._progress_by_key.get((job, index))
        if progress is not None:
            return book.usual.left(progress.events)
        return book.usual.left(book.job_by_id[job].items[index].events)

    def _choose(
        self, service: ServiceName, now: float, excluded: set[BackendName] = NO_SERVERS
    ) -> BackendEntry | None:
        """Returns the server with the most free slots beyond the reserved ones."""
        best = None
        most = 0
        servers = self._directory.of_service(service)
        if excluded and excluded.issuperset(server.name for server in servers):
            excluded.clear()
        for server in servers:
            if server.name in excluded:
                continue
            total = self._board.total(server.name)
            free = server.slots - RESERVED_SLOTS - total.online - total.batch
            if now < self._yielded_at.get(server.name, float("-inf")) + YIELD_PAUSE_SECONDS:
                continue
            if free > most and self._dispatcher.may_use(server.name, now):
                best, most = server, free
        return best

    def _start(self, job: ItemJob, key: ItemKey, server: BackendEntry, progress: Progress) -> None:
        run = Run(key, job.items[key[1]].spec.id, server)
        self._run_by_key[key] = run
        progress.note_start(self._clock())
        self._board.add(server.name, batch=1)
        self._on_load()
        logs.info(
            Event.ITEM_PLACED,
            **_names(run),
            after=progress.last_event,
            attempts=job.items[key[1]].failures,
        )
        run.task = misc.spawn(self._guarded(job, run, progress), self._tasks)

    async def _guarded(self, job: ItemJob, run: Run, progress: Progress) -> None:
        started = self._clock()
        try:
            outcome = await self._attempt(job, run, progress)
        except BackendError as error:
            self._metrics.count(f"{job.route}.item_retried")
            self._retry(run, progress, error)
            return
        finally:
            progress.note_stop(started, self._clock())
            self._take_off(run)
        self._metrics.count(f"{job.route}.item_{outcome.value}")
        if outcome is Outcome.COMPLETED:
            self._metrics.time(f"{job.route}.item_seconds", progress.ran)
        logs.info(Event.ITEM_ENDED, **_names(run), outcome=outcome, events=progress.events)
        try:
            await self._record(job, run.key[1], outcome, progress)
            if outcome is not Outcome.FAILED:
                self._progress_by_key.pop(run.key, None)
            progress.not_before = self._clock() + RETRY_SECONDS
        except VerbenaError as error:
            logs.warning(Event.REQUEST_FAILED, step="record", item=run.key, error=error.message)
        finally:
            if self._run_by_key.get(run.key) is run:
                del self._run_by_key[run.key]
            self.wake()

    async def _record(self, job: ItemJob, index: int, outcome: Outcome, progress: Progress) -> None:
        """Commits how an attempt ended, with the part of its result that isn't kept yet."""
        item = job.items[index]
        if outcome is not Outcome.COMPLETED:
            await self._commit(itemjobs.RecordAttempts([Attempt(job.id, index, outcome)]))
            return
        for _ in range(MAX_COMMITS):
            kept = item.events
            rest = progress.after(kept)
            text = "\n".join(rest)
            attempt = Attempt(job.id, index, outcome, text, kept, len(rest), progress.spent)
            await self._commit(itemjobs.RecordAttempts([attempt]))
            if item.listed or not job.open:
                return
            # A commit of its progress, sent before, came in between.

    async def _keep_progress(self) -> None:
        """Commits what running items have produced, until it is cancelled."""
        while True:
            await asyncio.sleep(KEEP_SECONDS)
            parts = list(self._new_parts()) if self._serving() else []
            if not parts:
                continue
            try:
                await self._commit(itemjobs.KeepProgress(parts))
            except VerbenaError as error:
                logs.warning(Event.REQUEST_FAILED, step="keep", error=error.message)

    def _new_parts(self) -> Iterator[Advanced]:
        """Returns what isn't kept yet of the items that aren't done."""
        jobs = self._book().job_by_id
        for (job_id, index), progress in self._progress_by_key.items():
            job = jobs.get(job_id)
            if job is None or not job.open or progress.last_event is None:
                continue
            item = job.items[index]
            texts = progress.after(item.events)
            if texts and not item.listed:
                yield Advanced(job_id, index, item.events, texts, progress.last_event)

    def _retry(self, run: Run, progress: Progress, error: BackendError) -> None:
        now = self._clock()
        progress.not_before = now + RETRY_SECONDS
        if not isinstance(error, BackendBusyError):
            progress.failed_at.add(run.server.name)
        self._prober.note_error(run.server.name, error)
        logs.warning(Event.ITEM_RETRIED, **_names(run), step=error.step, error=error.message)
        if self._run_by_key.get(run.key) is run:
            del self._run_by_key[run.key]
        self.wake()

    async def _attempt(self, job: ItemJob, run: Run, progress: Progress) -> Outcome:
        spec = job.items[run.key[1]].spec
        headers = [(name.encode(), value.encode()) for name, value in spec.headers]
        path = spec.target.partition("?")[0]
        call = Call(spec.id, job.host, "POST", spec.target, path, headers, spec.body)
        async with backendcall.open_call(
            self._dialect,
            run.server,
            call,
            left=None,
            last_event=progress.last_event,
            progress=STALL_SECONDS,
        ) as opened:
            status = opened.head.status
            if status == IMPOSSIBLE_STATUS:
                return Outcome.IMPOSSIBLE
            if status >= 500:
                return Outcome.FAILED
            if status != 200:
                raise BackendError(f"status {status}", step="head", peer=run.server.name)
            await self._collect(opened, run, progress)
        self._dispatcher.note_success(run.server.name)
        return Outcome.COMPLETED

    async def _collect(self, opened: backendcall.Opened, run: Run, progress: Progress) -> None:
        splitter = EventSplitter()
        async for part in opened.parts():
            for event in splitter.feed(part):
                if event.number == NO_NUMBER:
                    continue
                if progress.last_event is not None and event.number != progress.last_event + 1:
                    raise BackendError(
                        f"event {event.number} after {progress.last_event}",
                        step="events",
                        peer=run.server.name,
                    )
                progress.texts.append(event.data)
                progress.last_event = event.number
        if splitter.partial.strip():
            raise BackendError("the last event is cut off", step="events", peer=run.server.name)

    def _give_up(self, key: ItemKey) -> None:
        """Lists an item as given up, for its route is gone."""
        self._given_up.add(key)
        logs.info(Event.ITEM_ENDED, job=key[0], item=key[1], outcome="route gone")
        misc.spawn(self._record_given_up(key), self._tasks)

    async def _record_given_up(self, key: ItemKey) -> None:
        try:
            attempt = Attempt(key[0], key[1], Outcome.IMPOSSIBLE)
            await self._commit(itemjobs.RecordAttempts([attempt]))
        except VerbenaError as error:
            logs.warning(Event.REQUEST_FAILED, step="record", item=key, error=error.message)
        finally:
            self._given_up.discard(key)


def _names(run: Run) -> dict[str, Any]:
    return {"job": run.key[0], "item": run.item, "server": run.server.name}
