"""A member's report replaces its previous one, and the report of a silent member expires."""

import msgspec
import pytest

from verbenashore.loadtable import MAX_CALLS, REPORT_SECONDS, Load, LoadTable, Report


def report(number, load, incarnation="a"):
    """Returns a report of one peer."""
    return Report("other", incarnation, number, {"s": load})


def test_local_and_reported_calls_add_up():
    load_table = LoadTable()
    load_table.add("s", online=1)
    load_table.add("s", batch=2)
    load_table.record_report(report(1, Load(3, 4)), 0.0)
    assert load_table.total("s") == Load(4, 6)
    load_table.add("s", online=-1)
    load_table.add("s", batch=-2)
    assert load_table.local_by_backend == {}


def test_an_older_report_is_ignored_unless_the_member_restarted():
    load_table = LoadTable()
    assert load_table.record_report(report(5, Load(3)), 0.0)
    assert not load_table.record_report(report(4, Load(9)), 0.1)
    assert load_table.total("s") == Load(3)
    assert load_table.record_report(report(1, Load(1), "b"), 0.2)
    assert load_table.total("s") == Load(1)


def test_the_calls_of_a_silent_member_count_until_its_report_expires():
    load_table = LoadTable()
    load_table.record_report(report(1, Load(0, 8)), 0.0)
    assert load_table.expire(REPORT_SECONDS) == [] and load_table.total("s") == Load(0, 8)
    assert load_table.expire(REPORT_SECONDS + 0.1) == ["other"]
    assert load_table.total("s") == Load()


def test_calls_waiting_at_peers_add_up():
    load_table = LoadTable()
    load_table.record_report(Report("x", "a", 1, {}, [], {"notes": 2}), 0.0)
    load_table.record_report(Report("y", "a", 1, {}, [], {"notes": 3, "forms": 1}), 0.0)
    assert load_table.remote_waiting("notes") == 5 and load_table.remote_waiting("none") == 0


@pytest.mark.parametrize("calls", [-1, MAX_CALLS + 1])
def test_impossible_numbers_of_calls_in_a_report_do_not_count(calls):
    """Guards against a member that reports a server as full, or as far below idle."""
    load_table = LoadTable()
    loads = {"s": Load(calls, 1, tokens=5), "t": Load(1, calls), "u": Load(2, MAX_CALLS)}
    load_table.record_report(Report("other", "a", 1, loads, relayed_by_backend=loads), 0.0)
    assert load_table.total("s") == load_table.total("t") == Load()
    assert load_table.total("u") == Load(4, 2 * MAX_CALLS)


class FormerLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of a server as a member of an earlier build reports and reads it."""

    online: int = 0
    batch: int = 0


def test_members_of_an_earlier_build_read_loads_and_are_read():
    encode = msgspec.msgpack.encode
    assert msgspec.msgpack.decode(encode(Load(1, 2, 3)), type=FormerLoad) == FormerLoad(1, 2)
    assert msgspec.msgpack.decode(encode(FormerLoad(1, 2)), type=Load) == Load(1, 2, 0)
