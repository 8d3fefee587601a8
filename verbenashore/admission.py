"""An agent's decision of what its engine runs, and when; without I/O.

The engine knows no priorities, so work is kept from it until it is due.
"""

from collections import Counter
from typing import NewType

import msgspec

from verbenashore.deployment import BatchPolicy, OnlinePolicy
from verbenashore.types import WorkClass, WorkspaceId

PieceId = NewType("PieceId", str)

#: How much of a new token interval goes into the running mean.
INTERVAL_WEIGHT = 0.2
#: How fast the mean of the usual pace follows; it must outlast a slow moment.
USUAL_WEIGHT = 0.005
#: Seconds of waiting that make a piece count as one token shorter.
AGEING_SECONDS_PER_TOKEN = 0.005
#: Seconds between two widenings of the batch window.
WIDEN_SECONDS = 0.05
#: Seconds between two narrowings, so that each can show its effect.
NARROW_SECONDS = 0.2


class Piece(msgspec.Struct, frozen=True):
    """A piece of work.

    :param size: estimated tokens.
    :param due: when its first token is wanted, on the agent's clock; batch items by deadline.
    """

    id: PieceId
    workspace: WorkspaceId
    work_class: WorkClass
    size: int
    arrived: float
    due: float


class Running(msgspec.Struct):
    """A piece in the engine.

    :param tokens: how many it has produced.
    """

    piece: Piece
    started: float
    tokens: int = 0
    last_token: float | None = None


class Admission(msgspec.Struct):
    """What an agent knows of its queue and its engine.

    :param classless: the baseline policy: first come, first served, whatever the class.
    :param window: how many batch pieces may run beside online ones.
    :param interval: the recent mean time between tokens of a stream, in seconds.
    :param usual: its long-run mean.
    """

    slots: int
    online: OnlinePolicy
    batch: BatchPolicy
    classless: bool = False
    waiting: list[Piece] = msgspec.field(default_factory=list)
    running_by_id: dict[PieceId, Running] = msgspec.field(default_factory=dict)
    window: float = 1.0
    window_changed: float = 0.0
    interval: float = 0.0
    usual: float = 0.0
    seconds_per_piece: float = 0.0


def is_long(state: Admission, piece: Piece) -> bool:
    """Tells whether a piece counts as long."""
    return piece.size >= state.online.long_tokens


def count(state: Admission, work_class: WorkClass) -> int:
    """Returns how many pieces of a class run."""
    return sum(run.piece.work_class is work_class for run in state.running_by_id.values())


def waiting_count(state: Admission, work_class: WorkClass) -> int:
    """Returns how many pieces of a class wait."""
    return sum(piece.work_class is work_class for piece in state.waiting)


def load(state: Admission) -> float:
    """Returns online work, running and waiting, as a share of the slots."""
    online = count(state, WorkClass.ONLINE) + waiting_count(state, WorkClass.ONLINE)
    return online / state.slots


def slowness(state: Admission) -> float:
    """Returns how much slower than usual the engine's recent pace is; 1 is as usual."""
    if not state.usual:
        return 1.0
    return max(1.0, state.interval / state.usual)


def expected_wait(state: Admission) -> float:
    """Returns how long a new online piece would wait for a slot, in seconds."""
    ahead = waiting_count(state, WorkClass.ONLINE) + count(state, WorkClass.ONLINE) - state.slots
    return max(0, ahead + 1) * state.seconds_per_piece / state.slots


def offer(state: Admission, piece: Piece, now: float) -> bool:
    """Takes a piece into the queue; false if it could not be served in time."""
    if piece.work_class is WorkClass.ONLINE and not state.classless:
        full = waiting_count(state, WorkClass.ONLINE) >= state.online.queue
        if full or now + expected_wait(state) > piece.due:
            return False
    state.waiting.append(piece)
    return True


def withdraw(state: Admission, piece_id: PieceId) -> bool:
    """Takes a waiting piece out; true proves that it was not run."""
    kept = [piece for piece in state.waiting if piece.id != piece_id]
    was_waiting = len(kept) < len(state.waiting)
    state.waiting = kept
    return was_waiting


def start_next(state: Admission, now: float) -> list[Piece]:
    """Chooses the pieces to give to the engine now; they count as running from here on."""
    started: list[Piece] = []
    while (piece := _choose(state, now)) is not None:
        state.waiting.remove(piece)
        state.running_by_id[piece.id] = Running(piece, now)
        started.append(piece)
    return started


