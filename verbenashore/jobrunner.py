"""Runs the items of item jobs on backend servers, in the slots that online calls leave.

Jobs are due within many seconds, online calls within some hundred milliseconds, and the servers
admit both in order of arrival.  Items therefore use only idle slots, are stopped as soon as online
calls need those slots, and later resume after the last event received.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from verbenashore import backendcall, itemjobs, logs, misc, routing
from verbenashore.backendcall import Call, Dialect
from verbenashore.crashedcalls import CrashedCalls, ItemCrash
from verbenashore.directory import BackendEntry, Directory
from verbenashore.dispatch import Dispatcher
from verbenashore.events import NO_NUMBER, EventSplitter, is_event_stream
from verbenashore.exceptions import BackendBusyError, BackendError, VerbenaError
from verbenashore.itemjobs import (
    Attempt,
    ItemJob,
    ItemJobTable,
    ItemState,
    Outcome,
    ProgressPart,
    RunTiming,
)
from verbenashore.itemorder import ItemKey, ItemOrder, urgency_of
from verbenashore.loadtable import Load, LoadTable
from verbenashore.logs import Event
from verbenashore.metrics import Metrics
from verbenashore.prefixes import MAX_CALL_TOKENS
from verbenashore.prober import Prober
from verbenashore.quarantine import Quarantine
from verbenashore.routing import RouteIndex
from verbenashore.speeds import CallTimer
from verbenashore.types import BackendName, ChainId, Clock, JobId, Prompt, ServiceName

#: Seconds without data after which an attempt fails and the item moves to another server.
STALL_SECONDS = 1.0
#: Seconds without an event after which an attempt fails whatever else is received: far longer than
#: the longest prompt takes to process.
EVENT_TIMEOUT_SECONDS = 10.0
#: Seconds between two reads of an item's events.
READ_PAUSE_SECONDS = 0.1
#: Seconds before a failed item is retried.
RETRY_DELAY_SECONDS = 0.15
#: The same after an error of this process, which the next attempt is likely to meet again.
FAULT_DELAY_SECONDS = 1.0
#: Free slots that a server must have beyond the one for a new item, for the next online call.
RESERVED_SLOTS = 1
#: Seconds for which a server gets no new item after one yielded there: each start processes the
#: prompt again, which slows the online calls that the item yielded to.
YIELD_PAUSE_SECONDS = 0.15
#: Upper bound in seconds on the part of a pause that is attributed to online calls.  Those come in
#: bursts of a few seconds; an item that is paused for longer is waiting for other items.
MAX_COUNTED_PAUSE_SECONDS = 3.0
#: Seconds between two commits of the events that running items have produced.  Events after the
#: last commit are produced again when the leader is lost.  A whole run takes a few seconds, a
#: commit a few milliseconds.
COMMIT_INTERVAL_SECONDS = 1.0
#: Attempts to commit one result; each fails if a commit of the item's progress is applied first.
MAX_RESULT_COMMITS = 3
#: Shortest and longest time in seconds between two scheduling passes.
MIN_SCHEDULING_INTERVAL_SECONDS = 0.005
MAX_SCHEDULING_INTERVAL_SECONDS = 0.02
#: HTTP status of an item that no attempt can complete.
IMPOSSIBLE_STATUS = 422
#: Kind of observations of the speed of servers that items give.
ITEMS_LABEL = "items"
NO_SERVERS: set[BackendName] = set()


class Progress(msgspec.Struct):
    """What a chain of runs of an item has produced so far, and how long that took.

    :param base: how many events were committed when the chain began, by other chains.
    :param texts: the data of each event after those.
    :param last_event: the number of the last event; None if there is none.
    :param not_before: the earliest time of the next attempt.
    :param run_seconds: the time for which the item ran on servers.
    :param paused_seconds: the time between its runs that is attributed to online calls.
    :param stopped_at: when its last run stopped.
    :param prompt: the parts of the item's prompt.
    :param tokens: for which a server that runs the item needs memory.
    :param failed_at: servers at which an attempt failed; they are excluded while another server of
        the service may get calls.
    :param chain: identifies these runs in what is committed of them.
    :param crashes: the crashes that it has met since one of its answers last began.
    """

    base: int = 0
    texts: list[str] = msgspec.field(default_factory=list)
    last_event: int | None = None
    not_before: float = float("-inf")
    run_seconds: float = 0.0
    paused_seconds: float = 0.0
    stopped_at: float | None = None
    prompt: Prompt = ()
    tokens: int = 0
    failed_at: set[BackendName] = msgspec.field(default_factory=set)
    chain: ChainId = msgspec.field(default_factory=lambda: ChainId(misc.random_id("chain")))
    crashes: list[ItemCrash] = msgspec.field(default_factory=list)

    @property
    def events(self) -> int:
        """The number of all events so far."""
        return self.base + len(self.texts)

    @property
    def timing(self) -> RunTiming:
        """The number of the chain's events, and the time that they took."""
        return RunTiming(len(self.texts), self.run_seconds, self.paused_seconds)

    def texts_after(self, committed: int) -> list[str]:
        """Returns the data of the events that aren't committed yet.

        :param committed: how many events are committed, those of other chains included; at least
            the base, which :meth:`is_superseded` tells.
        """
        return self.texts[committed - self.base :]

    def is_superseded(self, item: ItemState) -> bool:
        """Returns whether an item's committed events aren't those that the chain goes on from.

        A commit of another chain may be applied late: it was proposed before a leader lost its
        lease, and this chain began when the leader had its lease again.
        """
        return not item.is_extended_by(self.chain, self.base)

    def record_start(self, now: float) -> None:
        """Records the start of a run."""
        if self.stopped_at is not None:
            self.paused_seconds += min(MAX_COUNTED_PAUSE_SECONDS, now - self.stopped_at)

    def record_stop(self, started: float, now: float) -> None:
        """Records the end of a run."""
        self.run_seconds += now - started
        self.stopped_at = now


