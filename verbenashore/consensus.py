"""The replicated log: elections, quorum commit and membership, without I/O.

Events go in through plain functions that take the state and the time; what is to be written, sent
and applied comes out of :func:`take_output`.  Messages of an output may leave only after its hard
state and entries are synced.
"""

import random
from enum import Enum

import msgspec

from verbenashore.types import LogIndex, MemberName, ReplicaId, Term

NOBODY = ReplicaId("")
MAX_ENTRIES_PER_MESSAGE = 512
MAX_BYTES_PER_MESSAGE = 1 << 20


class Timing(msgspec.Struct, frozen=True):
    """The times that a replica goes by, in seconds.

    :param heartbeat: between two messages of a leader to a follower.
    :param election_min: a follower that heard its leader within this time grants no vote.
    :param election_max: the longest time after which a follower campaigns.
    :param lease: how long a quorum's answer lets a leader answer reads; under ``election_min``.
    :param replace_after: how long a replica is silent before a learner takes its place.
    """

    heartbeat: float = 0.06
    election_min: float = 0.4
    election_max: float = 0.75
    lease: float = 0.3
    replace_after: float = 10.0


class Role(Enum):
    """The part that a replica plays in its group."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(Enum):
    """What a log entry holds."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """One replica of a group.

    :param id: made with its data folder.
    :param name: the process that runs it.
    :param address: ``IP:PORT`` of that process.
    """

    id: ReplicaId
    name: MemberName
    address: str


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of a group.

    :param voters: those that count in quorums.
    :param learners: those that only receive the log.
    """

    voters: tuple[Peer, ...] = ()
    learners: tuple[Peer, ...] = ()


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    :param index: its position; the first entry has 1.
    :param term: the term of the leader that made it.
    """

    index: LogIndex
    term: Term
    kind: EntryKind
    data: bytes


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What a replica must not forget.

    :param term: the latest term it has seen.
    :param vote: whom it voted for in that term.
    """

    term: Term = Term(0)
    vote: ReplicaId = NOBODY


class Base(msgspec.Struct, frozen=True, array_like=True):
    """The point up to which a snapshot stands for the log."""

    index: LogIndex = LogIndex(0)
    term: Term = Term(0)
    membership: Membership = Membership()


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a vote.

    :param trial: a pre-vote, which changes no term.
    :param handover: the leader asked for this election, so its lease doesn't stand against it.
    """

    term: Term
    last_index: LogIndex
    last_term: Term
    trial: bool
    handover: bool


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a vote request."""

    term: Term
    trial: bool
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Carries entries, or none as a heartbeat.

    :param sent_at: the leader's own clock, which the reply gives back.
    """

    term: Term
    previous_index: LogIndex
    previous_term: Term
    entries: list[LogEntry]
    commit: LogIndex
    sent_at: float


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers an append or a snapshot.

    :param match: the last index known to agree, or where to try next if not ``ok``.
    """

    term: Term
    ok: bool
    match: LogIndex
    sent_at: float


class SnapshotRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Carries a snapshot; the runtime fills in its data."""

    term: Term
    base: Base
    data: bytes
    sent_at: float


class HandoverRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Tells a follower to campaign at once."""

    term: Term


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | HandoverRequest


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """A message on its way between two replicas."""

    sender: ReplicaId
    to: ReplicaId
    message: Message


class Progress(msgspec.Struct):
    """What a leader knows of one other replica.

    :param acknowledged: when the newest message it answered was sent.
    :param heard: when its last answer came.
    """

    next: LogIndex
    match: LogIndex = LogIndex(0)
    acknowledged: float = float("-inf")
    heard: float = float("-inf")
    snapshot_sent: float = float("-inf")


class Output(msgspec.Struct):
    """What the runtime has to do, in this order.

    :param hard_state: to be written, if not None.
    :param entries: to be written; an index that is already there cuts off what follows it.
    :param install: a snapshot that replaces the log and the state machine.
    :param packets: to be sent once the above is synced.
    :param committed: to be applied in order.
    """

    hard_state: HardState | None = None
    entries: list[LogEntry] = msgspec.field(default_factory=list)
    install: SnapshotRequest | None = None
    packets: list[Packet] = msgspec.field(default_factory=list)
    committed: list[LogEntry] = msgspec.field(default_factory=list)


