"""Requests to servers that state a rate, from many members that know each other by reports."""

import asyncio
import itertools
import math

import pytest

from tests.loadtrees import Fleet
from tests.test_prober import make_prober
from verbenashore import dispatch
from verbenashore.directory import BackendEntry, Directory
from verbenashore.dispatch import Dispatcher, Ticket, Verdict
from verbenashore.exceptions import BackendError
from verbenashore.loadtable import Load, LoadTable, Report, Statement
from verbenashore.loadtree import OwnLoad
from verbenashore.ratelimits import (
    MAX_TRIAL_SECONDS,
    STATEMENT_SECONDS,
    WINDOW_SECONDS,
    RateLimits,
)

#: What a server in need is to get at most in any window, from the agreed limit.
ALLOWED_FACTOR, ALLOWED_EXTRA = 1.5, 5
POLL_SECONDS = 0.01
ANSWER_SECONDS = 0.05
#: Offsets of the members' times of day, in seconds.
CLOCK_SPREAD_SECONDS = 2.0


class LimitedFleet(Fleet):
    """Members that send calls to one server, which states a rate from ``limited_from`` on."""

    def __init__(self, count, per_second, calls_per_second, seed=1, loss=0.0, stated=None):
        super().__init__(count, seed=seed, loss=loss)
        self.per_second = self.stated = per_second if stated is None else stated
        self.arrivals = []
        self.waiting = dict.fromkeys((member.node.name for member in self.members), 0)
        self.limits = {}
        for number, member in enumerate(self.members):
            offset = self.random.uniform(-CLOCK_SPREAD_SECONDS, CLOCK_SPREAD_SECONDS)
            self.limits[member.node.name] = RateLimits(
                member.table,
                lambda: self.now,
                lambda offset=offset: 1e9 + offset + self.now,
                seed=number,
            )
            self._at(self.random.uniform(0, POLL_SECONDS), self._poll, member)
        self.pause = 1 / calls_per_second
        self._at(0.0, self._call)

    def _exchange(self, member):
        if member.alive:
            member.tree.expire(self.now)
            waiting = {"s": self.waiting[member.node.name]}
            statements = self.limits[member.node.name].statements()
            own = OwnLoad([], waiting, statements=statements)
            for address, report in member.tree.due_reports(own, self.now):
                self._send(member, address, report)
        self._at(self.now + 0.02, self._exchange, member)

    def _deliver(self, member, report, address):
        if member.alive and member.tree.receive(report, address, self.now):
            self.limits[member.node.name].merge(report.statements)

    def _call(self):
        """Lets a call arrive at some member."""
        member = self.random.choice(self.live())
        if self.waiting[member.node.name] or not self._try_send(member):
            self.waiting[member.node.name] += 1
        self._at(self.now + self.random.expovariate(1 / self.pause), self._call)

    def _poll(self, member):
        name = member.node.name
        if member.alive and self.waiting[name] and self._try_send(member):
            self.waiting[name] -= 1
        # Callers don't wait for ever.
        self.waiting[name] = min(self.waiting[name], 5)
        self._at(self.now + POLL_SECONDS, self._poll, member)

    def _try_send(self, member):
        limits = self.limits[member.node.name]
        own = max(1, self.waiting[member.node.name])
        share = own / (own + member.table.remote_waiting("s"))
        if not limits.may_send("server", share):
            return False
        limits.record_request("server")
        self.arrivals.append(self.now)
        self._at(self.now + ANSWER_SECONDS, self._answer, member)
        return True

    def _answer(self, member):
        if member.alive:
            self.limits[member.node.name].record_statement("server", self.stated)

    def most_in_a_window(self, since):
        """Returns the largest number of requests in a window that begins after a time."""
        times = [at for at in self.arrivals if at >= since]
        ends = itertools.count()
        end, most = next(ends), 0
        for begin, at in enumerate(times):
            while end < len(times) and times[end] < at + WINDOW_SECONDS:
                end = next(ends)
            most = max(most, end - begin)
        return most


def allowed(per_second):
    """Returns the requests that a server may get in a window."""
    return ALLOWED_FACTOR * per_second * WINDOW_SECONDS + ALLOWED_EXTRA


