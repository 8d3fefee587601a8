"""Online requests in the work ledger, as a pure state machine."""

import heapq

import msgspec

from verbenashore.types import IdempotencyKey, MemberName, RecordId, RequestState, WorkspaceId


class AcceptRequest(msgspec.Struct, frozen=True, array_like=True, tag="accept"):
    """Accepts a request, or attaches to the one with the same key.

    :param body_digest: SHA-256 of the content; a key must not be used with other content.
    :param holder: the process that will run it.
    :param repeatable: false if it may run at most once.
    :param retention: seconds that the result stays readable.
    """

    record: RecordId
    workspace: WorkspaceId
    key: IdempotencyKey
    body_digest: str
    holder: MemberName
    repeatable: bool
    retention: float


class StartRequest(msgspec.Struct, frozen=True, array_like=True, tag="start"):
    """Claims the only run of a request that must not be repeated.

    :param claim: differs for every run, so that a resent claim is granted again.
    """

    record: RecordId
    holder: MemberName
    claim: str


class CompleteRequest(msgspec.Struct, frozen=True, array_like=True, tag="complete"):
    """Commits the answer to a request; only the first answer counts.

    :param status: the HTTP status of the answer.
    """

    record: RecordId
    status: int
    content_type: str
    body: bytes


class AbandonRequest(msgspec.Struct, frozen=True, array_like=True, tag="abandon"):
    """Ends a request without an answer.

    :param claim: the claim of the run that is abandoned; empty if it was never started.
    :param sent: true if the backend server may have run it.
    """

    record: RecordId
    claim: str = ""
    sent: bool = False


class ReleaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Gives up the hold on a request, so that the next caller with its key may run it.

    :param taker: the record id in the holder's :class:`AcceptRequest`.
    """

    record: RecordId
    taker: RecordId


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A committed answer."""

    status: int
    content_type: str
    body: bytes


class RequestView(msgspec.Struct, frozen=True, array_like=True, tag="request"):
    """The state of a request as the ledger reports it.

    :param mine: true if the process that sent the command is to run the request now; in the
        reply to :class:`CompleteRequest`, true if its answer was committed.
    :param conflict: true if the key was used before with other content.
    """

    record: RecordId
    state: RequestState
    mine: bool = False
    conflict: bool = False
    answer: Answer | None = None


