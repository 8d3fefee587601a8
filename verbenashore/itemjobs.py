"""The replicated state of item jobs: batch jobs whose items are relayed unchanged to a service.

A job is accepted once and whole.  Results are listed in the order of their commits, so each result
has the same position on every replica.
"""

from enum import Enum

import msgspec

from verbenashore.files import Done
from verbenashore.transfer import PAGE_BYTES
from verbenashore.types import ChainId, JobId, WorkspaceId

#: Assumed time in seconds of an item's whole run, before any has completed.
INITIAL_RUN_SECONDS = 5.0
#: Weight of the newest run in the moving averages of run time, events and interruption.
RUN_WEIGHT = 0.1
#: Upper bound on the factor by which pauses for online calls are taken to lengthen a run.
MAX_INTERRUPTION_FACTOR = 2.0
#: The chain of an item without committed events, and of commands of earlier builds.
NO_CHAIN = ChainId("")
#: Lower bound on the expected remaining run time of an item, as a share of a whole run.
MIN_REMAINING_SHARE = 0.1


class Outcome(Enum):
    """How one attempt at an item ended; after IMPOSSIBLE, the item isn't retried."""

    COMPLETED = "completed"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"


class ItemSpec(msgspec.Struct, frozen=True, array_like=True):
    """One item as its job was submitted.

    :param target: the path with its query.
    :param tokens: the sum of the tokens of its prompt and of its longest output.
    """

    id: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    tokens: int


class SubmitItemJob(msgspec.Struct, frozen=True, array_like=True, tag="submit_item_job"):
    """Accepts a job unless its tokens exceed the route's cap; a resent job changes nothing.

    A resent job is refused if its id is used by another workspace.

    :param due_in: seconds in which its results are wanted.
    :param give_up_in: seconds after which its unfinished items fail; 0 means never.
    :param max_attempts: failed attempts after which an item fails.
    :param token_cap: the most tokens of its workspace that may wait on the route, or of all callers
        if the route table has no workspaces; 0 means no limit.
    :param keep_for: seconds for which its results stay readable.
    :param workspace: whose job it is; NO_WORKSPACE if its caller has none, and None if the route
        table had no workspaces.
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
    workspace: WorkspaceId | None = None


class SubmitResult(msgspec.Struct, frozen=True, array_like=True, tag="submit_result"):
    """The reply to :class:`SubmitItemJob`.

    :param accepted_before: true if the job was accepted before.
    :param waiting: the tokens that count for the cap, with those of this job if it was accepted.
    :param conflict: true if another workspace has a job of this id.
    """

    accepted: bool
    accepted_before: bool
    waiting: int
    conflict: bool = False


class RunTiming(msgspec.Struct, frozen=True, array_like=True):
    """The time that some events of an item took.

    :param events: the number of events.
    :param run_seconds: the time that the item ran on servers for them.
    :param paused_seconds: the time between its runs that is attributed to online calls.
    """

    events: int
    run_seconds: float
    paused_seconds: float


class Attempt(msgspec.Struct, frozen=True, array_like=True):
    """One ended attempt at an item.

    :param text: the data of the events that aren't committed yet, joined by newlines.
    :param after: how many of the item's events are committed already.
    :param events: the number of events in ``text``.
    :param timing: the time that the item took under this leader; None if it isn't known.
    :param chain: the chain of runs that produced the events.
    :param base: how many events were committed when that chain began.
    """

    job: JobId
    item: int
    outcome: Outcome
    text: str = ""
    after: int = 0
    events: int = 0
    timing: RunTiming | None = None
    chain: ChainId = NO_CHAIN
    base: int = 0


class RecordAttempts(msgspec.Struct, frozen=True, array_like=True, tag="record_attempts"):
    """Commits the outcomes of attempts."""

    attempts: list[Attempt]


class ProgressPart(msgspec.Struct, frozen=True, array_like=True):
    """The events that an item has produced since its last commit.

    :param after: how many of its events are committed already.
    :param texts: the data of each further event.
    :param last_event: the number of the last of them.
    :param chain: the chain of runs that produced them.
    :param base: how many events were committed when that chain began.
    """

    job: JobId
    item: int
    after: int
    texts: list[str]
    last_event: int
    chain: ChainId = NO_CHAIN
    base: int = 0


class CommitProgress(msgspec.Struct, frozen=True, array_like=True, tag="keep_progress"):
    """Commits the progress of running items, from which another leader can resume them."""

    items: list[ProgressPart]


class EndItemJob(msgspec.Struct, frozen=True, array_like=True, tag="end_item_job"):
    """Ends a job at its caller's request; listed results stay listed, and no more are added.

    :param workspace: whose caller ends it, as in :class:`SubmitItemJob`.
    """

    job: JobId
    workspace: WorkspaceId | None = None


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of one item, as the results of its job list it.

    :param completed: false if the item failed or ran out of time.
    """

    id: str
    completed: bool
    text: str


