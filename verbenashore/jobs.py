"""Batch jobs of the ledger and the leases of their items, as a state machine without I/O."""

from collections import deque

import msgspec

from verbenashore.files import Done
from verbenashore.types import (
    FileId,
    IdempotencyKey,
    ItemState,
    JobId,
    JobState,
    MemberName,
    WorkspaceId,
)

#: Attempts after which an item fails.
MAX_ATTEMPTS = 4
#: HTTP status listed for an item that was submitted with an error.
INVALID_ITEM_STATUS = 400


class NewItem(msgspec.Struct, frozen=True, array_like=True):
    """One item of a job.

    :param body: the JSON body of the request.
    :param size: estimated tokens of the prompt and the answer together.
    :param error: why the item can never be run, as a JSON document; empty if it can.
    """

    custom_id: str
    model: str
    body: bytes
    size: int
    error: bytes = b""


class CreateJob(msgspec.Struct, frozen=True, array_like=True, tag="create_job"):
    """Creates a job in loading state; it is accepted only when it is sealed.

    :param body_digest: digest of the content that must be the same whenever the key is used.
    :param holder: the process that loads the job.
    :param window: seconds from acceptance to the deadline.
    :param retention: seconds for which an ended job stays readable.
    """

    job: JobId
    workspace: WorkspaceId
    key: IdempotencyKey
    body_digest: str
    holder: MemberName
    endpoint: str
    input_file: FileId
    window: float
    window_text: str
    metadata: dict[str, str]
    created_at: int
    retention: float


class AddItems(msgspec.Struct, frozen=True, array_like=True, tag="add_items"):
    """Adds a chunk of items to a job that is being loaded.

    :param first: the position of the chunk's first item; a resent chunk changes nothing.
    """

    job: JobId
    first: int
    items: list[NewItem]


class SealJob(msgspec.Struct, frozen=True, array_like=True, tag="seal_job"):
    """Accepts a job once all its items are loaded.

    :param total: the number of items that it must have.
    """

    job: JobId
    total: int


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag="cancel_job"):
    """Cancels a job."""

    job: JobId
    workspace: WorkspaceId


class LeaseItems(msgspec.Struct, frozen=True, array_like=True, tag="lease_items"):
    """Leases items to a process that will run them.

    :param request: the id of this request; a resent request gets the items of its first answer.
    :param models: the models that the process serves.
    :param count: the most items to lease.
    """

    request: str
    holder: MemberName
    models: list[str]
    count: int


class LeasedItem(msgspec.Struct, frozen=True, array_like=True):
    """One item under a lease.

    :param due_in: seconds until the job's deadline.
    """

    job: JobId
    workspace: WorkspaceId
    position: int
    attempt: int
    endpoint: str
    model: str
    body: bytes
    size: int
    due_in: float


class LeaseAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The last answer to a process that leased items.

    :param request: the id of the lease request.
    :param keys: job, position and attempt of each item.
    """

    request: str
    keys: list[tuple[JobId, int, int]]


class LeasedItems(msgspec.Struct, frozen=True, array_like=True, tag="leased"):
    """The answer to :class:`LeaseItems`."""

    items: list[LeasedItem]


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """How one attempt at an item ended.

    :param status: the HTTP status of the backend server's answer; 0 if there was none.
    :param retry: true if another attempt may succeed.
    :param returned: true if the item was returned unfinished, which doesn't count as an attempt.
    """

    job: JobId
    position: int
    attempt: int
    status: int
    body: bytes
    retry: bool = False
    returned: bool = False


class CompleteItems(msgspec.Struct, frozen=True, array_like=True, tag="complete_items"):
    """Commits the results of attempts."""

    holder: MemberName
    results: list[ItemResult]


class JobView(msgspec.Struct, frozen=True, array_like=True, tag="job"):
    """The state of a job as the ledger reports it.

    :param fresh: true if the caller of :func:`create_job` is to load the job now.
    :param conflict: true if the key belongs to a job with another ``body_digest``.
    """

    job: JobId
    workspace: WorkspaceId
    state: JobState
    endpoint: str
    input_file: FileId
    window_text: str
    metadata: dict[str, str]
    created_at: int
    total: int
    completed: int
    failed: int
    fresh: bool = False
    conflict: bool = False


class ItemView(msgspec.Struct, frozen=True, array_like=True):
    """The state of one item, with its outcome once it has ended."""

    position: int
    custom_id: str
    state: ItemState
    attempt: int
    status: int
    body: bytes


class ItemViews(msgspec.Struct, frozen=True, array_like=True, tag="items"):
    """A page of item states."""

    items: list[ItemView]


class Item(msgspec.Struct):
    """One item of a job, with its state.

    :param holder: the process that leases the item.
    :param result: the body of the item's result; for an invalid item the error that it was
        submitted with.
    """

    custom_id: str
    model: str
    body: bytes
    size: int
    state: ItemState = ItemState.WAITING
    attempt: int = 0
    holder: MemberName = MemberName("")
    status: int = 0
    result: bytes = b""


class Job(msgspec.Struct):
    """One batch job.

    :param announced: the command that created the job.
    :param deadline: ledger time at which the job expires; 0 until it is accepted.
    :param ends_at: ledger time at which the ended job is deleted; 0 until the job ends.
    :param ended: how many items have ended, in whatever state.
    :param waiting_by_model: positions of each model's waiting items, in the order in which they
        will be leased; a requeued item goes first.
    """

    announced: CreateJob
    state: JobState = JobState.LOADING
    deadline: float = 0.0
    ends_at: float = 0.0
    completed: int = 0
    failed: int = 0
    ended: int = 0
    items: list[Item] = msgspec.field(default_factory=list)
    waiting_by_model: dict[str, deque[int]] = msgspec.field(default_factory=dict)


class JobTable(msgspec.Struct):
    """All jobs of one shard.

    :param leased_by_holder: the items that each process leases, as (job, position).
    :param answer_by_holder: the last answer to each process that leased items.
    :param late: how many results were dropped: those of ended or unknown items, and of attempts
        that are no longer current and failed in a way that allows a retry or were returned.
    """

    job_by_id: dict[JobId, Job] = msgspec.field(default_factory=dict)
    id_by_key: dict[str, JobId] = msgspec.field(default_factory=dict)
    leased_by_holder: dict[MemberName, set[tuple[JobId, int]]] = msgspec.field(default_factory=dict)
    answer_by_holder: dict[MemberName, LeaseAnswer] = msgspec.field(default_factory=dict)
    late: int = 0


_ENDED_ITEM_STATES = frozenset(
    {ItemState.COMPLETED, ItemState.FAILED, ItemState.CANCELLED, ItemState.EXPIRED}
)
_OPEN_JOB_STATES = frozenset({JobState.LOADING, JobState.RUNNING})


def create_job(table: JobTable, command: CreateJob) -> JobView:
    """Creates a job, or returns the one that has the same key."""
    key = f"{command.workspace}/{command.key}"
    existing = table.job_by_id.get(table.id_by_key.get(key, JobId("")))
    if existing is not None:
        fresh = existing.announced.job == command.job and existing.state is JobState.LOADING
        conflict = existing.announced.body_digest != command.body_digest
        return job_view(existing, fresh=fresh, conflict=conflict)
    job = Job(command)
    table.job_by_id[command.job] = job
    table.id_by_key[key] = command.job
    return job_view(job, fresh=True)


def add_items(table: JobTable, command: AddItems) -> Done:
    """Adds a chunk of items.

    Returns ``Done(False)`` if the job isn't loading or earlier chunks are missing.
    """
    job = table.job_by_id.get(command.job)
    if job is None or job.state is not JobState.LOADING:
        return Done(False)
    if command.first == len(job.items):
        job.items.extend(
            Item(new.custom_id, new.model, new.body, new.size, result=new.error)
            for new in command.items
        )
    return Done(command.first + len(command.items) <= len(job.items))


def seal_job(table: JobTable, command: SealJob, now: float) -> JobView | None:
    """Accepts a job if all its items are loaded; items with an error fail at once."""
    job = table.job_by_id.get(command.job)
    if job is None or len(job.items) != command.total:
        return None
    if job.state is JobState.LOADING:
        job.state = JobState.RUNNING
        job.deadline = now + job.announced.window
        for position, item in enumerate(job.items):
            if item.result:
                item.state = ItemState.FAILED
                item.status = INVALID_ITEM_STATUS
                job.ended += 1
                job.failed += 1
            else:
                job.waiting_by_model.setdefault(item.model, deque()).append(position)
        _complete_job_if_done(job, now)
    return job_view(job)


def cancel_job(table: JobTable, command: CancelJob, now: float) -> JobView | None:
    """Cancels a job: no further item is leased, and later results are dropped."""
    job = table.job_by_id.get(command.job)
    if job is None or job.announced.workspace != command.workspace:
        return None
    if job.state in _OPEN_JOB_STATES:
        _stop_job(table, job, JobState.CANCELLED, ItemState.CANCELLED, now)
    return job_view(job)


def lease_items(table: JobTable, command: LeaseItems, now: float) -> LeasedItems:
    """Leases items: earliest deadline first, then the workspace with the fewest leased items."""
    last_answer = table.answer_by_holder.get(command.holder)
    if last_answer is not None and last_answer.request == command.request:
        return _repeat_lease(table, last_answer, now)
    held_by_workspace = _held_by_workspace(table)
    leased: list[LeasedItem] = []
    while len(leased) < command.count:
        job = _choose_job(table, command.models, held_by_workspace)
        if job is None:
            break
        workspace = job.announced.workspace
        held_by_workspace[workspace] = held_by_workspace.get(workspace, 0) + 1
        leased.append(_lease_next_item(table, job, command, now))
    keys = [(item.job, item.position, item.attempt) for item in leased]
    table.answer_by_holder[command.holder] = LeaseAnswer(command.request, keys)
    return LeasedItems(leased)


def complete_items(table: JobTable, command: CompleteItems, now: float) -> Done:
    """Commits results; for each item the first that ends it counts, and later ones are dropped."""
    for result in command.results:
        job = table.job_by_id.get(result.job)
        if job is None or result.position >= len(job.items):
            table.late += 1
            continue
        _record_result(table, job, result, now)
    return Done()


def release_holder(table: JobTable, holder: MemberName, now: float) -> None:
    """Handles the end of a process's session.

    The items that it leased are requeued, or fail after their last attempt; the jobs that it was
    loading are deleted.
    """
    table.answer_by_holder.pop(holder, None)
    for job_id, position in sorted(table.leased_by_holder.pop(holder, set())):
        _retry_or_fail(table.job_by_id[job_id], position, b'{"error":"worker lost"}', now)
    for job in list(table.job_by_id.values()):
        if job.state is JobState.LOADING and job.announced.holder == holder:
            _delete_job(table, job)


def expire(table: JobTable, now: float) -> None:
    """Ends jobs whose deadline has passed and deletes those whose retention has ended."""
    for job in list(table.job_by_id.values()):
        if job.state is JobState.RUNNING and job.deadline <= now:
            _stop_job(table, job, JobState.EXPIRED, ItemState.EXPIRED, now)
        elif 0 < job.ends_at <= now:
            _delete_job(table, job)


def has_expired(table: JobTable, now: float) -> bool:
    """Returns whether :func:`expire` would change something."""
    return any(
        (job.state is JobState.RUNNING and job.deadline <= now) or 0 < job.ends_at <= now
        for job in table.job_by_id.values()
    )


def waiting_count(table: JobTable) -> int:
    """Returns how many items wait for a lease."""
    return sum(
        len(waiting)
        for job in table.job_by_id.values()
        for waiting in job.waiting_by_model.values()
    )


def stopped_jobs(table: JobTable, jobs: list[JobId]) -> list[JobId]:
    """Returns the given jobs that aren't running, unknown ones included."""
    return [
        job_id
        for job_id in jobs
        if (job := table.job_by_id.get(job_id)) is None or job.state is not JobState.RUNNING
    ]


