"""The order in which the items of jobs run."""

import time
from collections.abc import Callable, Iterable

import msgspec

from verbenashore.itemjobs import ItemJob
from verbenashore.types import JobId

ItemKey = tuple[JobId, int]

#: Shortest time in seconds for which an order is kept while no job is added or removed.
MIN_KEPT_SECONDS = 0.2
#: Least time for which an order is kept, as a multiple of the time that it took to make.
KEPT_FACTOR = 20.0


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

    Items of jobs that have ended are left out.

    :param now: ledger time in seconds.
    :param remaining_seconds: returns the expected remaining run time of an item.
    """
    return [
        urgency.key
        for urgency in sorted(
            urgency_of(job, index, now, remaining_seconds)
            for job in jobs
            if job.open
            for index, item in enumerate(job.items)
            if not item.listed
        )
    ]


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