@pytest.mark.parametrize(
    ("count", "calls_per_second", "per_second", "loss"),
    [
        (8, 10.0, 1.0, 0.05),
        (8, 10.0, 3.0, 0.0),
        (21, 60.0, 1.0, 0.0),
        (21, 60.0, 3.0, 0.05),
        (60, 150.0, 1.0, 0.05),
        (60, 150.0, 3.0, 0.0),
    ],
)
def test_many_members_together_send_no_more_than_a_server_states_and_use_it(
    count, calls_per_second, per_second, loss
):
    fleet = LimitedFleet(count, per_second, calls_per_second, loss=loss)
    fleet.run(3.0)
    fleet.run(30.0)
    assert fleet.most_in_a_window(3.0) <= allowed(per_second)
    used = sum(at >= 8.0 for at in fleet.arrivals) / 25.0
    assert used >= 0.7 * per_second


def test_a_rate_that_rises_is_not_used_by_all_members_at_the_same_moment():
    fleet = LimitedFleet(60, 0.0, 60.0)
    fleet.run(6.0)
    fleet.stated = 1.0
    fleet.run(25.0)
    assert fleet.most_in_a_window(3.0) <= allowed(1.0)


def test_restarts_of_members_do_not_raise_the_rate():
    fleet = LimitedFleet(21, 2.0, 40.0)
    fleet.run(3.0)
    for member in fleet.members[:6]:
        member.alive = False
        fleet.run(1.5)
        member.alive = True
    assert fleet.most_in_a_window(3.0) <= allowed(2.0)


@pytest.mark.parametrize("count", [21, 120])
def test_a_crowd_after_a_calm_does_not_exceed_the_rate(count):
    fleet = LimitedFleet(count, 1.0, 0.5)
    fleet.run(20.0)
    fleet.pause = 1 / 80.0
    fleet.run(6.0)
    assert fleet.most_in_a_window(3.0) <= allowed(1.0)


@pytest.mark.parametrize("per_second", [0.0, 0.05])
def test_a_rate_that_leaves_no_room_is_tried_from_time_to_time(per_second):
    fleet = LimitedFleet(21, per_second, 40.0)
    fleet.run(3.0)
    fleet.run(60.0)
    assert fleet.most_in_a_window(3.0) <= ALLOWED_EXTRA
    late = [at for at in fleet.arrivals if at >= 3.0 + MAX_TRIAL_SECONDS]
    assert len(late) >= 2


@pytest.mark.parametrize("per_second", [0.0, 1.0])
def test_the_end_of_a_rate_and_a_new_one_reach_all_members(per_second):
    fleet = LimitedFleet(21, per_second, 40.0)
    fleet.run(6.0)
    known = {limits.per_second("server") for limits in fleet.limits.values()}
    assert known == {per_second}
    fleet.stated = 4.0
    fleet.run(MAX_TRIAL_SECONDS)
    assert {limits.per_second("server") for limits in fleet.limits.values()} == {4.0}
    fleet.stated = None
    fleet.run(3.0)
    assert {limits.per_second("server") for limits in fleet.limits.values()} == {None}


