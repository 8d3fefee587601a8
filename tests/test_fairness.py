"""Workspaces that take turns at free slots, in a load with a burst, against the previous order."""

from collections import Counter

import msgspec
import pytest

from tests import waves
from tests.quotafleets import QuotaFleet
from tests.test_dispatch import make_dispatcher, make_servers, make_ticket
from tests.test_jobrunner import full_run_seconds, make_job
from verbenashore.dispatch import Ticket, Verdict
from verbenashore.fairness import FairShares
from verbenashore.itemorder import TURN_ITEMS, items_by_urgency
from verbenashore.loadtree import OwnLoad
from verbenashore.routing import Workspace

ENTRIES, SERVERS, WORKSPACES = 19, 20, 72
#: Calls a second of all workspaces, and of the one that sends a burst; seconds that a call holds a
#: slot, so that the usual waves need at most 0.85 of the slots.
USUAL, LARGE_USUAL, HOLD_SECONDS = 88.2, 10.6, 0.84
BURST_FACTOR, BURST_SECONDS, BURST_AT = 7, 6.5, 6.6
OBJECTIVE, WAIT_SHARE = 0.308, 0.75


class BurstWave(waves.Wave):
    """Waves of calls of many workspaces, of which the first sends a burst.

    :param fair: whether workspaces take turns.
    """

    def __init__(self, fair, **options):
        self.fair = fair
        self.by_group = {"others": Counter(), "large": Counter()}
        super().__init__(ENTRIES, SERVERS, USUAL, **options)
        self.fleet.own_load = self._own_load
        for member in self.fleet.entries:
            dispatcher = self.dispatcher_by_name[member.node.name]
            quotas = member.quotas
            if fair:
                names = lambda quotas=quotas: quotas.names  # noqa: E731
                dispatcher._fair_shares = FairShares(names, quotas.recent, quotas.weight)
            self._at(self.fleet.now, self._poll_all, member, dispatcher)

    def _own_load(self, member):
        return OwnLoad([], self.dispatcher_by_name[member.node.name].waiting_by_service())

    def _arrive(self, now):
        seconds = now - 1.0
        share = waves.HIGH if seconds % waves.PERIOD >= waves.RISE_AT else waves.LOW
        in_burst = BURST_AT <= seconds < BURST_AT + BURST_SECONDS
        large = LARGE_USUAL * (BURST_FACTOR if in_burst else 1)
        rate = (USUAL - LARGE_USUAL + large) * share
        self._at(now + self.random.expovariate(rate), self._arrive)
        is_large = self.random.random() < large * share / rate
        number = 0 if is_large else self.random.randrange(1, WORKSPACES)
        member = self.random.choice(self.fleet.entries)
        self._call(now, now, member, f"w{number}", False)

    def _call(self, now, arrived_at, member, workspace, is_retry):
        if member.quotas.admit(workspace, now):
            self._count(workspace, "over its limit")
            return
        ticket = Ticket(
            str(next(self._next_call)),
            "lm",
            0,
            arrived_at + OBJECTIVE * WAIT_SHARE,
            arrived_at + waves.TIMEOUT * 0.8,
            accepts_late=is_retry,
            workspace=workspace,
        )
        self._request(now, member, ticket, set())

    def _request(self, now, member, ticket, excluded):
        ticket.excluded |= excluded
        decision = self.dispatcher_by_name[member.node.name].request(ticket, now)
        self._decide(now, member, ticket, decision)

    def _decide(self, now, member, ticket, decision):
        if decision.verdict is Verdict.GRANTED:
            self._send(now, member, ticket, decision.server, ticket.excluded)
        elif decision.verdict is Verdict.REFUSED:
            member.quotas.take_back(ticket.workspace, now)
            if ticket.accepts_late:
                self._count(ticket.workspace, "refused")
                return
            arrived_at = ticket.soft_deadline - OBJECTIVE * WAIT_SHARE
            other = self.random.choice(self.fleet.entries)
            again = (arrived_at, other, ticket.workspace, True)
            self._at(now + decision.retry_after, self._call, *again)

    def _begin(self, now, server, call):
        server.calls += 1
        ticket = call[1]
        self._count(ticket.workspace, "on time" if now <= ticket.soft_deadline else "late")
        self._at(now + HOLD_SECONDS, self._end, server, call)

    def _poll_all(self, now, member, dispatcher):
        self._at(now + waves.RETRY_SECONDS, self._poll_all, member, dispatcher)
        for ticket, decision in dispatcher.poll(now):
            self._decide(now, member, ticket, decision)

    def _run_items(self, now):
        """Runs no items."""

    def _count(self, workspace, outcome):
        self.by_group["large" if workspace == "w0" else "others"][outcome] += 1

    def on_time(self, group):
        """Returns the share of a group's calls that were on time."""
        counts = self.by_group[group]
        return counts["on time"] / sum(counts.values())


def play(monkeypatch, fair, limited, seed):
    """Plays three waves with a burst, with or without a limit on each workspace."""
    rates = [10.6, *[1.1] * (WORKSPACES - 1)]
    limits = tuple(
        Workspace(f"w{n}", (), None, 8 * rate if limited else 0.0, 8 * rate if limited else 0.0)
        for n, rate in enumerate(rates)
    )
    monkeypatch.setattr(waves, "SLOTS", 8)
    monkeypatch.setattr(waves, "Fleet", lambda count, seed: QuotaFleet(count, limits, seed=seed))
    return BurstWave(fair, seed=seed).play(3 * waves.PERIOD)


