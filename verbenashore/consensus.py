"""The Raft replicated log, free of I/O: elections, quorum commit, snapshots and membership changes.

Functions that change the replica's state get the current time as a parameter if they need it, and
collect the resulting actions in the replica's output.  :func:`take_output` returns what the caller
must write, send and apply.  The hard state and the entries of an output must be synced to disk
before its messages are sent.
"""

import random
from collections import deque
from enum import Enum

import msgspec

from verbenashore import coldstart
from verbenashore.coldstart import ColdStartCheck, StartIds
from verbenashore.replication import (
    NO_NAME,
    NO_REPLICA,
    AppendReply,
    AppendRequest,
    Base,
    ColdStartReply,
    ColdStartRequest,
    EntryKind,
    HandoverRequest,
    HardState,
    LogEntry,
    Membership,
    Message,
    Packet,
    Peer,
    Snapshot,
    SnapshotReply,
    SnapshotRequest,
    TermMessage,
    Timing,
    VoteReply,
    VoteRequest,
)
from verbenashore.types import LogIndex, MemberName, ReplicaId, Term

MAX_ENTRIES_PER_MESSAGE = 512
#: Bytes of entries in one message: 35 ms on a line of 15 Mbit/s, less than the heartbeat interval
#: of 45 ms at an election timeout of 0.3 s.
MAX_BYTES_PER_MESSAGE = 64 << 10
#: Limit on the bytes of unacknowledged entries to one replica, beyond which only heartbeats are
#: sent: 140 ms on that line, so that a heartbeat queued behind them is answered within the lease of
#: 225 ms at the same timeout.
WINDOW_BYTES = 256 << 10
#: Bytes of a snapshot in one message, limited for the same reason as MAX_BYTES_PER_MESSAGE.
SNAPSHOT_PART_BYTES = 64 << 10
#: Limit on the bytes of entries that compaction retains for replicas which are catching up, unless
#: twice the snapshot is larger: twice the 8 MiB of log after which a snapshot is taken.
RETAINED_LOG_BYTES = 16 << 20