class Clock:
    """A clock that is set by the test."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def make_limits(load_table=None):
    """Returns the limits of one member, and its clock."""
    clock = Clock()
    return RateLimits(load_table or LoadTable(), clock, clock), clock


def send_all(limits, **arguments):
    """Sends as many requests as are allowed now; returns how many."""
    sent = 0
    while limits.may_send("s", **arguments):
        limits.record_request("s")
        sent += 1
    return sent


def test_a_server_that_states_no_rate_gets_any_number_of_requests():
    limits, _ = make_limits()
    assert not limits.record_statement("s", None)
    assert limits.may_send("s") and limits.statements() == {}


def test_requests_of_other_members_count():
    load_table = LoadTable()
    limits, clock = make_limits(load_table)
    limits.record_statement("s", 2.0)
    clock.now += 1.0
    load_table.record_report(Report("m", "i", 1, {"s": Load(started=8)}), clock.now)
    assert not limits.may_send("s")
    load_table.record_report(Report("m", "i", 2, {"s": Load(started=7)}), clock.now)
    assert send_all(limits) == 1


def test_requests_stop_counting_after_the_window_and_when_the_server_is_gone():
    load_table = LoadTable()
    limits, clock = make_limits(load_table)
    limits.record_statement("s", 2.0)
    clock.now += 1.0
    assert send_all(limits) == 2 == load_table.total("s").started
    clock.now += WINDOW_SECONDS
    limits.statements()
    assert load_table.total("s") == Load()
    assert send_all(limits) == 2
    limits.forget(["s"])
    assert load_table.total("s") == Load() and limits.may_send("s")


def test_a_part_of_the_rate_is_left_to_online_calls():
    limits, clock = make_limits()
    limits.record_statement("s", 1.0)
    sent = 0
    for _ in range(100):
        clock.now += 0.039
        sent += send_all(limits, part=0.5)
    assert sent == 2
    clock.now += 0.039
    assert send_all(limits) == 1


def test_a_statement_that_is_not_repeated_ends():
    limits, clock = make_limits()
    limits.record_statement("s", 1.0)
    clock.now += STATEMENT_SECONDS + 1
    assert limits.statements() == {} and limits.per_second("s") is None


@pytest.mark.parametrize(
    "statement",
    [Statement(math.nan, 1000.0), Statement(-1.0, 1000.0), Statement(1.0, math.inf)],
)
def test_a_statement_that_no_member_would_pass_on_is_ignored(statement):
    limits, _ = make_limits()
    assert not limits.merge({"s": statement})
    assert limits.may_send("s")


def test_an_older_statement_does_not_replace_a_newer_one():
    limits, _ = make_limits()
    limits.record_statement("s", 1.0)
    assert not limits.merge({"s": Statement(9.0, 999.0)})
    assert limits.merge({"s": Statement(2.0, 1001.0)})
    # This member heard it later, though its time of day is earlier.
    assert limits.record_statement("s", 3.0)
    assert limits.per_second("s") == 3.0


def make_dispatcher(rates):
    """Returns a dispatcher for servers with the given rates, its load table, and its clock."""
    directory, load_table = Directory(), LoadTable()
    directory.install_list(
        [
            BackendEntry(f"s{n}", "notes", f"10.0.0.{n}:80", "dc", 8, False)
            for n in range(len(rates))
        ],
        0.0,
    )
    limits, clock = make_limits(load_table)
    for number, rate in enumerate(rates):
        limits.record_statement(f"s{number}", rate)
    clock.now += 2.0
    return Dispatcher(directory, load_table, "dc", limits=limits), load_table, clock


def request(dispatcher, number, now, **changes):
    """Requests a slot for a call that has just arrived."""
    fields = {"soft_deadline": now + 0.2, "hard_deadline": now + 4.0} | changes
    return dispatcher.request(Ticket(f"c{number}", "notes", 0, **fields), now)


def test_calls_beyond_the_rate_of_a_server_run_at_the_others():
    dispatcher, _, clock = make_dispatcher([1.0, None])
    placed = [request(dispatcher, n, clock.now).server.name for n in range(9)]
    assert placed.count("s0") <= 2 and placed.count("s1") >= 7


def test_a_call_is_refused_at_once_with_the_reason_if_all_rates_are_used_up():
    dispatcher, _, clock = make_dispatcher([0.5, 0.5])
    decisions = [request(dispatcher, n, clock.now) for n in range(5)]
    refused = [decision for decision in decisions if decision.verdict is Verdict.REFUSED]
    assert len(refused) >= 3
    assert {decision.reason for decision in refused} == {"the servers' rates are used up"}
    assert all(decision.retry_after >= dispatch.MAX_RETRY_SECONDS for decision in refused)


def test_items_wait_while_a_call_waits_for_a_server_with_a_rate():
    dispatcher, load_table, clock = make_dispatcher([2.0])
    server = dispatcher.candidates("notes")[0]
    assert dispatcher.may_use_in_background(server)
    load_table.record_report(Report("m", "i", 1, {}, waiting_by_service={"notes": 1}), clock.now)
    assert not dispatcher.may_use_in_background(server)


async def probes_within(dispatcher, seconds):
    """Returns how many status checks of its suspected servers a prober starts in some seconds."""
    prober = make_prober(dispatcher)
    probed = []

    async def record(server):
        probed.append(server.name)

    prober._probe = record
    prober.record_error("s0", BackendError("refused", step="connect"))
    running = asyncio.create_task(prober.run())
    await asyncio.sleep(seconds)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return len(probed)


@pytest.mark.parametrize(("rate", "most"), [(None, 100), (1.0, 2)])
def test_status_checks_of_a_suspected_server_count_as_requests(rate, most):
    dispatcher, load_table, _ = make_dispatcher([rate])
    dispatcher.due_probes = lambda _now: dispatcher.candidates("notes")
    count = asyncio.run(probes_within(dispatcher, 0.5))
    assert 0 < count <= most
    assert load_table.total("s0").started == (0 if rate is None else count)
