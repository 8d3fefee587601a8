"""Admission control of an agent: what its engine runs, and when; without I/O.

The engine has no priorities, so work is queued here and sent to it only when it is to run.
"""

from collections import Counter
from typing import NewType

import msgspec

from verbenashore.deployment import BatchPolicy, OnlinePolicy
from verbenashore.types import WorkClass, WorkspaceId

WorkUnitId = NewType("WorkUnitId", str)

#: Weight of a new sample in the running means of token interval and run time, and of a sample below
#: the typical token interval in that one.
INTERVAL_WEIGHT = 0.2
#: Weight of a sample above the typical token interval in the running mean of that interval; low, so
#: that a short slowdown hardly raises it.
TYPICAL_WEIGHT = 0.005
#: Seconds of waiting that make a unit of work count as one token shorter.
AGEING_SECONDS_PER_TOKEN = 0.005
#: Minimum seconds from a change of the batch window to an increase.
WINDOW_INCREASE_SECONDS = 0.05
#: Minimum seconds from a change of the batch window to a decrease, so that the effect of each
#: decrease can be observed.
WINDOW_DECREASE_SECONDS = 0.2
#: Slots that are kept free for other active workspaces beyond their recent peaks.
SPARE_SLOTS = 1
#: Seconds for which a workspace counts as active after an online request, and its peak as current.
ACTIVE_SECONDS = 10.0


class WorkUnit(msgspec.Struct, frozen=True):
    """A unit of work: an online request or a batch item.

    :param size: estimated tokens.
    :param due: latest time to start an online request, or the deadline of a batch item, on the
        agent's clock.
    """

    id: WorkUnitId
    workspace: WorkspaceId
    work_class: WorkClass
    size: int
    arrived: float
    due: float


class RunningUnit(msgspec.Struct):
    """A unit of work that was given to the engine.

    :param tokens: how many tokens the unit has produced.
    """

    unit: WorkUnit
    started_at: float
    tokens: int = 0
    last_token_at: float | None = None


class WorkspaceUsage(msgspec.Struct):
    """The recent online work of one workspace at this agent.

    :param peak: the highest recent number of online units, waiting and running, at one time.
    :param peak_at: when that was.
    """

    last_seen: float
    peak: int
    peak_at: float


class AdmissionState(msgspec.Struct):
    """State of an agent's queue and engine.

    :param fifo: the baseline policy: first come, first served, regardless of the class.
    :param batch_window: how many batch units may run beside online ones; adjusted so that the token
        interval stays within the configured one.
    :param token_interval: the recent mean time between tokens of a stream, in seconds.
    :param typical_interval: the token interval without a slowdown: a running mean that falls fast
        and rises slowly.
    :param measured_at: when the last token of a unit or of a probe was received.
    :param mean_run_seconds: mean time that an online unit holds a slot; 0 while unknown.
    """

    slots: int
    online: OnlinePolicy
    batch: BatchPolicy
    fifo: bool = False
    waiting: list[WorkUnit] = msgspec.field(default_factory=list)
    running_by_id: dict[WorkUnitId, RunningUnit] = msgspec.field(default_factory=dict)
    batch_window: float = 1.0
    window_changed_at: float = 0.0
    token_interval: float = 0.0
    typical_interval: float = 0.0
    measured_at: float = float("-inf")
    mean_run_seconds: float = 0.0
    usage_by_workspace: dict[WorkspaceId, WorkspaceUsage] = msgspec.field(default_factory=dict)


def is_long(state: AdmissionState, unit: WorkUnit) -> bool:
    """Returns whether a unit is long; long units may use only a share of the slots."""
    return unit.size >= state.online.long_tokens


def running_count(state: AdmissionState, work_class: WorkClass) -> int:
    """Returns the number of running units of a class."""
    return sum(run.unit.work_class is work_class for run in state.running_by_id.values())


def waiting_count(state: AdmissionState, work_class: WorkClass) -> int:
    """Returns the number of waiting units of a class."""
    return sum(unit.work_class is work_class for unit in state.waiting)


def load(state: AdmissionState) -> float:
    """Returns the number of online units, running and waiting, divided by the slots."""
    online = running_count(state, WorkClass.ONLINE) + waiting_count(state, WorkClass.ONLINE)
    return online / state.slots


def slowness(state: AdmissionState, now: float) -> float:
    """Returns the ratio of the recent token interval to the typical one, at least 1.

    The time since the running units last received a token counts as the interval if it is longer.
    """
    if not state.typical_interval:
        return 1.0
    last_token_times = [
        run.last_token_at for run in state.running_by_id.values() if run.last_token_at
    ]
    seconds_since_token = now - max(last_token_times) if last_token_times else 0.0
    return max(
        1.0,
        state.token_interval / state.typical_interval,
        seconds_since_token / state.typical_interval,
    )