class Role(Enum):
    """A replica's role in its group, as in Raft."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class OutgoingSnapshot(msgspec.Struct):
    """A snapshot being sent to one replica; a newer snapshot doesn't replace it.

    :param acknowledged_bytes: how many of its bytes the replica has received.
    :param part_sent_at: when the latest part was sent.
    :param last_sent_at: when the latest part or heartbeat was sent.
    """

    snapshot: Snapshot
    acknowledged_bytes: int = 0
    part_sent_at: float = float("-inf")
    last_sent_at: float = float("-inf")


class IncomingSnapshot(msgspec.Struct):
    """The parts of a snapshot that this replica has received from a leader.

    :param term: the leader's term; another leader's snapshot of the same index may differ in its
        bytes.
    :param size: bytes of the whole snapshot.
    """

    term: Term
    base: Base
    size: int
    data: bytearray = msgspec.field(default_factory=bytearray)


class Progress(msgspec.Struct):
    """A leader's view of one peer.

    :param next_index: the next entry to send.
    :param match_index: the last entry known to agree with the leader's log.
    :param acknowledged_sent_at: send time of the newest message that the peer has answered.
    :param last_reply_at: when its last reply was received.
    :param sent_at: when an append request, with or without entries, was last sent.
    :param rewound_at: when ``next_index`` was last set back because entries were missing at the
        peer or differed.
    :param rewound_to: the value to which it was set.
    :param probing: true from such a rewind until an append succeeds; meanwhile at most one message
        with entries is in flight.
    :param unacknowledged: the last index and the size in bytes of each unanswered append.
    :param in_flight_bytes: the sum of these sizes.
    :param outgoing: the snapshot being sent instead of entries, if any.
    """

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    acknowledged_sent_at: float = float("-inf")
    last_reply_at: float = float("-inf")
    sent_at: float = float("-inf")
    rewound_at: float = float("-inf")
    rewound_to: LogIndex = LogIndex(0)
    probing: bool = False
    unacknowledged: deque[tuple[LogIndex, int]] = msgspec.field(default_factory=deque)
    in_flight_bytes: int = 0
    outgoing: OutgoingSnapshot | None = None


class Output(msgspec.Struct):
    """The actions that the caller must carry out, in this order.

    :param hard_state: to be written, if not None.
    :param entries: to be written; an entry whose index is already stored replaces that entry and
        all that follow it.
    :param install: a snapshot that replaces the log and the state of the state machine.
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

    :param base: the point after which ``entries`` begin.
    :param snapshot: the newest snapshot; its base is never before ``base``.
    :param incoming: the snapshot being received from the leader, if any.
    :param commit: the last committed index.
    :param persisted: the last index that is synced on this replica's disk.
    :param delivered: the last committed index returned by :func:`take_output`.
    :param leader_contact_at: when the last message of a leader was received; at first, the start
        time.
    :param noop_index: the entry with which this leader began its term.
    :param pre_vote: whether this replica's last candidacy was a pre-vote.
    :param handover: whether the leader asked for that candidacy.
    :param name: the process that runs this replica.
    :param start_id: differs for every start; never 0.
    :param just_started: true until this replica leads or receives a leader's message.
    :param cold_start: the requests to the other voters that detect a cold start; see
        :mod:`verbenashore.coldstart`.
    :param memberships: the memberships in ``entries``, each with the index of its entry.
    """

    id: ReplicaId
    timing: Timing
    random: random.Random
    hard: HardState
    snapshot: Snapshot
    base: Base
    entries: list[LogEntry]
    incoming: IncomingSnapshot | None = None
    role: Role = Role.FOLLOWER
    leader: ReplicaId = NO_REPLICA
    commit: LogIndex = LogIndex(0)
    persisted: LogIndex = LogIndex(0)
    delivered: LogIndex = LogIndex(0)
    leader_contact_at: float = 0.0
    election_at: float = 0.0
    heartbeat_at: float = 0.0
    led_since: float = 0.0
    noop_index: LogIndex = LogIndex(0)
    pre_vote: bool = False
    handover: bool = False
    name: MemberName = NO_NAME
    start_id: int = 0
    just_started: bool = True
    cold_start: ColdStartCheck = msgspec.field(default_factory=ColdStartCheck)
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
    name: MemberName = NO_NAME,
) -> Replica:
    """Returns a replica in the state that was read from its disk."""
    generator = random.Random(seed)
    replica = Replica(replica_id, timing, generator, hard, snapshot, snapshot.base, list(entries))
    replica.commit = replica.delivered = snapshot.base.index
    replica.persisted = last_index(replica)
    replica.name = name
    replica.leader_contact_at = now
    replica.start_id = replica.random.getrandbits(62) + 1
    _reload_memberships(replica)
    _reset_election_timeout(replica, now)
    return replica


def last_index(replica: Replica) -> LogIndex:
    """Returns the index of the last entry."""
    return LogIndex(replica.base.index + len(replica.entries))


def term_at(replica: Replica, index: int) -> Term | None:
    """Returns the term of an entry, or None if the log in memory doesn't include it."""
    if index == replica.base.index:
        return replica.base.term
    if replica.base.index < index <= last_index(replica):
        return replica.entries[index - replica.base.index - 1].term
    return None


def membership(replica: Replica) -> Membership:
    """Returns the newest membership in the log, committed or not."""
    return replica.memberships[-1][1] if replica.memberships else replica.base.membership


def is_voter(replica: Replica) -> bool:
    """Returns whether this replica counts in quorums."""
    return any(peer.id == replica.id for peer in membership(replica).voters)


def quorum(replica: Replica) -> int:
    """Returns the number of voters that form a majority."""
    return len(membership(replica).voters) // 2 + 1


def may_serve(replica: Replica, now: float) -> bool:
    """Returns whether this replica leads with a valid lease, so that it may serve reads and writes.

    A new leader may not serve before all entries of earlier terms are committed and returned by
    :func:`take_output`.
    """
    return (
        replica.role is Role.LEADER
        and replica.delivered >= replica.noop_index
        and now < _quorum_contact_time(replica, now) + replica.timing.lease
    )


def take_output(replica: Replica) -> Output:
    """Returns the actions that have become due since the last call."""
    output = replica.output
    if replica.delivered < replica.commit:
        start = replica.delivered - replica.base.index
        output.committed = replica.entries[start : replica.commit - replica.base.index]
        replica.delivered = replica.commit
    replica.output = Output()
    return output


def tick(replica: Replica, now: float) -> None:
    """Performs the actions that depend on time alone."""
    if replica.base.index < replica.snapshot.base.index and not _lagging_positions(replica, now):
        _discard_entries(replica, replica.snapshot.base.index)
    if replica.role is Role.LEADER:
        if now - _quorum_contact_time(replica, now) > replica.timing.election_max:
            _become_follower(replica, replica.hard.term, NO_REPLICA, now)
        elif now >= replica.heartbeat_at:
            _broadcast(replica, now)
    elif now >= replica.election_at:
        _campaign(replica, now, pre_vote=True, handover=False)
    elif replica.just_started and now >= replica.cold_start.retry_at:
        _send_cold_start_requests(replica, now)


