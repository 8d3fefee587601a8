"""``verbena-agent``: the only way to one backend server."""

import argparse
import asyncio
import contextlib
import functools
import sys
from collections.abc import Sequence

import msgspec

from verbenashore import (
    admission,
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
from verbenashore.admission import Piece, PieceId
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
from verbenashore.orders import OrderKeeper
from verbenashore.process import Process
from verbenashore.requests import AbandonRequest, CompleteRequest, RequestView, StartRequest
from verbenashore.settings import Setting
from verbenashore.shards import Shards, keep_session
from verbenashore.slots import Slots
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
LEDGER_SECONDS = 10.0
LEAVING_SECONDS = 0.5
DRAIN_SECONDS = 120.0
#: A pace that was measured within this time is still good.
PACE_SECONDS = 0.2
PACE_TOKENS = 3
PACE_PROGRESS_SECONDS = 2.0

SETTINGS = (
    *settings.COMMON,
    *settings.CALLED,
    Setting("backend", settings.parse_name, "the backend server this is the way to"),
    Setting("ledgers", settings.parse_addresses, "addresses of the ledger processes"),
    Setting("shards", settings.parse_count, "how many shards the work ledger has", "1"),
    Setting(
        "platform", settings.parse_addresses, "the platform's instance list; none if empty", ""
    ),
    Setting("instance", str, "this instance's name in that list", ""),
    Setting(
        "policy",
        settings.parse_choice("classes", "baseline"),
        "baseline serves first come, first served; for comparison only",
        "classes",
    ),
)


class AgentProcess:
    """One backend server's queue, its runs and its orders."""

    def __init__(self, running: Process) -> None:
        self._process = running
        self._settings = running.settings
        self._backend_name = BackendName(self._settings.backend)
        self._shards = Shards(
            running.links, self._settings.ledgers, self._settings.shards, running.clock
        )
        self._view = SystemView(
            running,
            self._shards.control,
            MemberRole.AGENT,
            settings.advertised(self._settings),
            self._backend_name,
        )
        self._view.on_change.append(self._on_change)
        self._holder = MemberName(running.incarnation)
        self._slots = Slots(running.clock, self._settings.policy == "baseline")
        self._orders = OrderKeeper(running, self._view, self._shards.control, self._backend_name)
        self._batch = BatchWorker(
            running, self._shards, self._slots, self._backend, lambda: self._is_serving
        )

    @property
    def _is_serving(self) -> bool:
        return (
            self._view.state is MemberState.SERVING
            and not self._view.drained
            and self._orders.owns_backend
            and self._backend() is not None
            and not self._slots.is_paused
        )

    def _backend(self) -> Backend | None:
        return deployment.find_backend(self._view.deployment, self._backend_name)

    async def run(self) -> None:
        """Serves until told to stop, then drains."""
        server = Server(
            self._process.context,
            str(self._settings.listen),
            self._process.sender,
            self._process.clock,
            self.handle,
        )
        self._process.start(server.run())
        for address in self._settings.health:
            self._process.start(process.serve_health(self._process, str(address)))
        self._process.start(self._view.run())
        self._process.start(self._orders.run())
        self._process.start(self._batch.run())
        self._process.start(self._watch_platform())
        for client in self._shards.by_group.values():
            renewed = functools.partial(self._batch.on_renewed, client.group)
            keeping = keep_session(client, self._holder, self._batch.held_jobs, renewed)
            self._process.start(keeping)
        await self._process.wait_for_stop()
        logs.info(Event.STOPPING)
        await self._drain(server)

    def _on_change(self) -> None:
        backend = self._backend()
        if backend is not None:
            deployed = self._view.deployment
            self._slots.configure(backend.slots, deployed.online, deployed.batch)
        self._process.ready = self._is_serving

    async def _drain(self, server: Server) -> None:
        self._view.set_state(MemberState.DRAINING)
        self._process.ready = False
        await self._batch.hand_back()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_SECONDS):
                # Entries learn of the drain within a heartbeat and a member list's round.
                await asyncio.sleep(LEAVING_SECONDS)
                await server.wait_idle()
        await self._shards.release(self._holder)

    async def _watch_platform(self) -> None:
        """Drains this agent when the platform says that its instance leaves."""
        for platform in self._settings.platform:
            while self._view.state is MemberState.SERVING:
                await asyncio.sleep(LEAVING_SECONDS)
                with contextlib.suppress(BackendError):
                    if await instances.is_leaving(str(platform), self._settings.instance):
                        self._view.set_state(MemberState.DRAINING)
                        self._process.ready = False
                        await self._batch.hand_back()

    async def handle(self, envelope: Envelope, reply: Reply) -> None:
        """Answers one call."""
        body = envelope.body
        if not self._is_serving:
            raise OverloadedError("this agent takes no work now", step="admit", retry_after=0.5)
        if isinstance(body, AskLoad):
            await self._measure_pace()
            reply(PresentLoad(self._load()), True)
        elif isinstance(body, RunModel):
            await self._run_model(body, reply)
        elif isinstance(body, RunCall):
            reply(await self._run_call(body), True)
        else:
            raise VerbenaError(f"unexpected call {type(body).__name__}", step="handle")

    def _new_piece(self, workspace: WorkspaceId, size: int, due_in: float) -> Piece:
        now = self._process.clock()
        piece_id = PieceId(misc.random_id("piece"))
        return Piece(piece_id, workspace, WorkClass.ONLINE, size, now, now + due_in)

    async def _run_model(self, body: RunModel, reply: Reply) -> None:
        backend = self._known_backend()
        if body.model not in backend.models:
            raise OverloadedError(f"{body.model} is not served here", step="admit")
        size = body.prompt_tokens + body.max_tokens - body.resume_tokens
        piece = self._new_piece(body.workspace, size, body.due_in)
        call = engine.EngineCall(body.path, body.body, body.resume_text, body.resume_tokens)
        progress = self._view.deployment.online.progress_seconds
        async with self._slots.taken(piece):
            position = 0
            async for part in engine.generate(backend.address, call, progress):
                self._slots.note_tokens(piece.id, part.tokens)
                reply(self._chunk(position, part), bool(part.finish))
                position += part.tokens

    def _chunk(self, position: int, part: engine.Generated) -> TokenChunk:
        return TokenChunk(
            position,
            part.text,
            part.tokens,
            part.finish,
            part.prompt_tokens,
            part.cached_tokens,
            self._load(),
        )

    def _load(self) -> AgentLoad:
        state = self._slots.state
        slowness = admission.slowness(state, self._process.clock())
        return AgentLoad(admission.load(state), slowness)

    async def _measure_pace(self) -> None:
        """Lets an engine without recent tokens make a few, to see how fast it is now."""
        backend = self._known_backend()
        since = self._process.clock() - self._slots.state.measured_at
        if not backend.models or since < PACE_SECONDS:
            return
        body = msgspec.json.encode(
            {"model": backend.models[0], "prompt": "pace", "max_tokens": PACE_TOKENS}
        )
        call = engine.EngineCall(completions.TEXT_PATH, body)
        last = 0.0
        async for part in engine.generate(backend.address, call, PACE_PROGRESS_SECONDS):
            now = self._process.clock()
            if last:
                admission.note_probe(self._slots.state, (now - last) / part.tokens, now)
            last = now

    def _known_backend(self) -> Backend:
        backend = self._backend()
        if backend is None:
            raise OverloadedError("this backend server is not configured", step="admit")
        return backend

    async def _run_call(self, body: RunCall) -> CallAnswer:
        backend = self._known_backend()
        piece = self._new_piece(body.workspace, 1, body.due_in)
        async with self._slots.taken(piece):
            if body.repeatable:
                return await self._call(backend, body)
            # Once it is claimed the call must see its end, whether or not anybody still waits.
            run = misc.spawn(self._call_once(backend, body), self._process.tasks)
            return await asyncio.shield(run)

    async def _call(self, backend: Backend, body: RunCall) -> CallAnswer:
        headers = {"idempotency-key": body.key, "x-workspace": body.workspace}
        if body.content_type:
            headers["content-type"] = body.content_type
        answer = await httpclient.request(
            backend.address,
            body.method,
            body.target,
            body.body,
            seconds=self._view.deployment.online.progress_seconds,
            headers=headers,
        )
        return CallAnswer(answer.status, answer.content_type, answer.body, self._load())

    async def _call_once(self, backend: Backend, body: RunCall) -> CallAnswer:
        """Runs a call that may not be repeated, between its claim and its committed answer."""
        shard = self._shards.by_group[body.group]
        claim = misc.random_id("claim")
        start = StartRequest(body.record, self._holder, claim)
        try:
            view = await shard.propose(start, LEDGER_SECONDS)
        except UnavailableError as error:
            raise OutcomeUnknownError(error.message, step="claim", peer=error.peer) from None
        if not isinstance(view, RequestView) or not view.mine:
            return CallAnswer(0, "", b"", self._load())
        try:
            answer = await self._call(backend, body)
        except BackendError as error:
            await shard.propose(
                AbandonRequest(body.record, claim, sent=not error.not_run), LEDGER_SECONDS
            )
            if error.not_run:
                raise
            logs.warning(Event.OUTCOME_UNKNOWN, record=body.record, peer=backend.address)
            raise OutcomeUnknownError(error.message, step=error.step, peer=error.peer) from None
        complete = CompleteRequest(body.record, answer.status, answer.content_type, answer.body)
        await self._until_committed(shard.propose, complete)
        return answer

    async def _until_committed(self, propose, command: CompleteRequest) -> None:
        """Commits an answer that can't be had a second time, however long the ledger is away."""
        while True:
            with contextlib.suppress(UnavailableError):
                await propose(command, LEDGER_SECONDS)
                return


async def _program(running: Process) -> None:
    await AgentProcess(running).run()


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program; returns its exit code."""
    values: argparse.Namespace = settings.read_or_exit(
        PROGRAM, "The only way to one backend server.", SETTINGS, arguments
    )
    return process.run(values, _program)


if __name__ == "__main__":
    sys.exit(main())
