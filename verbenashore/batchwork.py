"""The part of an agent that leases batch items, runs them and sends their results."""

import asyncio
import time
from collections.abc import Callable

import msgspec

from verbenashore import admission, completions, engine, logs, misc
from verbenashore.admission import WorkUnit, WorkUnitId
from verbenashore.completions import Completion
from verbenashore.deployment import Backend
from verbenashore.exceptions import (
    BackendError,
    BackendRefusedError,
    UnavailableError,
    VerbenaError,
)
from verbenashore.jobs import CompleteItems, ItemResult, LeasedItem, LeasedItems, LeaseItems
from verbenashore.logs import Event
from verbenashore.messages import SessionRenewed
from verbenashore.process import Process
from verbenashore.shards import ShardClients
from verbenashore.slots import SlotScheduler
from verbenashore.types import GroupId, JobId, MemberName, WorkClass

PULL_INTERVAL_SECONDS = 0.05
FLUSH_INTERVAL_SECONDS = 0.02
LEDGER_TIMEOUT_SECONDS = 5.0
#: Longest time in seconds between two parts of the engine's answer.
PROGRESS_TIMEOUT_SECONDS = 15.0


class HeldItem(msgspec.Struct):
    """An item that this agent leases.

    :param group: the group whose ledger leased the item.
    :param text: the text produced so far, with which the item resumes after it yielded.
    :param tokens: the number of tokens in that text.
    :param yielded: true from when the item has to yield its slot until its next turn begins.
    """

    group: GroupId
    leased: LeasedItem
    task: asyncio.Task[None] | None = None
    text: str = ""
    tokens: int = 0
    yielded: bool = False

    @property
    def unit_id(self) -> WorkUnitId:
        """The id of the item in the agent's queue."""
        return WorkUnitId(f"{self.leased.job}/{self.leased.position}/{self.leased.attempt}")


