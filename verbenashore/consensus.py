"""The replicated log: elections, quorum commit and membership, without I/O.

Events go in through plain functions that take the state and the time; what is to be written, sent
and applied comes out of :func:`take_output`.  Messages of an output may leave only after its hard
state and entries are synced.
"""

import random
from collections import deque
from enum import Enum

import msgspec

from verbenashore import rollcall
from verbenashore.replication import (
    NAMELESS,
    NOBODY,
    AppendReply,
    AppendRequest,
    Base,
    EntryKind,
    HandoverRequest,
    HardState,
    LogEntry,
    Membership,
    Message,
    Packet,
    Peer,
    RollCallReply,
    RollCallRequest,
    Snapshot,
    SnapshotReply,
    SnapshotRequest,
    TermMessage,
    Timing,
    VoteReply,
    VoteRequest,
)
from verbenashore.rollcall import RollCall, Starts
from verbenashore.types import LogIndex, MemberName, ReplicaId, Term

MAX_ENTRIES_PER_MESSAGE = 512
#: Bytes of entries in one message: 35 ms on a line of 15 Mbit/s, less than a heartbeat's 45 ms.
MAX_BYTES_PER_MESSAGE = 64 << 10
#: Bytes of entries on their way to one replica, after which only heartbeats are sent: 140 ms on
#: that line, so that a heartbeat behind them is answered within a lease of 225 ms.
WINDOW_BYTES = 256 << 10
#: Bytes of a snapshot in one message, as for entries.
SNAPSHOT_PART_BYTES = 64 << 10
#: Bytes of entries, at least, kept for replicas that a snapshot would leave behind: twice the
#: 8 MiB of log after which one is taken.
KEPT_LOG_BYTES = 16 << 20


class Role(Enum):
    """The part that a replica plays in its group."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Sending(msgspec.Struct):
    """A snapshot on its way to one replica; newer ones don't replace it.

    :param received: how many bytes of it the replica has acknowledged.
    :param part_at: when the newest part was sent.
    :param asked_at: when a part or a heartbeat was sent last.
    """

    snapshot: Snapshot
    received: int = 0
    part_at: float = float("-inf")
    asked_at: float = float("-inf")


class Receiving(msgspec.Struct):
    """The parts of a snapshot that have come from a leader.

    :param term: the leader's; another leader's snapshot may differ in its bytes.
    """

    term: Term
    base: Base
    size: int
    data: bytearray = msgspec.field(default_factory=bytearray)


class Progress(msgspec.Struct):
    """What a leader knows of one other replica.

    :param acknowledged: when the newest message it answered was sent.
    :param heard: when its last answer came.
    :param sent_at: when entries or a heartbeat were sent last.
    :param rewound_at: when ``next`` went back, since entries were missing or differed.
    :param rewound_to: where it went then.
    :param probing: true until something agrees after that; one message is on its way till then.
    :param flights: the last index and the bytes of each message that isn't answered.
    :param in_flight: the sum of these bytes.
    """

    next: LogIndex
    match: LogIndex = LogIndex(0)
    acknowledged: float = float("-inf")
    heard: float = float("-inf")
    sent_at: float = float("-inf")
    rewound_at: float = float("-inf")
    rewound_to: LogIndex = LogIndex(0)
    probing: bool = False
    flights: deque[tuple[LogIndex, int]] = msgspec.field(default_factory=deque)
    in_flight: int = 0
    sending: Sending | None = None


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
    install: Snapshot | None = None
    packets: list[Packet] = msgspec.field(default_factory=list)
    committed: list[LogEntry] = msgspec.field(default_factory=list)


class Replica(msgspec.Struct):
    """The state of one replica.

    :param base: where the entries in memory begin.
    :param snapshot: the newest one; its base is never before the other.
    :param persisted: the last index that is synced here.
    :param handed_out: the last committed index given to the runtime.
    :param name: the process that runs it.
    :param start: differs for every start; never 0.
    :param fresh: true until it leads or hears a leader.
    """

    id: ReplicaId
    timing: Timing
    random: random.Random
    hard: HardState
    snapshot: Snapshot
    base: Base
    entries: list[LogEntry]
    receiving: Receiving | None = None
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
    name: MemberName = NAMELESS
    start: int = 0
    fresh: bool = True
    roll: RollCall = msgspec.field(default_factory=RollCall)
    votes: set[ReplicaId] = msgspec.field(default_factory=set)
    progress: dict[ReplicaId, Progress] = msgspec.field(default_factory=dict)
    memberships: list[tuple[LogIndex, Membership]] = msgspec.field(default_factory=list)
    output: Output = msgspec.field(default_factory=Output)


def new_replica(
    replica_id: ReplicaId,
    timing: Timing,
    seed: int,
    hard: HardState,
    snapshot: Snapshot,
    entries: list[LogEntry],
    now: float,
    name: MemberName = NAMELESS,
) -> Replica:
    """Returns a replica that starts from what its disk holds."""
    chance = random.Random(seed)
    replica = Replica(replica_id, timing, chance, hard, snapshot, snapshot.base, list(entries))
    replica.commit = replica.handed_out = snapshot.base.index
    replica.persisted = last_index(replica)
    replica.name = name
    replica.heard_leader = now
    replica.start = replica.random.getrandbits(62) + 1
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
    if replica.base.index < replica.snapshot.base.index and not _laggards(replica, now):
        _drop_entries(replica, replica.snapshot.base.index)
    if replica.role is Role.LEADER:
        if now - _quorum_acknowledged(replica, now) > replica.timing.election_max:
            _follow(replica, replica.hard.term, NOBODY, now)
        elif now >= replica.heartbeat_at:
            _broadcast(replica, now)
    elif now >= replica.election_at:
        _campaign(replica, now, trial=True, handover=False)
    elif replica.fresh and now >= replica.roll.ask_at:
        _call_roll(replica, now)


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
    if not may_serve(replica, now) or change_is_pending(replica):
        return False
    before = _others(membership(replica), replica.id)
    for peer in _others(new, replica.id):
        # Only from now on does the silence of a new member mean anything.
        if peer not in before:
            progress_of(replica, peer.id).heard = now
    _append(replica, EntryKind.MEMBERSHIP, msgspec.msgpack.encode(new))
    members = {peer.id for peer in _others(new, replica.id)}
    replica.progress = {
        peer_id: progress for peer_id, progress in replica.progress.items() if peer_id in members
    }
    _broadcast(replica, now)
    return True


def synced(replica: Replica, index: LogIndex, now: float) -> None:
    """Notes that all entries up to an index are synced on this replica's disk."""
    replica.persisted = min(max(replica.persisted, index), last_index(replica))
    if replica.role is Role.LEADER and _advance_commit(replica):
        _broadcast(replica, now)


