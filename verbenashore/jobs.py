"""The part of the work ledger that holds batch jobs, as a pure state machine."""

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

MAX_ATTEMPTS = 4
IMPOSSIBLE_STATUS = 400


class NewItem(msgspec.Struct, frozen=True, array_like=True):
    """One item of a job.

    :param body: the JSON body of the request.
    :param size: estimated tokens, prompt and answer together.
    :param fault: why the item can never be run, as a JSON document; empty if it can.
    """

    custom_id: str
    model: str
    body: bytes
    size: int
    fault: bytes = b""


class CreateJob(msgspec.Struct, frozen=True, array_like=True, tag="create_job"):
    """Announces a job; it is accepted only when it is sealed.

    :param window: seconds from acceptance to the deadline.
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
    """Accepts a job whole.

    :param total: the number of items it must have.
    """

    job: JobId
    total: int


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag="cancel_job"):
    """Stops a job."""

    job: JobId
    workspace: WorkspaceId


class LeaseItems(msgspec.Struct, frozen=True, array_like=True, tag="lease_items"):
    """Asks for items to run.

    :param request: differs for every wish, so that a resent one gets its first answer.
    :param models: the models that the asker serves.
    """

    request: str
    holder: MemberName
    models: list[str]
    count: int


class LeasedItem(msgspec.Struct, frozen=True, array_like=True):
    """One item under a lease."""

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
    """The last lease that a process was given.

    :param keys: job, position and attempt of each item.
    """

    request: str
    keys: list[tuple[JobId, int, int]]


class LeasedItems(msgspec.Struct, frozen=True, array_like=True, tag="leased"):
    """The items that a lease gave out."""

    items: list[LeasedItem]


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """How one attempt at an item ended.

    :param status: the HTTP status of the backend server's answer; 0 if there was none.
    :param retry: true if another attempt may succeed.
    :param returned: true if the item was handed back unfinished, which is no attempt.
    """

    job: JobId
    position: int
    attempt: int
    status: int
    body: bytes
    retry: bool = False
    returned: bool = False


class CompleteItems(msgspec.Struct, frozen=True, array_like=True, tag="complete_items"):
    """Commits a chunk of results."""

    holder: MemberName
    results: list[ItemResult]


class JobView(msgspec.Struct, frozen=True, array_like=True, tag="job"):
    """What the ledger says of a job.

    :param fresh: true if the asker is to load it now.
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
    """The outcome of one item."""

    position: int
    custom_id: str
    state: ItemState
    attempt: int
    status: int
    body: bytes


class ItemViews(msgspec.Struct, frozen=True, array_like=True, tag="items"):
    """A page of outcomes."""

    items: list[ItemView]


