"""HTTP interface for online work: completions, plain services and results."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import msgspec

from verbenashore import completions, deployment, limits, misc, placement
from verbenashore.agentguard import AgentGuard
from verbenashore.callers import CallerDirectory, idempotency_key
from verbenashore.client import GroupClient
from verbenashore.completions import Completion, ModelCall
from verbenashore.deployment import Service, Workspace
from verbenashore.exceptions import (
    BadRequestError,
    KeyConflictError,
    LinkSilentError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    RequestHeldError,
    UnavailableError,
    VerbenaError,
)
from verbenashore.httpserver import Request, Responder
from verbenashore.limits import WorkspaceUsageTable
from verbenashore.messages import CallAnswer, ReadRequest, RunCall, TokenChunk
from verbenashore.placement import Placement, Target
from verbenashore.process import Process
from verbenashore.requests import (
    AbandonRequest,
    AcceptRequest,
    Answer,
    CompleteRequest,
    ReleaseRequest,
    RequestView,
)
from verbenashore.shards import ShardClients
from verbenashore.streams import StreamRunner
from verbenashore.types import (
    IdempotencyKey,
    MemberName,
    RecordId,
    RequestState,
    ServiceKind,
    WorkClass,
)
from verbenashore.view import SystemView

SERVICES_PREFIX = "/v1/services/"
RESULTS_PREFIX = "/v1/results/"
MODELS_PATH = "/v1/models"
LEDGER_TIMEOUT_SECONDS = 8.0
#: Seconds between two checks whether another process has answered the request.
ANSWER_POLL_SECONDS = 0.1
MAX_CALL_ATTEMPTS = 4
ID_HEADER = "x-verbena-request"


class OnlineInterface:
    """Answers online requests; the ledger commits each call's acceptance and its answer."""

    def __init__(
        self,
        process: Process,
        view: SystemView,
        shards: ShardClients,
        callers: CallerDirectory,
        usage: WorkspaceUsageTable,
        streams: StreamRunner,
        agents: Placement,
        guard: AgentGuard,
    ) -> None:
        self._process = process
        self._view = view
        self._shards = shards
        self._callers = callers
        self._limits = usage
        self._streams = streams
        self._placement = agents
        self._guard = guard
        self._holder = MemberName(process.incarnation)

    async def handle_request(self, request: Request, respond: Responder) -> bool:
        """Answers a request; returns false if its method and path are not of this interface."""
        if request.path in completions.PATHS and request.method == "POST":
            await self._answer_within_limits(request, respond, self._handle_completion)
        elif request.path.startswith(SERVICES_PREFIX):
            await self._answer_within_limits(request, respond, self._handle_service_call)
        elif request.path.startswith(RESULTS_PREFIX) and request.method == "GET":
            await self._handle_result_read(request, respond)
        elif request.path == MODELS_PATH and request.method == "GET":
            await self._handle_model_list(request, respond)
        else:
            return False
        return True

    async def _answer_within_limits(self, request: Request, respond: Responder, handler) -> None:
        """Answers a request within the limits of its workspace, and records the metrics."""
        workspace = self._callers.find_workspace(request)
        started = self._process.clock()
        wait = limits.admit(self._limits, workspace, started)
        if wait:
            self._process.metrics.count(f"refused.{workspace.name}")
            raise OverloadedError(
                "the rate or concurrency limit of the workspace is reached",
                step="limit",
                retry_after=wait,
            )
        try:
            await handler(workspace, request, respond)
        finally:
            limits.release(self._limits, workspace.name)
            name = f"request.{workspace.name}.{WorkClass.ONLINE.value}"
            self._process.metrics.time(name, self._process.clock() - started)

    def _new_accept_command(
        self, workspace: Workspace, request: Request, content: bytes, *, repeatable: bool
    ) -> tuple[GroupClient, AcceptRequest, bool]:
        """Returns the shard, the command, and whether the caller sent an idempotency key.

        :param content: what every request with the same key must have in common.
        """
        caller_key = idempotency_key(request)
        key = caller_key or IdempotencyKey(f"made:{misc.random_id('key')}")
        shard = self._shards.for_key(workspace.name, key)
        command = AcceptRequest(
            RecordId(self._shards.new_id("req", shard.group)),
            workspace.name,
            key,
            misc.sha256_hex(content),
            self._holder,
            repeatable,
            self._view.deployment.retention.requests_seconds,
        )
        return shard, command, caller_key is not None

    async def _accept(self, shard: GroupClient, command: AcceptRequest) -> RequestView:
        """Commits the acceptance of a request.

        :raises KeyConflictError: if the key was used before with other content.
        """
        view = await shard.propose(command, LEDGER_TIMEOUT_SECONDS)
        assert isinstance(view, RequestView)
        if view.conflict:
            raise KeyConflictError(
                f"the idempotency key belongs to {view.record}, which has another body",
                step="accept",
                field="idempotency-key",
                not_run=True,
            )
        return view

    async def _handle_completion(
        self, workspace: Workspace, request: Request, respond: Responder
    ) -> None:
        call = completions.parse_call(request.path, request.body)
        service = deployment.service_of_model(self._view.deployment, call.model)
        if service is None:
            raise NotFoundError(
                f"there is no model {call.model!r}", step="route", field="model", not_run=True
            )
        content = completions.canonical_request(call)
        shard, command, keyed = self._new_accept_command(
            workspace, request, content, repeatable=True
        )
        accepting = asyncio.ensure_future(self._accept(shard, command))
        try:
            ran_before = False
            if keyed:
                view = await accepting
                ran_before = view.record != command.record
                if not view.mine:
                    answer = await self._wait_for_answer(shard, workspace, view, command)
                    if answer is not None:
                        await _send_committed_answer(respond, call, view.record, answer)
                        return
            guarded = self._guard.guard_completion(
                command.record, workspace.name, call.path, content, ran_before=ran_before
            )
            policy = self._view.deployment.online
            parts = self._streams.run(
                command.record, workspace.name, service.name, call, policy, guarded
            )
            async with contextlib.aclosing(parts):  # type: ignore[type-var]
                await self._relay_parts(shard, accepting, call, workspace, parts, respond)
        except OverloadedError:
            await self._abandon_request(shard, accepting)
            raise
        except BaseException:
            misc.spawn(self._release_request(shard, command), self._process.tasks)
            raise
        finally:
            await misc.cancel_and_wait(accepting)

    async def _release_request(self, shard: GroupClient, command: AcceptRequest) -> None:
        """Releases a request that ended here without an answer, so that a retry may run it."""
        with contextlib.suppress(VerbenaError):
            view = await self._accept(shard, command)
            if view.mine:
                await shard.propose(
                    ReleaseRequest(view.record, command.record), LEDGER_TIMEOUT_SECONDS
                )

    async def _abandon_request(
        self, shard: GroupClient, accepting: "asyncio.Future[RequestView]"
    ) -> None:
        """Marks an accepted request as not run, so that its key may be used again."""
        with contextlib.suppress(VerbenaError):
            view = await accepting
            await shard.propose(AbandonRequest(view.record), LEDGER_TIMEOUT_SECONDS)

    async def _relay_parts(
        self,
        shard: GroupClient,
        accepting: "asyncio.Future[RequestView]",
        call: ModelCall,
        workspace: Workspace,
        parts: AsyncIterator[TokenChunk],
        respond: Responder,
    ) -> None:
        """Relays the parts of an answer; commits the whole answer before its end is sent."""
        answer = Completion("", call.model, int(time.time()))
        started = last = self._process.clock()
        async for part in parts:
            if not answer.id:
                answer.id = (await accepting).record
            now = self._process.clock()
            metric = "interval" if answer.tokens else "first"
            self._process.metrics.time(f"{metric}.{workspace.name}.online", now - last)
            last = now
            first = not answer.tokens
            answer.text += part.text
            answer.tokens += part.tokens
            answer.prompt_tokens = part.prompt_tokens or answer.prompt_tokens
            answer.cached_tokens = part.cached_tokens or answer.cached_tokens
            answer.finish_reason = part.finish
            if call.stream and part.text:
                if not respond.started:
                    await respond.start_stream(200, "text/event-stream", {ID_HEADER: answer.id})
                await respond.send_chunk(
                    completions.stream_event(call.path, answer, part.text, None, first=first)
                )
        self._process.metrics.time(f"answer.{workspace.name}.online", last - started)
        await self._commit_and_finish(shard, call, answer, respond)

    async def _commit_and_finish(
        self, shard: GroupClient, call: ModelCall, answer: Completion, respond: Responder
    ) -> None:
        document = msgspec.json.encode(completions.response_document(call.path, answer))
        complete = CompleteRequest(RecordId(answer.id), 200, "application/json", document)
        await shard.propose(complete, LEDGER_TIMEOUT_SECONDS)
        if not call.stream:
            await respond.send_response(200, "application/json", document, {ID_HEADER: answer.id})
            return
        if not respond.started:
            await respond.start_stream(200, "text/event-stream", {ID_HEADER: answer.id})
        last = completions.stream_event(call.path, answer, "", answer.finish_reason, first=False)
        if call.include_usage:
            last += completions.usage_event(call.path, answer)
        await respond.send_chunk(last + completions.LAST_EVENT)
        await respond.end_stream()

    async def _wait_for_answer(
        self, shard: GroupClient, workspace: Workspace, view: RequestView, command: AcceptRequest
    ) -> Answer | None:
        """Waits for the answer of an earlier request with the same key.

        Returns None if this process is to run the request now.

        :raises OutcomeUnknownError: if it was started and its outcome can't be determined.
        :raises UnavailableError: if there is no answer within the deadline.
        """
        deadline = self._process.clock() + self._view.deployment.online.deadline_seconds
        while self._process.clock() < deadline:
            if view.answer is not None:
                return view.answer
            if view.state is RequestState.OUTCOME_UNKNOWN:
                raise OutcomeUnknownError(
                    f"the outcome of {view.record} can't be determined", step="attach"
                )
            await asyncio.sleep(ANSWER_POLL_SECONDS)
            view = await self._accept(shard, command)
            if view.mine:
                return None
        raise UnavailableError(
            f"{view.record} is still running; retry with the same key", step="attach"
        )

    async def _handle_service_call(
        self, workspace: Workspace, request: Request, respond: Responder
    ) -> None:
        service, target = self._find_service(request)
        repeatable = request.method in service.repeatable_methods
        content = f"{request.method} {request.target}\n".encode() + request.body
        shard, command, _ = self._new_accept_command(
            workspace, request, content, repeatable=repeatable
        )
        view = await self._accept(shard, command)
        call = RunCall(
            view.record,
            shard.group,
            workspace.name,
            service.name,
            request.method,
            target,
            request.headers.get("content-type", ""),
            request.body,
            repeatable,
            request.headers.get("idempotency-key", view.record),
            self._view.deployment.online.deadline_seconds,
        )
        try:
            answer = await self._obtain_answer(shard, workspace, view, command, call)
        except BaseException:
            misc.spawn(self._release_request(shard, command), self._process.tasks)
            raise
        headers = {ID_HEADER: view.record}
        await respond.send_response(answer.status, answer.content_type, answer.body, headers)

    def _find_service(self, request: Request) -> tuple[Service, str]:
        """Returns the service that a path names, and the request target to use there."""
        name, slash, service_target = request.target.removeprefix(SERVICES_PREFIX).partition("/")
        for service in self._view.deployment.service:
            if service.name == name and service.kind is ServiceKind.PLAIN:
                return service, slash + service_target or "/"
        raise NotFoundError(
            f"there is no service {name!r}", step="route", field="path", not_run=True
        )

    async def _obtain_answer(
        self,
        shard: GroupClient,
        workspace: Workspace,
        view: RequestView,
        command: AcceptRequest,
        call: RunCall,
    ) -> Answer:
        """Runs a call, or waits for its answer if another process runs it."""
        answer = view.answer
        if not view.mine:
            answer = await self._wait_for_answer(shard, workspace, view, command)
        if answer is None:
            # The ledger knows whether a call that may not be repeated has run.
            ran_before = call.repeatable and view.record != command.record
            answer = await self._run_call(shard, call, ran_before)
        if answer is None:
            answer = await self._wait_for_answer(shard, workspace, view, command)
        if answer is None:
            raise UnavailableError("the call was not run; retry it", step="call")
        return answer

    async def _run_call(self, shard: GroupClient, call: RunCall, ran_before: bool) -> Answer | None:
        """Tries a call at one agent after the other; returns None if another process runs it."""
        excluded: set[MemberName] = set()
        may_have_run = False
        error: VerbenaError = OverloadedError("no agent serves this service now", step="place")
        guarded = self._guard.guard_call(call, ran_before=ran_before)
        for _ in range(MAX_CALL_ATTEMPTS):
            refusal = guarded.refusal()
            if refusal is not None:
                error = refusal
                may_have_run = may_have_run or not refusal.not_run
                break
            agent = placement.choose(
                self._placement,
                call.service,
                "",
                call.workspace,
                "",
                excluded,
                self._process.clock(),
            )
            if agent is None:
                break
            try:
                guarded.record_start()
                answer = await self._call_agent(shard, agent, call)
                if answer is not None:
                    guarded.record_answer()
                return answer
            except VerbenaError as failure:
                guarded.record_failure(agent.backend, failure, begun=False)
                if isinstance(failure, OutcomeUnknownError | KeyConflictError):
                    raise
                error = failure
                may_have_run = may_have_run or not failure.not_run
                excluded.add(agent.name)
                placement.mark_slow(agent, self._process.clock())
        if call.repeatable and may_have_run:
            # Repeatable calls are not claimed, so nothing proves that it was not run.
            raise UnavailableError(error.message, step=error.step, peer=error.peer)
        return await self._abandon_call(shard, call.record, error)

    async def _call_agent(self, shard: GroupClient, agent: Target, call: RunCall) -> Answer | None:
        placement.record_start(agent, call.workspace)
        try:
            result = await self._process.links.to(agent.address).call(call, call.due_in)
        finally:
            placement.record_end(agent, call.workspace)
        if not isinstance(result, CallAnswer):
            raise LinkSilentError("unexpected reply", step="call", peer=agent.name)
        placement.record_load_report(agent, result.load, self._process.clock())
        if not result.status:
            return None
        answer = Answer(result.status, result.content_type, result.body)
        if call.repeatable:
            await shard.propose(
                CompleteRequest(call.record, answer.status, answer.content_type, answer.body),
                LEDGER_TIMEOUT_SECONDS,
            )
        return answer

    async def _abandon_call(
        self, shard: GroupClient, record: RecordId, error: VerbenaError
    ) -> Answer | None:
        """Ends a request that no agent answered; reports ``not_run`` only if that is committed."""
        view = await shard.propose(AbandonRequest(record), LEDGER_TIMEOUT_SECONDS)
        if isinstance(view, RequestView) and view.state is RequestState.NOT_RUN:
            if isinstance(error, RequestHeldError):
                raise error
            raise OverloadedError(error.message, step=error.step, peer=error.peer)
        return view.answer if isinstance(view, RequestView) else None

    async def _handle_result_read(self, request: Request, respond: Responder) -> None:
        workspace = self._callers.find_workspace(request)
        record = RecordId(request.path.removeprefix(RESULTS_PREFIX))
        shard = self._shards.for_id(record)
        read = ReadRequest(shard.group, workspace.name, record)
        view = await shard.ask(read, LEDGER_TIMEOUT_SECONDS)
        if not isinstance(view, RequestView):
            raise BadRequestError("unexpected reply", step="read", field="id")
        answer = view.answer
        document = {
            "id": view.record,
            "object": "result",
            "state": view.state.value,
            "status": answer.status if answer else None,
            "content_type": answer.content_type if answer else None,
            "body": answer.body.decode("utf-8", "replace") if answer else None,
        }
        await respond.send_json(200, document)

    async def _handle_model_list(self, request: Request, respond: Responder) -> None:
        self._callers.find_workspace(request)
        models = [
            {"id": model.name, "object": "model", "created": 0, "owned_by": "verbenashore"}
            for model in self._view.deployment.model
        ]
        await respond.send_json(200, {"object": "list", "data": models})


async def _send_committed_answer(
    respond: Responder, call: ModelCall, record: RecordId, answer: Answer
) -> None:
    """Sends a committed answer again, streamed or whole as requested."""
    headers = {ID_HEADER: record}
    if not call.stream or answer.status != 200:
        await respond.send_response(answer.status, answer.content_type, answer.body, headers)
        return
    await respond.start_stream(200, "text/event-stream", headers)
    await respond.send_chunk(completions.event_stream(call.path, answer.body, call.include_usage))
    await respond.end_stream()