def yielding(state: Admission, now: float) -> list[PieceId]:
    """Chooses the batch pieces to cancel so that waiting online ones can start at once."""
    if state.classless:
        return []
    online = count(state, WorkClass.ONLINE)
    waiting = [piece for piece in state.waiting if piece.work_class is WorkClass.ONLINE]
    startable = sum(not is_long(state, piece) for piece in waiting) + min(
        sum(is_long(state, piece) for piece in waiting),
        max(0, _long_slots(state) - _long_running(state, WorkClass.ONLINE)),
    )
    batch = [run for run in state.running_by_id.values() if run.piece.work_class is WorkClass.BATCH]
    wanted = online + startable + len(batch) - state.slots
    if online and _is_strained(state):
        wanted = max(wanted, len(batch) - int(state.window))
    if wanted <= 0:
        return []
    batch.sort(key=lambda run: run.tokens)
    return [run.piece.id for run in batch[:wanted]]


def batch_room(state: Admission) -> int:
    """Returns how many batch items the agent should fetch."""
    room = _batch_limit(state) - count(state, WorkClass.BATCH) + state.batch.prefetch
    return max(0, room - waiting_count(state, WorkClass.BATCH))


def note_tokens(state: Admission, piece_id: PieceId, tokens: int, now: float) -> None:
    """Notes tokens that the engine produced for a piece, and steers the batch window."""
    run = state.running_by_id.get(piece_id)
    if run is None or not tokens:
        return
    if run.last_token is not None:
        _note_interval(state, (now - run.last_token) / tokens)
        if run.piece.work_class is WorkClass.ONLINE:
            _steer(state, now)
    run.last_token = now
    run.tokens += tokens


def note_end(state: Admission, piece_id: PieceId, now: float) -> None:
    """Notes that a piece left the engine."""
    run = state.running_by_id.pop(piece_id, None)
    if run is None or run.piece.work_class is not WorkClass.ONLINE:
        return
    seconds = now - run.started
    if not state.seconds_per_piece:
        state.seconds_per_piece = seconds
    state.seconds_per_piece += INTERVAL_WEIGHT * (seconds - state.seconds_per_piece)


def _note_interval(state: Admission, interval: float) -> None:
    if not state.usual:
        state.usual = state.interval = interval
    state.interval += INTERVAL_WEIGHT * (interval - state.interval)
    state.usual += USUAL_WEIGHT * (interval - state.usual)


def _is_strained(state: Admission) -> bool:
    return state.interval * 1000 > state.online.token_interval_ms


def _steer(state: Admission, now: float) -> None:
    since = now - state.window_changed
    if _is_strained(state) and since >= NARROW_SECONDS:
        state.window = max(0.0, state.window / 2)
        state.window_changed = now
    elif not _is_strained(state) and since >= WIDEN_SECONDS:
        state.window = min(float(state.slots), state.window + 1)
        state.window_changed = now


def _batch_limit(state: Admission) -> int:
    online = count(state, WorkClass.ONLINE)
    share = int(state.slots * state.batch.slots_share)
    free = state.slots - online - state.batch.reserve
    limit = min(share, free)
    if online:
        limit = min(limit, int(state.window))
    return max(0, limit)


def _long_slots(state: Admission) -> int:
    return max(1, int(state.slots * state.online.long_share))


def _long_running(state: Admission, work_class: WorkClass) -> int:
    return sum(
        is_long(state, run.piece) and run.piece.work_class is work_class
        for run in state.running_by_id.values()
    )


def _choose(state: Admission, now: float) -> Piece | None:
    if len(state.running_by_id) >= state.slots or not state.waiting:
        return None
    if state.classless:
        return state.waiting[0]
    online = _allowed(state, WorkClass.ONLINE)
    if online:
        running = Counter(run.piece.workspace for run in state.running_by_id.values())
        return min(
            online, key=lambda piece: (running[piece.workspace], _effective_size(piece, now))
        )
    if count(state, WorkClass.BATCH) >= _batch_limit(state):
        return None
    batch = _allowed(state, WorkClass.BATCH)
    return min(batch, key=lambda piece: (piece.due, piece.arrived), default=None)


def _allowed(state: Admission, work_class: WorkClass) -> list[Piece]:
    """Returns the waiting pieces of a class; long ones only while their share of slots lasts."""
    pieces = [piece for piece in state.waiting if piece.work_class is work_class]
    if _long_running(state, work_class) < _long_slots(state):
        return pieces
    return [piece for piece in pieces if not is_long(state, piece)]


def _effective_size(piece: Piece, now: float) -> float:
    return piece.size - (now - piece.arrived) / AGEING_SECONDS_PER_TOKEN
