"""Runs the admission control of an agent: units of work wait here for a slot."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from verbenashore import admission, health
from verbenashore.admission import AdmissionState, WorkUnit, WorkUnitId
from verbenashore.deployment import BatchPolicy, OnlinePolicy
from verbenashore.exceptions import BackendError, OverloadedError
from verbenashore.health import Health
from verbenashore.types import Clock


class SlotScheduler:
    """Holds an agent's admission state and wakes the units that are granted a slot."""

    def __init__(self, clock: Clock, classless: bool) -> None:
        self._clock = clock
        self._grant_by_id: dict[WorkUnitId, asyncio.Future[None]] = {}
        self._on_preempt_by_id: dict[WorkUnitId, Callable[[], None]] = {}
        self.admission_state = AdmissionState(1, OnlinePolicy(), BatchPolicy(), classless)
        self.health = Health()

    @property
    def is_paused(self) -> bool:
        """True while the backend server gets no work because it failed."""
        return health.is_paused(self.health, self._clock())

    def configure(self, slots: int, online: OnlinePolicy, batch: BatchPolicy) -> None:
        """Applies a new configuration."""
        self.admission_state.slots = slots
        self.admission_state.online = online
        self.admission_state.batch = batch
        self.schedule()

    @contextlib.asynccontextmanager
    async def acquire(
        self, unit: WorkUnit, on_preempt: Callable[[], None] | None = None
    ) -> AsyncIterator[None]:
        """Waits for a slot and holds it while the block runs.

        :param on_preempt: called when the unit is to leave the engine in favour of online work.
        :raises OverloadedError: if the queue is full, or the unit could not be started in time; it
            was not run.
        """
        if not admission.try_enqueue(self.admission_state, unit, self._clock()):
            raise self._overload_error(unit)
        grant: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._grant_by_id[unit.id] = grant
        if on_preempt is not None:
            self._on_preempt_by_id[unit.id] = on_preempt
        try:
            self.schedule()
            await grant
            yield
            health.record_success(self.health)
        except BackendError:
            health.record_failure(self.health, self._clock())
            raise
        finally:
            self._grant_by_id.pop(unit.id, None)
            self._on_preempt_by_id.pop(unit.id, None)
            if not admission.withdraw(self.admission_state, unit.id):
                admission.record_end(self.admission_state, unit.id, self._clock())
            self.schedule()

    def record_tokens(self, unit_id: WorkUnitId, tokens: int) -> None:
        """Records tokens of a running unit."""
        admission.record_tokens(self.admission_state, unit_id, tokens, self._clock())

    def schedule(self) -> None:
        """Preempts batch units, refuses overdue units, and starts those that may run."""
        now = self._clock()
        for unit_id in admission.choose_preempted(self.admission_state, now):
            on_preempt = self._on_preempt_by_id.pop(unit_id, None)
            if on_preempt is not None:
                on_preempt()
        for unit in admission.remove_overdue(self.admission_state, now):
            grant = self._grant_by_id.get(unit.id)
            if grant is not None and not grant.done():
                grant.set_exception(self._overload_error(unit))
        for unit in admission.start_next(self.admission_state, now):
            grant = self._grant_by_id.get(unit.id)
            if grant is not None and not grant.done():
                grant.set_result(None)

    def _overload_error(self, unit: WorkUnit) -> OverloadedError:
        wait = admission.expected_wait(self.admission_state, unit.workspace, self._clock())
        return OverloadedError("the queue is too long", step="admit", retry_after=wait)