@pytest.mark.parametrize("limited", [False, True])
def test_a_burst_of_one_workspace_delays_others_less_than_in_the_previous_order(
    monkeypatch, limited
):
    """Guards against calls of others that are refused or wait since one workspace sends a burst."""
    plays = {
        fair: [play(monkeypatch, fair, limited, seed) for seed in (1, 2)] for fair in (False, True)
    }
    missed = {fair: sum(1 - wave.on_time("others") for wave in plays[fair]) for fair in plays}
    assert missed[True] < 0.65 * missed[False]
    on_time = {
        fair: sum(c["on time"] for wave in plays[fair] for c in wave.by_group.values())
        for fair in plays
    }
    assert on_time[True] >= 0.99 * on_time[False]


def fair_dispatcher(recent_by_name, servers=1, slots=1):
    """Returns a dispatcher of workspaces of equal weight with some recent usage."""
    dispatcher = make_dispatcher(make_servers(servers, slots))
    dispatcher._fair_shares = FairShares(
        lambda: recent_by_name, lambda name, _now: recent_by_name[name], lambda _name: 1.0
    )
    return dispatcher


def queue_calls(dispatcher, workspaces, **changes):
    """Takes all slots and queues a call of each of some workspaces; returns the tickets."""
    while dispatcher.choose(make_ticket("x", 0.0), 0.0) is not None:
        dispatcher.request(make_ticket("x", 0.0), 0.0)
    tickets = []
    for number, workspace in enumerate(workspaces):
        at = 0.001 * number
        ticket = make_ticket(str(number), at, soft_deadline=at + 9.0, hard_deadline=at + 9.0)
        ticket.workspace = workspace
        for name, value in changes.items():
            setattr(ticket, name, value[number])
        assert dispatcher.request(ticket, at).verdict is Verdict.WAITING
        tickets.append(ticket)
    return tickets


def ids_in_order(dispatcher):
    """Returns the ids of the waiting tickets in the order in which they get slots."""
    return [int(ticket.id) for ticket in dispatcher._in_order(0.1)]


def test_workspaces_of_one_rank_take_turns_and_ranks_go_first():
    dispatcher = fair_dispatcher({"a": 3.0, "b": 0.0})
    queue_calls(dispatcher, "aabbbbb", rank=(0, 0, 0, 0, 0, 0, -1))
    # Calls of b go first until its usage has reached that of a; equal ones by their deadlines.
    assert ids_in_order(dispatcher) == [6, 2, 3, 4, 0, 5, 1]
    server = dispatcher.candidates("notes")[0]
    dispatcher.release(server, 0.1)
    assert [ticket.id for ticket, _ in dispatcher.poll(0.1)] == ["6"]


def test_the_expected_wait_counts_only_calls_that_go_before():
    dispatcher = fair_dispatcher({"a": 9.0, "b": 1.0, "c": 1.0})
    queue_calls(dispatcher, "aaaaaaaa")
    waits = {}
    for name in "abc":
        ticket = msgspec.structs.replace(make_ticket(name, 0.1), workspace=name)
        waits[name] = dispatcher.expected_wait("notes", ticket, 0.1)
    assert waits["b"] == waits["c"] < waits["a"] / 8


def test_without_workspaces_the_order_and_decisions_are_the_previous_ones():
    """Guards deployments without workspaces against any change."""
    plain, fair = make_dispatcher(make_servers(2)), fair_dispatcher({}, 2, 2)
    for dispatcher in (plain, fair):
        queue_calls(dispatcher, [None] * 6, rank=(2, 1, 1, 0, 2, 0))
    assert ids_in_order(fair) == ids_in_order(plain)
    new = [make_ticket("n", 0.1) for _ in range(2)]
    assert plain.request(new[0], 0.1) == fair.request(new[1], 0.1)
    assert plain.expected_wait("notes") == fair.expected_wait("notes", new[1], 0.1)


def owned_job(number, at, items, workspace):
    """Returns a job of a workspace."""
    job = make_job(number, at, items)
    return msgspec.structs.replace(job, workspace=workspace)


def test_thousands_of_items_of_one_workspace_do_not_delay_the_ten_of_another():
    jobs = [owned_job(n, 0.01 * n, 100, "large") for n in range(50)]
    jobs.append(owned_job(99, 1.0, 10, "small"))
    keys = items_by_urgency(jobs, 1.0, full_run_seconds)
    places = [place for place, key in enumerate(keys) if key[0] == "job-099"]
    assert max(places) < TURN_ITEMS + 10 and len(keys) == 5010


def test_the_items_of_one_owner_or_none_run_in_the_previous_order():
    plain = [make_job(n, 0.5 * (n % 3), 30) for n in range(6)]
    owned = [owned_job(n, 0.5 * (n % 3), 30, "w") for n in range(6)]
    order = items_by_urgency(plain, 3.0, full_run_seconds)
    assert items_by_urgency(owned, 3.0, full_run_seconds) == order
