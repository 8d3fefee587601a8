"""The live members of the system, as the control group's leader knows them."""

import msgspec

from verbenashore.control import Change
from verbenashore.messages import Heartbeat, HeartbeatReply, LiveMembers, Member
from verbenashore.types import MemberName, MemberState

LOST_SECONDS = 2.5
VERSIONS_PER_TERM = 1 << 32


class MemberTable(msgspec.Struct):
    """Who was heard of lately; it isn't replicated, for heartbeats rebuild it.

    :param version: rises with each change that other members must learn of.
    :param complete_at: when everybody alive must have been heard.
    :param complete: true once that time has come.
    """

    version: int = 0
    complete_at: float = 0.0
    complete: bool = False
    by_name: dict[MemberName, Member] = msgspec.field(default_factory=dict)
    heard_by_name: dict[MemberName, float] = msgspec.field(default_factory=dict)


def new_table(term: int, now: float) -> MemberTable:
    """Returns the table of a leader that has just been elected."""
    return MemberTable(version=term * VERSIONS_PER_TERM, complete_at=now + LOST_SECONDS)


def heard(table: MemberTable, heartbeat: Heartbeat, change: Change, now: float) -> HeartbeatReply:
    """Notes a heartbeat and returns which versions there are of what its member fetches."""
    member = _as_ordered(heartbeat.member, change)
    known = table.by_name.get(member.name)
    table.by_name[member.name] = member
    table.heard_by_name[member.name] = now
    if known is None or _visible(known) != _visible(member):
        table.version += 1
    if not table.complete and now >= table.complete_at:
        table.complete = True
        table.version += 1
    return HeartbeatReply(change.revision, table.version)


def document(table: MemberTable) -> bytes:
    """Returns the list as members fetch it."""
    return msgspec.msgpack.encode(LiveMembers(list(table.by_name.values()), table.complete))


def drop_lost(table: MemberTable, now: float) -> list[Member]:
    """Removes and returns the members that were not heard of in time."""
    lost = [
        table.by_name[name]
        for name, when in table.heard_by_name.items()
        if now - when > LOST_SECONDS
    ]
    for member in lost:
        del table.by_name[member.name]
        del table.heard_by_name[member.name]
    if lost:
        table.version += 1
    return lost


def _as_ordered(member: Member, change: Change) -> Member:
    """A drained member counts as draining, whatever it says of itself."""
    if member.name in change.drained and member.state is MemberState.SERVING:
        return msgspec.structs.replace(member, state=MemberState.DRAINING)
    return member


def _visible(member: Member) -> Member:
    return msgspec.structs.replace(member, revision=0)
