"""Admission control of an agent: which units of work start, and when."""

import itertools

from verbenashore import admission
from verbenashore.admission import AdmissionState, WorkUnit
from verbenashore.deployment import BatchPolicy, OnlinePolicy
from verbenashore.types import WorkClass

unit_numbers = itertools.count()


def new_state(slots=4, **options):
    """Returns an admission state that queues nothing inside the engine, so only slots count."""
    return AdmissionState(slots, OnlinePolicy(long_tokens=100), BatchPolicy(ahead=0), **options)


def new_unit(work_class=WorkClass.ONLINE, *, size=10, workspace="w", arrived=0.0, due=100.0):
    """Returns a unit of work."""
    return WorkUnit(f"p{next(unit_numbers)}", workspace, work_class, size, arrived, due)


def new_batch_unit(**options):
    """Returns a unit of batch work."""
    return new_unit(WorkClass.BATCH, **options)


def enqueue_and_start(state, *units, now=0.0):
    """Enqueues units and returns those that start, with any that were enqueued before."""
    for unit in units:
        assert admission.try_enqueue(state, unit, now)
    return admission.start_next(state, now)


def test_online_work_starts_before_earlier_batch_work():
    state = new_state(slots=1)
    late, early = new_unit(), new_batch_unit()
    assert enqueue_and_start(state, early, late) == [late]


def test_batch_work_fills_idle_slots():
    state = new_state()
    assert len(enqueue_and_start(state, *(new_batch_unit() for _ in range(6)))) == 4


def test_only_as_many_batch_units_are_preempted_as_online_work_needs():
    state = new_state()
    enqueue_and_start(state, *(new_batch_unit() for _ in range(4)))
    assert admission.choose_preempted(state, 0.0) == []
    assert enqueue_and_start(state, new_unit(), new_unit()) == []
    assert len(admission.choose_preempted(state, 0.0)) == 2


def test_the_batch_unit_with_the_fewest_tokens_is_preempted():
    state = new_state(slots=2)
    first, second = enqueue_and_start(state, new_batch_unit(), new_batch_unit())
    admission.record_tokens(state, first.id, 5, 1.0)
    enqueue_and_start(state, new_unit(), now=1.0)
    assert admission.choose_preempted(state, 1.0) == [second.id]


def test_long_units_leave_slots_for_short_ones():
    state = new_state()
    started = enqueue_and_start(state, *(new_unit(size=500) for _ in range(6)))
    assert len(started) == 2
    assert len(enqueue_and_start(state, new_unit(), new_unit())) == 2


def test_a_short_unit_starts_before_an_earlier_long_one():
    state = new_state(slots=1)
    enqueue_and_start(state, new_unit())
    long, short = new_unit(size=90), new_unit(size=5)
    enqueue_and_start(state, long, short)
    admission.record_end(state, next(iter(state.running_by_id)), 0.1)
    assert admission.start_next(state, 0.1) == [short]


def test_a_long_unit_that_has_waited_does_not_starve():
    state = new_state(slots=1)
    enqueue_and_start(state, new_unit())
    long = new_unit(size=90, arrived=0.0)
    enqueue_and_start(state, long, new_unit(size=5, arrived=60.0))
    admission.record_end(state, next(iter(state.running_by_id)), 60.0)
    assert admission.start_next(state, 60.0) == [long]


def test_one_workspace_leaves_slots_for_another_active_one():
    state = new_state(slots=8)
    quiet = new_unit(workspace="quiet")
    enqueue_and_start(state, quiet)
    admission.record_end(state, quiet.id, 0.5)
    started = enqueue_and_start(
        state, *(new_unit(workspace="flood", due=1e9) for _ in range(20)), now=1.0
    )
    assert len(started) == 6
    assert len(enqueue_and_start(state, new_unit(workspace="quiet"), now=1.0)) == 1


def test_the_only_active_workspace_gets_every_slot():
    state = new_state(slots=8)
    assert len(enqueue_and_start(state, *(new_unit(due=1e9) for _ in range(20)))) == 8


def test_work_that_would_start_too_late_is_refused():
    state = new_state(slots=1)
    (running,) = enqueue_and_start(state, new_unit())
    admission.record_end(state, running.id, 10.0)
    enqueue_and_start(state, new_unit(), now=10.0)
    assert not admission.try_enqueue(state, new_unit(due=12.0), 10.0)
    assert admission.try_enqueue(state, new_unit(due=30.0), 10.0)


def test_overdue_work_is_removed_from_the_queue():
    state = new_state(slots=1)
    enqueue_and_start(state, new_unit())
    late = new_unit(due=2.0)
    enqueue_and_start(state, late)
    assert admission.remove_overdue(state, 3.0) == [late]
    assert not state.waiting


def test_only_a_waiting_unit_can_be_withdrawn():
    state = new_state(slots=1)
    (running,) = enqueue_and_start(state, new_unit())
    waiting = new_unit()
    enqueue_and_start(state, waiting)
    assert admission.withdraw(state, waiting.id)
    assert not admission.withdraw(state, running.id)


def test_long_token_intervals_of_online_work_shrink_the_batch_window():
    state = new_state(slots=8)
    (online,) = enqueue_and_start(state, new_unit())
    state.batch_window = 8.0
    for step in range(1, 30):
        admission.record_tokens(state, online.id, 1, step * 0.2)
    assert state.batch_window < 2.0


def test_a_slow_start_is_not_taken_for_the_typical_interval():
    state = new_state()
    (online,) = enqueue_and_start(state, new_unit())
    now = 0.0
    for interval in (0.3, 0.3, *(0.04 for _ in range(30)), 0.32):
        now += interval
        admission.record_tokens(state, online.id, 1, now)
    assert admission.slowness(state, now) > 2.0


def test_the_baseline_policy_is_first_come_first_served():
    state = new_state(slots=2, fifo=True)
    first, second = new_batch_unit(), new_unit()
    assert enqueue_and_start(state, first, second) == [first, second]
