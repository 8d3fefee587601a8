"""The records and messages of the replicated log."""

from enum import Enum

import msgspec

from verbenashore.types import LogIndex, MemberName, ReplicaId, Term

NOBODY = ReplicaId("")
NAMELESS = MemberName("")


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


def scaled(election: float, replace_after: float) -> Timing:
    """Returns the times of a group in the usual proportions.

    :param election: seconds without a leader after which an election may begin.
    """
    usual = Timing()
    factor = election / usual.election_min
    return Timing(
        usual.heartbeat * factor,
        election,
        usual.election_max * factor,
        usual.lease * factor,
        replace_after,
    )


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


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A state machine as it was at its base."""

    base: Base = Base()
    data: bytes = b""


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a vote.

    :param trial: a pre-vote, which changes no term.
    :param handover: the leader asked for this election, so its lease doesn't stand against it.
    :param start: the recipient's start, if all voters have just started; else 0.
    """

    term: Term
    last_index: LogIndex
    last_term: Term
    trial: bool
    handover: bool
    start: int = 0


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
    """Answers an append or a whole snapshot.

    :param match: the last index known to agree, or where to try next if not ``ok``.
    """

    term: Term
    ok: bool
    match: LogIndex
    sent_at: float


class SnapshotRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Carries a part of a snapshot, or none as a heartbeat.

    :param size: bytes of the whole snapshot.
    :param offset: where the part begins.
    """

    term: Term
    base: Base
    size: int
    offset: int
    data: bytes
    sent_at: float


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Answers a part of a snapshot that isn't whole yet.

    :param base_index: the snapshot's last entry.
    :param received: how many bytes of it have come without a gap.
    """

    term: Term
    base_index: LogIndex
    received: int
    sent_at: float


class HandoverRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Tells a follower to campaign at once."""

    term: Term


class RollCallRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks a voter whether it has only just started.

    :param number: of the asker's call.
    :param voters: all voters, as the asker knows them.
    :param name: the process that ran the voter when the asker last knew.
    """

    number: int
    voters: list[ReplicaId]
    name: MemberName


class RollCallReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answers a roll call.

    :param start: differs for every start of the replica.
    :param fresh: it has neither led nor heard a leader since, and knows the same voters; or the
        voter is no more, since its process came back on an empty disk.
    """

    number: int
    start: int
    fresh: bool
    last_term: Term
    last_index: LogIndex


RollCallMessage = RollCallRequest | RollCallReply
TermMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | HandoverRequest
)
Message = TermMessage | RollCallMessage


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """A message on its way between two replicas."""

    sender: ReplicaId
    to: ReplicaId
    message: Message
