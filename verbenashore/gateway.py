"""Relays online calls to backend servers, and takes item jobs; one per entry instance."""

import asyncio
import contextlib
import random
import socket
from enum import Enum
from typing import Any

import msgspec

from verbenashore import backendcall, httpserver, itemjobs, logs, misc, routing, transfer
from verbenashore.backendcall import Call, Dialect, Opened
from verbenashore.board import LoadBoard, Report
from verbenashore.client import GroupClient
from verbenashore.directory import BackendEntry, Directory
from verbenashore.dispatch import Dispatcher, Ticket, Verdict
from verbenashore.events import NO_NUMBER, EventSplitter
from verbenashore.exceptions import (
    BackendError,
    DeadlineError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    UnavailableError,
    VerbenaError,
)
from verbenashore.gossip import Gossip
from verbenashore.httpserver import Responder, Tuning
from verbenashore.itemjobs import ResultsPage, SubmitItemJob, SubmitResult
from verbenashore.jobdesk import RelaySettings
from verbenashore.listing import ListKeeper
from verbenashore.logs import Event
from verbenashore.messages import HeartbeatReply, ItemBody, ReadItemBody, ReadResults
from verbenashore.places import Places
from verbenashore.prober import Prober
from verbenashore.process import Process
from verbenashore.returning import ReturningCallers
from verbenashore.routing import CallerLimits, Route, RouteIndex, RouteKind, RouteTable
from verbenashore.transfer import Document
from verbenashore.types import (
    CONTROL_GROUP,
    BackendName,
    JobId,
    MemberName,
    MemberRole,
    MemberState,
)
from verbenashore.view import SystemView

#: Mean seconds between two looks at the age of the list.
LIST_LOOK_SECONDS = 0.4
#: Part of a route's objective, or of its longest pause, after which a silent server is left.
STALL_SHARE = 0.6
#: The same for answers that come whole: what a retry takes has to fit into the objective, too.
WHOLE_STALL_SHARE = 0.4
#: Part of a call's objective that it may wait for a place; the rest is the server's.
WAIT_SHARE = 0.75
#: Part of a caller's patience after which a call is not begun any more.
LATE_SHARE = 0.8
#: The rank of a stream that goes on at another server; it goes before all others.
RESUMED_RANK = -1
#: Longest silence in seconds on a stream that declares no pause.
DEFAULT_PAUSE_SECONDS = 1.0
#: Seconds after which an entry that has just started will know its configuration and the list, as
#: callers are told; spread over the second part so that they don't return at once.
START_SECONDS = 0.8
START_SPREAD_SECONDS = 0.8
#: Bytes of a head that are read before the operators' limit is known, so that the caller is told to
#: come back; far above what they allow.
START_HEADER_BYTES = 256 << 10
#: Servers that may refuse one call without running it.
MAX_REFUSALS = 4
#: Seconds for each replica that a heartbeat is sent to; the answer needs no disk.
HEARTBEAT_ATTEMPT_SECONDS = 0.25
#: Seconds for a job's commit beside what its bytes take, and for a read of its results beyond the
#: asked wait.
JOB_SECONDS = 1.5
#: How often a job can be sent whole in that time: to a leader that is lost, and to the next one.
JOB_SENDINGS = 2
#: Seconds for an answer of the replica in the own data centre, beyond the asked wait; it asks its
#: leader first.
NEAR_SECONDS = 0.5
#: Seconds for which results are read at the leader after that replica has failed.
FAR_SECONDS = 5.0
#: Seconds for each replica that a job is proposed to: a new leader is there 0.4 s after the old one
#: froze, and callers want a job's acceptance within 0.5 s (scale-2 of hanger-loop).
JOB_ATTEMPT_SECONDS = 0.25
SUCCESS = 200
#: Ends of a call that are dropped first when log lines have to be.
ORDINARY_ENDS = frozenset({Event.CALL_ENDED, Event.CALL_CANCELLED})
#: Ends of a call that has no whole answer; where it stood is written with them.
BROKEN_ENDS = frozenset({Event.CALL_FAILED, Event.CALL_CANCELLED})
#: Statuses by which a caller would take a call for not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Step(Enum):
    """Where a relayed call stands: in the queue, or at a server and waiting for what is named."""

    QUEUED = "queued"
    CONNECT = "connect"
    HEAD = "head"
    BODY = "body"
    EVENTS = "events"