class Replica(msgspec.Struct):
    """The state of one replica.

    :param persisted: the last index that is synced here.
    :param handed_out: the last committed index given to the runtime.
    """

    id: ReplicaId
    timing: Timing
    random: random.Random
    hard: HardState
    base: Base
    entries: list[LogEntry]
    role: Role = Role.FOLLOWER
    leader: ReplicaId = NOBODY
    commit: LogIndex = LogIndex(0)
    persisted: LogIndex = LogIndex(0)
    handed_out: LogIndex = LogIndex(0)
    heard_leader: float = 0.0
    election_at: float = 0.0
    heartbeat_at: float = 0.0
    led_since: float = 0.0
    first_index: LogIndex = LogIndex(0)
    trial: bool = False
    handover: bool = False
    votes: set[ReplicaId] = msgspec.field(default_factory=set)
    progress: dict[ReplicaId, Progress] = msgspec.field(default_factory=dict)
    memberships: list[tuple[LogIndex, Membership]] = msgspec.field(default_factory=list)
    output: Output = msgspec.field(default_factory=Output)


def new_replica(
    replica_id: ReplicaId,
    timing: Timing,
    seed: int,
    hard: HardState,
    base: Base,
    entries: list[LogEntry],
    now: float,
) -> Replica:
    """Returns a replica that starts from what its disk holds."""
    replica = Replica(replica_id, timing, random.Random(seed), hard, base, list(entries))
    replica.commit = replica.handed_out = base.index
    replica.persisted = last_index(replica)
    replica.heard_leader = now
    _recall_memberships(replica)
    _reset_election(replica, now)
    return replica


def last_index(replica: Replica) -> LogIndex:
    """Returns the index of the last entry."""
    return LogIndex(replica.base.index + len(replica.entries))


def term_at(replica: Replica, index: int) -> Term | None:
    """Returns the term of an entry, or None if the log doesn't hold it."""
    if index == replica.base.index:
        return replica.base.term
    if replica.base.index < index <= last_index(replica):
        return replica.entries[index - replica.base.index - 1].term
    return None


def membership(replica: Replica) -> Membership:
    """Returns the newest membership in the log, committed or not."""
    return replica.memberships[-1][1] if replica.memberships else replica.base.membership


def is_voter(replica: Replica) -> bool:
    """Tells whether this replica counts in quorums."""
    return any(peer.id == replica.id for peer in membership(replica).voters)


def quorum(replica: Replica) -> int:
    """Returns how many voters make a majority."""
    return len(membership(replica).voters) // 2 + 1


def may_serve(replica: Replica, now: float) -> bool:
    """Tells whether this leader may answer reads and take commands at this moment."""
    return (
        replica.role is Role.LEADER
        and replica.handed_out >= replica.first_index
        and now < _quorum_acknowledged(replica, now) + replica.timing.lease
    )


def take_output(replica: Replica) -> Output:
    """Returns what is to be done since the last call."""
    output = replica.output
    if replica.handed_out < replica.commit:
        start = replica.handed_out - replica.base.index
        output.committed = replica.entries[start : replica.commit - replica.base.index]
        replica.handed_out = replica.commit
    replica.output = Output()
    return output


def tick(replica: Replica, now: float) -> None:
    """Lets time pass."""
    if replica.role is Role.LEADER:
        if now - _quorum_acknowledged(replica, now) > replica.timing.election_max:
            _follow(replica, replica.hard.term, NOBODY, now)
        elif now >= replica.heartbeat_at:
            _broadcast(replica, now)
    elif now >= replica.election_at:
        _campaign(replica, now, trial=True, handover=False)


def propose(replica: Replica, commands: list[bytes], now: float) -> list[LogIndex]:
    """Appends commands at the leader and returns their indexes.

    An empty list is returned if this replica doesn't lead.
    """
    if replica.role is not Role.LEADER:
        return []
    indexes = [_append(replica, EntryKind.COMMAND, data).index for data in commands]
    _broadcast(replica, now)
    return indexes