class Run(msgspec.Struct):
    """One attempt at an item on one server.

    :param item_id: the id that the job gave the item.
    :param tokens: for which the server needs memory.
    :param counted: true while the load table counts it.
    :param begun: true once the server has sent an event.
    """

    key: ItemKey
    item_id: str
    server: BackendEntry
    tokens: int = 0
    counted: bool = True
    begun: bool = False
    task: asyncio.Task[Any] | None = None


class JobRunner:
    """Schedules the items of jobs and runs them at backend servers.

    The first scheduling pass after ``is_serving`` has become false stops all runs.

    :param is_serving: returns whether this process may run items now.
    :param job_table: returns the replicated table of jobs.
    :param routes: returns the routes in force.
    :param commit: proposes outcomes or progress of items and waits for the commit.
    :param on_load_change: called when the number of this process's items at a server has changed.
    :param ledger_time: returns the current ledger time, in which the times of jobs are given.
    :param metrics: counts and times the items of each route.
    :param quarantine: holds items whose prompts crash servers.
    :param crashed_calls: tells of the requests that crash servers on which items run.
    """

    def __init__(
        self,
        dialect: Dialect,
        directory: Directory,
        load_table: LoadTable,
        dispatcher: Dispatcher,
        prober: Prober,
        clock: Clock,
        is_serving: Callable[[], bool],
        job_table: Callable[[], ItemJobTable],
        routes: Callable[[], RouteIndex],
        commit: Callable[[itemjobs.RecordAttempts | itemjobs.CommitProgress], Any],
        on_load_change: Callable[[], None],
        ledger_time: Callable[[], float],
        metrics: Metrics,
        quarantine: Quarantine,
        crashed_calls: CrashedCalls,
    ) -> None:
        self._dialect = dialect
        self._directory = directory
        self._load_table = load_table
        self._dispatcher = dispatcher
        self._prober = prober
        self._clock = clock
        self._is_serving = is_serving
        self._job_table = job_table
        self._routes = routes
        self._commit = commit
        self._on_load_change = on_load_change
        self._ledger_time = ledger_time
        self._metrics = metrics
        self._quarantine = quarantine
        self._crashed_calls = crashed_calls
        self._run_by_key: dict[ItemKey, Run] = {}
        self._progress_by_key: dict[ItemKey, Progress] = {}
        self._yielded_at: dict[BackendName, float] = {}
        self._unroutable_keys: set[ItemKey] = set()
        self._order = ItemOrder()
        self._grouped_keys: list[ItemKey] | None = None
        self._grouped_routes: RouteIndex | None = None
        self._keys_by_service: dict[ServiceName | None, list[ItemKey]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Triggers a scheduling pass."""
        self._wake.set()

    async def run(self) -> None:
        """Runs items until it is cancelled."""
        misc.spawn(self._commit_progress(), self._tasks)
        try:
            while True:
                await self._wait_for_pass()
                self._schedule_runs()
                await asyncio.sleep(MIN_SCHEDULING_INTERVAL_SECONDS)
        finally:
            await misc.cancel_and_wait(*self._tasks)

    async def _wait_for_pass(self) -> None:
        """Waits for the next pass; without items, or without leadership, until it is woken."""
        idle = not self._is_serving() or not self._job_table().job_by_id
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None if idle else MAX_SCHEDULING_INTERVAL_SECONDS):
                await self._wake.wait()
        self._wake.clear()

    def _schedule_runs(self) -> None:
        if not self._is_serving():
            if self._run_by_key or self._progress_by_key:
                for run in list(self._run_by_key.values()):
                    self._stop_run(run, "not leading")
                self._progress_by_key.clear()
            return
        self._stop_ended()
        self._yield_slots()
        self._start_waiting()

    def _stop_ended(self) -> None:
        """Stops the runs of jobs that have ended, and those that go on from outdated events.

        Drops the state of removed servers and jobs.
        """
        for name in self._yielded_at.keys() - self._directory.by_name.keys():
            del self._yielded_at[name]
        jobs = self._job_table().job_by_id
        for run in list(self._run_by_key.values()):
            job = jobs.get(run.key[0])
            if job is None or not job.open:
                self._stop_run(run, "job ended")
            elif self._progress_by_key[run.key].is_superseded(job.items[run.key[1]]):
                logs.info(Event.ITEM_SUPERSEDED, **_log_fields(run))
                self._stop_run(run, "superseded")
        for key in [key for key in self._progress_by_key if key[0] not in jobs]:
            del self._progress_by_key[key]

    def _yield_slots(self) -> None:
        """Stops the least urgent runs on servers that have more calls than slots."""
        runs_by_server: dict[BackendName, list[Run]] = {}
        for run in self._run_by_key.values():
            if run.counted:
                runs_by_server.setdefault(run.server.name, []).append(run)
        jobs, now = self._job_table().job_by_id, self._ledger_time()
        for name, runs in runs_by_server.items():
            total = self._load_table.total(name)
            excess = total.online + total.batch - runs[0].server.slots
            if excess <= 0:
                continue
            by_urgency = sorted(
                runs,
                key=lambda run: urgency_of(
                    jobs[run.key[0]], run.key[1], now, self._remaining_seconds
                ),
                reverse=True,
            )
            for run in by_urgency[:excess]:
                logs.info(
                    Event.ITEM_YIELDED,
                    **_log_fields(run),
                    online=total.online,
                    batch=total.batch,
                    events=self._progress_by_key[run.key].events,
                )
                self._stop_run(run, "yielded")
                self._metrics.count(f"{jobs[run.key[0]].route}.item_yielded")
                self._yielded_at[name] = self._clock()

    def _stop_run(self, run: Run, reason: str) -> None:
        self._run_by_key.pop(run.key, None)
        self._remove_from_load_table(run)
        if run.task is not None:
            run.task.cancel(reason)

    def _remove_from_load_table(self, run: Run) -> None:
        if run.counted:
            run.counted = False
            self._load_table.add(run.server.name, batch=-1, tokens=-run.tokens)
            self._on_load_change()

    def _start_waiting(self) -> None:
        """Starts the most urgent items on the servers that have a free slot for one."""
        now = self._clock()
        jobs, routes = self._job_table().job_by_id, self._routes()
        # Until a first route table is known, a missing route doesn't mean that it was removed.
        if not routes.table.version or not jobs:
            return
        keys = self._order.keys(jobs, now, self._ledger_time(), self._remaining_seconds)
        if keys is not self._grouped_keys or routes is not self._grouped_routes:
            self._grouped_keys, self._grouped_routes = keys, routes
            self._keys_by_service = _group_by_service(keys, jobs, routes)
        for service, service_keys in self._keys_by_service.items():
            if service is None:
                for key in service_keys:
                    if key not in self._unroutable_keys and self._is_waiting(key, now):
                        self._fail_unroutable(key)
            elif self._choose_server(service, now) is not None:
                self._start_items(service, service_keys, now)

    def _start_items(self, service: ServiceName, keys: list[ItemKey], now: float) -> None:
        """Starts items of a service, in the given order, until no server has a free slot.

        Items for which no server has memory now, or ever, are passed over.  The room is measured
        once after each start, not for each item.
        """
        jobs = self._job_table().job_by_id
        most_tokens = float("inf")
        for key in keys:
            if not self._is_waiting(key, now):
                continue
            job = jobs[key[0]]
            progress = self._progress_of(key, job.items[key[1]])
            if self._quarantine.held_part(progress.prompt) is not None:
                continue
            if progress.crashes and self._crashed_calls.item_wait(progress.crashes) > 0.0:
                continue
            if progress.tokens > most_tokens:
                continue
            server = self._choose_server(service, now, progress.failed_at, progress.tokens)
            if server is not None:
                self._start_run(job, key, server, progress)
            elif not progress.failed_at:
                # Another item may need less memory.
                most_tokens = min(self._most_tokens(service, now), progress.tokens - 1)
                if most_tokens < 0:
                    return

    def _is_waiting(self, key: ItemKey, now: float) -> bool:
        """Returns whether an item is to run and does not run now."""
        job = self._job_table().job_by_id.get(key[0])
        if job is None or not job.open or key in self._run_by_key:
            return False
        return not job.items[key[1]].listed and not self._is_delayed(key, now)

    def _is_delayed(self, key: ItemKey, now: float) -> bool:
        progress = self._progress_by_key.get(key)
        return progress is not None and progress.not_before > now

    def _progress_of(self, key: ItemKey, item: ItemState) -> Progress:
        """Returns the progress of an item, which starts from what other chains have committed."""
        progress = self._progress_by_key.get(key)
        if progress is None or progress.is_superseded(item):
            headers = _headers(item)
            progress = Progress(
                item.events,
                last_event=item.last_event,
                prompt=self._dialect.read_prompt(headers),
                tokens=self._dialect.read_size(headers).tokens
                or min(MAX_CALL_TOKENS, item.spec.tokens),
            )
            self._progress_by_key[key] = progress
        return progress

    def _remaining_seconds(self, job_id: JobId, index: int) -> float:
        """Returns the expected remaining run time of an item."""
        table = self._job_table()
        progress = self._progress_by_key.get((job_id, index))
        if progress is not None:
            return table.usual.remaining_seconds(progress.events)
        return table.usual.remaining_seconds(table.job_by_id[job_id].items[index].events)

    def _choose_server(
        self,
        service: ServiceName,
        now: float,
        excluded: set[BackendName] = NO_SERVERS,
        tokens: int = 0,
    ) -> BackendEntry | None:
        """Returns the server with the most free slots beyond the reserved ones, or None.

        A free slot of a slow server counts for less.

        :param excluded: servers to pass over; emptied if no other server may get calls now.
        :param tokens: for which the item needs memory.
        """
        best = None
        most_room = 0.0
        if excluded and not self._dispatcher.has_usable(service, excluded, now):
            excluded.clear()
        for room, server, total in self._free_servers(service, now):
            if (
                room > most_room
                and server.name not in excluded
                and self._dispatcher.memory.may_hold_item(service, total, tokens)
            ):
                best, most_room = server, room
        return best

    def _most_tokens(self, service: ServiceName, now: float) -> float:
        """Returns the tokens of the largest item that may start now; less than 0 if none may."""
        memory = self._dispatcher.memory
        rooms = (memory.item_room(service, load) for _, _, load in self._free_servers(service, now))
        return max(rooms, default=-1)

    def _free_servers(
        self, service: ServiceName, now: float
    ) -> Iterator[tuple[float, BackendEntry, Load]]:
        """Yields the usable servers with free slots beyond the reserved ones, and their load.

        The first number is that of the free slots, less for a slow server.
        """
        speeds = self._dispatcher.speeds
        for server in self._dispatcher.candidates(service):
            total = self._load_table.total(server.name)
            free = server.slots - RESERVED_SLOTS - total.online - total.batch
            if now < self._yielded_at.get(server.name, float("-inf")) + YIELD_PAUSE_SECONDS:
                continue
            if (
                free > 0
                and self._dispatcher.may_use(server.name, now)
                and self._dispatcher.may_use_in_background(server)
            ):
                yield free / speeds.factor(server.name), server, total

    def _start_run(
        self, job: ItemJob, key: ItemKey, server: BackendEntry, progress: Progress
    ) -> None:
        run = Run(key, job.items[key[1]].spec.id, server, progress.tokens)
        self._run_by_key[key] = run
        progress.record_start(self._clock())
        self._quarantine.record_start(progress.prompt)
        self._load_table.add(server.name, batch=1, tokens=run.tokens)
        self._dispatcher.limits.record_request(server.name)
        self._on_load_change()
        logs.info(
            Event.ITEM_PLACED,
            **_log_fields(run),
            after=progress.last_event,
            attempts=job.items[key[1]].failures,
        )
        run.task = misc.spawn(self._run_and_record(job, run, progress), self._tasks)

    async def _run_and_record(self, job: ItemJob, run: Run, progress: Progress) -> None:
        started = self._clock()
        try:
            outcome = await self._run_attempt(job, run, progress)
        except BackendError as error:
            if not run.begun:
                await self._check_for_crash(run, progress, error)
            self._metrics.count(f"{job.route}.item_retried")
            self._schedule_retry(run, progress, error)
            return
        except Exception as error:
            self._delay_after_fault(run, progress, error)
            return
        finally:
            progress.record_stop(started, self._clock())
            self._remove_from_load_table(run)
        self._metrics.count(f"{job.route}.item_{outcome.value}")
        if outcome is Outcome.COMPLETED:
            self._metrics.time(f"{job.route}.item_seconds", progress.run_seconds)
        logs.info(Event.ITEM_ENDED, **_log_fields(run), outcome=outcome, events=progress.events)
        try:
            await self._record_outcome(job, run.key[1], outcome, progress)
            if outcome is not Outcome.FAILED:
                self._progress_by_key.pop(run.key, None)
            progress.not_before = self._clock() + RETRY_DELAY_SECONDS
        except VerbenaError as error:
            logs.warning(Event.REQUEST_FAILED, step="record", item=run.key, error=error.message)
        finally:
            self._forget_run(run)

    async def _check_for_crash(self, run: Run, progress: Progress, error: BackendError) -> None:
        if await backendcall.has_crashed(run.server, error):
            self._metrics.count("backend_crashed")
            logs.warning(Event.BACKEND_CRASHED, **_log_fields(run), prompt=progress.prompt)
            progress.crashes.append(self._crashed_calls.item_crash(run.server.name))
            self._quarantine.record_crash(run.server.name, progress.prompt)
            self._on_load_change()

    async def _record_outcome(
        self, job: ItemJob, index: int, outcome: Outcome, progress: Progress
    ) -> None:
        """Commits the outcome of an attempt, with the events that aren't committed yet."""
        item = job.items[index]
        if outcome is not Outcome.COMPLETED:
            await self._commit(itemjobs.RecordAttempts([Attempt(job.id, index, outcome)]))
            return
        for _ in range(MAX_RESULT_COMMITS):
            if progress.is_superseded(item):
                return  # The item runs again, from what is committed.
            committed = item.events
            new_texts = progress.texts_after(committed)
            text = "\n".join(new_texts)
            attempt = Attempt(
                job.id,
                index,
                outcome,
                text,
                committed,
                len(new_texts),
                progress.timing,
                progress.chain,
                progress.base,
            )
            await self._commit(itemjobs.RecordAttempts([attempt]))
            if item.listed or not job.open:
                return
            # The result was ignored because a commit of the item's progress was applied first;
            # the next attempt contains only the events after those.

    async def _commit_progress(self) -> None:
        """Commits the progress of running items periodically, until it is cancelled."""
        while True:
            await asyncio.sleep(COMMIT_INTERVAL_SECONDS)
            parts = list(self._uncommitted_progress()) if self._is_serving() else []
            if not parts:
                continue
            try:
                await self._commit(itemjobs.CommitProgress(parts))
            except VerbenaError as error:
                logs.warning(Event.REQUEST_FAILED, step="keep", error=error.message)

    def _uncommitted_progress(self) -> Iterator[ProgressPart]:
        """Yields the uncommitted progress of the items of open jobs that have no result yet."""
        jobs = self._job_table().job_by_id
        for (job_id, index), progress in self._progress_by_key.items():
            job = jobs.get(job_id)
            if job is None or not job.open or progress.last_event is None:
                continue
            item = job.items[index]
            if item.listed or progress.is_superseded(item):
                continue
            if texts := progress.texts_after(item.events):
                yield ProgressPart(
                    job_id,
                    index,
                    item.events,
                    texts,
                    progress.last_event,
                    progress.chain,
                    progress.base,
                )

    def _schedule_retry(self, run: Run, progress: Progress, error: BackendError) -> None:
        now = self._clock()
        progress.not_before = now + RETRY_DELAY_SECONDS
        if not isinstance(error, BackendBusyError):
            progress.failed_at.add(run.server.name)
        self._prober.record_error(run.server.name, error)
        logs.warning(Event.ITEM_RETRIED, **_log_fields(run), step=error.step, error=error.message)
        self._forget_run(run)

    def _delay_after_fault(self, run: Run, progress: Progress, error: Exception) -> None:
        """Delays an item whose attempt met an error that no server caused."""
        progress.not_before = self._clock() + FAULT_DELAY_SECONDS
        logs.warning(Event.HANDLER_FAILED, **_log_fields(run), error=repr(error))
        self._forget_run(run)

    def _forget_run(self, run: Run) -> None:
        if self._run_by_key.get(run.key) is run:
            del self._run_by_key[run.key]
        self.wake()

    async def _run_attempt(self, job: ItemJob, run: Run, progress: Progress) -> Outcome:
        """Runs an item at a server, from the last event on.

        :raises BackendError: if the answer can't be used; its events so far are kept.
        """
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_SECONDS) as event_timeout:
                return await self._call_server(job, run, progress, event_timeout)
        except TimeoutError:
            raise BackendError("no event in time", step="read", peer=run.server.name) from None

    async def _call_server(
        self, job: ItemJob, run: Run, progress: Progress, event_timeout: asyncio.Timeout
    ) -> Outcome:
        spec = job.items[run.key[1]].spec
        headers = _headers(job.items[run.key[1]])
        path = spec.target.partition("?")[0]
        has_workspaces = self._routes().table.workspaces is not None
        call = Call(
            spec.id,
            job.host,
            "POST",
            spec.target,
            path,
            headers,
            spec.body,
            workspace=(job.workspace or None) if has_workspaces else None,
            withholds_keys=has_workspaces,
        )
        async with backendcall.open_call(
            self._dialect,
            run.server,
            call,
            remaining_seconds=None,
            last_event=progress.last_event,
            progress_timeout=STALL_SECONDS,
            on_leaving=self._prober.record_leaving,
            on_rate=self._prober.record_rate,
        ) as opened:
            status = opened.head.status
            if status == IMPOSSIBLE_STATUS:
                return Outcome.IMPOSSIBLE
            if status >= 500:
                return Outcome.FAILED
            if status != 200:
                raise BackendError(f"unexpected status {status}", step="head", peer=run.server.name)
            await self._collect_events(opened, run, progress, event_timeout)
        self._dispatcher.record_success(run.server.name)
        return Outcome.COMPLETED

    async def _collect_events(
        self,
        opened: backendcall.OpenCall,
        run: Run,
        progress: Progress,
        event_timeout: asyncio.Timeout,
    ) -> None:
        if not is_event_stream(opened.exchange.content_type):
            raise BackendError("not an event stream", step="head", peer=run.server.name)
        splitter = EventSplitter()
        timer = CallTimer(
            self._dispatcher.speeds, run.server, ITEMS_LABEL, self._clock(), is_resumed=True
        )
        has_content = False
        # Nobody waits for a single event of an item, so several are read at once.
        opened.exchange.read_pause = READ_PAUSE_SECONDS
        clock = asyncio.get_running_loop().time
        async for chunk in opened.parts():
            events = [event for event in splitter.feed(chunk) if not event.is_empty]
            if events:
                has_content = True
                timer.record_events(len(events), self._clock())
                event_timeout.reschedule(clock() + EVENT_TIMEOUT_SECONDS)
            for event in events:
                if event.number == NO_NUMBER:
                    raise BackendError(
                        f"event without a number after event {progress.last_event}",
                        step="events",
                        peer=run.server.name,
                    )
                if progress.last_event is not None and event.number != progress.last_event + 1:
                    raise BackendError(
                        f"event {event.number} out of sequence after event {progress.last_event}",
                        step="events",
                        peer=run.server.name,
                    )
                if not run.begun:
                    self._record_begun(run, progress)
                progress.texts.append(event.data)
                progress.last_event = event.number
        if splitter.is_inside_event:
            raise BackendError(
                "the response ends within an event", step="events", peer=run.server.name
            )
        if not has_content and not opened.exchange.framed:
            raise BackendError(
                "the connection closed before an event", step="events", peer=run.server.name
            )

    def _record_begun(self, run: Run, progress: Progress) -> None:
        run.begun = True
        progress.crashes.clear()
        if self._quarantine.record_answer(progress.prompt):
            self._on_load_change()

    def _fail_unroutable(self, key: ItemKey) -> None:
        """Fails an item for good, since no route matches it any more."""
        self._unroutable_keys.add(key)
        logs.info(Event.ITEM_ENDED, job=key[0], item=key[1], outcome="route gone")
        misc.spawn(self._record_unroutable(key), self._tasks)

    async def _record_unroutable(self, key: ItemKey) -> None:
        try:
            attempt = Attempt(key[0], key[1], Outcome.IMPOSSIBLE)
            await self._commit(itemjobs.RecordAttempts([attempt]))
        except VerbenaError as error:
            logs.warning(Event.REQUEST_FAILED, step="record", item=key, error=error.message)
        finally:
            self._unroutable_keys.discard(key)


def _group_by_service(
    keys: list[ItemKey], jobs: dict[JobId, ItemJob], routes: RouteIndex
) -> dict[ServiceName | None, list[ItemKey]]:
    """Returns the items by the service that runs them, in the given order.

    The key None holds the items that no route matches.
    """
    by_service: dict[ServiceName | None, list[ItemKey]] = {}
    for key in keys:
        job = jobs.get(key[0])
        if job is None:
            continue
        spec = job.items[key[1]].spec
        route = routes.find(job.host, spec.target.partition("?")[0])
        service = routing.choose_service(route, spec.id) if route is not None else None
        by_service.setdefault(service, []).append(key)
    return by_service


def _headers(item: ItemState) -> backendcall.Headers:
    return [(name.encode(), value.encode()) for name, value in item.spec.headers]


def _log_fields(run: Run) -> dict[str, Any]:
    return {"job": run.key[0], "item": run.item_id, "server": run.server.name}
