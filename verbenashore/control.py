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

    :param content: a digest of what the operator sent; a resent change has the same one.
    :param text: the whole deployment file.
    :param drained: the members that take no new work.
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
    :param packed: its text, compressed by :func:`transfer.compress`.
    :param source: what the operator sent, kept for reading back; also compressed.
    """

    version: Revision
    author: str
    packed: bytes
    source: bytes


class RetireReplicas(msgspec.Struct, frozen=True, array_like=True, tag="retire"):
    """Marks the replicas of a process that is to be retired permanently."""

    name: MemberName
    replicas: list[ReplicaId]


class Change(msgspec.Struct, frozen=True, array_like=True, tag="change"):
    """One revision of the configuration.

    :param packed: its text, compressed by :func:`transfer.compress`.
    :param source: what the operator sent, if that differs from the text; also compressed.
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
        return transfer.decompress(self.packed).decode() if self.packed else ""


class ChangeResult(msgspec.Struct, frozen=True, array_like=True, tag="change_result"):
    """The result of a change.

    :param revision: the revision that this change id made; if it made none, the one in force.
    :param winner: the change that made that revision.
    :param mismatched: true if the change id was used before with other content.
    """

    applied: bool
    revision: Revision
    winner: ChangeId
    mismatched: bool = False


class LeaseBackend(msgspec.Struct, frozen=True, array_like=True, tag="lease_backend"):
    """Requests the lease on a backend server."""

    backend: BackendName
    holder: MemberName


class BackendLease(msgspec.Struct, frozen=True, array_like=True, tag="backend_lease"):
    """The lease on a backend server.

    :param holder: empty if nobody holds it.
    :param fencing: rises with every new holder.
    """

    backend: BackendName
    holder: MemberName
    fencing: FencingNumber


class LoadPermit(msgspec.Struct, frozen=True, array_like=True, tag="load_permit"):
    """Requests or returns a permit to load from the weight store.

    :param wanted: true to request the permit, false to return it.
    :param limit: how many processes may have a permit at once.
    """

    holder: MemberName
    wanted: bool
    limit: int


class AppliedChange(msgspec.Struct, frozen=True, array_like=True):
    """What is recorded for a change id, so that a resent change is recognised."""

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
#: Kept revisions if operators choose the version numbers; they keep older versions themselves.
KEPT_VERSIONS = 2
KEPT_CHANGE_IDS = 50_000


def current_change(state: ControlState) -> Change:
    """Returns the change that is in force."""
    if state.history:
        return state.history[-1]
    return Change(Revision(0), ChangeId(""), "", b"", [])


def encode_change(change: Change) -> bytes:
    """Encodes a change for members, without the source that only operators read."""
    return msgspec.msgpack.encode(msgspec.structs.replace(change, source=b""))


def decode_change(data: bytes) -> Change:
    """Decodes what :func:`encode_change` encoded."""
    return msgspec.msgpack.decode(data, type=Change)


def apply_change(state: ControlState, command: ApplyChange) -> ChangeResult:
    """Applies a change once.

    A resent change gets its first result; one whose expected revision is outdated gets the change
    that is in force.
    """
    previous = state.applied_by_change.get(command.change)
    if previous is not None:
        same = previous.content == command.content
        return ChangeResult(same, previous.revision, command.change, mismatched=not same)
    in_force = current_change(state)
    if command.expected != in_force.revision:
        return ChangeResult(False, in_force.revision, in_force.change)
    revision = Revision(in_force.revision + 1)
    packed = transfer.compress(command.text.encode())
    new_change = Change(revision, command.change, command.author, packed, command.drained)
    state.history.append(new_change)
    state.applied_by_change[command.change] = AppliedChange(revision, command.content)
    del state.history[:-KEPT_REVISIONS]
    while len(state.applied_by_change) > KEPT_CHANGE_IDS:
        del state.applied_by_change[next(iter(state.applied_by_change))]
    return ChangeResult(True, revision, command.change)


def apply_version(state: ControlState, command: ApplyVersion) -> ChangeResult:
    """Applies a version that is higher than the one in force; any other changes nothing."""
    in_force = current_change(state)
    if command.version <= in_force.revision:
        return ChangeResult(False, in_force.revision, in_force.change)
    change_id = ChangeId(f"version-{command.version}")
    new_change = Change(
        command.version, change_id, command.author, command.packed, [], command.source
    )
    state.history.append(new_change)
    del state.history[:-KEPT_VERSIONS]
    return ChangeResult(True, command.version, change_id)


def retire_replicas(state: ControlState, command: RetireReplicas) -> None:
    """Marks replicas as retired; they are never admitted again."""
    retired_ids = state.retired_by_name.setdefault(command.name, [])
    retired_ids += [replica for replica in command.replicas if replica not in retired_ids]


def retired_replicas(state: ControlState) -> frozenset[ReplicaId]:
    """Returns all retired replicas."""
    return frozenset(itertools.chain.from_iterable(state.retired_by_name.values()))


def lease_backend(state: ControlState, command: LeaseBackend, index: int) -> BackendLease:
    """Grants the lease if nobody holds it; the log index is the fencing number."""
    current_lease = state.lease_by_backend.get(command.backend)
    if current_lease is not None and current_lease.holder:
        return current_lease
    new_lease = BackendLease(command.backend, command.holder, FencingNumber(index))
    state.lease_by_backend[command.backend] = new_lease
    return new_lease


def release_holder(state: ControlState, holder: MemberName) -> None:
    """Frees the leases and permits of a process; fencing numbers stay as a lower bound."""
    for backend, lease in state.lease_by_backend.items():
        if lease.holder == holder:
            state.lease_by_backend[backend] = BackendLease(backend, MemberName(""), lease.fencing)
    state.permits = [name for name in state.permits if name != holder]


def update_load_permit(state: ControlState, command: LoadPermit) -> bool:
    """Grants a permit if fewer than the limit are granted, or takes one back."""
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
    """Returns every process that holds a lease on a backend server or a load permit."""
    leased = {lease.holder for lease in state.lease_by_backend.values() if lease.holder}
    return leased | set(state.permits)
