"""In which order the items of jobs run, played as loads without a network."""

import pytest

from verbenashore.itemjobs import ItemJob, ItemSpec, ItemState
from verbenashore.jobrunner import in_order

RUN_SECONDS = 5.0
OBJECTIVE = 18.0


def job(number, at, items=10):
    """Returns a job that came at some time."""
    states = [ItemState(ItemSpec(f"{number}-{n}", "/b/x", [], b"", 1)) for n in range(items)]
    due = at + OBJECTIVE
    return ItemJob(f"job-{number:03d}", "r", "h", at, due, float("inf"), at + 60.0, 3, states)


def by_due_time(jobs, _now, _run_seconds):
    """The former order."""
    return sorted((job for job in jobs if job.open), key=lambda job: (job.due_at, job.id))


def play(order, arrivals, slots):
    """Plays jobs on some slots; returns how many items were done in time, and in all."""
    jobs = [job(number, at) for number, at in enumerate(arrivals)]
    ends = [0.0] * slots
    on_time = done = 0
    while True:
        now = min(ends)
        come = [j for j in jobs if j.submitted_at <= now]
        open_jobs = order(come, now, RUN_SECONDS)
        if not open_jobs:
            later = [j.submitted_at for j in jobs if j.submitted_at > now]
            if not later:
                return on_time, done
            ends = [max(end, min(later)) for end in ends]
            continue
        chosen = open_jobs[0]
        item = next(item for item in chosen.items if not item.listed)
        item.listed = True
        chosen.results.append(item)
        end = now + RUN_SECONDS
        ends[ends.index(now)] = end
        done += 1
        on_time += end <= chosen.due_at


def test_jobs_that_can_be_done_in_time_go_by_due_time():
    jobs = [job(0, 2.0), job(1, 0.0), job(2, 1.0)]
    assert [j.id for j in in_order(jobs, 3.0, RUN_SECONDS)] == ["job-001", "job-002", "job-000"]


def test_a_job_that_is_late_anyway_waits_for_those_that_are_not():
    late, fresh = job(0, 0.0), job(1, 15.0)
    assert in_order([late, fresh], OBJECTIVE - 1.0, RUN_SECONDS) == [fresh, late]


@pytest.mark.parametrize("gap", [0.3, 0.4, 0.5])
def test_a_burst_of_jobs_makes_only_what_is_over_capacity_late(gap):
    """40 slots carry 8 items/s; for 20 s there come 20 to 33, then as many as can be carried."""
    arrivals = [n * gap for n in range(round(20 / gap))] + [20 + n * 1.25 for n in range(24)]
    before, all_before = play(by_due_time, arrivals, slots=40)
    after, all_after = play(in_order, arrivals, slots=40)
    assert all_before == all_after == 10 * len(arrivals)
    possible = 8 * (max(arrivals) + OBJECTIVE)
    assert after >= 0.9 * possible, "the target for batch work is 0.90 of what can be done"
    assert after > before