def compact(replica: Replica, index: LogIndex, data: bytes, now: float) -> Base:
    """Takes a written snapshot of an applied index, and forgets the entries up to it.

    A leader keeps some for the replicas that are catching up, or they would need one snapshot
    after the other.
    """
    assert replica.snapshot.base.index < index <= replica.handed_out
    replica.snapshot = Snapshot(base_at(replica, index), data)
    reached = _laggards(replica, now)
    limit = max(KEPT_LOG_BYTES, 2 * len(data))
    size = 0
    oldest: int = index
    while oldest > min(reached, default=index):
        size += len(replica.entries[oldest - replica.base.index - 1].data)
        if size > limit:
            break
        oldest -= 1
    end = min((at for at in reached if at >= oldest), default=index)
    _drop_entries(replica, end)
    return replica.snapshot.base


def _laggards(replica: Replica, now: float) -> list[LogIndex]:
    """Returns up to where the replicas are that need entries which a snapshot stands for."""
    if replica.role is not Role.LEADER:
        return []
    reached = []
    for progress in replica.progress.values():
        if progress.sending is not None:
            reached.append(progress.sending.snapshot.base.index)
        elif now - progress.heard < replica.timing.election_max:
            reached.append(progress.match)
    return [at for at in reached if replica.base.index <= at < replica.snapshot.base.index]


def _drop_entries(replica: Replica, index: int) -> None:
    """Forgets the entries up to an index."""
    base = base_at(replica, LogIndex(index))
    replica.entries = replica.entries[index - replica.base.index :]
    replica.base = base
    _recall_memberships(replica)


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
    successor = max(others, key=lambda peer_id: progress_of(replica, peer_id).match)
    _send(replica, successor, HandoverRequest(replica.hard.term))
    _follow(replica, replica.hard.term, NOBODY, now)


