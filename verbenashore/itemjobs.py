"""Batch jobs whose items are relayed to a service as they came: the replicated state.

A job is accepted once and whole.  Its results get their positions in the order in which they are
committed, so every replica lists the same.
"""

from enum import Enum

import msgspec

from verbenashore.files import Done
from verbenashore.transfer import PAGE_BYTES
from verbenashore.types import JobId

#: Assumed seconds of an item's whole run before any has ended, and the newest one's weight.
FIRST_RUN_SECONDS = 5.0
RUN_WEIGHT = 0.1
#: How many times longer a run may be taken to last beside online calls than alone.
MOST_INTERRUPTED = 2.0
#: Share of a whole run that an item counts as having left at least, whatever it has produced.
LEAST_LEFT = 0.1


class Outcome(Enum):
    """How one attempt at an item ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"


class ItemSpec(msgspec.Struct, frozen=True, array_like=True):
    """One item as its job brought it.

    :param tokens: of its prompt and its longest output.
    """

    id: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    tokens: int


class SubmitItemJob(msgspec.Struct, frozen=True, array_like=True, tag="submit_item_job"):
    """Accepts a job, unless its tokens don't fit or it is known.

    :param due_in: seconds in which its results are wanted.
    :param give_up_in: seconds after which its items are given up; 0 means never.
    :param max_attempts: failures after which an item is given up.
    :param token_cap: tokens that may wait on the route; 0 means no limit.
    :param keep_for: seconds for which its results stay readable.
    """

    job: JobId
    route: str
    host: str
    items: list[ItemSpec]
    due_in: float
    give_up_in: float
    max_attempts: int
    token_cap: int
    keep_for: float


class SubmitResult(msgspec.Struct, frozen=True, array_like=True, tag="submit_result"):
    """Answers :class:`SubmitItemJob`.

    :param waiting: tokens that wait on the route.
    """

    accepted: bool
    known: bool
    waiting: int


class RunTiming(msgspec.Struct, frozen=True, array_like=True):
    """What some events of an item took.

    :param events: how many.
    :param ran: seconds that the item timing at servers for them.
    :param paused: seconds in between, for online calls.
    """

    events: int
    run_seconds: float
    paused_seconds: float


class Attempt(msgspec.Struct, frozen=True, array_like=True):
    """One ended attempt at an item.

    :param text: the events' data after those that are kept already, a line each.
    :param after: how many events are kept already.
    :param events: how many there are in ``text``.
    :param timing: what the item took under this leader; None if it isn't known.
    """

    job: JobId
    item: int
    outcome: Outcome
    text: str = ""
    after: int = 0
    events: int = 0
    timing: RunTiming | None = None


class RecordAttempts(msgspec.Struct, frozen=True, array_like=True, tag="record_attempts"):
    """Commits how attempts ended."""

    attempts: list[Attempt]


class ProgressPart(msgspec.Struct, frozen=True, array_like=True):
    """What an item's run has produced since the last commit.

    :param after: how many of its events are kept already.
    :param texts: the data of each further event.
    :param last_event: the number of the last one.
    """

    job: JobId
    item: int
    after: int
    texts: list[str]
    last_event: int


class KeepProgress(msgspec.Struct, frozen=True, array_like=True, tag="keep_progress"):
    """Commits how far running items are, so that another leader goes on from there."""

    items: list[ProgressPart]


class EndItemJob(msgspec.Struct, frozen=True, array_like=True, tag="end_item_job"):
    """Stops a job at its owner's wish; what is listed stays listed."""

    job: JobId


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """One listed result.

    :param completed: false if the item was given up.
    """

    id: str
    completed: bool
    text: str


class ResultsPage(msgspec.Struct, frozen=True, array_like=True, tag="results_page"):
    """Some results of a job, from a position on."""

    total: int
    results: list[ItemResult]
    next: int


class ItemState(msgspec.Struct):
    """One item.

    :param failures: attempts that the backend servers failed.
    :param text: the data of the first events of its output, a line each.
    :param events: how many those are.
    :param last_event: the number of the last of them.
    """

    spec: ItemSpec
    failures: int = 0
    listed: bool = False
    text: str = ""
    events: int = 0
    last_event: int | None = None


class ItemJob(msgspec.Struct):
    """One job; its times are ledger times in seconds."""

    id: JobId
    route: str
    host: str
    submitted_at: float
    due_at: float
    give_up_at: float
    keep_until: float
    max_attempts: int
    items: list[ItemState]
    results: list[ItemResult] = msgspec.field(default_factory=list)
    ended: bool = False

    @property
    def open(self) -> bool:
        """True while items of it are to be run."""
        return not self.ended and len(self.results) < len(self.items)


class TypicalRun(msgspec.Struct):
    """What a whole run usually is, which a new leader must know, too.

    :param seconds: what it takes at servers.
    :param events: how many it produces; 0 while unknown.
    :param interrupted: how many times longer it lasts beside online calls than alone.
    """

    seconds: float = FIRST_RUN_SECONDS
    events: float = 0.0
    interrupted: float = 1.0

    def remaining_seconds(self, events: int) -> float:
        """Returns the seconds that an item still takes which has produced some events."""
        share = 1.0 - events / self.events if self.events else 1.0
        return self.seconds * self.interrupted * max(LEAST_LEFT, share)

    def record_run(self, events: int, timing: RunTiming) -> None:
        """Takes in an item that is done.

        :param events: of its whole output.
        """
        self.events += (RUN_WEIGHT if self.events else 1.0) * (events - self.events)
        if 2 * timing.events < events or not timing.run_seconds:
            return
        self.seconds += RUN_WEIGHT * (timing.run_seconds * events / timing.events - self.seconds)
        interrupted = min(MOST_INTERRUPTED, 1.0 + timing.paused_seconds / timing.run_seconds)
        self.interrupted += RUN_WEIGHT * (interrupted - self.interrupted)


