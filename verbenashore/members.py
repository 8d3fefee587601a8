"""The table of live members, kept by the control group's leader."""

import msgspec

from verbenashore.control import Change
from verbenashore.messages import Heartbeat, HeartbeatReply, LiveMembers, Member
from verbenashore.types import MemberName, MemberState

#: Seconds without a heartbeat after which a member is removed.
MEMBER_LOST_SECONDS = 2.5
#: A leader's versions start at its term times this, above those of earlier leaders.
VERSIONS_PER_TERM = 1 << 32


class MemberTable(msgspec.Struct):
    """The members that sent a heartbeat recently; not replicated, as heartbeats rebuild it.

    :param version: increases with each change that other members must learn.
    :param complete_at: time by which every live member must have sent this leader a heartbeat.
    :param complete: true once a heartbeat arrives at or after that time.
    """

    version: int = 0
    complete_at: float = 0.0
    complete: bool = False
    by_name: dict[MemberName, Member] = msgspec.field(default_factory=dict)
    heartbeat_at_by_name: dict[MemberName, float] = msgspec.field(default_factory=dict)


def new_table(term: int, now: float) -> MemberTable:
    """Returns the empty table of a newly elected leader."""
    return MemberTable(version=term * VERSIONS_PER_TERM, complete_at=now + MEMBER_LOST_SECONDS)


def term_of(version: int) -> int:
    """Returns the term of the leader that gave a table a version."""
    return version // VERSIONS_PER_TERM


def record_heartbeat(
    table: MemberTable, heartbeat: Heartbeat, change: Change, now: float
) -> HeartbeatReply:
    """Records a heartbeat.

    Returns a reply with the newest revision of the configuration and the version of the member
    table.
    """
    member = _with_drained_state(heartbeat.member, change)
    previous = table.by_name.get(member.name)
    table.by_name[member.name] = member
    table.heartbeat_at_by_name[member.name] = now
    if previous is None or _without_revision(previous) != _without_revision(member):
        table.version += 1
    if not table.complete and now >= table.complete_at:
        table.complete = True
        table.version += 1
    return HeartbeatReply(change.revision, table.version)


def encode_members(table: MemberTable) -> bytes:
    """Returns the encoded list that members fetch."""
    return msgspec.msgpack.encode(LiveMembers(list(table.by_name.values()), table.complete))


def drop_lost(table: MemberTable, now: float) -> list[Member]:
    """Removes and returns the members without a heartbeat for ``MEMBER_LOST_SECONDS``."""
    lost = [
        table.by_name[name]
        for name, heartbeat_at in table.heartbeat_at_by_name.items()
        if now - heartbeat_at > MEMBER_LOST_SECONDS
    ]
    for member in lost:
        del table.by_name[member.name]
        del table.heartbeat_at_by_name[member.name]
    if lost:
        table.version += 1
    return lost


def _with_drained_state(member: Member, change: Change) -> Member:
    """Returns a member with its state set to draining if operators have drained it."""
    if member.name in change.drained and member.state is MemberState.SERVING:
        return msgspec.structs.replace(member, state=MemberState.DRAINING)
    return member


def _without_revision(member: Member) -> Member:
    """Returns a member without its revision, a change of which other members need not learn."""
    return msgspec.structs.replace(member, revision=0)