def expected_wait(state: AdmissionState, workspace: WorkspaceId, now: float) -> float:
    """Returns how long a new online unit of a workspace would wait for a slot, in seconds.

    Assumes that the active workspaces share the slots evenly.
    """
    share = state.slots / _active_workspace_count(state, workspace, now)
    ahead = sum(
        unit.workspace == workspace and unit.work_class is WorkClass.ONLINE
        for unit in (*state.waiting, *(run.unit for run in state.running_by_id.values()))
    )
    return max(0.0, ahead + 1 - share) * state.mean_run_seconds / share


def try_enqueue(state: AdmissionState, unit: WorkUnit, now: float) -> bool:
    """Adds a unit to the queue; returns false if an online unit is refused.

    An online unit is refused if its workspace's share of the queue is full or if the unit would
    start late.
    """
    if unit.work_class is WorkClass.ONLINE:
        waiting = sum(other.workspace == unit.workspace for other in state.waiting)
        max_waiting = state.online.queue / _active_workspace_count(state, unit.workspace, now)
        late = now + expected_wait(state, unit.workspace, now) > unit.due
        if not state.fifo and (waiting >= max_waiting or late):
            return False
    state.waiting.append(unit)
    if unit.work_class is WorkClass.ONLINE:
        _record_usage(state, unit.workspace, now)
    return True


def remove_overdue(state: AdmissionState, now: float) -> list[WorkUnit]:
    """Removes and returns the online units that were not started in time."""
    late = [
        unit
        for unit in state.waiting
        if unit.work_class is WorkClass.ONLINE and unit.due < now and not state.fifo
    ]
    for unit in late:
        state.waiting.remove(unit)
    return late


def withdraw(state: AdmissionState, unit_id: WorkUnitId) -> bool:
    """Removes a waiting unit; returns true if it was waiting, which proves that it was not run."""
    kept = [unit for unit in state.waiting if unit.id != unit_id]
    was_waiting = len(kept) < len(state.waiting)
    state.waiting = kept
    return was_waiting


def start_next(state: AdmissionState, now: float) -> list[WorkUnit]:
    """Chooses the units to send to the engine now, and marks them as running."""
    started: list[WorkUnit] = []
    while (unit := _choose_next(state, now)) is not None:
        state.waiting.remove(unit)
        state.running_by_id[unit.id] = RunningUnit(unit, now)
        started.append(unit)
    return started


def choose_preempted(state: AdmissionState, now: float) -> list[WorkUnitId]:
    """Chooses the batch units to cancel, those with the fewest tokens first.

    They make room for waiting online units, or keep the number of batch units within the batch
    window while the token interval is too long for the running online units.
    """
    if state.fifo:
        return []
    online = running_count(state, WorkClass.ONLINE)
    waiting = [unit for unit in state.waiting if unit.work_class is WorkClass.ONLINE]
    startable = sum(not is_long(state, unit) for unit in waiting) + min(
        sum(is_long(state, unit) for unit in waiting),
        max(0, _long_slots(state) - _running_long_count(state, WorkClass.ONLINE)),
    )
    batch = [run for run in state.running_by_id.values() if run.unit.work_class is WorkClass.BATCH]
    # Batch units queued inside the engine take no slot; they matter only if online work needs one.
    preempt_count = online + startable + len(batch) - state.slots if startable else 0
    if online and _is_interval_exceeded(state):
        preempt_count = max(preempt_count, len(batch) - int(state.batch_window))
    if preempt_count <= 0:
        return []
    batch.sort(key=lambda run: run.tokens)
    return [run.unit.id for run in batch[:preempt_count]]


def batch_items_to_fetch(state: AdmissionState) -> int:
    """Returns how many further batch items the agent should lease from the ledger."""
    room = _batch_limit(state) - running_count(state, WorkClass.BATCH) + state.batch.prefetch
    return max(0, room - waiting_count(state, WorkClass.BATCH))


def record_tokens(state: AdmissionState, unit_id: WorkUnitId, tokens: int, now: float) -> None:
    """Records tokens that the engine produced for a unit, and adjusts the batch window."""
    run = state.running_by_id.get(unit_id)
    if run is None or not tokens:
        return
    if run.last_token_at is not None:
        _record_interval(state, (now - run.last_token_at) / tokens)
        if run.unit.work_class is WorkClass.ONLINE:
            _adjust_batch_window(state, now)
    run.last_token_at = now
    state.measured_at = now
    run.tokens += tokens


def record_probe(state: AdmissionState, interval: float, now: float) -> None:
    """Records the token interval that a probe of an engine without recent tokens measured."""
    state.token_interval = interval
    state.typical_interval = state.typical_interval or interval
    state.measured_at = now


def record_end(state: AdmissionState, unit_id: WorkUnitId, now: float) -> None:
    """Records that a unit has left the engine."""
    run = state.running_by_id.pop(unit_id, None)
    if run is None or run.unit.work_class is not WorkClass.ONLINE:
        return
    seconds = now - run.started_at
    if not state.mean_run_seconds:
        state.mean_run_seconds = seconds
    state.mean_run_seconds += INTERVAL_WEIGHT * (seconds - state.mean_run_seconds)


