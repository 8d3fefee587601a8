"""The limits of workspaces over many entries that know each other's counts late."""

import time

import msgspec
import pytest

from tests.quotafleets import QuotaFleet, bound
from verbenashore.messages import Member
from verbenashore.quotas import MAX_RETRY_SECONDS, WorkspaceQuotas, fraction_in_use
from verbenashore.routing import RouteTable, Workspace
from verbenashore.types import MemberRole, MemberState
from verbenashore.usage import MARK, MAX_RELAYED_KEYS, UsageReport, UsageTable, key_of

LARGE = Workspace("large", (), None, 83.0, 83.0)
SMALL = Workspace("small", (), None, 4.0, 4.0)
#: The usual requests a second, and a burst.
USUAL, BURST = 52.0, 7 * 52.0
SMALL_USUAL, SMALL_BURST = 2.5, 7 * 2.5


def fleet_at_usual_load(count=19, loss=0.0, seed=1):
    """Returns a fleet after some seconds of the usual load, of which nothing was refused."""
    fleet = QuotaFleet(count, (LARGE, SMALL), loss, seed)
    fleet.run(1.0)
    fleet.send("large", USUAL, 5.5)
    fleet.send("small", SMALL_USUAL, 5.5)
    fleet.run(5.5)
    assert set(fleet.outcomes) == {"admitted"}
    return fleet


def send_burst(fleet, seconds):
    """Lets both workspaces send far more than their limits."""
    fleet.send("large", BURST, seconds)
    fleet.send("small", SMALL_BURST, seconds)


def check_bounds(fleet, used=0.0):
    """Checks that no window has more requests than agreed, and one at least a part of the limit."""
    for workspace in (LARGE, SMALL):
        most = fleet.most(workspace.name)
        assert most <= bound(workspace), workspace.name
        assert most >= used * (workspace.per_second * 5 + workspace.burst), workspace.name


@pytest.mark.parametrize(("count", "loss"), [(19, 0.0), (19, 0.05), (100, 0.0), (300, 0.0)])
def test_a_burst_gets_its_limit_and_what_follows_is_not_refused(count, loss):
    """Guards against entries that all fill the same room before they know of each other's."""
    fleet = fleet_at_usual_load(count, loss)
    send_burst(fleet, 6.5)
    fleet.run(6.5)
    check_bounds(fleet, used=0.9)
    fleet.run(5.0)
    fleet.outcomes.clear()
    fleet.send("large", USUAL, 3.0)
    fleet.send("small", SMALL_USUAL, 3.0)
    fleet.run(3.0)
    assert set(fleet.outcomes) == {"admitted"}


def test_requests_within_the_limits_are_admitted_although_datagrams_are_lost():
    fleet = QuotaFleet(19, (LARGE,), loss=0.1)
    fleet.run(1.0)
    fleet.send("large", USUAL, 20.0)
    fleet.run(20.0)
    assert fleet.outcomes["refused within"] <= 0.01 * fleet.outcomes["admitted"]
    assert not fleet.outcomes["refused"]


def test_an_entry_with_five_times_its_share_is_not_refused_within_the_limits():
    """Guards against limits that are divided among the entries."""
    fleet = QuotaFleet(19, (LARGE, SMALL))
    fleet.run(1.0)
    rates = [5.0 if n == 3 else 1.0 for n in range(19)]
    for seconds, large, small in ((8.0, USUAL, SMALL_USUAL), (6.0, BURST, SMALL_BURST)):
        fleet.send("large", [large * rate / sum(rates) for rate in rates], seconds)
        fleet.send("small", [small * rate / sum(rates) for rate in rates], seconds)
        fleet.run(seconds)
        if large == USUAL:
            assert set(fleet.outcomes) == {"admitted"}
    check_bounds(fleet, used=0.9)


@pytest.mark.parametrize("run_before", [0.7, 2.2, 3.5])
def test_a_restart_of_all_entries_in_a_burst_keeps_the_bound(run_before):
    """Guards against entries that forget at their start what was admitted before."""
    fleet = fleet_at_usual_load()
    send_burst(fleet, 6.5)
    fleet.run(run_before)
    for entry in fleet.entries:
        entry.alive = False
    fleet.run(0.3)
    for entry in fleet.entries:
        fleet.start(entry)
    fleet.list_entries(fleet.entries)
    fleet.run(7.0)
    check_bounds(fleet)


def test_a_restart_of_all_entries_at_usual_load_refuses_hardly_any_request():
    """Guards against a start that charges every workspace with the whole of its limits."""
    fleet = fleet_at_usual_load()
    for entry in fleet.entries:
        entry.alive = False
    fleet.run(0.3)
    for entry in fleet.entries:
        fleet.start(entry)
    fleet.list_entries(fleet.entries)
    fleet.send("large", USUAL, 4.5)
    fleet.send("small", SMALL_USUAL, 4.5)
    # The load reports need half a second to connect all entries.
    fleet.run(0.5)
    fleet.outcomes.clear()
    fleet.run(4.0)
    check_bounds(fleet)
    assert fleet.outcomes["refused within"] <= 0.02 * fleet.outcomes["admitted"]