def receive(replica: Replica, packet: Packet, now: float) -> None:
    """Takes a message from another replica; one that was meant for another id is dropped.

    Only a roll call for the id that this process had on a disk that it lost is answered.
    """
    message = packet.message
    if isinstance(message, RollCallRequest):
        _answer_roll(replica, packet, message)
    elif packet.to != replica.id:
        return
    elif isinstance(message, RollCallReply):
        _on_roll_answer(replica, packet.sender, message, now)
    elif isinstance(message, VoteRequest):
        _on_vote_request(replica, packet.sender, message, now)
    else:
        _receive_in_term(replica, packet.sender, message, now)


def _receive_in_term(replica: Replica, sender: ReplicaId, message: TermMessage, now: float) -> None:
    if message.term > replica.hard.term and not _is_trial_reply(message):
        _follow(replica, message.term, NOBODY, now)
    if isinstance(message, VoteReply):
        _on_vote_reply(replica, sender, message, now)
    elif isinstance(message, AppendRequest):
        _on_append(replica, sender, message, now)
    elif isinstance(message, AppendReply):
        _on_append_reply(replica, sender, message, now)
    elif isinstance(message, SnapshotRequest):
        _on_snapshot(replica, sender, message, now)
    elif isinstance(message, SnapshotReply):
        _on_snapshot_reply(replica, sender, message, now)
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
    replica.progress = {}
    _reset_election(replica, now)


def _other_voters(replica: Replica) -> frozenset[ReplicaId]:
    return frozenset(peer.id for peer in membership(replica).voters) - {replica.id}


def _call_roll(replica: Replica, now: float) -> None:
    """Asks the voters that haven't said so yet whether they have only just started, too."""
    replica.roll.ask_at = now + replica.timing.heartbeat
    others = _other_voters(replica)
    if not is_voter(replica) or not others:
        return
    if others != replica.roll.voters or not replica.roll.missing:
        rollcall.begin(replica.roll, others)
    for voter in replica.roll.missing:
        _ask_for_start(replica, voter)


def _ask_for_start(replica: Replica, voter: ReplicaId) -> None:
    roll = replica.roll
    name = next(peer.name for peer in membership(replica).voters if peer.id == voter)
    _send(replica, voter, RollCallRequest(roll.number, [*roll.voters, replica.id], name))


def _answer_roll(replica: Replica, packet: Packet, request: RollCallRequest) -> None:
    same = set(request.voters) == _other_voters(replica) | {replica.id}
    fresh = replica.fresh and same
    last = last_index(replica)
    last_term = term_at(replica, last) or Term(0)
    if packet.to != replica.id:
        if not replica.name or request.name != replica.name:
            return
        # The voter ran in this process, and its disk is lost: it can't lead any more.
        fresh, last, last_term = True, LogIndex(0), Term(0)
    reply = RollCallReply(request.number, replica.start, fresh, last_term, last)
    replica.output.packets.append(Packet(packet.to, packet.sender, reply))
    if replica.fresh and packet.sender in replica.roll.missing:
        # It runs by now, which it may not have done when it was asked.
        _ask_for_start(replica, packet.sender)


def _on_roll_answer(replica: Replica, sender: ReplicaId, reply: RollCallReply, now: float) -> None:
    """Campaigns without delay once it is proved that no leader's lease can be left."""
    roll = replica.roll
    if not replica.fresh or roll.voters != _other_voters(replica):
        return
    starts = rollcall.take(roll, sender, reply)
    if starts is None:
        return
    last = last_index(replica)
    proved = starts == roll.proved
    first = rollcall.is_first(roll, replica.id, term_at(replica, last) or Term(0), last)
    roll.proved = starts
    if not proved:
        _call_roll(replica, now)
    elif first:
        _campaign(replica, now, trial=False, handover=False, starts=starts)


