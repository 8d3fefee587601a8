"""The kept order of items: how often it is sorted, and what callers of it see meanwhile."""

import pytest

from tests.test_jobrunner import full_run_seconds, make_job
from verbenashore.itemorder import KEPT_FACTOR, MIN_KEPT_SECONDS, ItemOrder, items_by_urgency

LOOKS_A_SECOND = 50


def look(order, jobs, now):
    """Returns the keys that a scheduling pass sees."""
    return order.keys(jobs, now, now, full_run_seconds)


@pytest.mark.parametrize("sort_seconds", [0.0, 0.1])
def test_items_are_not_sorted_at_each_look_however_long_a_sort_takes(sort_seconds):
    """Guards against a leader whose scheduling passes sort all waiting items 50 times a second."""
    times = [0.0]

    def timer():
        times[0] += sort_seconds
        return times[0]

    order = ItemOrder(timer)
    jobs = {job.id: job for job in (make_job(number, 0.0) for number in range(20))}
    for step in range(10 * LOOKS_A_SECOND):
        assert len(look(order, jobs, step / LOOKS_A_SECOND)) == 200
    longest = 10.0 / MIN_KEPT_SECONDS if not sort_seconds else 10.0 / (KEPT_FACTOR * sort_seconds)
    assert order.sorts <= longest + 2


def test_a_new_job_is_seen_at_the_next_look():
    order = ItemOrder()
    jobs = {job.id: job for job in [make_job(1, 5.0)]}
    look(order, jobs, 5.0)
    urgent = make_job(2, 0.0)
    jobs[urgent.id] = urgent
    assert look(order, jobs, 5.02)[0][0] == urgent.id


def test_an_item_that_became_late_goes_behind_the_others_at_the_next_sort():
    order = ItemOrder()
    first, second = make_job(1, 0.0, items=1), make_job(2, 1.0, items=1)
    jobs = {first.id: first, second.id: second}
    at = first.due_at - full_run_seconds("", 0)
    assert look(order, jobs, at - 0.01)[0][0] == first.id
    later = at + MIN_KEPT_SECONDS + 1.0
    assert look(order, jobs, later) == items_by_urgency(jobs.values(), later, full_run_seconds)