def next_tick(replica: Replica, now: float) -> float:
    """Returns the time at which :func:`tick` is due again if nothing is received until then."""
    if replica.role is not Role.FOLLOWER:
        return now
    if replica.just_started and is_voter(replica):
        return min(replica.election_at, replica.cold_start.retry_at)
    return replica.election_at


def propose(replica: Replica, commands: list[bytes], now: float) -> list[LogIndex]:
    """Appends commands to the log and returns their indexes.

    The list is empty if this replica isn't the leader.
    """
    if replica.role is not Role.LEADER:
        return []
    indexes = [_append_entry(replica, EntryKind.COMMAND, data).index for data in commands]
    _broadcast(replica, now)
    return indexes


def bootstrap(replica: Replica, voters: tuple[Peer, ...], now: float) -> None:
    """Forms a new group; allowed only if the data folders of all its replicas are new."""
    replica.hard = HardState(Term(1), NO_REPLICA)
    replica.output.hard_state = replica.hard
    _append_entry(replica, EntryKind.MEMBERSHIP, msgspec.msgpack.encode(Membership(voters)))
    replica.election_at = now


def change_membership(replica: Replica, new: Membership, now: float) -> bool:
    """Starts a change of membership; returns whether it was allowed.

    The leader needs a valid lease, and the previous change must be committed.
    """
    if not may_serve(replica, now) or change_is_pending(replica):
        return False
    previous_peers = _other_peers(membership(replica), replica.id)
    for peer in _other_peers(new, replica.id):
        # The time without contact counts from the admission of a new member, not from before.
        if peer not in previous_peers:
            progress_of(replica, peer.id).last_reply_at = now
    _append_entry(replica, EntryKind.MEMBERSHIP, msgspec.msgpack.encode(new))
    peer_ids = {peer.id for peer in _other_peers(new, replica.id)}
    replica.progress = {
        peer_id: progress for peer_id, progress in replica.progress.items() if peer_id in peer_ids
    }
    _broadcast(replica, now)
    return True


def record_synced(replica: Replica, index: LogIndex, now: float) -> None:
    """Records that all entries up to an index are synced on this replica's disk."""
    replica.persisted = min(max(replica.persisted, index), last_index(replica))
    if replica.role is Role.LEADER and _advance_commit(replica):
        _broadcast(replica, now)


def compact(replica: Replica, index: LogIndex, data: bytes, now: float) -> Base:
    """Replaces the log up to an applied index by a snapshot that is already written to disk.

    A leader retains some of these entries for the replicas that are catching up, which would
    otherwise need one snapshot after the other.
    """
    assert replica.snapshot.base.index < index <= replica.delivered
    replica.snapshot = Snapshot(base_at(replica, index), data)
    lagging = _lagging_positions(replica, now)
    limit = max(RETAINED_LOG_BYTES, 2 * len(data))
    size = 0
    oldest: int = index
    while oldest > min(lagging, default=index):
        size += len(replica.entries[oldest - replica.base.index - 1].data)
        if size > limit:
            break
        oldest -= 1
    end = min((position for position in lagging if position >= oldest), default=index)
    _discard_entries(replica, end)
    return replica.snapshot.base


def _lagging_positions(replica: Replica, now: float) -> list[LogIndex]:
    """Returns the indexes reached by peers that still need entries which the snapshot covers.

    For a peer that is being sent a snapshot, that is the base of this snapshot.
    """
    if replica.role is not Role.LEADER:
        return []
    lagging = []
    for progress in replica.progress.values():
        if progress.outgoing is not None:
            lagging.append(progress.outgoing.snapshot.base.index)
        elif now - progress.last_reply_at < replica.timing.election_max:
            lagging.append(progress.match_index)
    return [
        position
        for position in lagging
        if replica.base.index <= position < replica.snapshot.base.index
    ]


def _discard_entries(replica: Replica, index: int) -> None:
    """Removes the entries up to an index from memory."""
    base = base_at(replica, LogIndex(index))
    replica.entries = replica.entries[index - replica.base.index :]
    replica.base = base
    _reload_memberships(replica)


def base_at(replica: Replica, index: LogIndex) -> Base:
    """Returns the base of a snapshot that is taken at an applied index."""
    term = term_at(replica, index)
    assert term is not None
    return Base(index, term, _membership_at(replica, index))