def bootstrap(replica: Replica, voters: tuple[Peer, ...], now: float) -> None:
    """Forms a new group; only for a replica whose folder is new and when all peers' are."""
    replica.hard = HardState(Term(1), NOBODY)
    replica.output.hard_state = replica.hard
    _append(replica, EntryKind.MEMBERSHIP, msgspec.msgpack.encode(Membership(voters)))
    replica.election_at = now


def change_membership(replica: Replica, new: Membership, now: float) -> bool:
    """Starts one change of membership; false if that isn't allowed now."""
    if not may_serve(replica, now) or _change_is_pending(replica):
        return False
    _append(replica, EntryKind.MEMBERSHIP, msgspec.msgpack.encode(new))
    _broadcast(replica, now)
    return True


def synced(replica: Replica, index: LogIndex, now: float) -> None:
    """Notes that all entries up to an index are synced on this replica's disk."""
    replica.persisted = min(max(replica.persisted, index), last_index(replica))
    if replica.role is Role.LEADER and _advance_commit(replica):
        _broadcast(replica, now)


def compact(replica: Replica, index: LogIndex) -> Base:
    """Forgets the entries up to an applied index, for which a snapshot now stands."""
    term = term_at(replica, index)
    assert term is not None and index <= replica.handed_out
    base = Base(index, term, _membership_at(replica, index))
    replica.entries = replica.entries[index - replica.base.index :]
    replica.base = base
    _recall_memberships(replica)
    return base


def base_at(replica: Replica, index: LogIndex) -> Base:
    """Returns the base that a snapshot taken at an applied index has."""
    term = term_at(replica, index)
    assert term is not None
    return Base(index, term, _membership_at(replica, index))


def hand_over(replica: Replica, now: float) -> None:
    """Lets the most advanced follower campaign at once, and stops leading."""
    if replica.role is not Role.LEADER:
        return
    others = [peer.id for peer in membership(replica).voters if peer.id != replica.id]
    if not others:
        return
    successor = max(others, key=lambda peer_id: _progress(replica, peer_id).match)
    _send(replica, successor, HandoverRequest(replica.hard.term))
    _follow(replica, replica.hard.term, NOBODY, now)


def next_change(replica: Replica, size: int, now: float) -> Membership | None:
    """Chooses the next change that repairs the group's membership, if one is due.

    :param size: how many voters the group should have.
    """
    current = membership(replica)
    if not may_serve(replica, now) or _change_is_pending(replica):
        return None
    ready = [peer for peer in current.learners if _is_caught_up(replica, peer, now)]
    names = {peer.name for peer in ready}
    dead = [peer for peer in current.voters if _is_silent(replica, peer, now)]
    replaced = [peer for peer in dead if peer.name in names] or dead
    if ready and (len(current.voters) < size or (replaced and len(current.voters) == size)):
        wanted = {peer.name for peer in replaced}
        chosen = next((peer for peer in ready if peer.name in wanted), ready[0])
        return _without(current, chosen, voters=(*current.voters, chosen))
    if dead and len(current.voters) > size:
        voter_names = [peer.name for peer in current.voters]
        gone = next((peer for peer in dead if voter_names.count(peer.name) > 1), dead[0])
        return Membership(
            tuple(peer for peer in current.voters if peer.id != gone.id), current.learners
        )
    lost = next((peer for peer in current.learners if _is_silent(replica, peer, now)), None)
    return _without(current, lost, voters=current.voters) if lost else None


def with_learner(current: Membership, learner: Peer) -> Membership:
    """Returns a membership with one more learner; older ones of the same process leave."""
    kept = tuple(peer for peer in current.learners if peer.name != learner.name)
    return Membership(current.voters, (*kept, learner))


