"""The part of the work ledger that holds online requests, as a pure state machine."""

import heapq

import msgspec

from verbenashore.types import IdempotencyKey, MemberName, RecordId, RequestState, WorkspaceId


class AcceptRequest(msgspec.Struct, frozen=True, array_like=True, tag="accept"):
    """Accepts a request, or attaches to the one that has the same key.

    :param body_digest: SHA-256 of what the key must always come with.
    :param holder: the process that will see to it.
    :param repeatable: false if it may run at most once.
    :param retention: seconds for which the result stays readable.
    """

    record: RecordId
    workspace: WorkspaceId
    key: IdempotencyKey
    body_digest: str
    holder: MemberName
    repeatable: bool
    retention: float


class StartRequest(msgspec.Struct, frozen=True, array_like=True, tag="start"):
    """Claims the only run of a request that may not be repeated.

    :param claim: differs for every run, so that a resent claim gets its first answer.
    """

    record: RecordId
    holder: MemberName
    claim: str


class CompleteRequest(msgspec.Struct, frozen=True, array_like=True, tag="complete"):
    """Commits the answer of a request; the first one counts.

    :param status: the HTTP status of the answer.
    """

    record: RecordId
    status: int
    content_type: str
    body: bytes


class AbandonRequest(msgspec.Struct, frozen=True, array_like=True, tag="abandon"):
    """Ends a request without an answer.

    :param claim: the claim of the run that gives up; empty for one that was never started.
    :param sent: true if the backend server may have run it.
    """

    record: RecordId
    claim: str = ""
    sent: bool = False


class ReleaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Says that nobody sees to a request any more, so that the next asker may.

    :param taker: the record id that its holder asked with.
    """

    record: RecordId
    taker: RecordId


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A committed answer."""

    status: int
    content_type: str
    body: bytes


class RequestView(msgspec.Struct, frozen=True, array_like=True, tag="request"):
    """What the ledger says of a request.

    :param mine: true if the asker is to run it now.
    :param conflict: true if the key was used before with another body.
    """

    record: RecordId
    state: RequestState
    mine: bool = False
    conflict: bool = False
    answer: Answer | None = None


class RequestRecord(msgspec.Struct):
    """One accepted request.

    :param holder: whose session keeps the request alive.
    :param taker: the record id that the holder asked with, which tells apart its own requests.
    :param attempt: how many processes have seen to it so far.
    :param ends_at: ledger time after which it is forgotten; 0 while it runs.
    """

    id: RecordId
    workspace: WorkspaceId
    key: IdempotencyKey
    body_digest: str
    holder: MemberName
    repeatable: bool
    retention: float
    taker: RecordId
    state: RequestState = RequestState.ACCEPTED
    attempt: int = 1
    claim: str = ""
    ends_at: float = 0.0
    answer: Answer | None = None


class RequestBook(msgspec.Struct):
    """All requests of one shard.

    :param open_ids: the requests that have not ended.
    :param endings: a heap of the times at which ended requests are forgotten.
    :param late: how many completions came after the first one.
    """

    by_id: dict[RecordId, RequestRecord] = msgspec.field(default_factory=dict)
    id_by_key: dict[str, RecordId] = msgspec.field(default_factory=dict)
    open_ids: set[RecordId] = msgspec.field(default_factory=set)
    endings: list[tuple[float, RecordId]] = msgspec.field(default_factory=list)
    late: int = 0


def scoped_key(workspace: WorkspaceId, key: IdempotencyKey) -> str:
    """Returns a key that is unique over all workspaces."""
    return f"{workspace}/{key}"


def view(record: RequestRecord, *, mine: bool = False, conflict: bool = False) -> RequestView:
    """Returns what may be told of a record."""
    return RequestView(record.id, record.state, mine, conflict, record.answer)


def accept(book: RequestBook, command: AcceptRequest) -> RequestView:
    """Accepts a request or attaches to the earlier one with its key.

    A request that was proved not to have run starts anew; so does a repeatable one that nobody
    holds any more.
    """
    key = scoped_key(command.workspace, command.key)
    record = book.by_id.get(book.id_by_key.get(key, RecordId("")))
    if record is None:
        record = RequestRecord(
            command.record,
            command.workspace,
            command.key,
            command.body_digest,
            command.holder,
            command.repeatable,
            command.retention,
            command.record,
        )
        book.by_id[record.id] = record
        book.id_by_key[key] = record.id
        book.open_ids.add(record.id)
        return view(record, mine=True)
    if record.body_digest != command.body_digest:
        return view(record, conflict=True)
    if record.state is RequestState.NOT_RUN or _is_orphan(record):
        record.state = RequestState.ACCEPTED
        record.holder = command.holder
        record.taker = command.record
        record.attempt += 1
        record.ends_at = 0.0
        book.open_ids.add(record.id)
        return view(record, mine=True)
    return view(record, mine=_is_taken_by(record, command))