def hand_over(replica: Replica, now: float) -> None:
    """Steps down and asks the voter with the longest matching log to campaign at once."""
    if replica.role is not Role.LEADER:
        return
    candidates = [peer.id for peer in membership(replica).voters if peer.id != replica.id]
    if not candidates:
        return
    successor = max(candidates, key=lambda peer_id: progress_of(replica, peer_id).match_index)
    _send_message(replica, successor, HandoverRequest(replica.hard.term))
    _become_follower(replica, replica.hard.term, NO_REPLICA, now)


def receive(replica: Replica, packet: Packet, now: float) -> None:
    """Handles a message from another replica.

    A message to another replica id is dropped, unless it is a cold start request: that may be for
    the replica that this process ran before its disk was lost.
    """
    message = packet.message
    if isinstance(message, ColdStartRequest):
        _on_cold_start_request(replica, packet, message)
    elif packet.to != replica.id:
        return
    elif isinstance(message, ColdStartReply):
        _on_cold_start_reply(replica, packet.sender, message, now)
    elif isinstance(message, VoteRequest):
        _on_vote_request(replica, packet.sender, message, now)
    else:
        _receive_in_term(replica, packet.sender, message, now)


def _receive_in_term(replica: Replica, sender: ReplicaId, message: TermMessage, now: float) -> None:
    if message.term > replica.hard.term and not _is_granted_pre_vote(message):
        _become_follower(replica, message.term, NO_REPLICA, now)
    if isinstance(message, VoteReply):
        _on_vote_reply(replica, sender, message, now)
    elif isinstance(message, AppendRequest):
        _on_append_request(replica, sender, message, now)
    elif isinstance(message, AppendReply):
        _on_append_reply(replica, sender, message, now)
    elif isinstance(message, SnapshotRequest):
        _on_snapshot_request(replica, sender, message, now)
    elif isinstance(message, SnapshotReply):
        _on_snapshot_reply(replica, sender, message, now)
    elif message.term == replica.hard.term and is_voter(replica):
        _campaign(replica, now, pre_vote=False, handover=True)


def _is_granted_pre_vote(message: Message) -> bool:
    return isinstance(message, VoteReply) and message.pre_vote and message.granted


def _send_message(replica: Replica, to: ReplicaId, message: Message) -> None:
    replica.output.packets.append(Packet(replica.id, to, message))


def _set_hard_state(replica: Replica, term: Term, vote: ReplicaId) -> None:
    replica.hard = HardState(term, vote)
    replica.output.hard_state = replica.hard


def _reset_election_timeout(replica: Replica, now: float) -> None:
    timing = replica.timing
    replica.election_at = now + replica.random.uniform(timing.election_min, timing.election_max)


def _become_follower(replica: Replica, term: Term, leader: ReplicaId, now: float) -> None:
    if term > replica.hard.term:
        _set_hard_state(replica, term, NO_REPLICA)
    replica.role = Role.FOLLOWER
    replica.leader = leader
    replica.votes = set()
    replica.progress = {}
    _reset_election_timeout(replica, now)


def _other_voters(replica: Replica) -> frozenset[ReplicaId]:
    return frozenset(peer.id for peer in membership(replica).voters) - {replica.id}


def _send_cold_start_requests(replica: Replica, now: float) -> None:
    """Asks the voters that haven't replied in this round whether they have just started, too."""
    replica.cold_start.retry_at = now + replica.timing.heartbeat
    other_voters = _other_voters(replica)
    if not is_voter(replica) or not other_voters:
        return
    if other_voters != replica.cold_start.other_voters or not replica.cold_start.missing:
        coldstart.begin_round(replica.cold_start, other_voters)
    for voter in replica.cold_start.missing:
        _send_cold_start_request(replica, voter)


def _send_cold_start_request(replica: Replica, voter: ReplicaId) -> None:
    check = replica.cold_start
    name = next(peer.name for peer in membership(replica).voters if peer.id == voter)
    _send_message(
        replica,
        voter,
        ColdStartRequest(check.round_number, [*check.other_voters, replica.id], name),
    )