def receive(replica: Replica, packet: Packet, now: float) -> None:
    """Takes a message from another replica; one that was meant for another id is dropped."""
    if packet.to != replica.id:
        return
    message = packet.message
    if isinstance(message, VoteRequest):
        _on_vote_request(replica, packet.sender, message, now)
        return
    if message.term > replica.hard.term and not _is_trial_reply(message):
        _follow(replica, message.term, NOBODY, now)
    if isinstance(message, VoteReply):
        _on_vote_reply(replica, packet.sender, message, now)
    elif isinstance(message, AppendRequest):
        _on_append(replica, packet.sender, message, now)
    elif isinstance(message, AppendReply):
        _on_append_reply(replica, packet.sender, message, now)
    elif isinstance(message, SnapshotRequest):
        _on_snapshot(replica, packet.sender, message, now)
    elif message.term == replica.hard.term and is_voter(replica):
        _campaign(replica, now, trial=False, handover=True)


def _is_trial_reply(message: Message) -> bool:
    return isinstance(message, VoteReply) and message.trial and message.granted


def _send(replica: Replica, to: ReplicaId, message: Message) -> None:
    replica.output.packets.append(Packet(replica.id, to, message))


def _set_hard(replica: Replica, term: Term, vote: ReplicaId) -> None:
    replica.hard = HardState(term, vote)
    replica.output.hard_state = replica.hard


def _reset_election(replica: Replica, now: float) -> None:
    timing = replica.timing
    replica.election_at = now + replica.random.uniform(timing.election_min, timing.election_max)


def _follow(replica: Replica, term: Term, leader: ReplicaId, now: float) -> None:
    if term > replica.hard.term:
        _set_hard(replica, term, NOBODY)
    replica.role = Role.FOLLOWER
    replica.leader = leader
    replica.votes = set()
    _reset_election(replica, now)


def _campaign(replica: Replica, now: float, *, trial: bool, handover: bool) -> None:
    _reset_election(replica, now)
    if not is_voter(replica):
        return
    replica.role = Role.CANDIDATE
    replica.leader = NOBODY
    replica.trial = trial
    replica.handover = handover
    if not trial:
        _set_hard(replica, Term(replica.hard.term + 1), replica.id)
    replica.votes = {replica.id}
    term = Term(replica.hard.term + 1) if trial else replica.hard.term
    last = last_index(replica)
    last_term = term_at(replica, last)
    assert last_term is not None
    request = VoteRequest(term, last, last_term, trial, handover)
    for peer in membership(replica).voters:
        if peer.id != replica.id:
            _send(replica, peer.id, request)
    _count_votes(replica, now)


def _count_votes(replica: Replica, now: float) -> None:
    voters = {peer.id for peer in membership(replica).voters}
    if len(replica.votes & voters) < quorum(replica):
        return
    if replica.trial:
        _campaign(replica, now, trial=False, handover=replica.handover)
    else:
        _lead(replica, now)


def _lead(replica: Replica, now: float) -> None:
    replica.role = Role.LEADER
    replica.leader = replica.id
    replica.led_since = now
    after_last = LogIndex(last_index(replica) + 1)
    replica.progress = {
        peer.id: Progress(after_last, acknowledged=now, heard=now)
        for peer in _others(membership(replica), replica.id)
    }
    replica.first_index = _append(replica, EntryKind.NOOP, b"").index
    _broadcast(replica, now)


def _others(current: Membership, own: ReplicaId) -> list[Peer]:
    return [peer for peer in (*current.voters, *current.learners) if peer.id != own]


def _on_vote_request(replica: Replica, sender: ReplicaId, request: VoteRequest, now: float) -> None:
    sheltered = (
        not request.handover
        and now - replica.heard_leader < replica.timing.election_min
        or replica.role is Role.LEADER
    )
    if sheltered and not (request.handover and request.term > replica.hard.term):
        _send(replica, sender, VoteReply(replica.hard.term, request.trial, False))
        return
    if not request.trial and request.term > replica.hard.term:
        _follow(replica, request.term, NOBODY, now)
    last = last_index(replica)
    own = (term_at(replica, last) or 0, last)
    up_to_date = (request.last_term, request.last_index) >= own
    if request.trial:
        granted = up_to_date and request.term > replica.hard.term
    else:
        free = replica.hard.vote in (NOBODY, sender)
        granted = up_to_date and request.term == replica.hard.term and free
        if granted:
            _set_hard(replica, request.term, sender)
            _reset_election(replica, now)
    term = request.term if granted else replica.hard.term
    _send(replica, sender, VoteReply(term, request.trial, granted))