class RequestRecord(msgspec.Struct):
    """One accepted request.

    :param holder: whose session keeps the request alive.
    :param taker: the record id in the holder's :class:`AcceptRequest`; it distinguishes several
        requests of one holder with the same key.
    :param attempt: how many times the request was accepted for a run.
    :param ends_at: ledger time at which it is deleted; 0 until it ends or loses its holder.
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


class RequestTable(msgspec.Struct):
    """All requests of one shard.

    :param open_ids: the requests that have not ended.
    :param endings: a heap of (deletion time, record id); entries of requests that were accepted or
        ended again since are outdated and are skipped.
    :param late: how many completions were dropped because the request was already completed, had
        ended as not run, or no longer existed.
    """

    by_id: dict[RecordId, RequestRecord] = msgspec.field(default_factory=dict)
    id_by_key: dict[str, RecordId] = msgspec.field(default_factory=dict)
    open_ids: set[RecordId] = msgspec.field(default_factory=set)
    endings: list[tuple[float, RecordId]] = msgspec.field(default_factory=list)
    late: int = 0


def scoped_key(workspace: WorkspaceId, key: IdempotencyKey) -> str:
    """Returns a key that is unique over all workspaces."""
    return f"{workspace}/{key}"


def request_view(
    record: RequestRecord, *, mine: bool = False, conflict: bool = False
) -> RequestView:
    """Returns the view of a record for the process that sent a command or a read."""
    return RequestView(record.id, record.state, mine, conflict, record.answer)


def accept(table: RequestTable, command: AcceptRequest) -> RequestView:
    """Accepts a request, or attaches to the earlier one with the same key.

    If the earlier one has other content, it stays as it is and the view reports a conflict.  If it
    has the same content, it is accepted again, for a run by the new caller, if it is known not to
    have run, or if it was not started and has lost its holder.
    """
    key = scoped_key(command.workspace, command.key)
    record = table.by_id.get(table.id_by_key.get(key, RecordId("")))
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
        table.by_id[record.id] = record
        table.id_by_key[key] = record.id
        table.open_ids.add(record.id)
        return request_view(record, mine=True)
    if record.body_digest != command.body_digest:
        return request_view(record, conflict=True)
    if record.state is RequestState.NOT_RUN or _has_no_holder(record):
        record.state = RequestState.ACCEPTED
        record.holder = command.holder
        record.taker = command.record
        record.attempt += 1
        record.ends_at = 0.0
        table.open_ids.add(record.id)
        return request_view(record, mine=True)
    return request_view(record, mine=_is_held_by(record, command))


def start(table: RequestTable, command: StartRequest) -> RequestView | None:
    """Grants the only run; ``mine`` is true only for the first claim and for its resends."""
    record = table.by_id.get(command.record)
    if record is None:
        return None
    if record.state is RequestState.ACCEPTED:
        record.state = RequestState.STARTED
        record.holder = command.holder
        record.claim = command.claim
        return request_view(record, mine=True)
    resent = record.state is RequestState.STARTED and record.claim == command.claim
    return request_view(record, mine=resent)


def complete(table: RequestTable, command: CompleteRequest, now: float) -> RequestView | None:
    """Commits the first answer; later ones are counted and dropped.

    An answer that arrives after the outcome became unknown is committed, too; one to a request that
    ended as not run is dropped.
    """
    record = table.by_id.get(command.record)
    if record is None:
        table.late += 1
        return None
    if record.state in (RequestState.COMPLETED, RequestState.NOT_RUN):
        table.late += 1
        return request_view(record)
    record.answer = Answer(command.status, command.content_type, command.body)
    _end(table, record, RequestState.COMPLETED, now)
    return request_view(record, mine=True)


def abandon(table: RequestTable, command: AbandonRequest, now: float) -> RequestView | None:
    """Ends a request without an answer; a run with another claim continues."""
    record = table.by_id.get(command.record)
    if record is None:
        return None
    is_claimant = record.state is RequestState.STARTED and record.claim == command.claim
    if is_claimant and command.sent:
        _end(table, record, RequestState.OUTCOME_UNKNOWN, now)
    elif is_claimant or record.state is RequestState.ACCEPTED:
        _end(table, record, RequestState.NOT_RUN, now)
    return request_view(record)


def release(table: RequestTable, command: ReleaseRequest, now: float) -> None:
    """Lets the next caller run a request, unless its only run was claimed."""
    record = table.by_id.get(command.record)
    if record is None or record.taker != command.taker:
        return
    if record.state is RequestState.ACCEPTED:
        _clear_holder(table, record, now)


def release_holder(table: RequestTable, holder: MemberName, now: float) -> None:
    """Handles the end of a process's session.

    The outcome of a request that it started is unknown; its other open requests lose their holder.
    """
    held = [table.by_id[id_] for id_ in sorted(table.open_ids) if table.by_id[id_].holder == holder]
    for record in held:
        if record.state is RequestState.STARTED:
            _end(table, record, RequestState.OUTCOME_UNKNOWN, now)
        else:
            _clear_holder(table, record, now)


def expire(table: RequestTable, now: float) -> None:
    """Deletes requests whose retention has ended."""
    while has_expired(table, now):
        ends_at, record_id = heapq.heappop(table.endings)
        record = table.by_id.get(record_id)
        # Skips an outdated entry of a request that was accepted again or ended again.
        if record is not None and record.ends_at == ends_at:
            del table.by_id[record_id]
            table.open_ids.discard(record_id)
            del table.id_by_key[scoped_key(record.workspace, record.key)]


def has_expired(table: RequestTable, now: float) -> bool:
    """Returns whether :func:`expire` would process a heap entry."""
    return bool(table.endings) and table.endings[0][0] <= now


def _has_no_holder(record: RequestRecord) -> bool:
    return record.state is RequestState.ACCEPTED and not record.holder


def _is_held_by(record: RequestRecord, command: AcceptRequest) -> bool:
    holds = record.holder == command.holder and record.taker == command.record
    return holds and record.state is RequestState.ACCEPTED


def _clear_holder(table: RequestTable, record: RequestRecord, now: float) -> None:
    """Clears the holder and sets a deletion time, in case no caller ever asks again."""
    record.holder = MemberName("")
    record.ends_at = now + record.retention
    heapq.heappush(table.endings, (record.ends_at, record.id))


def _end(table: RequestTable, record: RequestRecord, state: RequestState, now: float) -> None:
    record.state = state
    record.ends_at = now + record.retention
    table.open_ids.discard(record.id)
    heapq.heappush(table.endings, (record.ends_at, record.id))