def _on_cold_start_request(replica: Replica, packet: Packet, request: ColdStartRequest) -> None:
    same_voters = set(request.voters) == _other_voters(replica) | {replica.id}
    just_started = replica.just_started and same_voters
    last = last_index(replica)
    last_term = term_at(replica, last) or Term(0)
    if packet.to != replica.id:
        if not replica.name or request.process_name != replica.name:
            return
        # The voter ran in this process and its disk is lost, so it can't lead any more.
        just_started, last, last_term = True, LogIndex(0), Term(0)
    reply = ColdStartReply(request.round_number, replica.start_id, just_started, last_term, last)
    replica.output.packets.append(Packet(packet.to, packet.sender, reply))
    if replica.just_started and packet.sender in replica.cold_start.missing:
        # An earlier request may have been lost because the sender wasn't running yet.
        _send_cold_start_request(replica, packet.sender)


def _on_cold_start_reply(
    replica: Replica, sender: ReplicaId, reply: ColdStartReply, now: float
) -> None:
    """Records a reply; at the end of a round campaigns at once or starts the next round.

    It campaigns if the last two rounds prove a cold start and this replica has the newest log.
    """
    check = replica.cold_start
    if not replica.just_started or check.other_voters != _other_voters(replica):
        return
    start_ids = coldstart.record_reply(check, sender, reply)
    if start_ids is None:
        return
    last = last_index(replica)
    proved = start_ids == check.previous_start_ids
    newest_log = coldstart.has_newest_log(
        check, replica.id, term_at(replica, last) or Term(0), last
    )
    check.previous_start_ids = start_ids
    if not proved:
        _send_cold_start_requests(replica, now)
    elif newest_log:
        _campaign(replica, now, pre_vote=False, handover=False, start_ids=start_ids)


def _campaign(
    replica: Replica,
    now: float,
    *,
    pre_vote: bool,
    handover: bool,
    start_ids: StartIds | None = None,
) -> None:
    _reset_election_timeout(replica, now)
    if not is_voter(replica):
        return
    replica.role = Role.CANDIDATE
    replica.leader = NO_REPLICA
    replica.pre_vote = pre_vote
    replica.handover = handover
    if not pre_vote:
        _set_hard_state(replica, Term(replica.hard.term + 1), replica.id)
    replica.votes = {replica.id}
    term = Term(replica.hard.term + 1) if pre_vote else replica.hard.term
    last = last_index(replica)
    last_term = term_at(replica, last)
    assert last_term is not None
    for voter in _other_voters(replica):
        start_id = start_ids[voter] if start_ids is not None else 0
        _send_message(
            replica, voter, VoteRequest(term, last, last_term, pre_vote, handover, start_id)
        )
    _count_votes(replica, now)


def _count_votes(replica: Replica, now: float) -> None:
    voters = {peer.id for peer in membership(replica).voters}
    if len(replica.votes & voters) < quorum(replica):
        return
    if replica.pre_vote:
        _campaign(replica, now, pre_vote=False, handover=replica.handover)
    else:
        _become_leader(replica, now)


def _become_leader(replica: Replica, now: float) -> None:
    replica.role = Role.LEADER
    replica.just_started = False
    replica.leader = replica.id
    replica.led_since = now
    replica.incoming = None
    after_last = LogIndex(last_index(replica) + 1)
    replica.progress = {
        peer.id: Progress(after_last, acknowledged_sent_at=now, last_reply_at=now)
        for peer in _other_peers(membership(replica), replica.id)
    }
    replica.noop_index = _append_entry(replica, EntryKind.NOOP, b"").index
    _broadcast(replica, now)


def _other_peers(current: Membership, replica_id: ReplicaId) -> list[Peer]:
    return [peer for peer in (*current.voters, *current.learners) if peer.id != replica_id]


def _on_vote_request(replica: Replica, sender: ReplicaId, request: VoteRequest, now: float) -> None:
    whole_group_started = replica.just_started and request.start_id == replica.start_id
    leader_may_hold_lease = (
        not request.handover
        and not whole_group_started
        and now - replica.leader_contact_at < replica.timing.election_min
        or replica.role is Role.LEADER
    )
    if leader_may_hold_lease and not (request.handover and request.term > replica.hard.term):
        _send_message(replica, sender, VoteReply(replica.hard.term, request.pre_vote, False))
        return
    if not request.pre_vote and request.term > replica.hard.term:
        _become_follower(replica, request.term, NO_REPLICA, now)
    last = last_index(replica)
    local_log = (term_at(replica, last) or 0, last)
    up_to_date = (request.last_term, request.last_index) >= local_log
    if request.pre_vote:
        granted = up_to_date and request.term > replica.hard.term
    else:
        may_vote_for_sender = replica.hard.vote in (NO_REPLICA, sender)
        granted = up_to_date and request.term == replica.hard.term and may_vote_for_sender
        if granted:
            _set_hard_state(replica, request.term, sender)
            _reset_election_timeout(replica, now)
    term = request.term if granted else replica.hard.term
    _send_message(replica, sender, VoteReply(term, request.pre_vote, granted))