def _on_vote_reply(replica: Replica, sender: ReplicaId, reply: VoteReply, now: float) -> None:
    expected = Term(replica.hard.term + 1) if replica.trial else replica.hard.term
    current = replica.role is Role.CANDIDATE and reply.trial == replica.trial
    if current and reply.granted and reply.term == expected:
        replica.votes.add(sender)
        _count_votes(replica, now)


def _append(replica: Replica, kind: EntryKind, data: bytes) -> LogEntry:
    entry = LogEntry(LogIndex(last_index(replica) + 1), replica.hard.term, kind, data)
    _store(replica, [entry])
    return entry


def _store(replica: Replica, entries: list[LogEntry]) -> None:
    replica.entries.extend(entries)
    replica.output.entries.extend(entries)
    for entry in entries:
        if entry.kind is EntryKind.MEMBERSHIP:
            new = msgspec.msgpack.decode(entry.data, type=Membership)
            replica.memberships.append((entry.index, new))


def _truncate(replica: Replica, index: int) -> None:
    """Drops the entries from an index on."""
    replica.entries = replica.entries[: index - replica.base.index - 1]
    replica.output.entries = [entry for entry in replica.output.entries if entry.index < index]
    replica.memberships = [pair for pair in replica.memberships if pair[0] < index]
    replica.persisted = LogIndex(min(replica.persisted, index - 1))


def _recall_memberships(replica: Replica) -> None:
    replica.memberships = [
        (entry.index, msgspec.msgpack.decode(entry.data, type=Membership))
        for entry in replica.entries
        if entry.kind is EntryKind.MEMBERSHIP
    ]


def _membership_at(replica: Replica, index: int) -> Membership:
    known = [new for at, new in replica.memberships if at <= index]
    return known[-1] if known else replica.base.membership


def _change_is_pending(replica: Replica) -> bool:
    return bool(replica.memberships) and replica.memberships[-1][0] > replica.commit


def _progress(replica: Replica, peer_id: ReplicaId) -> Progress:
    if peer_id not in replica.progress:
        replica.progress[peer_id] = Progress(LogIndex(last_index(replica) + 1))
    return replica.progress[peer_id]


def _quorum_acknowledged(replica: Replica, now: float) -> float:
    """Returns the time at which a quorum was last known to follow this leader."""
    times = [
        now if peer.id == replica.id else _progress(replica, peer.id).acknowledged
        for peer in membership(replica).voters
    ]
    times.sort(reverse=True)
    return times[quorum(replica) - 1]


def _is_silent(replica: Replica, peer: Peer, now: float) -> bool:
    if peer.id == replica.id:
        return False
    last = max(_progress(replica, peer.id).heard, replica.led_since)
    return now - last > replica.timing.replace_after


def _is_caught_up(replica: Replica, peer: Peer, now: float) -> bool:
    progress = _progress(replica, peer.id)
    fresh = now - progress.heard < replica.timing.election_max
    return fresh and progress.match >= replica.commit


def _without(current: Membership, learner: Peer, voters: tuple[Peer, ...]) -> Membership:
    return Membership(voters, tuple(peer for peer in current.learners if peer.id != learner.id))


def _broadcast(replica: Replica, now: float) -> None:
    replica.heartbeat_at = now + replica.timing.heartbeat
    for peer in _others(membership(replica), replica.id):
        _send_entries(replica, peer.id, now)


def _send_entries(replica: Replica, peer_id: ReplicaId, now: float) -> None:
    progress = _progress(replica, peer_id)
    previous = LogIndex(progress.next - 1)
    previous_term = term_at(replica, previous)
    if previous_term is None:
        _send_snapshot(replica, peer_id, progress, now)
        return
    start = previous - replica.base.index
    entries: list[LogEntry] = []
    size = 0
    for entry in replica.entries[start : start + MAX_ENTRIES_PER_MESSAGE]:
        size += len(entry.data)
        if entries and size > MAX_BYTES_PER_MESSAGE:
            break
        entries.append(entry)
    progress.next = LogIndex(progress.next + len(entries))
    request = AppendRequest(
        replica.hard.term, previous, previous_term, entries, replica.commit, now
    )
    _send(replica, peer_id, request)


