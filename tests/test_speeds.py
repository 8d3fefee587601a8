"""What members learn of the speed of servers from their own calls and those of others."""

from random import Random

import pytest

from tests.loadtrees import Fleet
from tests.test_dispatch import make_dispatcher, make_servers, make_ticket
from verbenashore.directory import Directory
from verbenashore.loadtable import MAX_OBSERVED, MAX_SLOWNESS, Load, LoadTable, Report
from verbenashore.metrics import Metrics
from verbenashore.speeds import CallTimer, Speeds

FIRST = 0.04
GAP = 0.018


class Member:
    """One member that has three calls at each server all the time; steps of 10 ms."""

    def __init__(self, servers=4, table=None, noise=lambda: 1.0, calls=3):
        self.directory = Directory()
        self.servers = make_servers(servers, slots=8)
        self.directory.install_list(self.servers, 0.0)
        self.table = table or LoadTable()
        self.changes = []
        self.speeds = Speeds(
            self.directory, self.table, lambda name, factor: self.changes.append((name, factor))
        )
        self.noise = noise
        self.due = {
            (server.name, call): (0.0, None) for server in self.servers for call in range(calls)
        }

    def run(self, start, seconds, slowness):
        """Plays calls of 28 events; returns the time at which the speeds were updated last."""
        by_name = {server.name: server for server in self.servers}
        now = start
        while now < start + seconds:
            now += 0.01
            for key, (due, timer) in list(self.due.items()):
                name = key[0]
                while due <= now:
                    if timer is None:
                        timer = [CallTimer(self.speeds, by_name[name], "route", due), 0]
                    else:
                        timer[0].record_events(1, due)
                        timer[1] += 1
                    last = timer[1] == 28
                    seconds_to_next = GAP if timer[1] else FIRST
                    due += seconds_to_next * slowness(name) * self.noise()
                    timer = None if last else timer
                self.due[key] = (due, timer)
            self.speeds.refresh(now)
        return now


def test_lasting_differences_between_servers_are_learned():
    member = Member()
    slowness = {"s0": 0.6, "s1": 1.43, "s2": 1.0, "s3": 1.0}
    member.run(0.0, 10.0, slowness.get)
    ratio = member.speeds.factor("s1") / member.speeds.factor("s0")
    assert ratio == pytest.approx(1.43 / 0.6, rel=0.1)
    assert member.speeds.range_of("notes")[0] == member.speeds.factor("s0")


def test_a_server_that_becomes_five_times_slower_is_noticed_within_a_few_hundred_milliseconds():
    member = Member()
    now = member.run(0.0, 10.0, lambda _: 1.0)
    now = member.run(now, 0.35, lambda name: 5.0 if name == "s0" else 1.0)
    assert member.speeds.factor("s0") > 2.2 * member.speeds.factor("s1")
    now = member.run(now, 1.0, lambda name: 5.0 if name == "s0" else 1.0)
    assert member.speeds.factor("s0") > 3.5 * member.speeds.factor("s1")
    assert [name for name, _ in member.changes] == ["s0"]
    member.run(now, 2.0, lambda _: 1.0)
    assert member.speeds.factor("s0") < 1.6 and [name for name, _ in member.changes][1:] == ["s0"]


def test_noise_of_single_events_does_not_make_a_server_look_slow():
    rng = Random(3)
    member = Member(noise=lambda: rng.choice((0.5, 0.8, 1.0, 1.0, 1.2, 2.5)))
    now = member.run(0.0, 5.0, lambda _: 1.0)
    for _ in range(40):
        now = member.run(now, 0.1, lambda _: 1.0)
        fastest, slowest = member.speeds.range_of("notes")
        assert slowest < 1.5 * fastest


def test_a_new_server_is_taken_for_an_average_one():
    member = Member()
    member.run(0.0, 2.0, {"s0": 0.6, "s1": 1.43, "s2": 1.0, "s3": 1.0}.get)
    assert member.speeds.factor("new") == 1.0