def _on_vote_reply(replica: Replica, sender: ReplicaId, reply: VoteReply, now: float) -> None:
    expected = Term(replica.hard.term + 1) if replica.pre_vote else replica.hard.term
    current = replica.role is Role.CANDIDATE and reply.pre_vote == replica.pre_vote
    if current and reply.granted and reply.term == expected:
        replica.votes.add(sender)
        _count_votes(replica, now)


def _append_entry(replica: Replica, kind: EntryKind, data: bytes) -> LogEntry:
    entry = LogEntry(LogIndex(last_index(replica) + 1), replica.hard.term, kind, data)
    _extend_log(replica, [entry])
    return entry


def _extend_log(replica: Replica, entries: list[LogEntry]) -> None:
    replica.entries.extend(entries)
    replica.output.entries.extend(entries)
    for entry in entries:
        if entry.kind is EntryKind.MEMBERSHIP:
            new = msgspec.msgpack.decode(entry.data, type=Membership)
            replica.memberships.append((entry.index, new))


def _truncate_from(replica: Replica, index: int) -> None:
    """Removes the entries from an index on."""
    replica.entries = replica.entries[: index - replica.base.index - 1]
    replica.output.entries = [entry for entry in replica.output.entries if entry.index < index]
    replica.memberships = [pair for pair in replica.memberships if pair[0] < index]
    replica.persisted = LogIndex(min(replica.persisted, index - 1))


def _reload_memberships(replica: Replica) -> None:
    replica.memberships = [
        (entry.index, msgspec.msgpack.decode(entry.data, type=Membership))
        for entry in replica.entries
        if entry.kind is EntryKind.MEMBERSHIP
    ]


def _membership_at(replica: Replica, index: int) -> Membership:
    candidates = [new for position, new in replica.memberships if position <= index]
    return candidates[-1] if candidates else replica.base.membership


def change_is_pending(replica: Replica) -> bool:
    """Returns whether the newest change of membership is not committed yet."""
    return bool(replica.memberships) and replica.memberships[-1][0] > replica.commit


def progress_of(replica: Replica, peer_id: ReplicaId) -> Progress:
    """Returns the leader's view of a peer, which is created if it is missing."""
    if peer_id not in replica.progress:
        replica.progress[peer_id] = Progress(LogIndex(last_index(replica) + 1))
    return replica.progress[peer_id]


def _quorum_contact_time(replica: Replica, now: float) -> float:
    """Returns the latest time at which a quorum is known to have followed this leader.

    A reply shows that its sender followed when the request was sent, not later.
    """
    times = [
        now if peer.id == replica.id else progress_of(replica, peer.id).acknowledged_sent_at
        for peer in membership(replica).voters
    ]
    times.sort(reverse=True)
    return times[quorum(replica) - 1]


def _broadcast(replica: Replica, now: float) -> None:
    replica.heartbeat_at = now + replica.timing.heartbeat
    for peer in _other_peers(membership(replica), replica.id):
        _send_entries(replica, peer.id, now)


def _send_entries(replica: Replica, peer_id: ReplicaId, now: float) -> None:
    progress = progress_of(replica, peer_id)
    if term_at(replica, progress.next_index - 1) is None:
        _send_snapshot(replica, peer_id, progress, now)
        return
    progress.outgoing = None
    if _is_window_full(progress):
        if now - progress.sent_at >= replica.timing.heartbeat / 2:
            _send_append(replica, peer_id, progress, [], now)
        return
    more = True
    while more:
        _send_append(replica, peer_id, progress, _next_entries(replica, progress), now)
        more = progress.next_index <= last_index(replica) and not _is_window_full(progress)


def _is_window_full(progress: Progress) -> bool:
    """Returns whether no more entries may be sent to a replica until it replies."""
    room = WINDOW_BYTES - progress.in_flight_bytes
    return bool(progress.unacknowledged) and (progress.probing or room < MAX_BYTES_PER_MESSAGE)


def _next_entries(replica: Replica, progress: Progress) -> list[LogEntry]:
    """Returns the entries of the next message; the first one is included whatever its size."""
    start = progress.next_index - 1 - replica.base.index
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
    previous = LogIndex(progress.next_index - 1)
    previous_term = term_at(replica, previous)
    assert previous_term is not None
    if entries:
        progress.next_index = LogIndex(entries[-1].index + 1)
        size = sum(len(entry.data) for entry in entries)
        progress.unacknowledged.append((entries[-1].index, size))
        progress.in_flight_bytes += size
    progress.sent_at = now
    request = AppendRequest(
        replica.hard.term, previous, previous_term, entries, replica.commit, now
    )
    _send_message(replica, peer_id, request)