def job_view(job: Job, *, fresh: bool = False, conflict: bool = False) -> JobView:
    """Returns the state of a job as it is reported."""
    announced = job.announced
    return JobView(
        announced.job,
        announced.workspace,
        job.state,
        announced.endpoint,
        announced.input_file,
        announced.window_text,
        announced.metadata,
        announced.created_at,
        len(job.items),
        job.completed,
        job.failed,
        fresh,
        conflict,
    )


def item_views(job: Job, first: int, count: int, page_bytes: int = 0) -> ItemViews:
    """Returns a page of item states: at least one, if there are any.

    :param page_bytes: bytes of ids and results after which the page ends; 0 means no limit.
    """
    views: list[ItemView] = []
    size = 0
    for position, item in enumerate(job.items[first : first + count], first):
        size += len(item.custom_id) + len(item.result)
        if views and page_bytes and size > page_bytes:
            break
        views.append(
            ItemView(position, item.custom_id, item.state, item.attempt, item.status, item.result)
        )
    return ItemViews(views)


def _held_by_workspace(table: JobTable) -> dict[WorkspaceId, int]:
    held: dict[WorkspaceId, int] = {}
    for keys in table.leased_by_holder.values():
        for job_id, _ in keys:
            workspace = table.job_by_id[job_id].announced.workspace
            held[workspace] = held.get(workspace, 0) + 1
    return held