class ItemJobBook(msgspec.Struct):
    """All jobs.

    :param waiting_by_route: tokens of the items that are neither listed nor of an ended job.
    """

    job_by_id: dict[JobId, ItemJob] = msgspec.field(default_factory=dict)
    waiting_by_route: dict[str, int] = msgspec.field(default_factory=dict)
    usual: TypicalRun = msgspec.field(default_factory=TypicalRun)


def submit(book: ItemJobBook, command: SubmitItemJob, now: float) -> SubmitResult:
    """Accepts a job once; a resent one is accepted again without a second run."""
    waiting = book.waiting_by_route.get(command.route, 0)
    if command.job in book.job_by_id:
        return SubmitResult(True, True, waiting)
    tokens = sum(item.tokens for item in command.items)
    if command.token_cap and waiting + tokens > command.token_cap:
        return SubmitResult(False, False, waiting)
    book.job_by_id[command.job] = ItemJob(
        command.job,
        command.route,
        command.host,
        now,
        now + command.due_in,
        now + command.give_up_in if command.give_up_in else float("inf"),
        now + command.keep_for,
        command.max_attempts,
        [ItemState(spec) for spec in command.items],
    )
    book.waiting_by_route[command.route] = waiting + tokens
    return SubmitResult(True, False, waiting + tokens)


def record(book: ItemJobBook, command: RecordAttempts) -> Done:
    """Lists the items that ended, and counts the failures of the others."""
    for attempt in command.attempts:
        job = book.job_by_id.get(attempt.job)
        if job is None or job.items[attempt.item].listed:
            continue
        item = job.items[attempt.item]
        if attempt.outcome is Outcome.COMPLETED:
            if attempt.after == item.events:
                _list(book, job, item, True, _joined(item, attempt.text, attempt.events))
                if attempt.timing is not None:
                    book.usual.record_run(attempt.after + attempt.events, attempt.timing)
            continue
        item.failures += 1
        if attempt.outcome is Outcome.IMPOSSIBLE or item.failures >= job.max_attempts:
            _list(book, job, item, False, "")
    return Done()


def keep(book: ItemJobBook, command: KeepProgress) -> Done:
    """Keeps what open items have produced; a part that doesn't follow what is kept is ignored."""
    for part in command.items:
        job = book.job_by_id.get(part.job)
        if job is None or not job.open:
            continue
        item = job.items[part.item]
        if not item.listed and part.after == item.events:
            item.text = _joined(item, "\n".join(part.texts), len(part.texts))
            item.events += len(part.texts)
            item.last_event = part.last_event
    return Done()


def end(book: ItemJobBook, command: EndItemJob) -> Done:
    """Stops a job; false if there is none."""
    job = book.job_by_id.get(command.job)
    if job is None:
        return Done(False)
    if not job.ended:
        job.ended = True
        left = sum(item.spec.tokens for item in job.items if not item.listed)
        _release(book, job.route, left)
        for item in job.items:
            item.text, item.events, item.last_event = "", 0, None
    return Done()


def expire(book: ItemJobBook, now: float) -> None:
    """Gives up the items whose time is over, and forgets old jobs."""
    for job in list(book.job_by_id.values()):
        if job.open and now >= job.give_up_at:
            for item in job.items:
                if not item.listed:
                    _list(book, job, item, False, "")
        if not job.open and now >= job.keep_until:
            del book.job_by_id[job.id]


def has_expired(book: ItemJobBook, now: float) -> bool:
    """Tells whether :func:`expire` would change something."""
    return any(
        now >= (job.give_up_at if job.open else job.keep_until) for job in book.job_by_id.values()
    )


def page(job: ItemJob, first: int) -> ResultsPage:
    """Returns the results from a position on, as many as fit into a page."""
    size = 0
    taken: list[ItemResult] = []
    for result in job.results[first:]:
        size += len(result.text.encode())
        if taken and size > PAGE_BYTES:
            break
        taken.append(result)
    return ResultsPage(len(job.items), taken, first + len(taken))


def body_of(job: ItemJob, item_id: str) -> bytes | None:
    """Returns the body of an item, or None if the job is ended or has no such item."""
    if job.ended:
        return None
    return next((item.spec.body for item in job.items if item.spec.id == item_id), None)


def _joined(item: ItemState, text: str, events: int) -> str:
    """Returns the text that is kept of an item with some more events."""
    if not item.events:
        return text
    return f"{item.text}\n{text}" if events else item.text


def _list(book: ItemJobBook, job: ItemJob, item: ItemState, completed: bool, text: str) -> None:
    item.listed = True
    item.text = ""
    job.results.append(ItemResult(item.spec.id, completed, text))
    if not job.ended:
        _release(book, job.route, item.spec.tokens)


def _release(book: ItemJobBook, route: str, tokens: int) -> None:
    book.waiting_by_route[route] = book.waiting_by_route.get(route, 0) - tokens