class BatchWorker:
    """Runs the items that this agent leases."""

    def __init__(
        self,
        process: Process,
        shards: ShardClients,
        slots: SlotScheduler,
        backend: Callable[[], Backend | None],
        is_serving: Callable[[], bool],
    ) -> None:
        self._process = process
        self._shards = shards
        self._slots = slots
        self._backend = backend
        self._is_serving = is_serving
        self._holder = MemberName(process.incarnation)
        self._held_by_unit_id: dict[WorkUnitId, HeldItem] = {}
        self._results_by_group: dict[GroupId, list[ItemResult]] = {
            group: [] for group in shards.by_group
        }
        self._waiting_by_group: dict[GroupId, int] = dict.fromkeys(shards.by_group, 0)

    async def run(self) -> None:
        """Leases items and sends results until it is cancelled."""
        flushes = (self._flush_forever(group) for group in self._shards.by_group)
        await asyncio.gather(self._lease_items_forever(), *flushes)

    def leased_jobs(self) -> list[JobId]:
        """Returns the jobs of which this agent leases items."""
        return sorted({held.leased.job for held in self._held_by_unit_id.values()})

    def on_renewed(self, group: GroupId, answer: SessionRenewed) -> None:
        """Records how many items wait in a group, and drops the items of stopped jobs.

        A dropped item is cancelled at the engine.
        """
        self._waiting_by_group[group] = answer.waiting
        stopped = set(answer.stopped)
        for held in list(self._held_by_unit_id.values()):
            if held.leased.job in stopped:
                self._drop_item(held)

    async def return_items(self) -> None:
        """Returns all items unfinished, before a planned stop."""
        for held in list(self._held_by_unit_id.values()):
            self._drop_item(held)
            result = self._result_of(held, 0, b"")
            self._add_result(held, msgspec.structs.replace(result, returned=True))
        await asyncio.gather(
            *(self._flush(group) for group in self._shards.by_group), return_exceptions=True
        )

    def _drop_item(self, held: HeldItem) -> None:
        self._held_by_unit_id.pop(held.unit_id, None)
        if held.task is not None:
            held.task.cancel()

    async def _lease_items_forever(self) -> None:
        while True:
            await asyncio.sleep(PULL_INTERVAL_SECONDS)
            for group in self._shards.by_group:
                backend = self._backend()
                room = admission.batch_items_to_fetch(self._slots.admission_state)
                if backend is None or not backend.models or not self._is_serving() or not room:
                    continue
                if self._waiting_by_group[group]:
                    await self._lease_items(group, backend, room)

    async def _lease_items(self, group: GroupId, backend: Backend, room: int) -> None:
        command = LeaseItems(misc.random_id("lease"), self._holder, backend.models, room)
        try:
            answer = await self._shards.by_group[group].propose(command, LEDGER_TIMEOUT_SECONDS)
        except UnavailableError as error:
            logs.warning(Event.REQUEST_FAILED, step="lease", error=error.message)
            return
        if not isinstance(answer, LeasedItems):
            return
        if len(answer.items) < room:
            self._waiting_by_group[group] = 0
        for leased in answer.items:
            held = HeldItem(group, leased)
            self._held_by_unit_id[held.unit_id] = held
            held.task = misc.spawn(self._run_item(held), self._process.tasks)

    async def _run_item(self, held: HeldItem) -> None:
        """Runs one item to its end, in several turns if it has to yield to online work."""
        started = self._process.clock()
        try:
            result = await self._run_turns(held, started)
        except BackendRefusedError as error:
            result = self._result_of(held, error.status, error.message.encode())
        except BackendError as error:
            # A run that sent nothing is no attempt, so an unreachable backend server uses up none.
            failure = self._result_of(held, 0, msgspec.json.encode({"error": error.message}))
            result = msgspec.structs.replace(
                failure, returned=error.not_run, retry=not error.not_run
            )
        except VerbenaError as error:
            logs.info(Event.ITEM_FAILED, item=held.unit_id, error=error.message)
            failure = self._result_of(held, 0, msgspec.json.encode({"error": error.message}))
            result = msgspec.structs.replace(failure, retry=True)
        if self._held_by_unit_id.pop(held.unit_id, None) is not None:
            self._add_result(held, result)
        name = f"item.{held.leased.workspace}.{WorkClass.BATCH.value}"
        self._process.metrics.time(name, self._process.clock() - started)

    async def _run_turns(self, held: HeldItem, started: float) -> ItemResult:
        while True:
            turn = asyncio.ensure_future(self._run_turn(held, started))
            try:
                return await turn
            except asyncio.CancelledError:
                if not turn.cancelled() or not held.yielded:
                    turn.cancel()
                    raise
                held.yielded = False
                self._process.metrics.count("batch.yielded")

    async def _run_turn(self, held: HeldItem, started: float) -> ItemResult:
        backend = self._backend()
        if backend is None:
            raise BackendError("the backend server is not configured", step="run", not_run=True)
        leased = held.leased
        unit = WorkUnit(
            held.unit_id,
            leased.workspace,
            WorkClass.BATCH,
            max(1, leased.size - held.tokens),
            started,
            started + leased.due_in,
        )
        turn = asyncio.current_task()
        assert turn is not None

        def on_preempt() -> None:
            held.yielded = True
            turn.cancel()

        completion = Completion(
            misc.random_id("item"), leased.model, int(time.time()), held.text, held.tokens
        )
        async with self._slots.acquire(unit, on_preempt):
            call = engine.EngineCall(leased.endpoint, leased.body, held.text, held.tokens)
            async for part in engine.generate(backend.address, call, PROGRESS_TIMEOUT_SECONDS):
                self._slots.record_tokens(unit.id, part.tokens)
                held.text += part.text
                held.tokens += part.tokens
                completion.finish_reason = part.finish_reason
                completion.prompt_tokens = part.prompt_tokens or completion.prompt_tokens
        completion.text, completion.tokens = held.text, held.tokens
        document = msgspec.json.encode(completions.response_document(leased.endpoint, completion))
        return self._result_of(held, 200, document)

    def _result_of(self, held: HeldItem, status: int, body: bytes) -> ItemResult:
        leased = held.leased
        return ItemResult(leased.job, leased.position, leased.attempt, status, body)

    def _add_result(self, held: HeldItem, result: ItemResult) -> None:
        self._results_by_group[held.group].append(result)

    async def _flush_forever(self, group: GroupId) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            if self._results_by_group[group]:
                await self._flush(group)

    async def _flush(self, group: GroupId) -> None:
        """Sends the results of a group to its ledger; those that fail are sent again later."""
        results = self._results_by_group[group]
        self._results_by_group[group] = []
        if not results:
            return
        command = CompleteItems(self._holder, results)
        try:
            await self._shards.by_group[group].propose(command, LEDGER_TIMEOUT_SECONDS)
        except UnavailableError:
            self._results_by_group[group] = results + self._results_by_group[group]