def test_new_entries_in_a_burst_keep_the_bound():
    fleet = fleet_at_usual_load()
    for entry in fleet.entries[:4]:
        entry.alive = False
    fleet.run(1.0)
    send_burst(fleet, 6.5)
    fleet.run(1.5)
    for entry in fleet.entries[:4]:
        fleet.start(entry)
    fleet.list_entries(fleet.entries)
    fleet.run(6.0)
    check_bounds(fleet, used=0.8)


def test_a_suspended_entry_that_resumes_does_not_trust_its_old_sums():
    fleet = fleet_at_usual_load()
    send_burst(fleet, 8.0)
    fleet.run(1.0)
    for entry in fleet.entries[:4]:
        entry.alive = False
    fleet.run(3.0)
    for entry in fleet.entries[:4]:
        entry.alive = True
        assert entry.quotas.describe("large", fleet.now)["reach"] == 1
    fleet.run(5.0)
    check_bounds(fleet, used=0.9)
    assert all(e.quotas.describe("large", fleet.now)["fraction"] == 1 for e in fleet.entries)


@pytest.mark.parametrize("size", [3, 9])
def test_entries_partitioned_from_each_other_keep_the_bound_together(size):
    fleet = fleet_at_usual_load()
    send_burst(fleet, 14.0)
    fleet.run(1.5)
    part = fleet.entries[:size]
    fleet.is_cut = lambda one, other: (one in part) != (other in part)
    fleet.run(3.0)
    # The leader is on the larger side and no longer lists the others.
    for entry in fleet.entries[size:]:
        fleet.list_entries(fleet.entries[size:], [entry])
    fleet.run(4.0)
    assert all(2 * e.quotas.describe("large", fleet.now)["fraction"] < 1 for e in part)
    fleet.is_cut = lambda _one, _other: False
    fleet.run(5.5)
    check_bounds(fleet, used=0.8)


def test_a_lowered_limit_binds_with_what_was_admitted_before_while_versions_differ():
    lowered = Workspace("large", (), None, 40.0, 40.0)
    fleet = fleet_at_usual_load()
    fleet.send("large", BURST, 14.0)
    fleet.run(2.0)
    for entry in fleet.entries:
        fleet.run(0.1)
        fleet.install(entry, lowered, SMALL)
    in_force_at = fleet.now
    fleet.run(9.0)
    check_bounds(fleet)
    assert fleet.most("large", in_force_at) <= bound(lowered)


def test_steps_of_two_clocks_keep_the_bound():
    """The clock counts elapsed time, so only a virtual machine that is restored can step it."""
    fleet = fleet_at_usual_load()
    send_burst(fleet, 8.0)
    fleet.run(1.5)
    for entry, step in zip(fleet.entries, (60.0, -60.0, -0.5), strict=False):
        fleet.clock_steps[entry.node.name] = step
    fleet.run(6.5)
    check_bounds(fleet, used=0.8)


def make_quotas(*workspaces, entries=1):
    """Returns the quotas of an entry that reaches no other, and its table of sums."""
    table = UsageTable()
    quotas = WorkspaceQuotas(table, -100.0)
    quotas.install(RouteTable(1, workspaces=workspaces))
    table.record(UsageReport("p", 1, 1, max(1, entries - 1), entries, 0.0, {}), 0.0)
    return quotas, table


def test_the_parts_of_both_sides_of_a_partition_add_up_to_at_most_the_whole():
    for entries in range(1, 40):
        for reach in range(entries + 1):
            both = fraction_in_use(reach, entries) + fraction_in_use(entries - reach, entries)
            assert both <= 1
    assert fraction_in_use(1, 0) == 0


@pytest.mark.parametrize(("rate", "burst"), [(0.5, 0.0), (0.1, 0.0), (0.5, 0.5), (1.0, 0.0)])
@pytest.mark.parametrize("reach", [3, 2])
def test_a_limit_of_less_than_one_request_lets_one_through_and_then_refuses(rate, burst, reach):
    """Guards workspaces with a small limit, which were refused for ever."""
    quotas, table = make_quotas(Workspace("tiny", (), None, rate, burst), entries=reach)
    table.record(UsageReport("p", 1, 2, reach - 1, 3, 0.0, {}), 0.0)
    assert quotas.admit("tiny", 0.0) == 0 < quotas.admit("tiny", 0.1)