class ResultsPage(msgspec.Struct, frozen=True, array_like=True, tag="results_page"):
    """Some results of a job, from a position on.

    :param total: the number of the job's items.
    :param next: the position after the last result of the page.
    """

    total: int
    results: list[ItemResult]
    next: int


class ItemState(msgspec.Struct):
    """The state of one item of a job.

    :param failures: how many of its attempts failed.
    :param listed: true once the results of its job contain its result.
    :param text: the data of its committed events, joined by newlines; emptied once it is
        listed or the job has ended.
    :param events: the number of committed events.
    :param last_event: the number of the last committed event.
    :param chain: the chain of runs that produced the last committed events.
    """

    spec: ItemSpec
    failures: int = 0
    listed: bool = False
    text: str = ""
    events: int = 0
    last_event: int | None = None
    chain: ChainId = NO_CHAIN

    def is_extended_by(self, chain: ChainId, base: int) -> bool:
        """Returns whether the runs of a chain went on after the last committed event.

        That is so if they began after it, or if it is their own. Otherwise, the events of another
        chain were committed after these runs had begun.

        :param base: how many events were committed when the chain began.
        """
        return base == self.events or chain in (NO_CHAIN, self.chain)


class ItemJob(msgspec.Struct):
    """One job; its times are ledger times in seconds.

    :param due_at: when its results are wanted.
    :param give_up_at: when its unfinished items fail; infinite if they never do.
    :param keep_until: when it is deleted, unless it is still open.
    :param results: in the order of their commits.
    :param ended: true if it was ended by :class:`EndItemJob`.
    :param workspace: whose job it is, as in :class:`SubmitItemJob`.
    """

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
    workspace: WorkspaceId | None = None

    def is_visible_to(self, workspace: WorkspaceId | None) -> bool:
        """Returns whether callers of a workspace may read and end the job.

        A job without a workspace is visible to all, one with a workspace only to its callers.

        :param workspace: NO_WORKSPACE if the caller has none; None if the route table has no
            workspaces, so that nobody needs a key.
        """
        return workspace is None or not self.workspace or workspace == self.workspace

    def is_resent_by(self, workspace: WorkspaceId | None) -> bool:
        """Returns whether a submission under the job's id is taken for the job sent again.

        Workspaces may have come into force, or gone, since it was first sent.

        :param workspace: of the submission, as in :class:`SubmitItemJob`.
        """
        return workspace is None or self.workspace is None or workspace == self.workspace

    @property
    def open(self) -> bool:
        """True while it has items to run."""
        return not self.ended and len(self.results) < len(self.items)