class Item(msgspec.Struct):
    """One item of a job, with its state."""

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
    """One job.

    :param waiting_by_model: positions of items to run, in order.
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


class JobBook(msgspec.Struct):
    """All jobs of one shard.

    :param leased_by_holder: the items that each process holds, as (job, position).
    """

    job_by_id: dict[JobId, Job] = msgspec.field(default_factory=dict)
    id_by_key: dict[str, JobId] = msgspec.field(default_factory=dict)
    leased_by_holder: dict[MemberName, set[tuple[JobId, int]]] = msgspec.field(default_factory=dict)
    answer_by_holder: dict[MemberName, LeaseAnswer] = msgspec.field(default_factory=dict)
    late: int = 0


_ENDED_ITEM = frozenset(
    {ItemState.COMPLETED, ItemState.FAILED, ItemState.CANCELLED, ItemState.EXPIRED}
)
_OPEN_JOB = frozenset({JobState.LOADING, JobState.RUNNING})


def create_job(book: JobBook, command: CreateJob) -> JobView:
    """Announces a job, or attaches to the one that has the same key."""
    key = f"{command.workspace}/{command.key}"
    known = book.job_by_id.get(book.id_by_key.get(key, JobId("")))
    if known is not None:
        fresh = known.announced.job == command.job and known.state is JobState.LOADING
        conflict = known.announced.body_digest != command.body_digest
        return job_view(known, fresh=fresh, conflict=conflict)
    job = Job(command)
    book.job_by_id[command.job] = job
    book.id_by_key[key] = command.job
    return job_view(job, fresh=True)


def add_items(book: JobBook, command: AddItems) -> Done:
    """Adds a chunk of items."""
    job = book.job_by_id.get(command.job)
    if job is None or job.state is not JobState.LOADING:
        return Done(False)
    if command.first == len(job.items):
        job.items.extend(
            Item(new.custom_id, new.model, new.body, new.size, result=new.fault)
            for new in command.items
        )
    return Done(command.first + len(command.items) <= len(job.items))


def seal_job(book: JobBook, command: SealJob, now: float) -> JobView | None:
    """Accepts a job whole, if all its items are there."""
    job = book.job_by_id.get(command.job)
    if job is None or len(job.items) != command.total:
        return None
    if job.state is JobState.LOADING:
        job.state = JobState.RUNNING
        job.deadline = now + job.announced.window
        for position, item in enumerate(job.items):
            if item.result:
                item.state = ItemState.FAILED
                item.status = IMPOSSIBLE_STATUS
                job.ended += 1
                job.failed += 1
            else:
                job.waiting_by_model.setdefault(item.model, deque()).append(position)
        _end_if_done(job, now)
    return job_view(job)


def cancel_job(book: JobBook, command: CancelJob, now: float) -> JobView | None:
    """Stops a job: no item starts any more, and results that come later are dropped."""
    job = book.job_by_id.get(command.job)
    if job is None or job.announced.workspace != command.workspace:
        return None
    if job.state in _OPEN_JOB:
        _stop(book, job, JobState.CANCELLED, ItemState.CANCELLED, now)
    return job_view(job)


def lease_items(book: JobBook, command: LeaseItems, now: float) -> LeasedItems:
    """Gives out items: the earliest deadline first, then the workspace that holds fewest."""
    before = book.answer_by_holder.get(command.holder)
    if before is not None and before.request == command.request:
        return _lease_again(book, before, now)
    held_by_workspace = _held_by_workspace(book)
    given: list[LeasedItem] = []
    while len(given) < command.count:
        job = _choose_job(book, command.models, held_by_workspace)
        if job is None:
            break
        workspace = job.announced.workspace
        held_by_workspace[workspace] = held_by_workspace.get(workspace, 0) + 1
        given.append(_lease_one(book, job, command, now))
    keys = [(item.job, item.position, item.attempt) for item in given]
    book.answer_by_holder[command.holder] = LeaseAnswer(command.request, keys)
    return LeasedItems(given)


def complete_items(book: JobBook, command: CompleteItems, now: float) -> Done:
    """Commits a chunk of results; for each item the first valid one counts."""
    for result in command.results:
        job = book.job_by_id.get(result.job)
        if job is None or result.position >= len(job.items):
            book.late += 1
            continue
        _take_result(book, job, result, now)
    return Done()


def release_holder(book: JobBook, holder: MemberName, now: float) -> None:
    """Ends the leases of a process whose session has ended, and drops jobs it was loading."""
    book.answer_by_holder.pop(holder, None)
    for job_id, position in sorted(book.leased_by_holder.pop(holder, set())):
        _retry(book.job_by_id[job_id], position, b'{"error":"worker lost"}', now)
    for job in list(book.job_by_id.values()):
        if job.state is JobState.LOADING and job.announced.holder == holder:
            _forget_job(book, job)


def expire(book: JobBook, now: float) -> None:
    """Ends jobs whose deadline has passed and forgets those whose retention has ended."""
    for job in list(book.job_by_id.values()):
        if job.state is JobState.RUNNING and job.deadline <= now:
            _stop(book, job, JobState.EXPIRED, ItemState.EXPIRED, now)
        elif 0 < job.ends_at <= now:
            _forget_job(book, job)


def has_expired(book: JobBook, now: float) -> bool:
    """Tells whether :func:`expire` would change something."""
    return any(
        (job.state is JobState.RUNNING and job.deadline <= now) or 0 < job.ends_at <= now
        for job in book.job_by_id.values()
    )


def waiting_count(book: JobBook) -> int:
    """Returns how many items wait for a lease."""
    return sum(
        len(waiting) for job in book.job_by_id.values() for waiting in job.waiting_by_model.values()
    )


def stopped_jobs(book: JobBook, jobs: list[JobId]) -> list[JobId]:
    """Returns those of some jobs that no longer run."""
    return [
        job_id
        for job_id in jobs
        if (job := book.job_by_id.get(job_id)) is None or job.state is not JobState.RUNNING
    ]


def job_view(job: Job, *, fresh: bool = False, conflict: bool = False) -> JobView:
    """Returns what may be told of a job."""
    known = job.announced
    return JobView(
        known.job,
        known.workspace,
        job.state,
        known.endpoint,
        known.input_file,
        known.window_text,
        known.metadata,
        known.created_at,
        len(job.items),
        job.completed,
        job.failed,
        fresh,
        conflict,
    )


def item_views(job: Job, first: int, count: int, page_bytes: int = 0) -> ItemViews:
    """Returns a page of outcomes: at least one, and no more than fit into some bytes, if given."""
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


def _held_by_workspace(book: JobBook) -> dict[WorkspaceId, int]:
    held: dict[WorkspaceId, int] = {}
    for keys in book.leased_by_holder.values():
        for job_id, _ in keys:
            workspace = book.job_by_id[job_id].announced.workspace
            held[workspace] = held.get(workspace, 0) + 1
    return held


def _choose_job(
    book: JobBook, models: list[str], held_by_workspace: dict[WorkspaceId, int]
) -> Job | None:
    runnable = (
        job
        for job in book.job_by_id.values()
        if job.state is JobState.RUNNING
        and any(job.waiting_by_model.get(model) for model in models)
    )
    return min(
        runnable,
        key=lambda job: (job.deadline, held_by_workspace.get(job.announced.workspace, 0)),
        default=None,
    )


def _lease_one(book: JobBook, job: Job, command: LeaseItems, now: float) -> LeasedItem:
    waiting = next(
        job.waiting_by_model[model] for model in command.models if job.waiting_by_model.get(model)
    )
    position = waiting.popleft()
    item = job.items[position]
    item.state = ItemState.LEASED
    item.holder = command.holder
    item.attempt += 1
    book.leased_by_holder.setdefault(command.holder, set()).add((job.announced.job, position))
    return _leased_item(job, position, now)


def _lease_again(book: JobBook, before: LeaseAnswer, now: float) -> LeasedItems:
    still_held = [
        (job, position)
        for job_id, position, attempt in before.keys
        if (job := book.job_by_id.get(job_id)) is not None
        and job.items[position].state is ItemState.LEASED
        and job.items[position].attempt == attempt
    ]
    return LeasedItems([_leased_item(job, position, now) for job, position in still_held])


def _leased_item(job: Job, position: int, now: float) -> LeasedItem:
    known = job.announced
    item = job.items[position]
    return LeasedItem(
        known.job,
        known.workspace,
        position,
        item.attempt,
        known.endpoint,
        item.model,
        item.body,
        item.size,
        job.deadline - now,
    )


def _take_result(book: JobBook, job: Job, result: ItemResult, now: float) -> None:
    item = job.items[result.position]
    if item.state in _ENDED_ITEM:
        book.late += 1
        return
    is_current = item.state is ItemState.LEASED and item.attempt == result.attempt
    if (result.retry or result.returned) and not is_current:
        book.late += 1
        return
    key = (job.announced.job, result.position)
    book.leased_by_holder.get(item.holder, set()).discard(key)
    if result.returned:
        item.attempt -= 1
        _put_back(job, result.position)
    elif result.retry:
        _retry(job, result.position, result.body, now)
    else:
        _finish(job, item, result, now)


def _finish(job: Job, item: Item, result: ItemResult, now: float) -> None:
    """Commits an answer; a waiting item that a late but valid answer ends isn't run again."""
    if item.state is ItemState.WAITING:
        job.waiting_by_model[item.model].remove(result.position)
    succeeded = 200 <= result.status < 300
    item.state = ItemState.COMPLETED if succeeded else ItemState.FAILED
    item.status = result.status
    item.result = result.body
    item.body = b""
    _count_end(job, succeeded, now)


