"""Server loads: each report replaces the one before, and a silent member's expires."""

from verbenashore.board import REPORT_SECONDS, Load, LoadBoard, Report


def report(number, load, incarnation="a"):
    """Returns a report of one peer."""
    return Report("other", incarnation, number, {"s": load})


def test_local_and_reported_calls_add_up():
    board = LoadBoard()
    board.add("s", online=1)
    board.add("s", batch=2)
    board.take(report(1, Load(3, 4)), 0.0)
    assert board.total("s") == Load(4, 6)
    board.add("s", online=-1)
    board.add("s", batch=-2)
    assert board.own == {}


def test_an_older_report_is_ignored_unless_the_member_restarted():
    board = LoadBoard()
    assert board.take(report(5, Load(3)), 0.0)
    assert not board.take(report(4, Load(9)), 0.1)
    assert board.total("s") == Load(3)
    assert board.take(report(1, Load(1), "b"), 0.2)
    assert board.total("s") == Load(1)


def test_the_calls_of_a_silent_member_count_until_its_report_expires():
    board = LoadBoard()
    board.take(report(1, Load(0, 8)), 0.0)
    assert board.expire(REPORT_SECONDS) == [] and board.total("s") == Load(0, 8)
    assert board.expire(REPORT_SECONDS + 0.1) == ["other"]
    assert board.total("s") == Load()


def test_calls_waiting_at_peers_add_up():
    board = LoadBoard()
    board.take(Report("x", "a", 1, {}, [], {"notes": 2}), 0.0)
    board.take(Report("y", "a", 1, {}, [], {"notes": 3, "forms": 1}), 0.0)
    assert board.remote_waiting("notes") == 5 and board.remote_waiting("none") == 0
