"""The terms of the estimated time to the first event, and what they make the dispatcher choose."""

from collections import Counter

from tests.test_dispatch import make_dispatcher, make_ticket
from verbenashore.directory import BackendEntry
from verbenashore.dispatch import FailureKind
from verbenashore.estimates import FAR_SECONDS, Costs
from verbenashore.loadtable import Load, LoadTable, Report
from verbenashore.speeds import SLOWNESS_PER_LOG, Speeds


def servers(count, slots=8, far=()):
    """Returns servers of one service, some of them in another data centre."""
    return [
        BackendEntry(f"s{n}", "notes", f"10.0.0.{n}:80", "far" if n in far else "dc", slots, False)
        for n in range(count)
    ]


def dispatcher_with(entries, loads):
    """Returns a dispatcher that knows some loads."""
    table = LoadTable()
    table.record_report(Report("other", "i", 1, loads), 0.0)
    dispatcher = make_dispatcher(entries, table)
    dispatcher.speeds.refresh(0.0)
    return dispatcher


def slow(factor_log, online=0, batch=0):
    """Returns the load of a server that is slower than the mean by the exponential of a number."""
    return Load(online, batch, 0, 300, int(300 * factor_log * SLOWNESS_PER_LOG))


def chosen(dispatcher, count=200):
    """Returns how often each server is chosen for calls that end at once."""
    return Counter(dispatcher.choose(make_ticket(str(n), 0.0), 0.0).name for n in range(count))


def test_a_slow_server_is_passed_over_while_the_others_have_room():
    dispatcher = dispatcher_with(servers(4), {"s0": slow(1.6), "s1": Load(5), "s2": Load(5)})
    assert "s0" not in chosen(dispatcher)


def test_a_slow_server_gets_calls_when_the_others_are_nearly_full():
    loads = {"s0": slow(0.9)} | {f"s{n}": Load(8) for n in range(1, 4)}
    assert chosen(dispatcher_with(servers(4), loads)) == {"s0": 200}


def test_a_fast_server_carries_more_of_the_calls():
    """Guards against going by used slots, which fills the slow servers."""
    dispatcher = dispatcher_with(servers(6), {"s0": slow(-0.6), "s1": slow(0.6)})
    for n in range(20):
        dispatcher.request(make_ticket(str(n), 0.0), 0.0)
    online = [dispatcher._load_table.total(f"s{n}").online for n in range(6)]
    assert online[0] > online[1] and max(online) <= 7


def test_near_servers_go_first_until_they_are_loaded():
    entries = servers(6, far={3, 4, 5})
    near = {"s0", "s1", "s2"}
    assert set(chosen(dispatcher_with(entries, {}))) == near
    loads = {name: Load(7) for name in near}
    assert set(chosen(dispatcher_with(entries, loads))) & {"s3", "s4", "s5"}


def test_an_item_is_stopped_only_if_no_other_server_is_nearly_as_good():
    loads = {"s0": Load(0, 8), "s1": Load(4, 0)}
    assert set(chosen(dispatcher_with(servers(2), loads))) == {"s1"}
    loads["s1"] = slow(2.0, 7)
    assert "s0" in chosen(dispatcher_with(servers(2), loads))


def test_calls_spread_over_equally_good_servers():
    """Guards against members that all choose the same server by reports that are as old."""
    counts = chosen(dispatcher_with(servers(10), {"s0": Load(0)}), 1000)
    assert len(counts) == 10 and max(counts.values()) < 250


def test_the_estimate_is_the_sum_of_its_terms_and_is_logged():
    dispatcher = dispatcher_with(servers(1, far={0}), {"s0": slow(0.0, 4, 4)})
    ticket = make_ticket("a", 0.0)
    dispatcher.choose(ticket, 0.0)
    fields = ticket.estimate.log_fields()
    assert fields["distance_ms"] == FAR_SECONDS * 1000 and fields["stop_ms"] > 0
    terms = [fields[f"{name}_ms"] for name in ("first", "wait", "distance", "stop")]
    assert abs(sum(terms) - fields["estimate_ms"]) < 0.3


def test_known_estimates_follow_changes_of_the_load_and_of_the_inputs():
    table = LoadTable()
    dispatcher = make_dispatcher(servers(1), table)
    speeds: Speeds = dispatcher.speeds
    (server,) = servers(1)
    costs = Costs(speeds, "dc", 0.05, 0.5)
    idle = costs.seconds(server, table.total("s0"))
    table.add("s0", online=6)
    assert costs.seconds(server, table.total("s0")) > idle
    assert costs.is_based_on(speeds.version, 0.051, 0.5)
    assert not costs.is_based_on(speeds.version, 0.07, 0.5)
    speeds.refresh(1.0)
    assert not costs.is_based_on(speeds.version, 0.05, 0.5)


def test_forty_calls_of_the_best_server_spread_when_it_fails():
    """Guards against moving all calls of a failed server to the next best one."""
    dispatcher = dispatcher_with(servers(6, slots=40), {"s0": slow(-1.2), "s1": slow(-0.6)})
    tickets = [make_ticket(str(n), 0.0, accepts_late=True) for n in range(40)]
    dispatcher._load_table.add("s0", online=40)
    for ticket in tickets:
        dispatcher.release(dispatcher._directory.by_name["s0"], 0.5)
        dispatcher.record_failure("s0", FailureKind.UNREACHABLE, 0.1)
        ticket.excluded.add("s0")
    moved = Counter(dispatcher.request(ticket, 0.1).server.name for ticket in tickets)
    assert sum(moved.values()) == 40 and "s0" not in moved
    assert max(moved.values()) <= 24 and len(moved) >= 3


def test_reports_count_for_four_seconds_and_then_the_server_is_average_again():
    table = LoadTable()
    table.record_report(Report("other", "i", 1, {"s0": slow(1.6, 3)}), 0.0)
    dispatcher = make_dispatcher(servers(4), table)
    for tenth in range(40):
        table.expire(tenth / 10)
        dispatcher.speeds.refresh(tenth / 10)
    assert dispatcher.speeds.factor("s0") > 2 and "s0" not in chosen(dispatcher)
    table.expire(4.1)
    dispatcher.speeds.refresh(4.1)
    assert 1.0 < dispatcher.speeds.factor("s0") < 2 and table.total("s0") == Load()
    for second in range(5, 65):
        dispatcher.speeds.refresh(float(second))
    assert dispatcher.speeds.factor("s0") < 1.1


def test_calls_leave_a_data_centre_of_which_half_the_servers_become_slow_only_as_needed():
    entries = servers(16, far=set(range(8, 16)))
    dispatcher = dispatcher_with(entries, {f"s{n}": slow(1.6) for n in range(4)})
    first = [dispatcher.request(make_ticket(str(n), 0.0), 0.0).server.name for n in range(8)]
    assert set(first) <= {"s4", "s5", "s6", "s7"}
    rest = [dispatcher.request(make_ticket(str(n), 0.0), 0.0).server.name for n in range(40)]
    far = sum(int(name[1:]) >= 8 for name in rest)
    slow_ones = sum(int(name[1:]) < 4 for name in rest)
    assert far >= 10 and slow_ones <= 4


def test_a_new_server_gets_no_more_calls_at_once_than_others_with_as_much_room():
    table = LoadTable()
    table.record_report(Report("other", "i", 1, {f"s{n}": Load(2) for n in range(5)}), 0.0)
    dispatcher = make_dispatcher(servers(6), table)
    counts = chosen(dispatcher, 600)
    assert counts["s5"] < 300 and len(counts) == 6
