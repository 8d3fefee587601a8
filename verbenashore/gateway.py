"""Relays online calls to backend servers and accepts item jobs; one gateway per entry process."""

import asyncio
import contextlib
import random
import socket
from enum import Enum
from typing import Any

import msgspec

from verbenashore import (
    backendcall,
    dispatch,
    httpserver,
    itemjobs,
    keys,
    logs,
    misc,
    routing,
    transfer,
)
from verbenashore.backendcall import Call, Dialect, OpenCall
from verbenashore.callguard import CallGuard, GuardedCall
from verbenashore.callqueue import CallQueue
from verbenashore.client import GroupClient
from verbenashore.directory import BackendEntry, Directory
from verbenashore.dispatch import Dispatcher, Ticket, Verdict
from verbenashore.events import EventSplitter, check_numbers, is_event_stream
from verbenashore.exceptions import (
    BackendError,
    BackendReplacedError,
    DeadlineError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    UnavailableError,
    VerbenaError,
)
from verbenashore.gossip import LoadReporter, node_of
from verbenashore.grace import Grace
from verbenashore.httpserver import Responder, ServerLimits
from verbenashore.itemjobs import ResultsPage, SubmitItemJob, SubmitResult
from verbenashore.keys import KeyBounds
from verbenashore.ledgerrelay import RelaySettings
from verbenashore.listing import BackendListUpdater
from verbenashore.loadtable import LoadTable, Report
from verbenashore.logs import Event
from verbenashore.messages import HeartbeatReply, ItemBody, ReadItemBody, ReadResults
from verbenashore.prober import Prober
from verbenashore.process import (
    Process,
    log_speed,
    new_crashed_calls,
    new_quarantine,
    new_rate_limits,
)
from verbenashore.quotagate import QuotaGate
from verbenashore.retries import LATEST_START_SHARE, RetryDetector
from verbenashore.routefinder import RouteFinder, startup_retry_seconds
from verbenashore.routing import CallerLimits, Route, RouteIndex, RouteKind
from verbenashore.speeds import CallTimer
from verbenashore.transfer import Document
from verbenashore.types import (
    CONTROL_GROUP,
    NO_WORKSPACE,
    BackendName,
    JobId,
    MemberRole,
    MemberState,
    WorkspaceId,
)
from verbenashore.view import SystemView

#: Mean seconds between two checks of the age of the backend list.
LIST_CHECK_SECONDS = 0.4
#: A call that may run again moves on from a server that has sent nothing for this share of the
#: route's objective (plus the time to send the call) or, within a stream, of the longest pause.
STALL_SHARE = 0.6
#: The share of the objective on routes without streams; lower, since a retry must fit into it.
WHOLE_STALL_SHARE = 0.4
#: Share of a route's objective that a call may spend in the queue; the server needs the rest.
WAIT_SHARE = 0.75
#: Longest pause in seconds between events that is assumed for a route that declares none.
DEFAULT_PAUSE_SECONDS = 1.0
#: Limit in bytes of a request's head until the configured one is known.  It is far above what
#: operators allow, so that the caller is told to retry and not that its head is too large.
START_HEADER_BYTES = 256 << 10
#: Attempts of one call that may end without its being run; one more fails the call, unless its
#: response has begun.  Those that reached another server than the chosen one don't count: each
#: excludes a server that is gone.
MAX_REFUSALS = 4
#: Timeout in seconds of the first attempt to send a heartbeat to a replica, short because the reply
#: needs no disk access.  :meth:`GroupClient.ask` adds the transfer time, and doubles the timeout
#: after each that expires at the same replica.
HEARTBEAT_ATTEMPT_SECONDS = 0.25
#: Timeout in seconds for a job's commit, beside the time to send it, for a read of its results
#: beyond the requested wait, for a read of a part of an item's body, and for ending a job.
JOB_SECONDS = 1.5
#: How often a job can be sent whole within its timeout: to a leader that is lost, and to the next.
JOB_SEND_COUNT = 2
#: Timeout in seconds for a read at the replica in the local data centre, beyond the requested wait;
#: that replica asks its leader first.
NEARBY_READ_SECONDS = 0.5
#: Seconds for which results are read only at the leader after that replica has failed.
NEARBY_RETRY_SECONDS = 5.0
#: Timeout in seconds of the first attempt to propose a job to a replica, beside the time to send
#: it: a new leader is elected 0.4 s after the old one froze, and callers expect a job's acceptance
#: within 0.5 s.
JOB_ATTEMPT_SECONDS = 0.25
#: Longest answer in bytes that is relayed as a whole.  It is kept until it is complete, since the
#: call may have to run elsewhere, and an entry may have 128 MB.
MAX_ANSWER_BYTES = 8 << 20
SUCCESS = 200
#: End events that are logged at info level, so that they are dropped first when the log must drop
#: lines.
INFO_END_EVENTS = frozenset({Event.CALL_ENDED, Event.CALL_CANCELLED})
#: End events of calls that failed or whose caller left; they are logged with the step reached.
INCOMPLETE_END_EVENTS = frozenset({Event.CALL_FAILED, Event.CALL_CANCELLED})
#: Statuses that a caller would take to mean that the call was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Step(Enum):
    """The progress of a relayed call: queued, or at a server and waiting for the named part."""

    QUEUED = "queued"
    CONNECT = "connect"
    HEAD = "head"
    BODY = "body"
    EVENTS = "events"


