"""The replicated state machine: commands, their time, and what each group's state answers."""

from collections import deque
from collections.abc import Callable

import msgspec

from verbenashore import control, files, itemjobs, jobs, requests
from verbenashore.control import ControlState
from verbenashore.files import FileBook
from verbenashore.itemjobs import ItemJobBook
from verbenashore.jobs import JobBook
from verbenashore.requests import RequestBook
from verbenashore.types import GroupId, JobState, MemberName


class ExpireHolder(msgspec.Struct, frozen=True, array_like=True, tag="expire_holder"):
    """Ends the session of a process that was not heard of in time."""

    holder: MemberName


class ReleaseHolder(msgspec.Struct, frozen=True, array_like=True, tag="release_holder"):
    """Ends a session at the wish of its process."""

    holder: MemberName


class Advance(msgspec.Struct, frozen=True, array_like=True, tag="advance"):
    """Lets time end what is due."""


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
    | itemjobs.KeepProgress
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


class Stamped(msgspec.Struct, frozen=True, array_like=True):
    """A command with the ledger time at which its leader proposed it.

    :param time: seconds; it goes on from the time of the last command, whoever leads.
    """

    time: float
    command: Command


class GroupState(msgspec.Struct):
    """The whole replicated state of one group; a group uses only its own part."""

    group: GroupId
    time: float = 0.0
    applied: int = 0
    requests: RequestBook = msgspec.field(default_factory=RequestBook)
    files: FileBook = msgspec.field(default_factory=FileBook)
    jobs: JobBook = msgspec.field(default_factory=JobBook)
    control: ControlState = msgspec.field(default_factory=ControlState)
    item_jobs: ItemJobBook = msgspec.field(default_factory=ItemJobBook)


_stamped_decoder = msgspec.msgpack.Decoder(Stamped)
_state_decoder = msgspec.msgpack.Decoder(GroupState, dec_hook=lambda _, items: deque(items))


def encode(command: Command, time: float) -> bytes:
    """Returns a command as the log holds it."""
    return msgspec.msgpack.encode(Stamped(time, command))


def apply(state: GroupState, index: int, data: bytes) -> Result:
    """Applies one committed command."""
    stamped = _stamped_decoder.decode(data)
    state.time = max(state.time, stamped.time)
    state.applied = index
    return _HANDLERS[type(stamped.command)](state, stamped.command)


def snapshot(state: GroupState) -> bytes:
    """Returns the whole state as bytes."""
    return msgspec.msgpack.encode(state, enc_hook=list)


def restore(data: bytes, group: GroupId) -> GroupState:
    """Returns the state that a snapshot holds; an empty one is a new state."""
    return _state_decoder.decode(data) if data else GroupState(group)


def all_holders(state: GroupState) -> set[MemberName]:
    """Returns every process whose session matters to this group."""
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
    found = of_requests | of_items | loading | uploading | control.holders(state.control)
    return found - {MemberName("")}


def time_is_due(state: GroupState, now: float) -> bool:
    """Tells whether an :class:`Advance` at some ledger time would change something."""
    return (
        requests.has_ended_records(state.requests, now)
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


def _retire(state: GroupState, command: control.RetireReplicas) -> Result:
    control.retire(state.control, command)
    return files.Done()


def _advance(state: GroupState, command: Advance) -> Result:
    requests.purge(state.requests, state.time)
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
    itemjobs.SubmitItemJob: lambda s, c: itemjobs.submit(s.item_jobs, c, s.time),
    itemjobs.RecordAttempts: lambda s, c: itemjobs.record(s.item_jobs, c),
    itemjobs.KeepProgress: lambda s, c: itemjobs.keep(s.item_jobs, c),
    itemjobs.EndItemJob: lambda s, c: itemjobs.end(s.item_jobs, c),
    control.ApplyChange: lambda s, c: control.apply_change(s.control, c),
    control.ApplyVersion: lambda s, c: control.apply_version(s.control, c),
    control.RetireReplicas: _retire,
    control.LeaseBackend: lambda s, c: control.lease_backend(s.control, c, s.applied),
    control.LoadPermit: lambda s, c: files.Done(control.load_permit(s.control, c)),
    ExpireHolder: _end_session,
    ReleaseHolder: _end_session,
    Advance: _advance,
}
