"""What an agent gives its engine, and when."""

import itertools

from verbenashore import admission
from verbenashore.admission import Admission, Piece
from verbenashore.deployment import BatchPolicy, OnlinePolicy
from verbenashore.types import WorkClass

numbers = itertools.count()


def state(slots=4, **options):
    """Returns an admission without slots kept ahead, so that counts are plain."""
    return Admission(slots, OnlinePolicy(long_tokens=100), BatchPolicy(ahead=0), **options)


def piece(work_class=WorkClass.ONLINE, *, size=10, workspace="w", arrived=0.0, due=100.0):
    """Returns a piece of work."""
    return Piece(f"p{next(numbers)}", workspace, work_class, size, arrived, due)


def batch(**options):
    """Returns a batch piece."""
    return piece(WorkClass.BATCH, **options)


def offered(known, *pieces, now=0.0):
    """Offers pieces and returns what starts."""
    for one in pieces:
        assert admission.offer(known, one, now)
    return admission.start_next(known, now)


def test_online_work_starts_before_batch_work_that_came_first():
    known = state(slots=1)
    late, early = piece(), batch()
    assert offered(known, early, late) == [late]


def test_batch_work_fills_what_is_idle():
    known = state()
    assert len(offered(known, *(batch() for _ in range(6)))) == 4


def test_batch_work_yields_the_slots_that_online_work_needs_and_no_more():
    known = state()
    offered(known, *(batch() for _ in range(4)))
    assert admission.yielding(known, 0.0) == []
    assert offered(known, piece(), piece()) == []
    assert len(admission.yielding(known, 0.0)) == 2


def test_the_batch_piece_with_the_least_done_yields():
    known = state(slots=2)
    first, second = offered(known, batch(), batch())
    admission.note_tokens(known, first.id, 5, 1.0)
    offered(known, piece(), now=1.0)
    assert admission.yielding(known, 1.0) == [second.id]


def test_long_pieces_leave_slots_for_short_ones():
    known = state()
    started = offered(known, *(piece(size=500) for _ in range(6)))
    assert len(started) == 2
    assert len(offered(known, piece(), piece())) == 2


def test_a_short_piece_passes_a_long_one_that_came_first():
    known = state(slots=1)
    offered(known, piece())
    long, short = piece(size=90), piece(size=5)
    offered(known, long, short)
    admission.note_end(known, next(iter(known.running_by_id)), 0.1)
    assert admission.start_next(known, 0.1) == [short]


def test_a_piece_that_has_waited_long_starves_no_more():
    known = state(slots=1)
    offered(known, piece())
    long = piece(size=90, arrived=0.0)
    offered(known, long, piece(size=5, arrived=60.0))
    admission.note_end(known, next(iter(known.running_by_id)), 60.0)
    assert admission.start_next(known, 60.0) == [long]


def test_one_workspace_leaves_room_for_another_that_was_here():
    known = state(slots=8)
    quiet = piece(workspace="quiet")
    offered(known, quiet)
    admission.note_end(known, quiet.id, 0.5)
    started = offered(known, *(piece(workspace="flood", due=1e9) for _ in range(20)), now=1.0)
    assert len(started) == 6
    assert len(offered(known, piece(workspace="quiet"), now=1.0)) == 1


def test_one_workspace_alone_gets_every_slot():
    known = state(slots=8)
    assert len(offered(known, *(piece(due=1e9) for _ in range(20)))) == 8


def test_work_that_cannot_be_in_time_is_refused_at_once():
    known = state(slots=1)
    (running,) = offered(known, piece())
    admission.note_end(known, running.id, 10.0)
    offered(known, piece(), now=10.0)
    assert not admission.offer(known, piece(due=12.0), 10.0)
    assert admission.offer(known, piece(due=30.0), 10.0)


def test_work_that_has_waited_too_long_is_taken_out_unrun():
    known = state(slots=1)
    offered(known, piece())
    late = piece(due=2.0)
    offered(known, late)
    assert admission.overdue(known, 3.0) == [late]
    assert not known.waiting


def test_a_withdrawn_piece_was_not_run():
    known = state(slots=1)
    (running,) = offered(known, piece())
    waiting = piece()
    offered(known, waiting)
    assert admission.withdraw(known, waiting.id)
    assert not admission.withdraw(known, running.id)


def test_a_slow_pace_of_online_work_narrows_the_batch_window():
    known = state(slots=8)
    (online,) = offered(known, piece())
    known.window = 8.0
    for step in range(1, 30):
        admission.note_tokens(known, online.id, 1, step * 0.2)
    assert known.window < 2.0


def test_a_slow_start_does_not_pass_for_the_usual_pace():
    known = state()
    (online,) = offered(known, piece())
    now = 0.0
    for interval in (0.3, 0.3, *(0.04 for _ in range(30)), 0.32):
        now += interval
        admission.note_tokens(known, online.id, 1, now)
    assert admission.slowness(known, now) > 2.0


def test_the_baseline_takes_work_in_order():
    known = state(slots=2, classless=True)
    first, second = batch(), piece()
    assert offered(known, first, second) == [first, second]