class Relay(msgspec.Struct):
    """The state of one relayed call.

    :param deadline: when the call times out, on the process's clock.
    :param runs: the number of attempts that may have run it.
    :param refusals: the number of attempts that did not: the server said so, or got nothing; not
        counting those that reached another server than the chosen one.
    :param refused_by: the servers of those attempts.
    :param last_event: the number of the last event that the caller has.
    :param unnumbered: the caller has an event without a number.
    :param first_sent_at: when the first bytes were sent to the caller.
    :param last_sent_at: when the latest bytes were sent to the caller.
    :param longest_pause: the longest time between two sends to the caller, in seconds.
    :param server: the server that has the call; "" while it is queued.
    :param step_since: when the current step began.
    :param received_at: when something last came from that server.
    :param begun: whether a part of a successful answer has come in the latest attempt.
    :param kept: whether the call has stayed at a silent server since no other could take it.
    """

    call: Call
    route: Route
    arrived_at: float
    deadline: float
    ticket: Ticket
    guarded: GuardedCall
    respond: Responder
    runs: int = 0
    refusals: int = 0
    refused_by: set[BackendName] = msgspec.field(default_factory=set)
    last_event: int | None = None
    unnumbered: bool = False
    first_sent_at: float | None = None
    last_sent_at: float = 0.0
    longest_pause: float = 0.0
    server: BackendName = BackendName("")
    step: Step = Step.QUEUED
    step_since: float = 0.0
    received_at: float | None = None
    begun: bool = False
    kept: bool = False

    def set_server(self, server: BackendName, step: Step, now: float) -> None:
        """Records the server that has the call from now on; "" while the call is queued."""
        self.server, self.step, self.step_since, self.received_at = server, step, now, None

    def set_step(self, step: Step, now: float) -> None:
        """Records the step that the call is in from now on."""
        self.step, self.step_since = step, now

    def progress_fields(self, now: float) -> dict[str, object]:
        """Returns the call's server and step as log fields."""
        return {
            "server": self.server,
            "step": self.step.value,
            "step_age": round(now - self.step_since, 4),
            "heard_age": None if self.received_at is None else round(now - self.received_at, 4),
        }

    def record_bytes_sent(self, now: float) -> None:
        """Records that bytes were sent to the caller."""
        if self.first_sent_at is None:
            self.first_sent_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_sent_at)
        self.last_sent_at = now

    @property
    def is_last_attempt(self) -> bool:
        """True if the call may not run again after the runs counted so far."""
        if self.unnumbered and self.last_event is None:
            return True
        return not self.route.repeatable or self.runs >= self.route.max_attempts