def _record_interval(state: AdmissionState, interval: float) -> None:
    if not state.typical_interval:
        state.typical_interval = state.token_interval = interval
    state.token_interval += INTERVAL_WEIGHT * (interval - state.token_interval)
    # Falls fast and rises slowly, so that a slow start is not taken for the typical interval.
    weight = INTERVAL_WEIGHT if interval < state.typical_interval else TYPICAL_WEIGHT
    state.typical_interval += weight * (interval - state.typical_interval)


def _is_interval_exceeded(state: AdmissionState) -> bool:
    return state.token_interval * 1000 > state.online.token_interval_ms


def _adjust_batch_window(state: AdmissionState, now: float) -> None:
    since = now - state.window_changed_at
    if _is_interval_exceeded(state) and since >= WINDOW_DECREASE_SECONDS:
        state.batch_window = max(0.0, state.batch_window / 2)
        state.window_changed_at = now
    elif not _is_interval_exceeded(state) and since >= WINDOW_INCREASE_SECONDS:
        state.batch_window = min(float(state.slots), state.batch_window + 1)
        state.window_changed_at = now


def _batch_limit(state: AdmissionState) -> int:
    online = running_count(state, WorkClass.ONLINE)
    share = int(state.slots * state.batch.slots_share)
    free = state.slots - online - state.batch.reserve + state.batch.ahead
    limit = min(share, free)
    if online:
        limit = min(limit, int(state.batch_window))
    return max(0, limit)


def _long_slots(state: AdmissionState) -> int:
    return max(1, int(state.slots * state.online.long_share))


def _running_long_count(state: AdmissionState, work_class: WorkClass) -> int:
    return sum(
        is_long(state, run.unit) and run.unit.work_class is work_class
        for run in state.running_by_id.values()
    )


def _choose_next(state: AdmissionState, now: float) -> WorkUnit | None:
    if not state.waiting:
        return None
    if len(state.running_by_id) >= state.slots:
        return _choose_for_engine_queue(state)
    if state.fifo:
        return state.waiting[0]
    running = Counter(
        run.unit.workspace
        for run in state.running_by_id.values()
        if run.unit.work_class is WorkClass.ONLINE
    )
    online = [
        unit
        for unit in _eligible_units(state, WorkClass.ONLINE)
        if running[unit.workspace] < _workspace_slot_limit(state, unit.workspace, now)
    ]
    if online:
        return min(online, key=lambda unit: (running[unit.workspace], _effective_size(unit, now)))
    return _choose_batch(state)


def _choose_for_engine_queue(state: AdmissionState) -> WorkUnit | None:
    """Chooses a batch unit to be queued inside the engine until a slot is free.

    Without it a slot stays empty for one engine step whenever a unit ends.
    """
    if state.fifo or waiting_count(state, WorkClass.ONLINE):
        return None
    if len(state.running_by_id) >= state.slots + state.batch.ahead:
        return None
    return _choose_batch(state)


def _choose_batch(state: AdmissionState) -> WorkUnit | None:
    if running_count(state, WorkClass.BATCH) >= _batch_limit(state):
        return None
    batch = _eligible_units(state, WorkClass.BATCH)
    return min(batch, key=lambda unit: (unit.due, unit.arrived), default=None)


def _eligible_units(state: AdmissionState, work_class: WorkClass) -> list[WorkUnit]:
    """Returns the waiting units of a class; long ones only below their share of the slots."""
    units = [unit for unit in state.waiting if unit.work_class is work_class]
    if _running_long_count(state, work_class) < _long_slots(state):
        return units
    return [unit for unit in units if not is_long(state, unit)]


def _active_workspace_count(state: AdmissionState, workspace: WorkspaceId, now: float) -> int:
    """Returns the number of active workspaces; the given one always counts."""
    active = {
        name for name, usage in state.usage_by_workspace.items() if _is_recent(usage.last_seen, now)
    }
    return len(active | {workspace})


def _is_recent(time: float, now: float) -> bool:
    return now - time < ACTIVE_SECONDS


def _record_usage(state: AdmissionState, workspace: WorkspaceId, now: float) -> None:
    units = (*state.waiting, *(run.unit for run in state.running_by_id.values()))
    present = sum(
        unit.workspace == workspace and unit.work_class is WorkClass.ONLINE for unit in units
    )
    usage = state.usage_by_workspace.setdefault(workspace, WorkspaceUsage(now, present, now))
    usage.last_seen = now
    if present >= usage.peak or not _is_recent(usage.peak_at, now):
        usage.peak = present
        usage.peak_at = now


def _workspace_slot_limit(state: AdmissionState, workspace: WorkspaceId, now: float) -> int:
    """Returns the slots that a workspace may use, so that another's next unit finds one free.

    It is never less than an even share.
    """
    others = [
        usage.peak
        for name, usage in state.usage_by_workspace.items()
        if name != workspace and _is_recent(usage.last_seen, now)
    ]
    if not others:
        return state.slots
    even_share = max(1, state.slots // (len(others) + 1))
    return max(even_share, state.slots - sum(others) - SPARE_SLOTS)


def _effective_size(unit: WorkUnit, now: float) -> float:
    return unit.size - (now - unit.arrived) / AGEING_SECONDS_PER_TOKEN