def _choose_job(
    table: JobTable, models: list[str], held_by_workspace: dict[WorkspaceId, int]
) -> Job | None:
    runnable = (
        job
        for job in table.job_by_id.values()
        if job.state is JobState.RUNNING
        and any(job.waiting_by_model.get(model) for model in models)
    )
    return min(
        runnable,
        key=lambda job: (job.deadline, held_by_workspace.get(job.announced.workspace, 0)),
        default=None,
    )


def _lease_next_item(table: JobTable, job: Job, command: LeaseItems, now: float) -> LeasedItem:
    waiting = next(
        job.waiting_by_model[model] for model in command.models if job.waiting_by_model.get(model)
    )
    position = waiting.popleft()
    item = job.items[position]
    item.state = ItemState.LEASED
    item.holder = command.holder
    item.attempt += 1
    table.leased_by_holder.setdefault(command.holder, set()).add((job.announced.job, position))
    return _leased_item(job, position, now)


def _repeat_lease(table: JobTable, last_answer: LeaseAnswer, now: float) -> LeasedItems:
    still_held = [
        (job, position)
        for job_id, position, attempt in last_answer.keys
        if (job := table.job_by_id.get(job_id)) is not None
        and job.items[position].state is ItemState.LEASED
        and job.items[position].attempt == attempt
    ]
    return LeasedItems([_leased_item(job, position, now) for job, position in still_held])


def _leased_item(job: Job, position: int, now: float) -> LeasedItem:
    announced = job.announced
    item = job.items[position]
    return LeasedItem(
        announced.job,
        announced.workspace,
        position,
        item.attempt,
        announced.endpoint,
        item.model,
        item.body,
        item.size,
        job.deadline - now,
    )


def _record_result(table: JobTable, job: Job, result: ItemResult, now: float) -> None:
    item = job.items[result.position]
    if item.state in _ENDED_ITEM_STATES:
        table.late += 1
        return
    is_current = item.state is ItemState.LEASED and item.attempt == result.attempt
    if (result.retry or result.returned) and not is_current:
        table.late += 1
        return
    key = (job.announced.job, result.position)
    table.leased_by_holder.get(item.holder, set()).discard(key)
    if result.returned:
        item.attempt -= 1
        _requeue(job, result.position)
    elif result.retry:
        _retry_or_fail(job, result.position, result.body, now)
    else:
        _finish_item(job, item, result, now)


def _finish_item(job: Job, item: Item, result: ItemResult, now: float) -> None:
    """Ends an item; a late but valid answer also ends one that waits for another attempt."""
    if item.state is ItemState.WAITING:
        job.waiting_by_model[item.model].remove(result.position)
    succeeded = 200 <= result.status < 300
    item.state = ItemState.COMPLETED if succeeded else ItemState.FAILED
    item.status = result.status
    item.result = result.body
    item.body = b""
    _count_ended_item(job, succeeded, now)


def _retry_or_fail(job: Job, position: int, reason: bytes, now: float) -> None:
    item = job.items[position]
    if item.state is not ItemState.LEASED:
        return
    if item.attempt < MAX_ATTEMPTS:
        _requeue(job, position)
        return
    item.state = ItemState.FAILED
    item.result = reason
    _count_ended_item(job, False, now)


def _requeue(job: Job, position: int) -> None:
    item = job.items[position]
    item.state = ItemState.WAITING
    item.holder = MemberName("")
    job.waiting_by_model.setdefault(item.model, deque()).appendleft(position)


def _count_ended_item(job: Job, succeeded: bool, now: float) -> None:
    job.ended += 1
    job.completed += succeeded
    job.failed += not succeeded
    _complete_job_if_done(job, now)


def _complete_job_if_done(job: Job, now: float) -> None:
    if job.ended == len(job.items) and job.state is JobState.RUNNING:
        job.state = JobState.COMPLETED
        job.ends_at = now + job.announced.retention


def _stop_job(
    table: JobTable, job: Job, state: JobState, item_state: ItemState, now: float
) -> None:
    for item in job.items:
        if item.state not in _ENDED_ITEM_STATES:
            item.state = item_state
            job.ended += 1
    for keys in table.leased_by_holder.values():
        keys -= {key for key in keys if key[0] == job.announced.job}
    job.waiting_by_model.clear()
    job.state = state
    job.ends_at = now + job.announced.retention


def _delete_job(table: JobTable, job: Job) -> None:
    announced = job.announced
    del table.job_by_id[announced.job]
    del table.id_by_key[f"{announced.workspace}/{announced.key}"]