def test_entries_that_were_replaced_under_other_names_lower_the_limits_for_a_minute_only():
    """Guards against an hour with 0.84 of each limit, while the list stays the same."""

    def listed(names):
        return [Member(n, "", MemberRole.ENTRY, "", "", "", MemberState.SERVING, 1) for n in names]

    table = UsageTable()
    table.entry_number.set_members(listed(range(19)), 0.0)
    table.entry_number.set_members(listed(range(9, 28)), 10.0)
    assert (table.entries(69.0), table.entries(70.0)) == (28, 19)
    assert round(fraction_in_use(19, 28), 2) == 0.84


def test_a_request_that_did_not_run_makes_room_for_another():
    quotas, _ = make_quotas(SMALL, entries=2)
    admitted = 0
    while not quotas.admit("small", 0.0):
        admitted += 1
    for _ in range(admitted):
        quotas.take_back("small", 0.0)
    assert admitted and quotas.recent("small", 0.0) == 0


def test_refusals_state_a_bounded_wait_and_are_told_apart_in_the_metrics():
    changes = []
    quotas, _ = make_quotas(SMALL, entries=2)
    quotas._on_limited = lambda name, is_limited: changes.append((name, is_limited))
    waits = [quotas.admit("small", 0.01 * n) for n in range(60)]
    assert max(waits) <= MAX_RETRY_SECONDS and all(wait >= 0.2 for wait in waits if wait)
    gauges = quotas.gauges(0.6)
    assert gauges["workspace.small.received"] == 60
    assert gauges["workspace.small.refused_quota"] == sum(wait > 0 for wait in waits)
    quotas.own_counts(10.0)
    assert changes == [("small", True), ("small", False)]


@pytest.mark.parametrize(
    "changes",
    [
        {"entries": -5},
        {"entries": 10**9},
        {"age": float("nan")},
        {"age": -1.0},
        {"counts_by_key": {key_of("small"): (0, 1, float("inf"))}},
        {"counts_by_key": {key_of("small"): (0, -9, -9)}},
    ],
)
def test_invalid_reports_are_passed_over(changes):
    quotas, table = make_quotas(SMALL, entries=2)
    report = UsageReport("q", 1, 2, 1, 2, 0.0, {key_of("other"): (9, 9, 9)})
    assert table.record(report, 0.0) and table.counts(key_of("other")) == (0, 0, 0)
    assert not table.record(msgspec.structs.replace(report, number=3, **changes), 0.0)
    assert not table.record(report, 0.0)
    assert quotas.admit("small", 0.0) == 0


def test_an_entry_that_is_behind_relays_the_counts_of_workspaces_that_it_does_not_know():
    """Guards a whole limit on each side of it, and reports that grow without bound."""
    _, table = make_quotas(SMALL)
    report = UsageReport("q", 1, 1, 1, 3, 0.0, {key_of("large"): (9, 9, 9)})
    assert table.record(report, 0.0)
    assert table.relayed("p", {}, 0.0)[2] == {key_of("large"): (9, 9, 9)}
    many = {n: (1, 1, 1) for n in range(2 * MAX_RELAYED_KEYS)} | {key_of("small"): (1, 1, 1)}
    assert table.record(UsageReport("r", 1, 1, 1, 3, 0.0, many), 0.0)
    assert len(table.relayed("p", {}, 0.0)[2]) == MAX_RELAYED_KEYS + 1
    assert table.counts(key_of("small")) == (1, 1, 1)
    table.retain((), 0.0)
    assert not table.relayed("p", {}, 0.0)[2]


def test_without_limits_nothing_is_sent_and_everything_admitted():
    free = Workspace("free")
    fleet = QuotaFleet(8, (free,))
    fleet.run(1.0)
    fleet.send("free", 500.0, 1.0)
    fleet.run(1.0)
    neighbours = fleet.entries[0].tree.neighbours
    assert neighbours and not fleet.entries[0].exchange.due_datagrams(neighbours, fleet.now)
    assert set(fleet.outcomes) == {"admitted"}


def test_the_size_of_a_report_depends_on_the_active_workspaces_only():
    sizes = []
    for count in (19, 100):
        fleet = QuotaFleet(
            count, tuple(Workspace(f"w{n}", (), None, 99.0, 99.0) for n in range(72))
        )
        fleet.run(1.0)
        for n in range(72):
            fleet.send(f"w{n}", 19.0, 1.0)
        fleet.run(1.5)
        entry = fleet.entries[0]
        data = entry.exchange.due_datagrams(entry.tree.neighbours, fleet.now + 1.0)[0][1]
        assert data.startswith(MARK)
        sizes.append(len(data))
    assert max(sizes) <= 72 * 16 + 60


def test_a_request_costs_little():
    quotas, _ = make_quotas(*(Workspace(f"w{n}", (), None, 9.0, 9.0) for n in range(330)))
    started = time.process_time()
    for n in range(20_000):
        quotas.admit(f"w{n % 330}", n / 1000)
    assert (time.process_time() - started) / 20_000 < 100e-6
