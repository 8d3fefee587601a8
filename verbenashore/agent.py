"""``verbena-agent``: the sole client of one backend server; queues and forwards its work."""

import argparse
import asyncio
import contextlib
import functools
import sys
from collections.abc import Sequence

import msgspec

from verbenashore import (
    admission,
    backendcall,
    completions,
    deployment,
    engine,
    httpclient,
    instances,
    logs,
    misc,
    process,
    settings,
)
from verbenashore.admission import WorkUnit, WorkUnitId
from verbenashore.batchwork import BatchWorker
from verbenashore.deployment import Backend
from verbenashore.exceptions import (
    BackendError,
    OutcomeUnknownError,
    OverloadedError,
    UnavailableError,
    VerbenaError,
)
from verbenashore.link import Reply, Server
from verbenashore.logs import Event
from verbenashore.messages import (
    AgentLoad,
    AskLoad,
    CallAnswer,
    Envelope,
    PresentLoad,
    RunCall,
    RunModel,
    TokenChunk,
)
from verbenashore.orders import BackendController
from verbenashore.process import Process
from verbenashore.requests import AbandonRequest, CompleteRequest, RequestView, StartRequest
from verbenashore.settings import Setting
from verbenashore.shards import ShardClients, renew_session
from verbenashore.slots import SlotScheduler
from verbenashore.types import (
    BackendName,
    MemberName,
    MemberRole,
    MemberState,
    WorkClass,
    WorkspaceId,
)
from verbenashore.view import SystemView

PROGRAM = "verbena-agent"
LEDGER_TIMEOUT_SECONDS = 10.0
#: Time for entries to learn of a drain; also the poll interval of the platform's instance list.
DRAIN_NOTICE_SECONDS = 0.5
DRAIN_TIMEOUT_SECONDS = 120.0
#: An engine that produced a token within this time isn't probed.
INTERVAL_VALID_SECONDS = 0.2
PROBE_TOKENS = 3
PROBE_PROGRESS_SECONDS = 2.0

SETTINGS = (
    *settings.COMMON,
    *settings.SERVER,
    Setting("backend", settings.parse_name, "the backend server that this agent serves"),
    Setting("ledgers", settings.parse_addresses, "addresses of the ledger processes"),
    Setting("shards", settings.parse_count, "how many shards the work ledger has", "1"),
    Setting(
        "platform",
        settings.parse_addresses,
        "addresses of the platform's instance list; not read if empty",
        "",
    ),
    Setting("instance", str, "this instance's name in that list", ""),
    Setting(
        "policy",
        settings.parse_choice("classes", "baseline"),
        "scheduling; baseline serves first come, first served, for comparison only",
        "classes",
    ),
)


