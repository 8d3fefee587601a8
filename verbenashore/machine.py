"""The replicated state machine: its commands, ledger time, and the state of a group."""

from collections import deque
from collections.abc import Callable

import msgspec

from verbenashore import control, files, itemjobs, jobs, requests
from verbenashore.control import ControlState
from verbenashore.files import FileTable
from verbenashore.itemjobs import ItemJobTable
from verbenashore.jobs import JobTable
from verbenashore.requests import RequestTable
from verbenashore.types import GroupId, JobState, MemberName


class ExpireHolder(msgspec.Struct, frozen=True, array_like=True, tag="expire_holder"):
    """Ends the session of a process that did not renew it in time."""

    holder: MemberName


class ReleaseHolder(msgspec.Struct, frozen=True, array_like=True, tag="release_holder"):
    """Ends a session at the request of its process."""

    holder: MemberName


class Advance(msgspec.Struct, frozen=True, array_like=True, tag="advance"):
    """Expires whatever is due at the command's ledger time."""


Command = (
    requests.AcceptRequest
    | requests.StartRequest
    | requests.CompleteRequest
    | requests.AbandonRequest
    | requests.ReleaseRequest
    | files.CreateFile
    | files.AppendFile
    | files.SealFile
    | jobs.CreateJob
    | jobs.AddItems
    | jobs.SealJob
    | jobs.CancelJob
    | jobs.LeaseItems
    | jobs.CompleteItems
    | itemjobs.SubmitItemJob
    | itemjobs.RecordAttempts
    | itemjobs.CommitProgress
    | itemjobs.EndItemJob
    | control.ApplyChange
    | control.ApplyVersion
    | control.RetireReplicas
    | control.LeaseBackend
    | control.LoadPermit
    | ExpireHolder
    | ReleaseHolder
    | Advance
)

Result = (
    requests.RequestView
    | files.FileView
    | jobs.JobView
    | jobs.LeasedItems
    | files.Done
    | itemjobs.SubmitResult
    | control.ChangeResult
    | control.BackendLease
    | None
)


class StampedCommand(msgspec.Struct, frozen=True, array_like=True):
    """A command with the ledger time at which its leader proposed it.

    :param time: seconds; a new leader continues from the time of its state.
    """

    time: float
    command: Command


class GroupState(msgspec.Struct):
    """The whole replicated state of one group.

    A shard uses ``requests``, ``files`` and ``jobs``; the control group uses ``control`` and
    ``item_jobs``.
    """

    group: GroupId
    time: float = 0.0
    applied: int = 0
    requests: RequestTable = msgspec.field(default_factory=RequestTable)
    files: FileTable = msgspec.field(default_factory=FileTable)
    jobs: JobTable = msgspec.field(default_factory=JobTable)
    control: ControlState = msgspec.field(default_factory=ControlState)
    item_jobs: ItemJobTable = msgspec.field(default_factory=ItemJobTable)


_command_decoder = msgspec.msgpack.Decoder(StampedCommand)
_state_decoder = msgspec.msgpack.Decoder(GroupState, dec_hook=lambda _, items: deque(items))


def encode(command: Command, time: float) -> bytes:
    """Encodes a command and its ledger time as the data of a log entry."""
    return msgspec.msgpack.encode(StampedCommand(time, command))


def apply(state: GroupState, index: int, data: bytes) -> Result:
    """Applies one committed command and returns its result."""
    stamped = _command_decoder.decode(data)
    state.time = max(state.time, stamped.time)
    state.applied = index
    return _HANDLERS[type(stamped.command)](state, stamped.command)


def snapshot(state: GroupState) -> bytes:
    """Encodes the whole state."""
    return msgspec.msgpack.encode(state, enc_hook=list)


def restore(data: bytes, group: GroupId) -> GroupState:
    """Returns the state that a snapshot holds, or a new state if the data is empty."""
    return _state_decoder.decode(data) if data else GroupState(group)


