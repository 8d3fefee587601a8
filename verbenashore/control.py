"""The control group's state: configuration, leases on backend servers, load permits."""

import itertools

import msgspec

from verbenashore import transfer
from verbenashore.types import (
    BackendName,
    ChangeId,
    FencingNumber,
    MemberName,
    ReplicaId,
    Revision,
)


class ApplyChange(msgspec.Struct, frozen=True, array_like=True, tag="apply"):
    """Replaces the configuration if its revision is the expected one.

    :param content: a digest of what the operator sent, which a resent change has again.
    :param text: the deployment file, whole.
    :param drained: the members that are to take no new work.
    """

    change: ChangeId
    expected: Revision
    author: str
    content: str
    text: str
    drained: list[MemberName]


class ApplyVersion(msgspec.Struct, frozen=True, array_like=True, tag="apply_version"):
    """Replaces the configuration if its version, which the operator chose, is the highest.

    :param author: who sent it.
    :param packed: its text, as :func:`transfer.pack` gives it.
    :param source: what the operator sent, for reading back; packed, too.
    """

    version: Revision
    author: str
    packed: bytes
    source: bytes


class RetireReplicas(msgspec.Struct, frozen=True, array_like=True, tag="retire"):
    """Marks the replicas of a process, which is to be emptied for good."""

    name: MemberName
    replicas: list[ReplicaId]


class Change(msgspec.Struct, frozen=True, array_like=True, tag="change"):
    """One revision of the configuration.

    :param packed: its text, as :func:`transfer.pack` gives it.
    :param source: what the operator sent if that isn't the text itself; packed, too.
    """

    revision: Revision
    change: ChangeId
    author: str
    packed: bytes
    drained: list[MemberName]
    source: bytes = b""

    @property
    def text(self) -> str:
        """The configuration as members read it."""
        return transfer.unpack(self.packed).decode() if self.packed else ""


class ChangeResult(msgspec.Struct, frozen=True, array_like=True, tag="change_result"):
    """Answers a change.

    :param revision: the revision it made, or the one in force if it lost.
    :param winner: the change that made that revision.
    :param mismatched: true if the change id was used before with other content.
    """

    applied: bool
    revision: Revision
    winner: ChangeId
    mismatched: bool = False


class LeaseBackend(msgspec.Struct, frozen=True, array_like=True, tag="lease_backend"):
    """Asks for the lease on a backend server."""

    backend: BackendName
    holder: MemberName


class BackendLease(msgspec.Struct, frozen=True, array_like=True, tag="backend_lease"):
    """Answers who holds a backend server.

    :param fencing: rises with every new holder.
    """

    backend: BackendName
    holder: MemberName
    fencing: FencingNumber


class LoadPermit(msgspec.Struct, frozen=True, array_like=True, tag="load_permit"):
    """Asks for, or gives back, a permit to load from the weight store."""

    holder: MemberName
    wanted: bool
    limit: int


class AppliedChange(msgspec.Struct, frozen=True, array_like=True):
    """What is remembered of a change id."""

    revision: Revision
    content: str


class ControlState(msgspec.Struct):
    """The replicated state of the control group.

    :param history: all revisions that are kept, oldest first.
    """

    history: list[Change] = msgspec.field(default_factory=list)
    applied_by_change: dict[ChangeId, AppliedChange] = msgspec.field(default_factory=dict)
    lease_by_backend: dict[BackendName, BackendLease] = msgspec.field(default_factory=dict)
    permits: list[MemberName] = msgspec.field(default_factory=list)
    retired_by_name: dict[MemberName, list[ReplicaId]] = msgspec.field(default_factory=dict)


KEPT_REVISIONS = 200
#: Versions whose text is kept; operators who choose versions keep the older ones themselves.
KEPT_VERSIONS = 2
KEPT_CHANGE_IDS = 50_000


def current(state: ControlState) -> Change:
    """Returns the change that is in force."""
    if state.history:
        return state.history[-1]
    return Change(Revision(0), ChangeId(""), "", b"", [])


def document(change: Change) -> bytes:
    """Returns a change as members fetch it, without what only operators read."""
    return msgspec.msgpack.encode(msgspec.structs.replace(change, source=b""))


def read_document(data: bytes) -> Change:
    """Returns the change that :func:`document` wrote."""
    return msgspec.msgpack.decode(data, type=Change)


def apply_change(state: ControlState, command: ApplyChange) -> ChangeResult:
    """Applies a change once; a resent one gets its first answer, a late one the winner's name."""
    before = state.applied_by_change.get(command.change)
    if before is not None:
        same = before.content == command.content
        return ChangeResult(same, before.revision, command.change, mismatched=not same)
    now = current(state)
    if command.expected != now.revision:
        return ChangeResult(False, now.revision, now.change)
    revision = Revision(now.revision + 1)
    packed = transfer.pack(command.text.encode())
    made = Change(revision, command.change, command.author, packed, command.drained)
    state.history.append(made)
    state.applied_by_change[command.change] = AppliedChange(revision, command.content)
    del state.history[:-KEPT_REVISIONS]
    while len(state.applied_by_change) > KEPT_CHANGE_IDS:
        del state.applied_by_change[next(iter(state.applied_by_change))]
    return ChangeResult(True, revision, command.change)


def apply_version(state: ControlState, command: ApplyVersion) -> ChangeResult:
    """Applies a version that is higher than the one in force; another one changes nothing."""
    now = current(state)
    if command.version <= now.revision:
        return ChangeResult(False, now.revision, now.change)
    change = ChangeId(f"version-{command.version}")
    made = Change(command.version, change, command.author, command.packed, [], command.source)
    state.history.append(made)
    del state.history[:-KEPT_VERSIONS]
    return ChangeResult(True, command.version, change)


def retire(state: ControlState, command: RetireReplicas) -> None:
    """Marks replicas as retired; they are never taken in again."""
    known = state.retired_by_name.setdefault(command.name, [])
    known += [replica for replica in command.replicas if replica not in known]


def retired(state: ControlState) -> frozenset[ReplicaId]:
    """Returns all retired replicas."""
    return frozenset(itertools.chain.from_iterable(state.retired_by_name.values()))


def lease_backend(state: ControlState, command: LeaseBackend, index: int) -> BackendLease:
    """Grants a free backend server; the log index serves as the fencing number."""
    known = state.lease_by_backend.get(command.backend)
    if known is not None and known.holder:
        return known
    lease = BackendLease(command.backend, command.holder, FencingNumber(index))
    state.lease_by_backend[command.backend] = lease
    return lease


def release_holder(state: ControlState, holder: MemberName) -> None:
    """Frees what a process held; its fencing numbers stay behind as a floor."""
    for backend, lease in state.lease_by_backend.items():
        if lease.holder == holder:
            state.lease_by_backend[backend] = BackendLease(backend, MemberName(""), lease.fencing)
    state.permits = [name for name in state.permits if name != holder]


def load_permit(state: ControlState, command: LoadPermit) -> bool:
    """Gives a permit if fewer than the limit are out, or takes one back."""
    if not command.wanted:
        state.permits = [name for name in state.permits if name != command.holder]
        return True
    if command.holder in state.permits:
        return True
    if len(state.permits) >= command.limit:
        return False
    state.permits.append(command.holder)
    return True


def holders(state: ControlState) -> set[MemberName]:
    """Returns every process that holds something."""
    leased = {lease.holder for lease in state.lease_by_backend.values() if lease.holder}
    return leased | set(state.permits)
