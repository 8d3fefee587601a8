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
#: Slots that are kept for other workspaces beyond what they lately used.
SPARE_SLOTS = 1
#: Seconds for which a workspace counts as having been here.
LATELY_SECONDS = 10.0


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


class Use(msgspec.Struct):
    """What a workspace's online work has lately used.

    :param peak: the most pieces that it had here at a time.
    :param peak_at: when that was.
    """

    seen: float
    peak: int
    peak_at: float


class Admission(msgspec.Struct):
    """What an agent knows of its queue and its engine.

    :param classless: the baseline policy: first come, first served, whatever the class.
    :param window: how many batch pieces may run beside online ones.
    :param interval: the recent mean time between tokens of a stream, in seconds.
    :param usual: its long-run mean.
    :param measured_at: when the last token came.
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
    measured_at: float = float("-inf")
    seconds_per_piece: float = 0.0
    use_by_workspace: dict[WorkspaceId, Use] = msgspec.field(default_factory=dict)


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


def slowness(state: Admission, now: float) -> float:
    """Returns how much slower than usual the engine's recent pace is; 1 is as usual.

    A token that all streams have been waiting for counts by how long it is overdue.
    """
    if not state.usual:
        return 1.0
    lasts = [run.last_token for run in state.running_by_id.values() if run.last_token]
    overdue_for = now - max(lasts) if lasts else 0.0
    return max(1.0, state.interval / state.usual, overdue_for / state.usual)


def expected_wait(state: Admission, workspace: WorkspaceId, now: float) -> float:
    """Returns how long a new online piece of a workspace would wait for a slot, in seconds.

    Slots are shared evenly between the workspaces that were here lately.
    """
    share = state.slots / _workspaces(state, workspace, now)
    ahead = sum(
        piece.workspace == workspace and piece.work_class is WorkClass.ONLINE
        for piece in (*state.waiting, *(run.piece for run in state.running_by_id.values()))
    )
    return max(0.0, ahead + 1 - share) * state.seconds_per_piece / share


def offer(state: Admission, piece: Piece, now: float) -> bool:
    """Takes a piece into the queue; false if it could not be served in time."""
    if piece.work_class is WorkClass.ONLINE:
        waiting = sum(other.workspace == piece.workspace for other in state.waiting)
        most = state.online.queue / _workspaces(state, piece.workspace, now)
        late = now + expected_wait(state, piece.workspace, now) > piece.due
        if not state.classless and (waiting >= most or late):
            return False
    state.waiting.append(piece)
    if piece.work_class is WorkClass.ONLINE:
        _note_use(state, piece.workspace, now)
    return True


def overdue(state: Admission, now: float) -> list[Piece]:
    """Takes out and returns the online pieces that have waited too long for a slot."""
    late = [
        piece
        for piece in state.waiting
        if piece.work_class is WorkClass.ONLINE and piece.due < now and not state.classless
    ]
    for piece in late:
        state.waiting.remove(piece)
    return late


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
    # Pieces that wait inside the engine only matter once online work wants a slot.
    wanted = online + startable + len(batch) - state.slots if startable else 0
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
    state.measured_at = now
    run.tokens += tokens


def note_probe(state: Admission, interval: float, now: float) -> None:
    """Takes over the pace that a probe of the idle engine has shown."""
    state.interval = interval
    state.usual = state.usual or interval
    state.measured_at = now


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
    # A slow start must not pass for the usual pace, so it falls at once and rises slowly.
    weight = INTERVAL_WEIGHT if interval < state.usual else USUAL_WEIGHT
    state.usual += weight * (interval - state.usual)


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
    free = state.slots - online - state.batch.reserve + state.batch.ahead
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
    if not state.waiting:
        return None
    if len(state.running_by_id) >= state.slots:
        return _choose_ahead(state)
    if state.classless:
        return state.waiting[0]
    running = Counter(
        run.piece.workspace
        for run in state.running_by_id.values()
        if run.piece.work_class is WorkClass.ONLINE
    )
    online = [
        piece
        for piece in _allowed(state, WorkClass.ONLINE)
        if running[piece.workspace] < _most(state, piece.workspace, now)
    ]
    if online:
        return min(
            online, key=lambda piece: (running[piece.workspace], _effective_size(piece, now))
        )
    return _choose_batch(state)


def _choose_ahead(state: Admission) -> Piece | None:
    """Chooses a batch piece that waits inside the engine for the next free slot.

    Without it a slot stays empty for a step each time that a piece ends.
    """
    if state.classless or waiting_count(state, WorkClass.ONLINE):
        return None
    if len(state.running_by_id) >= state.slots + state.batch.ahead:
        return None
    return _choose_batch(state)


def _choose_batch(state: Admission) -> Piece | None:
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


def _workspaces(state: Admission, also: WorkspaceId, now: float) -> int:
    """Returns how many workspaces had online work here lately, one of them counted anyway."""
    lately = {name for name, use in state.use_by_workspace.items() if _is_recent(use.seen, now)}
    return len(lately | {also})


def _is_recent(when: float, now: float) -> bool:
    return now - when < LATELY_SECONDS


def _note_use(state: Admission, workspace: WorkspaceId, now: float) -> None:
    pieces = (*state.waiting, *(run.piece for run in state.running_by_id.values()))
    present = sum(
        piece.workspace == workspace and piece.work_class is WorkClass.ONLINE for piece in pieces
    )
    use = state.use_by_workspace.setdefault(workspace, Use(now, present, now))
    use.seen = now
    if present >= use.peak or not _is_recent(use.peak_at, now):
        use.peak = present
        use.peak_at = now


def _most(state: Admission, workspace: WorkspaceId, now: float) -> int:
    """Returns the slots that a workspace may take, so that another's next piece finds one.

    Nobody is pressed below an even share.
    """
    others = [
        use.peak
        for name, use in state.use_by_workspace.items()
        if name != workspace and _is_recent(use.seen, now)
    ]
    if not others:
        return state.slots
    even = max(1, state.slots // (len(others) + 1))
    return max(even, state.slots - sum(others) - SPARE_SLOTS)


def _effective_size(piece: Piece, now: float) -> float:
    return piece.size - (now - piece.arrived) / AGEING_SECONDS_PER_TOKEN