def _send_snapshot(replica: Replica, peer_id: ReplicaId, progress: Progress, now: float) -> None:
    """Sends the first part of a snapshot, or a heartbeat while a transfer is under way.

    The reply to the heartbeat shows whether the latest part was lost.
    """
    if progress.outgoing is None:
        progress.outgoing = OutgoingSnapshot(replica.snapshot)
        _send_snapshot_part(replica, peer_id, progress.outgoing, now)
    elif now - progress.outgoing.last_sent_at >= replica.timing.heartbeat / 2:
        _send_snapshot_part(replica, peer_id, progress.outgoing, now, limit=0)


def _send_snapshot_part(
    replica: Replica,
    peer_id: ReplicaId,
    outgoing: OutgoingSnapshot,
    now: float,
    limit: int = SNAPSHOT_PART_BYTES,
) -> None:
    snapshot = outgoing.snapshot
    data = snapshot.data[outgoing.acknowledged_bytes : outgoing.acknowledged_bytes + limit]
    outgoing.last_sent_at = now
    if data:
        outgoing.part_sent_at = now
    size = len(snapshot.data)
    request = SnapshotRequest(
        replica.hard.term, snapshot.base, size, outgoing.acknowledged_bytes, data, now
    )
    _send_message(replica, peer_id, request)


def _on_snapshot_reply(
    replica: Replica, sender: ReplicaId, reply: SnapshotReply, now: float
) -> None:
    progress = _record_reply(replica, sender, reply, now)
    if progress is None or progress.outgoing is None:
        return
    outgoing = progress.outgoing
    if reply.base_index != outgoing.snapshot.base.index:
        return
    if reply.received > outgoing.acknowledged_bytes:
        outgoing.acknowledged_bytes = reply.received
    elif reply.sent_at <= outgoing.part_sent_at:
        # Only a reply to a later message shows that the latest part was lost.
        return
    elif reply.received == 0:
        # The replica has no part of this snapshot, so the newest one can take its place.
        progress.outgoing = outgoing = OutgoingSnapshot(replica.snapshot)
    else:
        outgoing.acknowledged_bytes = reply.received
    _send_snapshot_part(replica, sender, outgoing, now)


def _record_reply(
    replica: Replica, sender: ReplicaId, reply: AppendReply | SnapshotReply, now: float
) -> Progress | None:
    """Records that a peer follows this leader.

    Returns None if this replica doesn't lead, or if the reply is of another term or replica.
    """
    progress = replica.progress.get(sender)
    if replica.role is not Role.LEADER or reply.term != replica.hard.term or progress is None:
        return None
    progress.last_reply_at = now
    progress.acknowledged_sent_at = max(progress.acknowledged_sent_at, reply.sent_at)
    return progress


def _record_leader_contact(replica: Replica, sender: ReplicaId, now: float) -> None:
    replica.role = Role.FOLLOWER
    replica.leader = sender
    replica.just_started = False
    replica.leader_contact_at = now
    _reset_election_timeout(replica, now)


def _on_append_request(
    replica: Replica, sender: ReplicaId, request: AppendRequest, now: float
) -> None:
    if request.term < replica.hard.term:
        _send_message(
            replica, sender, AppendReply(replica.hard.term, False, LogIndex(0), request.sent_at)
        )
        return
    _record_leader_contact(replica, sender, now)
    local_term = term_at(replica, request.previous_index)
    if request.previous_index < replica.base.index:
        match, ok = replica.base.index, True
    elif local_term != request.previous_term:
        hint = min(request.previous_index - 1, last_index(replica))
        match, ok = LogIndex(max(hint, replica.commit)), False
    else:
        match, ok = _accept_entries(replica, request), True
        replica.commit = max(replica.commit, min(request.commit, match))
    _drop_stale_parts(replica)
    _send_message(replica, sender, AppendReply(replica.hard.term, ok, match, request.sent_at))


def _accept_entries(replica: Replica, request: AppendRequest) -> LogIndex:
    for position, entry in enumerate(request.entries):
        local_term = term_at(replica, entry.index)
        if local_term is not None and local_term != entry.term:
            assert entry.index > replica.commit, "a committed entry would be truncated"
            _truncate_from(replica, entry.index)
            local_term = None
        if local_term is None:
            _extend_log(replica, request.entries[position:])
            break
    return LogIndex(request.previous_index + len(request.entries))


