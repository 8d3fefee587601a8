"""The order in which the items of jobs run.

It is made for jobs of about ten items, due in 18 s, of 72 workspaces, of which one may have
thousands of items waiting.
"""

import time
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from verbenashore.itemjobs import ItemJob
from verbenashore.types import JobId

ItemKey = tuple[JobId, int]

#: Shortest time in seconds for which an order is kept while no job is added or removed.
MIN_KEPT_SECONDS = 0.2
#: Least time for which an order is kept, as a multiple of the time that it took to make.
KEPT_FACTOR = 20.0
#: Items of a workspace that run before the next workspace has its turn: one usual job, so that the
#: jobs of workspaces with few items run in the order of their due times.
TURN_ITEMS = 16


class Urgency(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Sort key of items; the lowest runs first.

    Under overload, ordering by due time alone would make every item a little late.  Items that are
    expected to end late therefore run after all others.
    """

    is_late: bool
    due_at: float
    key: ItemKey


def items_by_urgency(
    jobs: Iterable[ItemJob], now: float, remaining_seconds: Callable[[JobId, int], float]
) -> list[ItemKey]:
    """Returns the items that have no result yet, in the order in which to run them.

    Items of jobs that have ended are left out.  If several workspaces have items, they take turns
    of ``TURN_ITEMS``; running items count, so that a workspace whose turn runs waits for others.

    :param now: ledger time in seconds.
    :param remaining_seconds: returns the expected remaining run time of an item.
    """
    jobs = list(jobs)
    workspace_by_job = {job.id: job.workspace or "" for job in jobs if job.open}
    urgencies = sorted(
        urgency_of(job, index, now, remaining_seconds)
        for job in jobs
        if job.open
        for index, item in enumerate(job.items)
        if not item.listed
    )
    if len(set(workspace_by_job.values())) <= 1:
        return [urgency.key for urgency in urgencies]
    number_by_group: Counter[tuple[bool, str]] = Counter()
    in_turns = []
    for place, urgency in enumerate(urgencies):
        group = (urgency.is_late, workspace_by_job[urgency.key[0]])
        turn = number_by_group[group] // TURN_ITEMS
        number_by_group[group] += 1
        in_turns.append((urgency.is_late, turn, place, urgency.key))
    return [key for *_, key in sorted(in_turns)]


def urgency_of(
    job: ItemJob, index: int, now: float, remaining_seconds: Callable[[JobId, int], float]
) -> Urgency:
    """Returns the sort key of an item."""
    return Urgency(now + remaining_seconds(job.id, index) > job.due_at, job.due_at, (job.id, index))


class ItemOrder:
    """The items in the order in which to run them, kept from one scheduling pass to the next.

    Between two sorts, items may get a result or become late; callers pass over the former, and the
    latter only go a little too early.  So thousands of waiting items are not sorted fifty times a
    second, and sorting takes a bounded share of the time however many there are.

    :param timer: returns the time that sorting is measured with.
    """

    def __init__(self, timer: Callable[[], float] = time.monotonic) -> None:
        self._timer = timer
        self._keys: list[ItemKey] = []
        self._sorted_jobs: tuple[int, JobId | None] = (0, None)
        self._keep_until = float("-inf")
        self.sorts = 0

    def keys(
        self,
        jobs: dict[JobId, ItemJob],
        now: float,
        ledger_time: float,
        remaining_seconds: Callable[[JobId, int], float],
    ) -> list[ItemKey]:
        """Returns the items that had no result when they were last sorted.

        :param now: the time on the process's clock.
        :param ledger_time: the time in which the due times of the jobs are given.
        :param remaining_seconds: returns the expected remaining run time of an item.
        """
        current_jobs = (len(jobs), next(reversed(jobs), None))
        if now >= self._keep_until or current_jobs != self._sorted_jobs:
            started = self._timer()
            self._keys = items_by_urgency(jobs.values(), ledger_time, remaining_seconds)
            self._sorted_jobs = current_jobs
            self._keep_until = now + max(MIN_KEPT_SECONDS, KEPT_FACTOR * (self._timer() - started))
            self.sorts += 1
        return self._keys