def start(book: RequestBook, command: StartRequest) -> RequestView | None:
    """Grants the only run; ``mine`` is true for the first asker alone."""
    record = book.by_id.get(command.record)
    if record is None:
        return None
    if record.state is RequestState.ACCEPTED:
        record.state = RequestState.STARTED
        record.holder = command.holder
        record.claim = command.claim
        return view(record, mine=True)
    resent = record.state is RequestState.STARTED and record.claim == command.claim
    return view(record, mine=resent)


def complete(book: RequestBook, command: CompleteRequest, now: float) -> RequestView | None:
    """Commits the first answer; later ones are counted and dropped.

    An outcome that was unknown may still become known.
    """
    record = book.by_id.get(command.record)
    if record is None:
        book.late += 1
        return None
    if record.state in (RequestState.COMPLETED, RequestState.NOT_RUN):
        book.late += 1
        return view(record)
    record.answer = Answer(command.status, command.content_type, command.body)
    _end(book, record, RequestState.COMPLETED, now)
    return view(record, mine=True)


def abandon(book: RequestBook, command: AbandonRequest, now: float) -> RequestView | None:
    """Ends a request without an answer; a run that another process started goes on."""
    record = book.by_id.get(command.record)
    if record is None:
        return None
    own = record.state is RequestState.STARTED and record.claim == command.claim
    if own and command.sent:
        _end(book, record, RequestState.OUTCOME_UNKNOWN, now)
    elif own or record.state is RequestState.ACCEPTED:
        _end(book, record, RequestState.NOT_RUN, now)
    return view(record)


def release(book: RequestBook, command: ReleaseRequest, now: float) -> None:
    """Lets the next asker see to a request that was not started for good."""
    record = book.by_id.get(command.record)
    if record is None or record.taker != command.taker:
        return
    if record.state is RequestState.ACCEPTED:
        _orphan(book, record, now)


def release_holder(book: RequestBook, holder: MemberName, now: float) -> None:
    """Ends the hold of a process whose session has ended."""
    held = [book.by_id[id_] for id_ in sorted(book.open_ids) if book.by_id[id_].holder == holder]
    for record in held:
        if record.state is RequestState.STARTED:
            _end(book, record, RequestState.OUTCOME_UNKNOWN, now)
        else:
            _orphan(book, record, now)


def purge(book: RequestBook, now: float) -> None:
    """Forgets requests whose retention has ended."""
    while has_ended_records(book, now):
        ends_at, record_id = heapq.heappop(book.endings)
        record = book.by_id.get(record_id)
        # A request that was run again, or ended anew, has another ending further back.
        if record is not None and record.ends_at == ends_at:
            del book.by_id[record_id]
            book.open_ids.discard(record_id)
            del book.id_by_key[scoped_key(record.workspace, record.key)]


def has_ended_records(book: RequestBook, now: float) -> bool:
    """Tells whether a purge would forget something."""
    return bool(book.endings) and book.endings[0][0] <= now


def _is_orphan(record: RequestRecord) -> bool:
    return record.state is RequestState.ACCEPTED and not record.holder


def _is_taken_by(record: RequestRecord, command: AcceptRequest) -> bool:
    holds = record.holder == command.holder and record.taker == command.record
    return holds and record.state is RequestState.ACCEPTED


def _orphan(book: RequestBook, record: RequestRecord, now: float) -> None:
    """Leaves a request without a holder; nobody may ever ask for it again."""
    record.holder = MemberName("")
    record.ends_at = now + record.retention
    heapq.heappush(book.endings, (record.ends_at, record.id))


def _end(book: RequestBook, record: RequestRecord, state: RequestState, now: float) -> None:
    record.state = state
    record.ends_at = now + record.retention
    book.open_ids.discard(record.id)
    heapq.heappush(book.endings, (record.ends_at, record.id))