class TypicalRun(msgspec.Struct):
    """Moving averages of the run of one item, replicated so that a new leader has them, too.

    :param seconds: the time that a whole run takes on servers.
    :param events: the number of events that it produces; 0 before any item completed.
    :param interrupted: the factor by which pauses for online calls lengthen it.
    """

    seconds: float = INITIAL_RUN_SECONDS
    events: float = 0.0
    interrupted: float = 1.0

    def remaining_seconds(self, events: int) -> float:
        """Returns the expected remaining run time of an item that has produced some events."""
        share = 1.0 - events / self.events if self.events else 1.0
        return self.seconds * self.interrupted * max(MIN_REMAINING_SHARE, share)

    def record_run(self, events: int, timing: RunTiming) -> None:
        """Updates the averages with a completed item.

        The times count only if they cover at least half of the item's events.

        :param events: the number of events of its whole output.
        """
        self.events += (RUN_WEIGHT if self.events else 1.0) * (events - self.events)
        if 2 * timing.events < events or not timing.run_seconds:
            return
        self.seconds += RUN_WEIGHT * (timing.run_seconds * events / timing.events - self.seconds)
        factor = min(MAX_INTERRUPTION_FACTOR, 1.0 + timing.paused_seconds / timing.run_seconds)
        self.interrupted += RUN_WEIGHT * (factor - self.interrupted)


class ItemJobTable(msgspec.Struct):
    """All item jobs.

    :param waiting_by_route: tokens of the items without a result, except those of ended jobs.
    :param waiting_by_workspace: those of them that were submitted while workspaces were in force,
        by route and workspace (or NO_WORKSPACE); there is no entry for one without such tokens.
    :param usual: the averages by which remaining run times are estimated.
    """

    job_by_id: dict[JobId, ItemJob] = msgspec.field(default_factory=dict)
    waiting_by_route: dict[str, int] = msgspec.field(default_factory=dict)
    usual: TypicalRun = msgspec.field(default_factory=TypicalRun)
    waiting_by_workspace: dict[str, dict[WorkspaceId, int]] = msgspec.field(default_factory=dict)

    def waiting_tokens(self, route: str, workspace: WorkspaceId | None) -> int:
        """Returns the waiting tokens that count for the cap of a route.

        :param workspace: whose tokens count, NO_WORKSPACE for callers without one; None if those
            of all callers count.
        """
        if workspace is not None:
            return self.waiting_by_workspace.get(route, {}).get(workspace, 0)
        return self.waiting_by_route.get(route, 0)

    def add_tokens(self, route: str, workspace: WorkspaceId | None, tokens: int) -> None:
        """Adds some tokens to those that wait, or removes some if the number is negative."""
        self.waiting_by_route[route] = self.waiting_by_route.get(route, 0) + tokens
        if workspace is None:
            return
        waiting = self.waiting_by_workspace.setdefault(route, {})
        waiting[workspace] = waiting.get(workspace, 0) + tokens
        if not waiting[workspace]:
            del waiting[workspace]
            if not waiting:
                del self.waiting_by_workspace[route]


def submit_job(table: ItemJobTable, command: SubmitItemJob, now: float) -> SubmitResult:
    """Accepts a job once; a resent job is reported as accepted and isn't run twice."""
    waiting = table.waiting_tokens(command.route, command.workspace)
    known = table.job_by_id.get(command.job)
    if known is not None:
        is_resent = known.is_resent_by(command.workspace)
        return SubmitResult(is_resent, is_resent, waiting, conflict=not is_resent)
    tokens = sum(item.tokens for item in command.items)
    if command.token_cap and waiting + tokens > command.token_cap:
        return SubmitResult(False, False, waiting)
    table.job_by_id[command.job] = ItemJob(
        command.job,
        command.route,
        command.host,
        now,
        now + command.due_in,
        now + command.give_up_in if command.give_up_in else float("inf"),
        now + command.keep_for,
        command.max_attempts,
        [ItemState(spec) for spec in command.items],
        workspace=command.workspace,
    )
    table.add_tokens(command.route, command.workspace, tokens)
    return SubmitResult(True, False, waiting + tokens)