class AgentProcess:
    """Runs calls and batch items at one backend server, and orders it to load its models."""

    def __init__(self, running: Process) -> None:
        self._process = running
        self._settings = running.settings
        self._backend_name = BackendName(self._settings.backend)
        self._shards = ShardClients(
            running.links, self._settings.ledgers, self._settings.shards, running.clock
        )
        self._view = SystemView(
            running,
            self._shards.control,
            MemberRole.AGENT,
            settings.advertised_address(self._settings),
            self._backend_name,
        )
        self._view.on_change.append(self._on_change)
        self._holder = MemberName(running.incarnation)
        self._slots = SlotScheduler(running.clock, self._settings.policy == "baseline")
        self._controller = BackendController(
            running, self._view, self._shards.control, self._backend_name
        )
        self._batch = BatchWorker(
            running, self._shards, self._slots, self._find_backend, lambda: self._is_serving
        )

    @property
    def _is_serving(self) -> bool:
        return (
            self._view.state is MemberState.SERVING
            and not self._view.drained
            and self._controller.owns_backend
            and self._find_backend() is not None
            and not self._slots.is_paused
        )

    def _find_backend(self) -> Backend | None:
        return deployment.find_backend(self._view.deployment, self._backend_name)

    async def run(self) -> None:
        """Serves until a stop is requested, then drains."""
        server = Server(
            self._process.context,
            str(self._settings.listen),
            self._process.make_sender,
            self._process.clock,
            self.handle_call,
        )
        self._process.start_task(server.run())
        for address in self._settings.health:
            self._process.start_task(process.serve_health(self._process, str(address)))
        self._process.start_task(self._view.run())
        self._process.start_task(self._controller.run())
        self._process.start_task(self._batch.run())
        self._process.start_task(self._watch_platform())
        for client in self._shards.by_group.values():
            on_renewed = functools.partial(self._batch.on_renewed, client.group)
            session = renew_session(client, self._holder, self._batch.leased_jobs, on_renewed)
            self._process.start_task(session)
        await self._process.wait_for_stop()
        logs.info(Event.STOPPING)
        await self._drain(server)

    def _on_change(self) -> None:
        backend = self._find_backend()
        if backend is not None:
            deployed = self._view.deployment
            self._slots.configure(backend.slots, deployed.online, deployed.batch)
        self._process.ready = self._is_serving

    async def _drain(self, server: Server) -> None:
        self._view.set_state(MemberState.DRAINING)
        self._process.ready = False
        await self._batch.return_items()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_TIMEOUT_SECONDS):
                # Entries learn of the drain through a heartbeat and the next member list.
                await asyncio.sleep(DRAIN_NOTICE_SECONDS)
                await server.wait_idle()
        await self._shards.release(self._holder)

    async def _watch_platform(self) -> None:
        """Drains this agent when the platform reports that its instance is leaving."""
        for platform in self._settings.platform:
            while self._view.state is MemberState.SERVING:
                await asyncio.sleep(DRAIN_NOTICE_SECONDS)
                with contextlib.suppress(BackendError):
                    if await instances.is_leaving(str(platform), self._settings.instance):
                        self._view.set_state(MemberState.DRAINING)
                        self._process.ready = False
                        await self._batch.return_items()

    async def handle_call(self, envelope: Envelope, reply: Reply) -> None:
        """Runs one call and sends its replies."""
        body = envelope.body
        if not self._is_serving:
            raise OverloadedError("the agent is not accepting work", step="admit", retry_after=0.5)
        if isinstance(body, AskLoad):
            await self._probe_token_interval()
            reply(PresentLoad(self._current_load()), True)
        elif isinstance(body, RunModel):
            await self._run_model(body, reply)
        elif isinstance(body, RunCall):
            reply(await self._run_call(body), True)
        else:
            raise VerbenaError(f"unexpected call {type(body).__name__}", step="handle")

    def _new_unit(self, workspace: WorkspaceId, size: int, due_in: float) -> WorkUnit:
        now = self._process.clock()
        unit_id = WorkUnitId(misc.random_id("piece"))
        return WorkUnit(unit_id, workspace, WorkClass.ONLINE, size, now, now + due_in)

    async def _run_model(self, body: RunModel, reply: Reply) -> None:
        backend = self._require_backend()
        if body.model not in backend.models:
            raise OverloadedError(
                f"model {body.model} is not served by this backend server", step="admit"
            )
        size = body.prompt_tokens + body.max_tokens - body.resume_tokens
        unit = self._new_unit(body.workspace, size, body.due_in)
        call = engine.EngineCall(body.path, body.body, body.resume_text, body.resume_tokens)
        progress_seconds = self._view.deployment.online.progress_seconds
        async with self._slots.acquire(unit), backendcall.marking_crashes(backend):
            position = 0
            async for part in engine.generate(backend.address, call, progress_seconds):
                self._slots.record_tokens(unit.id, part.tokens)
                reply(self._token_chunk(position, part), bool(part.finish_reason))
                position += part.tokens

    def _token_chunk(self, position: int, part: engine.GeneratedPart) -> TokenChunk:
        return TokenChunk(
            position,
            part.text,
            part.tokens,
            part.finish_reason,
            part.prompt_tokens,
            part.cached_tokens,
            self._current_load(),
        )

    def _current_load(self) -> AgentLoad:
        state = self._slots.admission_state
        slowness = admission.slowness(state, self._process.clock())
        return AgentLoad(admission.load(state), slowness)

    async def _probe_token_interval(self) -> None:
        """Measures the token interval of an engine without recent tokens by a short generation."""
        backend = self._require_backend()
        age = self._process.clock() - self._slots.admission_state.measured_at
        if not backend.models or age < INTERVAL_VALID_SECONDS:
            return
        body = msgspec.json.encode(
            {"model": backend.models[0], "prompt": "pace", "max_tokens": PROBE_TOKENS}
        )
        call = engine.EngineCall(completions.TEXT_PATH, body)
        last_token_at = 0.0
        async for part in engine.generate(backend.address, call, PROBE_PROGRESS_SECONDS):
            now = self._process.clock()
            if last_token_at:
                admission.record_probe(
                    self._slots.admission_state, (now - last_token_at) / part.tokens, now
                )
            last_token_at = now

    def _require_backend(self) -> Backend:
        backend = self._find_backend()
        if backend is None:
            raise OverloadedError("the backend server is not in the configuration", step="admit")
        return backend

    async def _run_call(self, body: RunCall) -> CallAnswer:
        backend = self._require_backend()
        unit = self._new_unit(body.workspace, 1, body.due_in)
        async with self._slots.acquire(unit):
            if body.repeatable:
                return await self._forward_call(backend, body)
            # A claimed call runs to its end even without a caller: its outcome must be committed.
            claimed_run = misc.spawn(self._run_claimed_call(backend, body), self._process.tasks)
            return await asyncio.shield(claimed_run)

    async def _forward_call(self, backend: Backend, body: RunCall) -> CallAnswer:
        headers = {"idempotency-key": body.key, "x-workspace": body.workspace}
        if body.content_type:
            headers["content-type"] = body.content_type
        async with backendcall.marking_crashes(backend):
            response = await httpclient.request(
                backend.address,
                body.method,
                body.target,
                body.body,
                seconds=self._view.deployment.online.progress_seconds,
                headers=headers,
            )
        return CallAnswer(
            response.status, response.content_type, response.body, self._current_load()
        )

    async def _run_claimed_call(self, backend: Backend, body: RunCall) -> CallAnswer:
        """Claims a call that may not be repeated, forwards it and commits its outcome.

        If the ledger doesn't grant the claim, returns an answer with status 0 and runs nothing.
        """
        shard = self._shards.by_group[body.group]
        claim = misc.random_id("claim")
        start = StartRequest(body.record, self._holder, claim)
        try:
            view = await shard.propose(start, LEDGER_TIMEOUT_SECONDS)
        except UnavailableError as error:
            raise OutcomeUnknownError(error.message, step="claim", peer=error.peer) from None
        if not isinstance(view, RequestView) or not view.mine:
            return CallAnswer(0, "", b"", self._current_load())
        try:
            answer = await self._forward_call(backend, body)
        except BackendError as error:
            await shard.propose(
                AbandonRequest(body.record, claim, sent=not error.not_run), LEDGER_TIMEOUT_SECONDS
            )
            if error.not_run:
                raise
            logs.warning(Event.OUTCOME_UNKNOWN, record=body.record, peer=backend.address)
            unknown = OutcomeUnknownError(error.message, step=error.step, peer=error.peer)
            unknown.crashed = error.crashed
            raise unknown from None
        complete = CompleteRequest(body.record, answer.status, answer.content_type, answer.body)
        await self._commit_answer(shard.propose, complete)
        return answer

    async def _commit_answer(self, propose, command: CompleteRequest) -> None:
        """Commits an answer that can't be obtained again; retries while no leader is reachable."""
        while True:
            with contextlib.suppress(UnavailableError):
                await propose(command, LEDGER_TIMEOUT_SECONDS)
                return


async def _run_agent(running: Process) -> None:
    await AgentProcess(running).run()


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program; returns its exit code."""
    values: argparse.Namespace = settings.read_or_exit(
        PROGRAM, "Queues and forwards the work of one backend server.", SETTINGS, arguments
    )
    return process.run(values, _run_agent)


if __name__ == "__main__":
    sys.exit(main())
