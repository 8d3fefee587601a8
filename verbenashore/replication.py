"""The records and messages of the replicated log (Raft)."""

from enum import Enum

import msgspec

from verbenashore.types import LogIndex, MemberName, ReplicaId, Term

NO_REPLICA = ReplicaId("")
NO_NAME = MemberName("")


class Timing(msgspec.Struct, frozen=True):
    """The timeouts and intervals of a replica, in seconds.

    :param heartbeat: the interval between heartbeats of a leader.
    :param election_min: the shortest election timeout; a follower that received a message of its
        leader within this time grants no vote.
    :param election_max: the longest election timeout.
    :param lease: how long a leader may serve after contact with a quorum; less than
        ``election_min``, so that it ends before another leader is elected.
    :param replace_after: how long a replica may be without contact before a learner replaces it.
    """

    heartbeat: float = 0.06
    election_min: float = 0.4
    election_max: float = 0.75
    lease: float = 0.3
    replace_after: float = 10.0


def scaled_timing(election: float, replace_after: float) -> Timing:
    """Returns timing in the proportions of the defaults.

    :param election: the shortest election timeout, in seconds.
    :param replace_after: as in :class:`Timing`; not scaled.
    """
    defaults = Timing()
    factor = election / defaults.election_min
    return Timing(
        defaults.heartbeat * factor,
        election,
        defaults.election_max * factor,
        defaults.lease * factor,
        replace_after,
    )


class EntryKind(Enum):
    """The kind of data in a log entry."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """One replica of a group.

    :param id: created with its data folder; an emptied folder gets another one.
    :param name: the process that runs it.
    :param address: ``IP:PORT`` of that process.
    """

    id: ReplicaId
    name: MemberName
    address: str


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of a group.

    :param voters: the replicas that count in quorums.
    :param learners: the replicas that receive the log but don't count in quorums.
    """

    voters: tuple[Peer, ...] = ()
    learners: tuple[Peer, ...] = ()


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    :param index: its position; the first entry has 1.
    :param term: the term of the leader that appended it.
    """

    index: LogIndex
    term: Term
    kind: EntryKind
    data: bytes


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """The state that a replica must sync to disk before it acts on it, as in Raft.

    :param term: the latest term it has seen.
    :param vote: the replica it voted for in that term.
    """

    term: Term = Term(0)
    vote: ReplicaId = NO_REPLICA


class Base(msgspec.Struct, frozen=True, array_like=True):
    """The last entry that a snapshot replaces, and the membership at that entry."""

    index: LogIndex = LogIndex(0)
    term: Term = Term(0)
    membership: Membership = Membership()


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The serialised state of a state machine after the last entry of its base."""

    base: Base = Base()
    data: bytes = b""


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a vote.

    :param pre_vote: asks whether a vote would be granted; changes no term.
    :param handover: the leader asked for this election, so its lease is no reason to refuse.
    :param start_id: that of the recipient if all voters have just started; else 0.
    """

    term: Term
    last_index: LogIndex
    last_term: Term
    pre_vote: bool
    handover: bool
    start_id: int = 0


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a vote request."""

    term: Term
    pre_vote: bool
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Carries entries, or none as a heartbeat.

    :param sent_at: the leader's clock at sending, which the reply returns.
    """

    term: Term
    previous_index: LogIndex
    previous_term: Term
    entries: list[LogEntry]
    commit: LogIndex
    sent_at: float


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers an append request, or a snapshot request once the whole snapshot is installed.

    Also refuses either from a leader of an older term.

    :param match: the last index known to agree; if not ``ok``, the index to try next.
    """

    term: Term
    ok: bool
    match: LogIndex
    sent_at: float


class SnapshotRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Carries a part of a snapshot, or no data as a heartbeat.

    :param size: bytes of the whole snapshot.
    :param offset: position of the part's first byte.
    """

    term: Term
    base: Base
    size: int
    offset: int
    data: bytes
    sent_at: float


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Answers a snapshot request while the snapshot is incomplete.

    :param base_index: the index of the snapshot's base.
    :param received: how many bytes of it were received without a gap.
    """

    term: Term
    base_index: LogIndex
    received: int
    sent_at: float


class HandoverRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks a follower to campaign at once, since the leader steps down."""

    term: Term


class ColdStartRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks a voter whether it has just started; see :mod:`verbenashore.coldstart`.

    :param round_number: the sender's round of requests.
    :param voters: all voters in the sender's membership.
    :param process_name: the process that runs the voter in the sender's membership.
    """

    round_number: int
    voters: list[ReplicaId]
    process_name: MemberName


class ColdStartReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answers a cold start request.

    :param start_id: differs for every start of the replica.
    :param just_started: the replica has neither led nor received a leader's message since its
        start, and knows the same voters; or the voter is gone, since its process restarted on an
        empty disk.
    """

    round_number: int
    start_id: int
    just_started: bool
    last_term: Term
    last_index: LogIndex


ColdStartMessage = ColdStartRequest | ColdStartReply
TermMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | HandoverRequest
)
Message = TermMessage | ColdStartMessage


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender and recipient."""

    sender: ReplicaId
    to: ReplicaId
    message: Message