def _on_append_reply(replica: Replica, sender: ReplicaId, reply: AppendReply, now: float) -> None:
    progress = _record_reply(replica, sender, reply, now)
    if progress is None:
        return
    if not reply.ok:
        target = LogIndex(max(progress.match_index + 1, min(reply.match + 1, progress.next_index)))
        if reply.sent_at <= progress.rewound_at and target >= progress.rewound_to:
            # The request was sent before that rewind, so the missing entries are being resent.
            return
        progress.next_index = progress.rewound_to = target
        progress.rewound_at = now
        progress.probing = True
        progress.unacknowledged.clear()
        progress.in_flight_bytes = 0
        _send_entries(replica, sender, now)
        return
    progress.match_index = max(progress.match_index, reply.match)
    progress.probing = False
    while progress.unacknowledged and progress.unacknowledged[0][0] <= progress.match_index:
        progress.in_flight_bytes -= progress.unacknowledged.popleft()[1]
    progress.next_index = max(progress.next_index, LogIndex(progress.match_index + 1))
    if (
        progress.outgoing is not None
        and progress.match_index >= progress.outgoing.snapshot.base.index
    ):
        progress.outgoing = None
    if _advance_commit(replica):
        _broadcast(replica, now)
    elif progress.next_index <= last_index(replica):
        _send_entries(replica, sender, now)


def _advance_commit(replica: Replica) -> bool:
    """Commits the entries that a quorum has synced; returns whether the commit index advanced."""
    matches = sorted(
        (
            (
                replica.persisted
                if peer.id == replica.id
                else progress_of(replica, peer.id).match_index
            )
            for peer in membership(replica).voters
        ),
        reverse=True,
    )
    index = matches[quorum(replica) - 1]
    if index <= replica.commit or term_at(replica, index) != replica.hard.term:
        return False
    replica.commit = index
    return True


def _on_snapshot_request(
    replica: Replica, sender: ReplicaId, request: SnapshotRequest, now: float
) -> None:
    if request.term < replica.hard.term:
        _send_message(
            replica, sender, AppendReply(replica.hard.term, False, LogIndex(0), request.sent_at)
        )
        return
    _record_leader_contact(replica, sender, now)
    _add_snapshot_part(replica, request)
    incoming = replica.incoming
    if incoming is not None and len(incoming.data) == incoming.size:
        _install_snapshot(replica, Snapshot(incoming.base, bytes(incoming.data)))
    _drop_stale_parts(replica)
    if request.base.index <= replica.commit:
        match = LogIndex(max(request.base.index, replica.commit))
        _send_message(replica, sender, AppendReply(replica.hard.term, True, match, request.sent_at))
    elif replica.incoming is not None:
        base, received = replica.incoming.base, len(replica.incoming.data)
        reply = SnapshotReply(replica.hard.term, base.index, received, request.sent_at)
        _send_message(replica, sender, reply)


def _add_snapshot_part(replica: Replica, request: SnapshotRequest) -> None:
    """Appends a part to those received; one of an older snapshot or beyond a gap is dropped."""
    if request.base.index <= replica.commit:
        return
    incoming = replica.incoming
    if incoming is None or (incoming.term, incoming.base.index) < (
        request.term,
        request.base.index,
    ):
        incoming = replica.incoming = IncomingSnapshot(request.term, request.base, request.size)
    same_snapshot = (incoming.term, incoming.base) == (request.term, request.base)
    if same_snapshot and request.offset == len(incoming.data):
        incoming.data += request.data


def _drop_stale_parts(replica: Replica) -> None:
    """Drops a partial snapshot that the commit index has passed or whose term has ended."""
    incoming = replica.incoming
    if incoming and (incoming.base.index <= replica.commit or incoming.term < replica.hard.term):
        replica.incoming = None


def _install_snapshot(replica: Replica, snapshot: Snapshot) -> None:
    base = snapshot.base
    if term_at(replica, base.index) == base.term:
        replica.entries = replica.entries[base.index - replica.base.index :]
    else:
        replica.entries = []
    replica.base = base
    replica.snapshot = snapshot
    replica.output.entries = []
    replica.output.install = snapshot
    replica.commit = replica.delivered = base.index
    replica.persisted = max(replica.persisted, base.index)
    replica.persisted = min(replica.persisted, last_index(replica))
    _reload_memberships(replica)