def _campaign(
    replica: Replica, now: float, *, trial: bool, handover: bool, starts: Starts | None = None
) -> None:
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
    for voter in _other_voters(replica):
        start = starts[voter] if starts is not None else 0
        _send(replica, voter, VoteRequest(term, last, last_term, trial, handover, start))
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
    replica.fresh = False
    replica.leader = replica.id
    replica.led_since = now
    replica.receiving = None
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
    all_started = replica.fresh and request.start == replica.start
    sheltered = (
        not request.handover
        and not all_started
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


def change_is_pending(replica: Replica) -> bool:
    """Tells whether the newest change of membership is not committed yet."""
    return bool(replica.memberships) and replica.memberships[-1][0] > replica.commit


def progress_of(replica: Replica, peer_id: ReplicaId) -> Progress:
    """Returns what a leader knows of another replica."""
    if peer_id not in replica.progress:
        replica.progress[peer_id] = Progress(LogIndex(last_index(replica) + 1))
    return replica.progress[peer_id]


def _quorum_acknowledged(replica: Replica, now: float) -> float:
    """Returns the time at which a quorum was last known to follow this leader."""
    times = [
        now if peer.id == replica.id else progress_of(replica, peer.id).acknowledged
        for peer in membership(replica).voters
    ]
    times.sort(reverse=True)
    return times[quorum(replica) - 1]


def _broadcast(replica: Replica, now: float) -> None:
    replica.heartbeat_at = now + replica.timing.heartbeat
    for peer in _others(membership(replica), replica.id):
        _send_entries(replica, peer.id, now)


def _send_entries(replica: Replica, peer_id: ReplicaId, now: float) -> None:
    progress = progress_of(replica, peer_id)
    if term_at(replica, progress.next - 1) is None:
        _send_snapshot(replica, peer_id, progress, now)
        return
    progress.sending = None
    if _is_full(progress):
        if now - progress.sent_at >= replica.timing.heartbeat / 2:
            _send_append(replica, peer_id, progress, [], now)
        return
    more = True
    while more:
        _send_append(replica, peer_id, progress, _next_entries(replica, progress), now)
        more = progress.next <= last_index(replica) and not _is_full(progress)


def _is_full(progress: Progress) -> bool:
    """Tells whether no more entries should be on their way to a replica."""
    room = WINDOW_BYTES - progress.in_flight
    return bool(progress.flights) and (progress.probing or room < MAX_BYTES_PER_MESSAGE)


def _next_entries(replica: Replica, progress: Progress) -> list[LogEntry]:
    """Returns the entries of one message; the first one goes whatever its size."""
    start = progress.next - 1 - replica.base.index
    entries: list[LogEntry] = []
    size = 0
    for entry in replica.entries[start : start + MAX_ENTRIES_PER_MESSAGE]:
        size += len(entry.data)
        if entries and size > MAX_BYTES_PER_MESSAGE:
            break
        entries.append(entry)
    return entries


def _send_append(
    replica: Replica, peer_id: ReplicaId, progress: Progress, entries: list[LogEntry], now: float
) -> None:
    previous = LogIndex(progress.next - 1)
    previous_term = term_at(replica, previous)
    assert previous_term is not None
    if entries:
        progress.next = LogIndex(entries[-1].index + 1)
        size = sum(len(entry.data) for entry in entries)
        progress.flights.append((entries[-1].index, size))
        progress.in_flight += size
    progress.sent_at = now
    request = AppendRequest(
        replica.hard.term, previous, previous_term, entries, replica.commit, now
    )
    _send(replica, peer_id, request)


def _send_snapshot(replica: Replica, peer_id: ReplicaId, progress: Progress, now: float) -> None:
    """Sends the first part of a snapshot, or a heartbeat while one is on its way.

    The heartbeat's answer shows whether the newest part was lost.
    """
    if progress.sending is None:
        progress.sending = Sending(replica.snapshot)
        _send_part(replica, peer_id, progress.sending, now)
    elif now - progress.sending.asked_at >= replica.timing.heartbeat / 2:
        _send_part(replica, peer_id, progress.sending, now, limit=0)


def _send_part(
    replica: Replica,
    peer_id: ReplicaId,
    sending: Sending,
    now: float,
    limit: int = SNAPSHOT_PART_BYTES,
) -> None:
    snapshot = sending.snapshot
    data = snapshot.data[sending.received : sending.received + limit]
    sending.asked_at = now
    if data:
        sending.part_at = now
    size = len(snapshot.data)
    request = SnapshotRequest(replica.hard.term, snapshot.base, size, sending.received, data, now)
    _send(replica, peer_id, request)


def _on_snapshot_reply(
    replica: Replica, sender: ReplicaId, reply: SnapshotReply, now: float
) -> None:
    progress = _note_answer(replica, sender, reply, now)
    if progress is None or progress.sending is None:
        return
    sending = progress.sending
    if reply.base_index != sending.snapshot.base.index:
        return
    if reply.received > sending.received:
        sending.received = reply.received
    elif reply.sent_at <= sending.part_at:
        return
    elif reply.received == 0:
        progress.sending = sending = Sending(replica.snapshot)
    else:
        sending.received = reply.received
    _send_part(replica, sender, sending, now)


def _note_answer(
    replica: Replica, sender: ReplicaId, reply: AppendReply | SnapshotReply, now: float
) -> Progress | None:
    """Notes that a member follows this leader; returns None if the answer is none to it."""
    progress = replica.progress.get(sender)
    if replica.role is not Role.LEADER or reply.term != replica.hard.term or progress is None:
        return None
    progress.heard = now
    progress.acknowledged = max(progress.acknowledged, reply.sent_at)
    return progress


def _hear_leader(replica: Replica, sender: ReplicaId, now: float) -> None:
    replica.role = Role.FOLLOWER
    replica.leader = sender
    replica.fresh = False
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
    _forget_parts(replica)
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
    progress = _note_answer(replica, sender, reply, now)
    if progress is None:
        return
    if not reply.ok:
        target = LogIndex(max(progress.match + 1, min(reply.match + 1, progress.next)))
        if reply.sent_at <= progress.rewound_at and target >= progress.rewound_to:
            # What was missing then is on its way again.
            return
        progress.next = progress.rewound_to = target
        progress.rewound_at = now
        progress.probing = True
        progress.flights.clear()
        progress.in_flight = 0
        _send_entries(replica, sender, now)
        return
    progress.match = max(progress.match, reply.match)
    progress.probing = False
    while progress.flights and progress.flights[0][0] <= progress.match:
        progress.in_flight -= progress.flights.popleft()[1]
    progress.next = max(progress.next, LogIndex(progress.match + 1))
    if progress.sending is not None and progress.match >= progress.sending.snapshot.base.index:
        progress.sending = None
    if _advance_commit(replica):
        _broadcast(replica, now)
    elif progress.next <= last_index(replica):
        _send_entries(replica, sender, now)


def _advance_commit(replica: Replica) -> bool:
    """Commits what a quorum has synced; true if something new was committed."""
    matches = sorted(
        (
            replica.persisted if peer.id == replica.id else progress_of(replica, peer.id).match
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
    _take_part(replica, request)
    parts = replica.receiving
    if parts is not None and len(parts.data) == parts.size:
        _install(replica, Snapshot(parts.base, bytes(parts.data)))
    _forget_parts(replica)
    if request.base.index <= replica.commit:
        match = LogIndex(max(request.base.index, replica.commit))
        _send(replica, sender, AppendReply(replica.hard.term, True, match, request.sent_at))
    elif replica.receiving is not None:
        base, received = replica.receiving.base, len(replica.receiving.data)
        reply = SnapshotReply(replica.hard.term, base.index, received, request.sent_at)
        _send(replica, sender, reply)


def _take_part(replica: Replica, request: SnapshotRequest) -> None:
    """Adds a part to those that have come; one of an older snapshot or beyond a gap is dropped."""
    if request.base.index <= replica.commit:
        return
    parts = replica.receiving
    if parts is None or (parts.term, parts.base.index) < (request.term, request.base.index):
        parts = replica.receiving = Receiving(request.term, request.base, request.size)
    same = (parts.term, parts.base) == (request.term, request.base)
    if same and request.offset == len(parts.data):
        parts.data += request.data


def _forget_parts(replica: Replica) -> None:
    """Drops the parts of a snapshot that the log has passed, or whose sender leads no more."""
    parts = replica.receiving
    if parts and (parts.base.index <= replica.commit or parts.term < replica.hard.term):
        replica.receiving = None


def _install(replica: Replica, snapshot: Snapshot) -> None:
    base = snapshot.base
    if term_at(replica, base.index) == base.term:
        replica.entries = replica.entries[base.index - replica.base.index :]
    else:
        replica.entries = []
    replica.base = base
    replica.snapshot = snapshot
    replica.output.entries = []
    replica.output.install = snapshot
    replica.commit = replica.handed_out = base.index
    replica.persisted = max(replica.persisted, base.index)
    replica.persisted = min(replica.persisted, last_index(replica))
    _recall_memberships(replica)
