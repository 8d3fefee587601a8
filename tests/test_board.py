"""The load board: whole reports replace each other; a silent member counts for a while."""

from verbenashore.board import REPORT_SECONDS, Load, LoadBoard, Report


def report(number, load, incarnation="a"):
    """Returns a report of one other member."""
    return Report("other", incarnation, number, {"s": load})


def test_own_and_other_calls_add_up():
    board = LoadBoard()
    board.add("s", online=1)
    board.add("s", batch=2)
    board.take(report(1, Load(3, 4)), 0.0)
    assert board.total("s") == Load(4, 6)
    board.add("s", online=-1)
    board.add("s", batch=-2)
    assert board.own == {}


def test_an_older_report_is_ignored_but_a_new_start_counts():
    board = LoadBoard()
    assert board.take(report(5, Load(3)), 0.0)
    assert not board.take(report(4, Load(9)), 0.1)
    assert board.total("s") == Load(3)
    assert board.take(report(1, Load(1), "b"), 0.2)
    assert board.total("s") == Load(1)


def test_the_calls_of_a_frozen_member_count_until_they_must_have_ended():
    board = LoadBoard()
    board.take(report(1, Load(0, 8)), 0.0)
    assert board.expire(REPORT_SECONDS) == [] and board.total("s") == Load(0, 8)
    assert board.expire(REPORT_SECONDS + 0.1) == ["other"]
    assert board.total("s") == Load()


def test_what_waits_elsewhere_adds_up():
    board = LoadBoard()
    board.take(Report("x", "a", 1, {}, [], {"notes": 2}), 0.0)
    board.take(Report("y", "a", 1, {}, [], {"notes": 3, "forms": 1}), 0.0)
    assert board.waiting("notes") == 5 and board.waiting("none") == 0