def all_holders(state: GroupState) -> set[MemberName]:
    """Returns every process that holds something in this group and must renew its session.

    That is an open request, a lease, a load permit, or a job or file that is being stored.
    """
    of_requests = {state.requests.by_id[record_id].holder for record_id in state.requests.open_ids}
    of_items = {holder for holder, keys in state.jobs.leased_by_holder.items() if keys}
    loading = {
        job.announced.holder
        for job in state.jobs.job_by_id.values()
        if job.state is JobState.LOADING
    }
    uploading = {
        record.announced.holder for record in state.files.file_by_id.values() if not record.sealed
    }
    holders = of_requests | of_items | loading | uploading | control.holders(state.control)
    return holders - {MemberName("")}


def has_expired(state: GroupState, now: float) -> bool:
    """Returns whether an :class:`Advance` at a ledger time would change something."""
    return (
        requests.has_expired(state.requests, now)
        or files.has_expired(state.files, now)
        or jobs.has_expired(state.jobs, now)
        or itemjobs.has_expired(state.item_jobs, now)
    )


def _end_session(state: GroupState, command: ExpireHolder | ReleaseHolder) -> Result:
    requests.release_holder(state.requests, command.holder, state.time)
    files.release_holder(state.files, command.holder)
    jobs.release_holder(state.jobs, command.holder, state.time)
    control.release_holder(state.control, command.holder)
    return files.Done()


def _retire_replicas(state: GroupState, command: control.RetireReplicas) -> Result:
    control.retire_replicas(state.control, command)
    return files.Done()


def _advance(state: GroupState, command: Advance) -> Result:
    requests.expire(state.requests, state.time)
    files.expire(state.files, state.time)
    jobs.expire(state.jobs, state.time)
    itemjobs.expire(state.item_jobs, state.time)
    return files.Done()


_HANDLERS: dict[type, Callable] = {
    requests.AcceptRequest: lambda s, c: requests.accept(s.requests, c),
    requests.StartRequest: lambda s, c: requests.start(s.requests, c),
    requests.CompleteRequest: lambda s, c: requests.complete(s.requests, c, s.time),
    requests.AbandonRequest: lambda s, c: requests.abandon(s.requests, c, s.time),
    requests.ReleaseRequest: lambda s, c: requests.release(s.requests, c, s.time),
    files.CreateFile: lambda s, c: files.create_file(s.files, c),
    files.AppendFile: lambda s, c: files.append_file(s.files, c),
    files.SealFile: lambda s, c: files.seal_file(s.files, c, s.time),
    jobs.CreateJob: lambda s, c: jobs.create_job(s.jobs, c),
    jobs.AddItems: lambda s, c: jobs.add_items(s.jobs, c),
    jobs.SealJob: lambda s, c: jobs.seal_job(s.jobs, c, s.time),
    jobs.CancelJob: lambda s, c: jobs.cancel_job(s.jobs, c, s.time),
    jobs.LeaseItems: lambda s, c: jobs.lease_items(s.jobs, c, s.time),
    jobs.CompleteItems: lambda s, c: jobs.complete_items(s.jobs, c, s.time),
    itemjobs.SubmitItemJob: lambda s, c: itemjobs.submit_job(s.item_jobs, c, s.time),
    itemjobs.RecordAttempts: lambda s, c: itemjobs.record_attempts(s.item_jobs, c),
    itemjobs.CommitProgress: lambda s, c: itemjobs.commit_progress(s.item_jobs, c),
    itemjobs.EndItemJob: lambda s, c: itemjobs.end_job(s.item_jobs, c),
    control.ApplyChange: lambda s, c: control.apply_change(s.control, c),
    control.ApplyVersion: lambda s, c: control.apply_version(s.control, c),
    control.RetireReplicas: _retire_replicas,
    control.LeaseBackend: lambda s, c: control.lease_backend(s.control, c, s.applied),
    control.LoadPermit: lambda s, c: files.Done(control.update_load_permit(s.control, c)),
    ExpireHolder: _end_session,
    ReleaseHolder: _end_session,
    Advance: _advance,
}