def _retry(job: Job, position: int, reason: bytes, now: float) -> None:
    item = job.items[position]
    if item.state is not ItemState.LEASED:
        return
    if item.attempt < MAX_ATTEMPTS:
        _put_back(job, position)
        return
    item.state = ItemState.FAILED
    item.result = reason
    _count_end(job, False, now)


def _put_back(job: Job, position: int) -> None:
    item = job.items[position]
    item.state = ItemState.WAITING
    item.holder = MemberName("")
    job.waiting_by_model.setdefault(item.model, deque()).appendleft(position)


def _count_end(job: Job, succeeded: bool, now: float) -> None:
    job.ended += 1
    job.completed += succeeded
    job.failed += not succeeded
    _end_if_done(job, now)


def _end_if_done(job: Job, now: float) -> None:
    if job.ended == len(job.items) and job.state is JobState.RUNNING:
        job.state = JobState.COMPLETED
        job.ends_at = now + job.announced.retention


def _stop(book: JobBook, job: Job, state: JobState, item_state: ItemState, now: float) -> None:
    for item in job.items:
        if item.state not in _ENDED_ITEM:
            item.state = item_state
            job.ended += 1
    for keys in book.leased_by_holder.values():
        keys -= {key for key in keys if key[0] == job.announced.job}
    job.waiting_by_model.clear()
    job.state = state
    job.ends_at = now + job.announced.retention


def _forget_job(book: JobBook, job: Job) -> None:
    known = job.announced
    del book.job_by_id[known.job]
    del book.id_by_key[f"{known.workspace}/{known.key}"]