class Relay(msgspec.Struct):
    """The state of one relayed call.

    :param end_at: when the call is ended, on the process's clock.
    :param runs: servers that may have run it.
    :param refusals: servers that stated that they did not run it.
    :param last_event: the number of the last event that the caller has.
    :param first_at: when the first bytes went to the caller.
    :param passed_at: when the newest ones did.
    :param longest_pause: the longest time between two of them, in seconds.
    :param server: the server at which it stands; "" while it is queued.
    :param step_at: when it came to its step.
    :param heard_at: when something last came from that server.
    """

    call: Call
    route: Route
    arrived_at: float
    end_at: float
    ticket: Ticket
    respond: Responder
    runs: int = 0
    refusals: int = 0
    last_event: int | None = None
    first_at: float | None = None
    passed_at: float = 0.0
    longest_pause: float = 0.0
    server: BackendName = BackendName("")
    step: Step = Step.QUEUED
    step_at: float = 0.0
    heard_at: float | None = None

    def note_place(self, server: BackendName, step: Step, now: float) -> None:
        """Notes where the call stands, with a server that was not heard of yet, or with none."""
        self.server, self.step, self.step_at, self.heard_at = server, step, now, None

    def note_step(self, step: Step, now: float) -> None:
        """Notes what is waited for next."""
        self.step, self.step_at = step, now

    def standing(self, now: float) -> dict[str, object]:
        """Returns where the call stands, as log fields."""
        return {
            "server": self.server,
            "step": self.step.value,
            "step_age": round(now - self.step_at, 4),
            "heard_age": None if self.heard_at is None else round(now - self.heard_at, 4),
        }

    def note_passed(self, now: float) -> None:
        """Notes that bytes went to the caller."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.passed_at)
        self.passed_at = now

    @property
    def last_attempt(self) -> bool:
        """True if no other server may get the call after this one."""
        return not self.route.repeatable or self.runs >= self.route.max_attempts


def job_seconds(command: SubmitItemJob, patience: float, backlog: float = 0.0) -> float:
    """Returns the seconds for a job's commit; its caller must still be there then.

    :param backlog: seconds that what was sent before still takes.
    """
    sending = backlog + transfer.seconds_for(command)
    return min(JOB_SECONDS + JOB_SENDINGS * sending, patience * LATE_SHARE)


class Gateway:
    """The relaying side of one entry process.

    :param seeds: addresses of some ledger processes.
    """

    def __init__(self, running: Process, given: RelaySettings, seeds: list[str]) -> None:
        settings = running.settings
        self._process = running
        self._clock = self.clock = running.clock
        self._dialect: Dialect = given.dialect
        self._reports = given.reports
        self.tuning = Tuning(CallerLimits(header_bytes=START_HEADER_BYTES))
        self.control = GroupClient(CONTROL_GROUP, running.links, seeds, running.clock)
        self.routes = RouteIndex(RouteTable())
        self._view = SystemView(
            running,
            self.control,
            MemberRole.ENTRY,
            given.reports,
            BackendName(""),
            routing.decode,
            HEARTBEAT_ATTEMPT_SECONDS,
        )
        self._view.on_change.append(self._on_change)
        self._view.on_reply.append(self._on_reply)
        self._view.fetcher.on_document(Document.BACKENDS, self._take_backends)
        self._board = LoadBoard()
        self._directory = Directory()
        self._dispatcher = Dispatcher(
            self._directory,
            self._board,
            settings.data_centre,
            misc.quick_hash(running.incarnation),
        )
        self._places = Places(self._dispatcher, running.clock)
        self._list = ListKeeper(
            self._directory, self._dispatcher, given.fetch, running.clock, self._on_list
        )
        self._prober = Prober(
            self._dialect, self._dispatcher, running.clock, lambda: self.routes, self._on_health
        )
        self._gossip = Gossip(
            self._board,
            running.name,
            running.incarnation,
            running.clock,
            self._on_report,
            self._dispatcher,
        )
        self._returned = ReturningCallers()
        self._near = ""
        self._list_read_at = float("-inf")
        self._far_until = float("-inf")
        self._learned = asyncio.Event()
        self._listed = asyncio.Event()
        self._random = random.Random(misc.quick_hash(running.incarnation))

    async def run(self, listen: str | socket.socket, handle: httpserver.Handle) -> None:
        """Serves callers until told to stop, then finishes what was begun.

        :param listen: ``IP:PORT`` for callers, or a socket that listens already.
        """
        closing = asyncio.Event()
        ended = asyncio.Event()
        serving = asyncio.create_task(httpserver.serve(listen, handle, ended, closing, self.tuning))
        self._process.start(serving)
        self._process.start(self._view.run())
        self._process.start(self._gossip.run(self._reports))
        self._process.start(self._keep_list())
        self._process.start(self._prober.run())
        self._process.start(self._places.run())
        await self._process.wait_for_stop()
        logs.info(Event.STOPPING, open_calls=sum(load.online for load in self._board.own.values()))
        self._set_ready()
        self._view.set_state(MemberState.DRAINING)
        closing.set()
        await asyncio.sleep(self._process.settings.lame_duck)
        ended.set()
        await serving

    async def find_route(self, host: str, path: str, call: str, patience: float | None) -> Route:
        """Returns the route of a call; a caller who has come back waits for a configuration.

        :param call: its id, for the logs.
        :param patience: seconds that the caller waits, if it said.
        :raises OverloadedError: if its route may be in a configuration that isn't known yet.
        :raises NotFoundError: if the configuration in force has no route for the path.
        """
        returned = self._returned.note(host, path, patience)
        if returned and patience is not None and (unsure := self._unsure(host, path)):
            logs.info(Event.CALL_QUEUED, call=call, outcome=unsure)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(patience * LATE_SHARE):
                    while self._unsure(host, path):
                        learned = self._learned
                        await learned.wait()
        known = {"version": self.routes.table.version, "newest": self._view.newest}
        if unsure := self._unsure(host, path):
            later = START_SECONDS + START_SPREAD_SECONDS * self._random.random()
            logs.warning(
                Event.CALL_REFUSED, call=call, outcome=unsure, retry_after=round(later, 3), **known
            )
            raise OverloadedError(unsure, step="place", retry_after=later)
        route = self.routes.find(host, path)
        if route is None:
            logs.info(Event.CALL_REFUSED, call=call, outcome="no route", **known)
            raise NotFoundError(f"no route for {host}{path}", step="route", not_run=True)
        return route

    def _unsure(self, host: str, path: str) -> str:
        """Returns why it isn't known whether a path has a route; "" if that is known."""
        if not self.routes.table.version:
            return "no configuration is known"
        if self.routes.find(host, path) is None and not self._view.is_current():
            return "the configuration may be old"
        return ""

    def _note_learned(self) -> None:
        """Lets callers look again who wait to know whether they have a route."""
        self._learned.set()
        self._learned = asyncio.Event()

    async def relay(
        self, call: Call, route: Route, respond: Responder, arrived_at: float | None = None
    ) -> None:
        """Answers one online call by a backend server's answer.

        :param arrived_at: when it came, if that isn't now; its caller's patience began then.
        :raises OverloadedError: the call was refused, and did not run.
        :raises DeadlineError: its time was over.
        :raises OutcomeUnknownError: it may have run, and there is no answer.
        :raises ConnectionResetError: its answer has begun and can't be ended.
        """
        now = self._clock() if arrived_at is None else arrived_at
        wanted = call.patience if call.patience is not None else route.timeout
        patience = min(route.timeout, wanted)
        ticket = Ticket(
            call.id,
            routing.choose_service(route, call.id),
            route.priority,
            now + min(patience, route.objective * WAIT_SHARE),
            now + patience * LATE_SHARE,
            patient=self._returned.has_returned(call.host, call.path, call.patience),
        )
        relay = Relay(call, route, now, now + patience, ticket, respond, step_at=now)
        relay.last_event = call.last_event
        try:
            async with asyncio.timeout(relay.end_at - self._clock()):
                await self._run(relay)
        except TimeoutError:
            self._log_end(Event.CALL_FAILED, relay, outcome="deadline")
            if respond.started:
                raise ConnectionResetError from None
            if not relay.runs:
                raise UnavailableError("no place in time", step="queue", not_run=True) from None
            raise DeadlineError("no answer in time", step="relay") from None
        except asyncio.CancelledError:
            self._log_end(Event.CALL_CANCELLED, relay, outcome="caller left")
            raise
        except OverloadedError as error:
            self._log_end(
                Event.CALL_REFUSED,
                relay,
                outcome=error.message,
                retry_after=round(error.retry_after, 3),
            )
            raise
        except (VerbenaError, ConnectionResetError) as error:
            self._log_end(Event.CALL_FAILED, relay, outcome=str(error))
            raise
        self._log_end(Event.CALL_ENDED, relay, outcome="answered")

    async def submit_job(self, command: SubmitItemJob, patience: float) -> SubmitResult:
        """Accepts a job, or says that it doesn't fit.

        :param patience: seconds that the caller waits.
        :raises UnavailableError: if that isn't known; the job may be accepted.
        """
        seconds = job_seconds(command, patience, self._process.links.backlog.seconds())
        result: Any = await self.control.propose(command, seconds, JOB_ATTEMPT_SECONDS)
        event = Event.JOB_ACCEPTED if result.accepted else Event.JOB_REFUSED
        logs.info(
            event,
            job=command.job,
            items=len(command.items),
            known=result.known,
            waiting_tokens=result.waiting,
            cap=command.token_cap,
        )
        return result

    async def end_job(self, job: JobId) -> bool:
        """Ends a job; false if there is none."""
        result: Any = await self.control.propose(itemjobs.EndItemJob(job), JOB_SECONDS)
        logs.info(Event.JOB_ENDED, job=job, known=result.ok)
        return result.ok

    async def read_results(self, job: JobId, first: int, wait: float) -> ResultsPage:
        """Returns results of a job.

        :raises NotFoundError: if there is no such job.
        :raises UnavailableError: if no leader answered.
        """
        near = await self._read_nearby(ReadResults(CONTROL_GROUP, job, first, wait, nearby=True))
        if near is not None:
            return near
        ask = ReadResults(CONTROL_GROUP, job, first, wait)
        answer: Any = await self.control.ask(ask, wait + JOB_SECONDS, wait)
        return answer

    async def _read_nearby(self, ask: ReadResults) -> ResultsPage | None:
        """Asks the replica in the own data centre, for results are long and read often."""
        near, now = self._near, self._clock()
        if not near or now < self._far_until:
            return None
        try:
            link = self._process.links.to(near, bulk=True)
            answer: Any = await link.call(ask, ask.wait + NEAR_SECONDS)
        except NotFoundError:
            return None
        except VerbenaError as error:
            self._far_until = now + FAR_SECONDS
            logs.info(Event.NEAR_REPLICA_LOST, peer=near, error=str(error))
            return None
        self._process.metrics.count("results.nearby")
        return answer

    async def read_body(self, job: JobId, item: str) -> bytes:
        """Returns the body of an item.

        :raises NotFoundError: if there is none.
        :raises UnavailableError: if no leader answered.
        """
        data = b""
        while True:
            ask = ReadItemBody(CONTROL_GROUP, job, item, len(data), transfer.PAGE_BYTES)
            answer = await self.control.ask(ask, JOB_SECONDS)
            assert isinstance(answer, ItemBody)
            data += answer.data
            if len(data) >= answer.size:
                return data

    async def _run(self, relay: Relay) -> None:
        while True:
            relay.note_place(BackendName(""), Step.QUEUED, self._clock())
            server = await self._place(relay)
            placed_at = self._clock()
            relay.note_place(server.name, Step.CONNECT, placed_at)
            try:
                await self._attempt(relay, server)
                self._dispatcher.note_success(server.name)
                return
            except BackendError as error:
                self._note_failure(relay, server, error)
                if relay.respond.started and relay.last_attempt:
                    raise ConnectionResetError(error.message) from error
                if not error.not_run and relay.last_attempt:
                    raise OutcomeUnknownError(
                        error.message, step=error.step, peer=server.name
                    ) from error
            finally:
                self._dispatcher.release(server, self._clock() - placed_at)
                self._gossip.mark_changed()
                self._places.wake()

    def _note_failure(self, relay: Relay, server: BackendEntry, error: BackendError) -> None:
        now = self._clock()
        relay.ticket.excluded.add(server.name)
        if relay.respond.started:
            # Its caller is in the middle of an answer and notices each moment of waiting.
            relay.ticket.rank = RESUMED_RANK
            relay.ticket.start_by = relay.end_at
        relay.ticket.patient = relay.ticket.patient or relay.runs > 0
        self._prober.note_error(server.name, error)
        if error.not_run:
            relay.refusals += 1
        logs.info(
            Event.CALL_MOVED,
            call=relay.call.id,
            server=server.name,
            step=error.step,
            error=error.message,
            not_run=error.not_run,
            runs=relay.runs,
            last_event=relay.last_event,
            age=round(now - relay.arrived_at, 4),
        )
        if relay.refusals > MAX_REFUSALS:
            if relay.runs:
                raise OutcomeUnknownError("no server took the call", step="place")
            raise OverloadedError("no server took the call", step="place", retry_after=0.5)

    async def _wait_for_list(self, ticket: Ticket) -> None:
        """Waits for the first list with a caller who has come back.

        :raises OverloadedError: if no list is known; nothing can be said of servers then.
        """
        reason = "no list is known"
        if not self._list.is_known and ticket.patient:
            logs.info(Event.CALL_QUEUED, call=ticket.id, outcome=reason)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ticket.end_by - self._clock()):
                    await self._listed.wait()
        if not self._list.is_known:
            later = START_SECONDS + START_SPREAD_SECONDS * self._random.random()
            raise OverloadedError(reason, step="place", retry_after=later)

    async def _place(self, relay: Relay) -> BackendEntry:
        ticket = relay.ticket
        await self._wait_for_list(ticket)
        decision = self._places.ask(ticket)
        if decision.verdict is Verdict.WAITING:
            logs.info(
                Event.CALL_QUEUED,
                call=ticket.id,
                service=ticket.service,
                waiting=self._dispatcher.waiting,
                waiting_elsewhere=self._board.waiting(ticket.service),
                patient=ticket.patient,
            )
            self._gossip.mark_changed()
            decision = await self._places.wait(ticket)
        if decision.server is None:
            if relay.runs:
                raise OutcomeUnknownError(decision.reason, step="place")
            raise OverloadedError(decision.reason, step="place", retry_after=decision.retry_after)
        self._gossip.mark_changed()
        total = self._board.total(decision.server.name)
        logs.info(
            Event.CALL_PLACED,
            call=ticket.id,
            route=relay.route.name,
            server=decision.server.name,
            online=total.online,
            batch=total.batch,
            list_age=round(self._list.age, 3),
            version=self.routes.table.version,
            age=round(self._clock() - relay.arrived_at, 4),
        )
        return decision.server

    async def _attempt(self, relay: Relay, server: BackendEntry) -> None:
        route = relay.route
        left = max(0.001, relay.end_at - self._clock())
        relay.runs += 1
        silence = left
        if not relay.last_attempt:
            share = STALL_SHARE if route.kind is RouteKind.STREAM else WHOLE_STALL_SHARE
            sending = transfer.seconds(len(relay.call.body))
            silence = min(left, route.objective * share + sending)
        try:
            async with backendcall.open_call(
                self._dialect,
                server,
                relay.call,
                left=left,
                last_event=relay.last_event,
                progress=silence,
                on_connected=lambda: relay.note_step(Step.HEAD, self._clock()),
            ) as opened:
                relay.heard_at = self._clock()
                if route.kind is RouteKind.STREAM and opened.head.status == SUCCESS:
                    await self._pass_stream(relay, opened)
                else:
                    await self._pass_whole(relay, opened)
        except BackendError as error:
            if error.not_run:
                relay.runs -= 1
            raise

    async def _pass_whole(self, relay: Relay, opened: Opened) -> None:
        relay.note_step(Step.BODY, self._clock())
        parts = []
        async for part in opened.parts():
            relay.heard_at = self._clock()
            parts.append(part)
        body = b"".join(parts)
        head = opened.head
        if head.status >= 500 and not relay.last_attempt:
            raise BackendError(f"status {head.status}", step="head", peer="")
        if relay.respond.started:
            raise BackendError(f"status {head.status} on resuming", step="head", peer="")
        if head.status in NOT_RUN_STATUSES:
            raise BackendError(f"status {head.status} without a statement", step="head", peer="")
        relay.note_passed(self._clock())
        await relay.respond.relayed(
            head.status, [*head.headers, (b"content-length", b"%d" % len(body))], body
        )

    async def _pass_stream(self, relay: Relay, opened: Opened) -> None:
        relay.note_step(Step.EVENTS, self._clock())
        pause = relay.route.pause or DEFAULT_PAUSE_SECONDS
        splitter = EventSplitter()
        resumable = relay.route.resumable
        async for part in opened.parts():
            relay.heard_at = self._clock()
            if not relay.last_attempt:
                opened.exchange.set_progress(pause * STALL_SHARE)
            data = self._whole_events(relay, splitter, part) if resumable else part
            if not data:
                continue
            if not relay.respond.started:
                await relay.respond.start_relayed(opened.head.status, opened.head.headers)
            relay.note_passed(self._clock())
            await relay.respond.chunk(data)
        if resumable and splitter.partial.strip():
            raise BackendError("the last event is cut off", step="events", peer="")
        if not relay.respond.started:
            await relay.respond.start_relayed(opened.head.status, opened.head.headers)
        await relay.respond.end()

    def _whole_events(self, relay: Relay, splitter: EventSplitter, part: bytes) -> bytes:
        """Returns the whole events of some bytes, which must follow the last one."""
        whole = []
        for event in splitter.feed(part):
            if event.number != NO_NUMBER:
                if relay.last_event is not None and event.number != relay.last_event + 1:
                    raise BackendError(
                        f"event {event.number} after {relay.last_event}", step="events", peer=""
                    )
                relay.last_event = event.number
            whole.append(event.raw)
        return b"".join(whole)

    async def _keep_list(self) -> None:
        """Reads the list for itself while the leader's is missing or old."""
        while True:
            if self._list.is_stale:
                await self._list.read()
                # What was read here may differ from the version that was fetched.
                self._view.fetcher.forget(Document.BACKENDS)
            await asyncio.sleep(LIST_LOOK_SECONDS * self._random.uniform(0.5, 1.5))

    def _on_reply(self, reply: HeartbeatReply) -> None:
        if reply.backends_version >= 0:
            self._list_read_at = self._clock() - reply.backends_age
            if reply.backends_version == self._view.fetcher.held(Document.BACKENDS):
                self._list.confirm(self._list_read_at)
        self._set_peers(reply.reports_to)
        self._near = reply.near
        self._note_learned()

    def _take_backends(self, _version: int, data: bytes) -> None:
        self._list.take_document(data, self._list_read_at)

    def _set_peers(self, leader: str) -> None:
        others: dict[MemberName, Any] = self._view.members
        peers = {member.address for member in others.values() if member.role is MemberRole.ENTRY}
        self._gossip.peers = (peers | {leader}) - {self._reports, ""}

    def _on_report(self, report: Report | None) -> None:
        if report is not None:
            self._prober.take(report)
        self._places.wake()

    def _on_health(self) -> None:
        self._gossip.mark_changed()
        self._places.wake()

    def _on_list(self) -> None:
        self._listed.set()
        self._places.wake()
        self._set_ready()

    def _on_change(self) -> None:
        table = self._view.deployment
        if table.version > self.routes.table.version:
            self.routes = RouteIndex(table)
            self.tuning.limits = table.limits
        self._note_learned()
        self._set_ready()

    def _set_ready(self) -> None:
        ready = bool(
            self.routes.table.version
            and self._directory.by_name
            and not self._process.stopping.is_set()
        )
        if ready != self._process.ready:
            self._process.ready = ready
            logs.info(
                Event.READY if ready else Event.NOT_READY,
                version=self.routes.table.version,
                servers=len(self._directory.by_name),
            )

    def _log_end(self, event: Event, relay: Relay, **fields: object) -> None:
        now = self._clock()
        seconds = now - relay.arrived_at
        if event in BROKEN_ENDS:
            fields |= relay.standing(now)
        self._process.metrics.count(f"{relay.route.name}.{event.name.lower()}")
        self._process.metrics.time(f"{relay.route.name}.seconds", seconds)
        write = logs.info if event in ORDINARY_ENDS else logs.warning
        write(
            event,
            call=relay.call.id,
            route=relay.route.name,
            runs=relay.runs,
            refusals=relay.refusals,
            last_event=relay.last_event,
            seconds=round(seconds, 4),
            first=None if relay.first_at is None else round(relay.first_at - relay.arrived_at, 4),
            longest_pause=round(relay.longest_pause, 4),
            **fields,
        )