def test_all_members_learn_the_speed_from_the_calls_of_one():
    fleet = Fleet(19, data_centres=3)
    seeing, other = fleet.members[3], fleet.members[11]
    observer, learner = Member(table=seeing.table), Member(table=other.table)
    state = {"now": fleet.now}

    def step(now):
        if now - state["now"] >= 0.05:
            observer.run(state["now"], 0.05, lambda name: 4.0 if name == "s2" else 1.0)
            learner.speeds.refresh(now)
            state["now"] = now

    fleet.run(3.0, step)
    assert learner.speeds.factor("s2") > 2.5 * learner.speeds.factor("s1")


@pytest.mark.parametrize(
    "load",
    [
        Load(1, 0, 0, -5, 0),
        Load(1, 0, 0, MAX_OBSERVED + 1, 0),
        Load(1, 0, 0, 10, 10 * MAX_SLOWNESS + 1),
        Load(1, 0, 0, 0, 1 << 62),
    ],
)
def test_invalid_observations_of_another_member_do_not_count(load):
    table = LoadTable()
    directory = Directory()
    directory.install_list(make_servers(3), 0.0)
    speeds = Speeds(directory, table)
    table.record_report(Report("bad", "i", 1, {"s0": load}, relayed_by_backend={"s1": load}), 0.0)
    speeds.refresh(0.0)
    speeds.refresh(1.0)
    assert [speeds.factor(f"s{n}") for n in range(3)] == [1.0, 1.0, 1.0]
    assert table.total("s0") == Load(1) and table.total("s1") == Load(1)


def test_the_largest_values_that_a_member_may_report_keep_the_factor_bounded():
    table = LoadTable()
    dispatcher = make_dispatcher(make_servers(3), table)
    extreme = Load(0, 0, 0, MAX_OBSERVED, MAX_SLOWNESS * MAX_OBSERVED)
    for member in range(5):
        table.record_report(Report(f"m{member}", "i", 1, {"s0": extreme}), 0.0)
    for step in range(100):
        dispatcher.speeds.refresh(step * 0.1)
    assert 1.0 < dispatcher.speeds.factor("s0") < 13
    assert dispatcher.choose(make_ticket("a", 0.0, excluded={"s1", "s2"}), 0.0).name == "s0"


def test_observations_of_a_member_without_calls_fade():
    member = Member()
    now = member.run(0.0, 1.0, lambda _: 1.0)
    assert member.table.total("s0").observed > 0
    for step in range(50):
        member.speeds.refresh(now + 0.1 * step)
    assert member.table.local_by_backend == {}


def test_forgotten_servers_leave_no_observations():
    member = Member()
    member.run(0.0, 1.0, lambda _: 1.0)
    member.speeds.forget(["s0"])
    assert member.table.total("s0") == Load()


def test_a_slow_caller_does_not_make_the_server_look_slow():
    member = Member(calls=0)
    member.run(0.0, 0.1, lambda _: 1.0)
    timer = CallTimer(member.speeds, member.servers[0], "route", 0.0)
    for event in range(40):
        timer.record_events(1, event * GAP + GAP)
    before = member.speeds._own_by_name["s0"].seconds
    timer.record_sent(3.0)
    timer.record_events(1, 3.0)
    assert member.speeds._own_by_name["s0"].seconds == before


def test_the_fastest_and_slowest_server_of_each_service_are_exported():
    member = Member()
    member.run(0.0, 5.0, {"s0": 0.5, "s1": 2.0, "s2": 1.0, "s3": 1.0}.get)
    metrics = Metrics("e", ())
    member.speeds.set_gauges(metrics)
    gauges = metrics.gauges()
    assert gauges["notes.slowest_factor"] > 3 * gauges["notes.fastest_factor"]


def test_a_negative_number_of_calls_does_not_fail_the_calls_of_other_members():
    member = Member()
    member.table.add("s0", online=-1000)
    CallTimer(member.speeds, member.servers[0], "route", 0.0).record_events(1, FIRST)
    assert member.speeds.first_seconds(member.servers[0].service) == FIRST