def _send_snapshot(replica: Replica, peer_id: ReplicaId, progress: Progress, now: float) -> None:
    if now - progress.snapshot_sent < replica.timing.election_max:
        return
    progress.snapshot_sent = now
    _send(replica, peer_id, SnapshotRequest(replica.hard.term, replica.base, b"", now))


def _hear_leader(replica: Replica, sender: ReplicaId, now: float) -> None:
    replica.role = Role.FOLLOWER
    replica.leader = sender
    replica.heard_leader = now
    _reset_election(replica, now)


def _on_append(replica: Replica, sender: ReplicaId, request: AppendRequest, now: float) -> None:
    if request.term < replica.hard.term:
        _send(replica, sender, AppendReply(replica.hard.term, False, LogIndex(0), request.sent_at))
        return
    _hear_leader(replica, sender, now)
    known = term_at(replica, request.previous_index)
    if request.previous_index < replica.base.index:
        match, ok = replica.base.index, True
    elif known != request.previous_term:
        hint = min(request.previous_index - 1, last_index(replica))
        match, ok = LogIndex(max(hint, replica.commit)), False
    else:
        match, ok = _accept_entries(replica, request), True
        replica.commit = max(replica.commit, min(request.commit, match))
    _send(replica, sender, AppendReply(replica.hard.term, ok, match, request.sent_at))


def _accept_entries(replica: Replica, request: AppendRequest) -> LogIndex:
    for position, entry in enumerate(request.entries):
        known = term_at(replica, entry.index)
        if known is not None and known != entry.term:
            assert entry.index > replica.commit, "a committed entry would be cut"
            _truncate(replica, entry.index)
            known = None
        if known is None:
            _store(replica, request.entries[position:])
            break
    return LogIndex(request.previous_index + len(request.entries))


def _on_append_reply(replica: Replica, sender: ReplicaId, reply: AppendReply, now: float) -> None:
    if replica.role is not Role.LEADER or reply.term != replica.hard.term:
        return
    progress = _progress(replica, sender)
    progress.heard = now
    progress.acknowledged = max(progress.acknowledged, reply.sent_at)
    if not reply.ok:
        progress.next = LogIndex(max(progress.match + 1, min(reply.match + 1, progress.next)))
        _send_entries(replica, sender, now)
        return
    progress.match = max(progress.match, reply.match)
    progress.next = max(progress.next, LogIndex(progress.match + 1))
    if _advance_commit(replica):
        _broadcast(replica, now)
    elif progress.next <= last_index(replica):
        _send_entries(replica, sender, now)


def _advance_commit(replica: Replica) -> bool:
    """Commits what a quorum has synced; true if something new was committed."""
    matches = sorted(
        (
            replica.persisted if peer.id == replica.id else _progress(replica, peer.id).match
            for peer in membership(replica).voters
        ),
        reverse=True,
    )
    index = matches[quorum(replica) - 1]
    if index <= replica.commit or term_at(replica, index) != replica.hard.term:
        return False
    replica.commit = index
    return True


def _on_snapshot(replica: Replica, sender: ReplicaId, request: SnapshotRequest, now: float) -> None:
    if request.term < replica.hard.term:
        _send(replica, sender, AppendReply(replica.hard.term, False, LogIndex(0), request.sent_at))
        return
    _hear_leader(replica, sender, now)
    if request.base.index > replica.commit:
        if term_at(replica, request.base.index) == request.base.term:
            replica.entries = replica.entries[request.base.index - replica.base.index :]
        else:
            replica.entries = []
        replica.base = request.base
        replica.output.entries = []
        replica.output.install = request
        replica.commit = replica.handed_out = request.base.index
        replica.persisted = max(replica.persisted, request.base.index)
        replica.persisted = min(replica.persisted, last_index(replica))
        _recall_memberships(replica)
    match = LogIndex(max(request.base.index, replica.commit))
    _send(replica, sender, AppendReply(replica.hard.term, True, match, request.sent_at))