def job_commit_timeout(
    command: SubmitItemJob, caller_timeout: float, backlog: float = 0.0
) -> float:
    """Returns the timeout in seconds for a job's commit, short enough that the caller still waits.

    :param backlog: seconds until the messages sent before are transferred.
    """
    send_seconds = backlog + transfer.message_seconds(command)
    return min(JOB_SECONDS + JOB_SEND_COUNT * send_seconds, caller_timeout * LATEST_START_SHARE)


class Gateway:
    """Relays the calls and submits the jobs of one entry process.

    :param seeds: addresses of some ledger processes.
    """

    def __init__(
        self,
        process: Process,
        relay_settings: RelaySettings,
        seeds: list[str],
        key_bounds: KeyBounds = keys.DEFAULT_BOUNDS,
    ) -> None:
        settings = process.settings
        self._process = process
        self._clock = self.clock = process.clock
        self._dialect: Dialect = relay_settings.dialect
        self.server_limits = ServerLimits(CallerLimits(START_HEADER_BYTES), process.budget)
        self.control = GroupClient(CONTROL_GROUP, process.links, seeds, process.clock)
        self._view = SystemView(
            process,
            self.control,
            MemberRole.ENTRY,
            relay_settings.reports_address,
            BackendName(""),
            routing.decode,
            HEARTBEAT_ATTEMPT_SECONDS,
        )
        self._view.on_change.append(self._on_configuration_change)
        self._view.on_change.append(self._on_members_change)
        self._view.on_reply.append(self._on_heartbeat_reply)
        self._view.fetcher.set_handler(Document.BACKENDS, self._install_backends)
        quarantine = new_quarantine(process)
        crashed_calls = new_crashed_calls(process)
        self._load_table = LoadTable()
        self._directory = Directory()
        self._quota_gate = QuotaGate(process)
        self._dispatcher = Dispatcher(
            self._directory,
            self._load_table,
            settings.data_centre,
            misc.quick_hash(process.incarnation),
            new_rate_limits(process, self._load_table),
            self._quota_gate.fair_shares,
        )
        self._dispatcher.speeds.on_change = log_speed
        self._call_queue = CallQueue(self._dispatcher, process.clock)
        self._list_updater = BackendListUpdater(
            self._directory,
            self._dispatcher,
            relay_settings.fetch,
            process.clock,
            self._on_list_change,
        )
        self._prober = Prober(
            self._dialect,
            self._dispatcher,
            process.clock,
            lambda: self.routes,
            self._on_health_change,
        )
        self._load_reporter = LoadReporter(
            self._load_table,
            node_of(process.name, relay_settings.reports_address, settings.data_centre),
            process.incarnation,
            process.clock,
            self._on_report,
            self._dispatcher,
            quarantine,
            crashed_calls,
            usage_exchange=self._quota_gate.exchange,
        )
        self.guard = CallGuard(
            quarantine, crashed_calls, process.metrics, self._load_reporter.mark_changed
        )
        self._retry_detector = RetryDetector()
        self.finder = RouteFinder(process, self._view, self._retry_detector, key_bounds)
        self._grace = Grace(process.clock)
        self._nearby_address = ""
        self._nearby_reads = 0
        self._list_read_at = float("-inf")
        self._nearby_retry_at = float("-inf")
        self._list_received = asyncio.Event()
        self._random = random.Random(misc.quick_hash(process.incarnation))

    @property
    def routes(self) -> RouteIndex:
        """The routes in force."""
        return self.finder.routes

    async def run(self, listen: str | socket.socket, handle: httpserver.RequestHandler) -> None:
        """Serves callers until the process is to stop, then completes the open calls.

        :param listen: ``IP:PORT`` for callers, or a listening socket.
        """
        closing = asyncio.Event()
        stopping = asyncio.Event()
        serving = asyncio.create_task(
            httpserver.serve(listen, handle, stopping, closing, self.server_limits)
        )
        self._process.start_task(serving)
        self._process.start_task(self._view.run())
        self._process.start_task(self._load_reporter.run())
        self._process.start_task(self._refresh_stale_list())
        self._process.start_task(self._prober.run())
        self._process.start_task(self._call_queue.run())
        await self._process.wait_for_stop()
        logs.info(
            Event.STOPPING,
            open_calls=sum(load.online for load in self._load_table.local_by_backend.values()),
        )
        self._grace.start(self._process.settings.grace)
        self._update_readiness()
        self._view.set_state(MemberState.DRAINING)
        closing.set()
        await asyncio.sleep(self._process.settings.lame_duck)
        self._grace.is_late = True
        stopping.set()
        await serving

    async def relay(
        self, call: Call, route: Route, respond: Responder, arrived_at: float | None = None
    ) -> None:
        """Answers one online call with a backend server's response.

        :param arrived_at: when the call arrived, if that isn't now; its timeout counts from then.
        :raises OverloadedError: the call was refused, and did not run.
        :raises UnavailableError: the call timed out, and did not run.
        :raises DeadlineError: the call timed out, and may have run.
        :raises OutcomeUnknownError: the call may have run, and there is no response.
        :raises ConnectionResetError: the response has begun and can't be completed.
        """
        now = self._clock() if arrived_at is None else arrived_at
        requested = call.timeout if call.timeout is not None else route.timeout
        timeout = min(route.timeout, requested)
        ticket = Ticket(
            call.id,
            routing.choose_service(route, call.id),
            keys.rank_of(route, self.routes.workspace_by_name.get(call.workspace or NO_WORKSPACE)),
            now + min(timeout, route.objective * WAIT_SHARE),
            now + timeout * LATEST_START_SHARE,
            accepts_late=self._retry_detector.is_retry(call.host, call.path, call.timeout),
            workspace=call.workspace,
        )
        guarded = self.guard.guard(call, self._dialect.read_prompt(call.headers))
        relay = Relay(call, route, now, now + timeout, ticket, guarded, respond, step_since=now)
        relay.last_event = call.last_event
        ticket.size = self._dialect.read_size(call.headers)
        try:
            self._refuse_late(relay)
            with self._quota_gate.admitted(call.workspace, lambda: relay.runs > 0):
                async with self._grace.limit(relay.deadline - self._clock()):
                    await self._run_attempts(relay)
        except TimeoutError:
            outcome = "stopped" if self._grace.ends_at < relay.deadline else "deadline"
            self._log_end(Event.CALL_FAILED, relay, outcome=outcome)
            if respond.started:
                raise ConnectionResetError from None
            if not relay.runs:
                raise UnavailableError(
                    "no backend server was available in time", step="queue", not_run=True
                ) from None
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
                **error.details,
            )
            raise
        except (VerbenaError, ConnectionResetError) as error:
            self._log_end(Event.CALL_FAILED, relay, outcome=str(error))
            raise
        self._log_end(Event.CALL_ENDED, relay, outcome="answered")

    async def submit_job(self, command: SubmitItemJob, caller_timeout: float) -> SubmitResult:
        """Submits a job; the result says whether it was accepted or exceeds the route's token cap.

        :param caller_timeout: seconds that the caller waits.
        :raises UnavailableError: if the outcome is unknown; the job may have been accepted.
        """
        seconds = job_commit_timeout(command, caller_timeout, self._process.links.backlog.seconds())
        result: Any = await self.control.propose(command, seconds, JOB_ATTEMPT_SECONDS)
        event = Event.JOB_ACCEPTED if result.accepted else Event.JOB_REFUSED
        logs.info(
            event,
            job=command.job,
            items=len(command.items),
            known=result.accepted_before,
            waiting_tokens=result.waiting,
            cap=command.token_cap,
            workspace=command.workspace,
            conflict=result.conflict,
        )
        return result

    async def end_job(self, job: JobId, workspace: WorkspaceId | None = None) -> bool:
        """Ends a job; returns False if there is none that the workspace may end."""
        result: Any = await self.control.propose(itemjobs.EndItemJob(job, workspace), JOB_SECONDS)
        logs.info(Event.JOB_ENDED, job=job, known=result.ok)
        return result.ok

    async def read_results(
        self, job: JobId, first: int, wait: float, workspace: WorkspaceId | None = None
    ) -> ResultsPage:
        """Returns a page of a job's results.

        :param first: the position of the first result.
        :param wait: seconds to wait for a result at that position.
        :param workspace: whose caller reads, as in :class:`itemjobs.EndItemJob`.
        :raises NotFoundError: if there is no such job that the workspace may read.
        :raises UnavailableError: if no leader answered.
        """
        request = ReadResults(CONTROL_GROUP, job, first, wait, workspace=workspace)
        page = await self._read_nearby(msgspec.structs.replace(request, nearby=True))
        if page is not None:
            return page
        answer: Any = await self.control.ask(request, wait + JOB_SECONDS, wait)
        return answer

    async def _read_nearby(self, request: ReadResults) -> ResultsPage | None:
        """Reads results, which are long and read often, at the replica in the local data centre.

        Returns None if there is no such replica, if it doesn't know the job, or if a read there
        fails now or failed a short time ago.
        """
        address, now = self._nearby_address, self._clock()
        if not address or now < self._nearby_retry_at:
            return None
        # Pages that other readers have asked for come before this one on the same line.
        extension = self._nearby_reads * transfer.PAGE_SECONDS
        self._nearby_reads += 1
        try:
            link = self._process.links.to(address, bulk=True)
            answer: Any = await link.call_while_heard(
                request, request.wait + NEARBY_READ_SECONDS, extension
            )
        except NotFoundError:
            return None
        except VerbenaError as error:
            self._nearby_retry_at = now + NEARBY_RETRY_SECONDS
            logs.info(Event.NEAR_REPLICA_LOST, peer=address, error=str(error))
            return None
        finally:
            self._nearby_reads -= 1
        self._process.metrics.count("results.nearby")
        return answer

    async def read_body(self, job: JobId, item: str, workspace: WorkspaceId | None = None) -> bytes:
        """Returns the body of an item.

        :param workspace: whose caller reads, as in :class:`itemjobs.EndItemJob`.
        :raises NotFoundError: if there is no such item, or its job was ended.
        :raises UnavailableError: if no leader answered.
        """
        data = b""
        while True:
            request = ReadItemBody(
                CONTROL_GROUP, job, item, len(data), transfer.PAGE_BYTES, workspace
            )
            answer = await self.control.ask(request, JOB_SECONDS)
            assert isinstance(answer, ItemBody)
            data += answer.data
            if len(data) >= answer.size:
                return data

    async def _run_attempts(self, relay: Relay) -> None:
        while True:
            relay.set_server(BackendName(""), Step.QUEUED, self._clock())
            self.guard.check(relay.guarded, relay.runs)
            server = await self._acquire_slot(relay)
            placed_at = self._clock()
            relay.set_server(server.name, Step.CONNECT, placed_at)
            try:
                self.guard.check(relay.guarded, relay.runs)
                self.guard.record_start(relay.guarded)
                await self._attempt_call(relay, server)
                self._dispatcher.record_success(server.name)
                return
            except BackendError as error:
                is_suspected = await self.guard.check_for_crash(
                    relay.guarded, server, error, begun=relay.begun
                )
                self._record_failure(relay, server, error)
                if relay.respond.started and relay.is_last_attempt:
                    raise ConnectionResetError(error.message) from error
                if not error.not_run and (relay.is_last_attempt or is_suspected):
                    raise OutcomeUnknownError(
                        error.message, step=error.step, peer=server.name
                    ) from error
            finally:
                self._dispatcher.release(server, self._clock() - placed_at, relay.ticket)
                self._load_reporter.mark_changed()
                self._call_queue.wake()

    def _refuse_late(self, relay: Relay) -> None:
        """Refuses a call that no server has memory for, or that must not be cut by this process.

        :raises OverloadedError: another entry can take the call.
        """
        if not self._dispatcher.fits(relay.ticket):
            raise OverloadedError(
                f"no server has memory for {relay.ticket.size.tokens} tokens",
                step="place",
                retry_after=dispatch.MAX_RETRY_SECONDS,
            )
        if not self._grace.may_take(relay.deadline, repeatable=relay.route.repeatable):
            raise OverloadedError(
                "this process stops", step="place", retry_after=dispatch.MIN_RETRY_SECONDS
            )

    def _record_failure(self, relay: Relay, server: BackendEntry, error: BackendError) -> None:
        now = self._clock()
        relay.ticket.excluded.add(server.name)
        if error.not_run and not isinstance(error, BackendReplacedError):
            relay.refusals += 1
            relay.refused_by.add(server.name)
        if relay.respond.started:
            relay.ticket.resume(relay.deadline, relay.refused_by)
        relay.ticket.accepts_late = relay.ticket.accepts_late or relay.runs > 0
        self._prober.record_error(server.name, error)
        logs.info(
            Event.CALL_MOVED,
            call=relay.call.id,
            server=server.name,
            step=error.step,
            error=error.message,
            not_run=error.not_run,
            begun=relay.begun,
            runs=relay.runs,
            last_event=relay.last_event,
            age=round(now - relay.arrived_at, 4),
        )
        if relay.refusals > MAX_REFUSALS and not relay.respond.started:
            if relay.runs:
                raise OutcomeUnknownError("no backend server accepted the call", step="place")
            raise OverloadedError(
                "no backend server accepted the call", step="place", retry_after=0.5
            )

    async def _wait_for_list(self, ticket: Ticket) -> None:
        """Waits for the first backend list if the ticket accepts being late, as a retry does.

        :raises OverloadedError: if no list is known, so that no server can be chosen.
        """
        reason = "no list is known"
        if not self._list_updater.is_known and ticket.accepts_late:
            logs.info(Event.CALL_QUEUED, call=ticket.id, outcome=reason)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ticket.hard_deadline - self._clock()):
                    await self._list_received.wait()
        if not self._list_updater.is_known:
            retry_after = startup_retry_seconds(self._random)
            raise OverloadedError(reason, step="place", retry_after=retry_after)

    async def _acquire_slot(self, relay: Relay) -> BackendEntry:
        ticket = relay.ticket
        await self._wait_for_list(ticket)
        decision = self._call_queue.request(ticket)
        if decision.verdict is Verdict.WAITING:
            logs.info(
                Event.CALL_QUEUED,
                call=ticket.id,
                service=ticket.service,
                waiting=self._dispatcher.waiting,
                waiting_elsewhere=self._load_table.remote_waiting(ticket.service),
                patient=ticket.accepts_late,
            )
            self._load_reporter.mark_changed()
            decision = await self._call_queue.wait(ticket)
        if decision.server is None:
            if relay.runs:
                raise OutcomeUnknownError(decision.reason, step="place")
            raise OverloadedError(decision.reason, step="place", retry_after=decision.retry_after)
        self._load_reporter.mark_changed()
        self._dispatcher.prefixes.record(ticket.size, decision.server.name, self._clock())
        total = self._load_table.total(decision.server.name)
        logs.info(
            Event.CALL_PLACED,
            call=ticket.id,
            route=relay.route.name,
            server=decision.server.name,
            online=total.online,
            batch=total.batch,
            tokens=total.tokens,
            list_age=round(self._list_updater.age, 3),
            version=self.routes.table.version,
            age=round(self._clock() - relay.arrived_at, 4),
            **(ticket.estimate.log_fields() if ticket.estimate is not None else {}),
        )
        return decision.server

    async def _attempt_call(self, relay: Relay, server: BackendEntry) -> None:
        route = relay.route
        remaining = max(0.001, relay.deadline - self._clock())
        relay.runs += 1
        relay.begun = False
        progress_timeout = remaining
        if not relay.is_last_attempt:
            share = STALL_SHARE if route.kind is RouteKind.STREAM else WHOLE_STALL_SHARE
            send_seconds = transfer.transfer_seconds(len(relay.call.body))
            progress_timeout = min(remaining, route.objective * share + send_seconds)
        timer = CallTimer(
            self._dispatcher.speeds, server, route.name, self._clock(), relay.respond.started
        )
        try:
            async with backendcall.open_call(
                self._dialect,
                server,
                relay.call,
                remaining_seconds=remaining,
                last_event=relay.last_event,
                progress_timeout=progress_timeout,
                on_leaving=self._prober.record_leaving,
                on_rate=self._prober.record_rate,
                on_connected=lambda: relay.set_step(Step.HEAD, self._clock()),
                keeps_waiting=lambda: self._keeps_waiting(relay, server),
            ) as opened:
                relay.received_at = self._clock()
                if route.kind is RouteKind.STREAM and opened.head.status == SUCCESS:
                    await self._relay_stream(relay, opened, timer)
                else:
                    await self._relay_whole_response(relay, opened, timer)
                self.guard.record_answered(relay.guarded, opened.head.status)
        except BackendError as error:
            if error.not_run:
                relay.runs -= 1
            raise

    def _keeps_waiting(self, relay: Relay, server: BackendEntry) -> bool:
        """Returns whether a call stays at a server that has been silent, as no other can take it.

        It may be a pause; if not, the call ends at its deadline.
        """
        now = self._clock()
        excluded = relay.ticket.excluded | {server.name}
        if relay.respond.started:
            excluded -= relay.refused_by
        if self._dispatcher.has_usable(relay.ticket.service, excluded, now):
            return False
        if not relay.kept:
            relay.kept = True
            logs.info(
                Event.CALL_KEPT,
                call=relay.call.id,
                server=server.name,
                last_event=relay.last_event,
                age=round(now - relay.arrived_at, 4),
            )
        return True

    def _record_begun(self, relay: Relay) -> None:
        if not relay.begun:
            relay.begun = True
            self.guard.record_begun(relay.guarded)

    async def _relay_whole_response(self, relay: Relay, opened: OpenCall, timer: CallTimer) -> None:
        head = opened.head
        if relay.respond.started:
            raise BackendError(
                f"status {head.status} when resuming the stream", step="head", peer=""
            )
        relay.set_step(Step.BODY, self._clock())
        budget = self._process.budget

        def keep(size: int) -> bool:
            if size:
                relay.received_at = self._clock()
                if head.status == SUCCESS:
                    self._record_begun(relay)
            return budget.keep_part(answer, size)

        with budget.answer() as answer:
            body = await opened.read_whole(MAX_ANSWER_BYTES, keep)
            if head.status == SUCCESS:
                timer.record_events(1, self._clock())
            if head.status >= 500 and not relay.is_last_attempt:
                raise BackendError(f"status {head.status}", step="head", peer="")
            if head.status in NOT_RUN_STATUSES:
                reason = f"status {head.status} without a statement that the call was not run"
                raise BackendError(reason, step="head", peer="")
            relay.record_bytes_sent(self._clock())
            await relay.respond.send_with_headers(
                head.status, [*head.headers, (b"content-length", b"%d" % len(body))], body
            )

    async def _relay_stream(self, relay: Relay, opened: OpenCall, timer: CallTimer) -> None:
        has_events = is_event_stream(opened.exchange.content_type)
        if relay.route.resumable and not has_events:
            await self._relay_whole_response(relay, opened, timer)
            return
        relay.set_step(Step.EVENTS, self._clock())
        pause = relay.route.pause or DEFAULT_PAUSE_SECONDS
        splitter = EventSplitter()
        resumable = relay.route.resumable
        resumed = relay.respond.started
        has_content = False
        async for part in opened.parts():
            relay.received_at = self._clock()
            events = splitter.feed(part) if has_events else []
            has_content = has_content or any(not event.is_empty for event in events)
            if has_content or not has_events:
                self._record_begun(relay)
            timer.record_events(sum(not event.is_empty for event in events), relay.received_at)
            data = part
            if resumable:
                relay.last_event, relay.unnumbered = check_numbers(
                    events, relay.last_event, resumed=resumed, unnumbered=relay.unnumbered
                )
                data = b"".join(event.raw for event in events)
            opened.exchange.set_read_timeout(
                relay.route.timeout if relay.is_last_attempt else pause * STALL_SHARE
            )
            if not data:
                continue
            if not relay.respond.started:
                await relay.respond.start_stream_with_headers(
                    opened.head.status, opened.head.headers
                )
            relay.record_bytes_sent(self._clock())
            await relay.respond.send_chunk(data)
            timer.record_sent(self._clock())
        if splitter.is_inside_event:
            raise BackendError("the stream ended inside an event", step="events", peer="")
        if has_events and not has_content and not opened.exchange.framed:
            raise BackendError("the connection closed before an event", step="events", peer="")
        if not relay.respond.started:
            await relay.respond.start_stream_with_headers(opened.head.status, opened.head.headers)
        if resumable and splitter.partial:
            await relay.respond.send_chunk(splitter.partial)
        await relay.respond.end_stream()

    async def _refresh_stale_list(self) -> None:
        """Reads the backend list at its source while no list is known or the known one is stale."""
        while True:
            if self._list_updater.is_stale:
                await self._list_updater.refresh()
                # The list read here may differ from the version fetched from the leader, so that
                # version must be fetched again.
                self._view.fetcher.discard_version(Document.BACKENDS)
            await asyncio.sleep(LIST_CHECK_SECONDS * self._random.uniform(0.5, 1.5))

    def _on_heartbeat_reply(self, reply: HeartbeatReply) -> None:
        if reply.backends_version >= 0:
            self._list_read_at = self._clock() - reply.backends_age
            if reply.backends_version == self._view.fetcher.fetched_version(Document.BACKENDS):
                self._list_updater.confirm(self._list_read_at)
        self._nearby_address = reply.nearby_replica
        self.finder.wake_waiters()

    def _install_backends(self, _version: int, data: bytes) -> None:
        self._list_updater.install_document(data, self._list_read_at)

    def _on_members_change(self) -> None:
        members = self._view.members.values()
        entries = [member for member in members if member.role is MemberRole.ENTRY]
        self._load_reporter.set_members(entries)
        self._dispatcher.memory.members = max(1, len(entries))

    def _on_report(self, report: Report | None) -> None:
        if report is not None:
            self._prober.record_suspects(report)
        if self._dispatcher.waiting:
            self._call_queue.wake()

    def _on_health_change(self) -> None:
        self._load_reporter.mark_changed()
        self._call_queue.wake()

    def _on_list_change(self) -> None:
        self._list_received.set()
        self._dispatcher.speeds.set_gauges(self._process.metrics)
        self._call_queue.wake()
        self._update_readiness()

    def _on_configuration_change(self) -> None:
        table = self._view.deployment
        if table.version > self.routes.table.version:
            self.finder.routes = RouteIndex(table)
            self.server_limits.limits = table.limits
            self._quota_gate.quotas.install(table)
            self._dispatcher.memory.install(table.services)
        self.finder.wake_waiters()
        self._update_readiness()

    def _update_readiness(self) -> None:
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
        if event in INCOMPLETE_END_EVENTS:
            fields |= relay.progress_fields(now)
        self._process.metrics.count(f"{relay.route.name}.{event.name.lower()}")
        self._process.metrics.time(f"{relay.route.name}.seconds", seconds)
        write = logs.info if event in INFO_END_EVENTS else logs.warning
        write(
            event,
            call=relay.call.id,
            route=relay.route.name,
            runs=relay.runs,
            refusals=relay.refusals,
            last_event=relay.last_event,
            seconds=round(seconds, 4),
            first=(
                None
                if relay.first_sent_at is None
                else round(relay.first_sent_at - relay.arrived_at, 4)
            ),
            longest_pause=round(relay.longest_pause, 4),
            **fields,
        )