def record_attempts(table: ItemJobTable, command: RecordAttempts) -> Done:
    """Adds the results of items that completed or failed for good; counts failed attempts.

    An output is ignored unless it starts right after the item's committed events and its runs went
    on after those (:meth:`ItemState.is_extended_by`).  So is the outcome of an attempt that
    outlasted its job: the end of a job drops what was committed of its items, which the attempt may
    have continued.
    """
    for attempt in command.attempts:
        job = table.job_by_id.get(attempt.job)
        if job is None or job.ended or job.items[attempt.item].listed:
            continue
        item = job.items[attempt.item]
        if attempt.outcome is Outcome.COMPLETED:
            is_next = attempt.after == item.events
            if is_next and item.is_extended_by(attempt.chain, attempt.base):
                _add_result(
                    table, job, item, True, _joined_text(item, attempt.text, attempt.events)
                )
                if attempt.timing is not None:
                    table.usual.record_run(attempt.after + attempt.events, attempt.timing)
            continue
        item.failures += 1
        if attempt.outcome is Outcome.IMPOSSIBLE or item.failures >= job.max_attempts:
            _add_result(table, job, item, False, "")
    return Done()


def commit_progress(table: ItemJobTable, command: CommitProgress) -> Done:
    """Stores the progress of items of open jobs.

    A part is ignored in the same cases as an output by :func:`record_attempts`.
    """
    for part in command.items:
        job = table.job_by_id.get(part.job)
        if job is None or not job.open:
            continue
        item = job.items[part.item]
        is_next = part.after == item.events and item.is_extended_by(part.chain, part.base)
        if is_next and not item.listed:
            item.text = _joined_text(item, "\n".join(part.texts), len(part.texts))
            item.events += len(part.texts)
            item.last_event = part.last_event
            item.chain = part.chain
    return Done()


def end_job(table: ItemJobTable, command: EndItemJob) -> Done:
    """Ends a job and drops the progress of its items.

    Reports false if there is no such job, or none that the workspace may end.
    """
    job = table.job_by_id.get(command.job)
    if job is None or not job.is_visible_to(command.workspace):
        return Done(False)
    if not job.ended:
        job.ended = True
        waiting = sum(item.spec.tokens for item in job.items if not item.listed)
        table.add_tokens(job.route, job.workspace, -waiting)
        for item in job.items:
            item.text, item.events, item.last_event, item.chain = "", 0, None, NO_CHAIN
    return Done()


def expire(table: ItemJobTable, now: float) -> None:
    """Fails the unfinished items of jobs past ``give_up_at``, and deletes old jobs.

    A job is deleted when it is past ``keep_until`` and no longer open.
    """
    for job in list(table.job_by_id.values()):
        if job.open and now >= job.give_up_at:
            for item in job.items:
                if not item.listed:
                    _add_result(table, job, item, False, "")
        if not job.open and now >= job.keep_until:
            del table.job_by_id[job.id]


def has_expired(table: ItemJobTable, now: float) -> bool:
    """Returns whether :func:`expire` would change something."""
    return any(
        now >= (job.give_up_at if job.open else job.keep_until) for job in table.job_by_id.values()
    )


def results_page(job: ItemJob, first: int) -> ResultsPage:
    """Returns the results from a position on, as many as fit a page; at least one, if any."""
    size = 0
    results: list[ItemResult] = []
    for result in job.results[first:]:
        size += len(result.text.encode())
        if results and size > PAGE_BYTES:
            break
        results.append(result)
    return ResultsPage(len(job.items), results, first + len(results))


def item_body(job: ItemJob, item_id: str) -> bytes | None:
    """Returns the body of an item, or None if the job was ended or has no such item."""
    if job.ended:
        return None
    return next((item.spec.body for item in job.items if item.spec.id == item_id), None)


def _joined_text(item: ItemState, text: str, events: int) -> str:
    """Returns the committed text of an item, extended by the text of further events."""
    if not item.events:
        return text
    return f"{item.text}\n{text}" if events else item.text


def _add_result(
    table: ItemJobTable, job: ItemJob, item: ItemState, completed: bool, text: str
) -> None:
    item.listed = True
    item.text = ""
    job.results.append(ItemResult(item.spec.id, completed, text))
    table.add_tokens(job.route, job.workspace, -item.spec.tokens)
