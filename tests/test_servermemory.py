"""Calls that a server's memory has room for, by reports that are some exchanges old."""

import pytest

from tests.loadtrees import Fleet
from tests.test_dispatch import make_dispatcher, make_servers, make_ticket
from verbenashore.directory import Directory
from verbenashore.dispatch import MAX_RETRY_SECONDS, Dispatcher, Verdict
from verbenashore.loadtable import MAX_TOKENS, Load, LoadTable, Report
from verbenashore.prefixes import PromptSize
from verbenashore.routing import Service
from verbenashore.servermemory import ITEM_PART, USED_PART, ServerMemory

MEMORY = 72_000


def declare(dispatcher, tokens=MEMORY, members=25):
    """Sets the declared memory of the servers, and the number of members."""
    dispatcher.memory.install([Service("notes", 100, memory_tokens=tokens)])
    dispatcher.memory.members = members
    return dispatcher


def sized(name, tokens, now=0.0, **changes):
    """Returns the ticket of a call that needs memory for some tokens."""
    return make_ticket(name, now, size=PromptSize(prompt=tokens), **changes)


def test_tokens_of_calls_count_until_they_end():
    table = LoadTable()
    dispatcher = declare(make_dispatcher(make_servers(1, slots=8), table))
    ticket = sized("a", 700)
    server = dispatcher.request(ticket, 0.0).server
    assert table.total("s0").tokens == 700
    dispatcher.release(server, 0.1, ticket)
    assert table.total("s0") == Load()


def test_a_call_larger_than_the_memory_of_any_server_is_refused_at_once():
    dispatcher = declare(make_dispatcher(make_servers(3, slots=8)))
    assert not dispatcher.fits(sized("a", MEMORY + 1))
    refused = dispatcher.request(sized("a", MEMORY + 1, accepts_late=True), 0.0)
    assert refused.verdict is Verdict.REFUSED and refused.retry_after > 0


def test_where_no_memory_is_declared_nothing_changes():
    for tokens in (0, 10**8):
        dispatcher = make_dispatcher(make_servers(1, slots=8))
        placed = [dispatcher.request(sized(str(n), tokens), 0.0) for n in range(8)]
        assert all(decision.verdict is Verdict.GRANTED for decision in placed)


def test_calls_without_a_stated_size_are_placed_as_before():
    dispatcher = declare(make_dispatcher(make_servers(1, slots=8)), tokens=10)
    placed = [dispatcher.request(make_ticket(str(n), 0.0), 0.0) for n in range(8)]
    assert all(decision.verdict is Verdict.GRANTED for decision in placed)


def test_a_memory_declared_too_low_admits_one_call_at_a_time():
    dispatcher = declare(make_dispatcher(make_servers(1, slots=8)), tokens=800)
    granted, now = [], 0.0
    waiting = [sized(str(n), 700, accepts_late=True, hard_deadline=100.0) for n in range(3)]
    for ticket in waiting:
        assert dispatcher.request(ticket, now).verdict is not Verdict.REFUSED
    while now < 60.0 and len(granted) < 3:
        now += 0.01
        total = dispatcher._load_table.total("s0")
        assert total.tokens <= 800
        for ticket, decision in dispatcher.poll(now):
            granted.append(ticket)
            dispatcher.release(decision.server, 0.01, ticket)
    assert len(granted) >= 2


def test_a_call_that_needs_an_idle_server_is_refused_at_once_if_there_is_none():
    """Guards against calls that wait in vain, and are told to come back within 0.2 s."""
    table = LoadTable()
    dispatcher = declare(make_dispatcher(make_servers(2, slots=8), table))
    table.add("s0", online=1, tokens=700)
    assert dispatcher.request(sized("one idle", 50_000), 0.0).verdict is not Verdict.REFUSED
    table.add("s1", online=1, tokens=700)
    refused = dispatcher.request(sized("none", 50_000), 0.0)
    assert (refused.verdict, refused.retry_after) == (Verdict.REFUSED, MAX_RETRY_SECONDS)
    last = dispatcher.request(sized("last attempt", 50_000, accepts_late=True), 0.0)
    assert last.verdict is Verdict.WAITING, "it gets no other chance"
    assert dispatcher.request(sized("smaller", 40_000), 0.0).verdict is not Verdict.REFUSED
    declare(dispatcher, members=1)
    assert dispatcher.request(sized("alone", 50_000), 0.0).verdict is Verdict.GRANTED


def test_a_large_call_does_not_keep_small_ones_waiting():
    table = LoadTable()
    table.record_report(Report("other", "i", 1, {"s0": Load(1, tokens=40_000)}), 0.0)
    dispatcher = declare(make_dispatcher(make_servers(1, slots=8), table))
    large = sized("large", 30_000, accepts_late=True)
    assert dispatcher.request(large, 0.0).verdict is Verdict.WAITING
    assert dispatcher.request(sized("small", 700), 0.0).verdict is Verdict.GRANTED
    dispatcher.poll(0.1)
    assert dispatcher.request(sized("small", 200), 0.1).verdict is Verdict.GRANTED


@pytest.mark.parametrize("entries", [19, 60])
def test_many_members_do_not_exceed_the_memory_of_one_server_near_its_limit(entries):
    """Guards the calls of a server that crashes when members place there at the same moment."""
    fleet = Fleet(entries, data_centres=3)
    directory = Directory()
    servers = make_servers(1, slots=400)
    directory.install_list(servers, 0.0)
    dispatchers = []
    for number, member in enumerate(fleet.members[:-1]):
        dispatcher = declare(Dispatcher(directory, member.table, "dc", number), members=entries)
        dispatchers.append((dispatcher, member))
    fleet.members[0].table.add("s0", tokens=40_000)
    fleet.run(1.0)
    ends, most, granted = [], 0, 0
    state = {"next": fleet.now}

    def step(now):
        nonlocal most, granted
        while ends and ends[0][0] <= now:
            _, dispatcher, ticket = ends.pop(0)
            dispatcher.release(servers[0], 0.5, ticket)
        while state["next"] <= now:
            state["next"] += 0.02
            # All members get a call at the same moment.
            for dispatcher, _ in dispatchers:
                ticket = sized("x", 1_000, now)
                if dispatcher.choose(ticket, now) is not None:
                    dispatcher._grant(servers[0], ticket, now)
                    ends.append((now + 0.5, dispatcher, ticket))
                    granted += 1
        used = sum(
            member.table.local_by_backend.get("s0", Load()).tokens for member in fleet.members
        )
        most = max(most, used)

    fleet.run(3.0, step)
    assert most <= MEMORY and granted > 20


def test_many_members_do_not_keep_ordinary_calls_waiting():
    """Guards the calls of 300 entries, whose calls together would exceed any server's memory."""
    directory = Directory()
    directory.install_list(make_servers(1, slots=8), 0.0)
    dispatcher = declare(Dispatcher(directory, LoadTable(), "dc"), members=300)
    for number in range(4):
        ticket = sized(f"c{number}", 700, float(number))
        assert dispatcher.request(ticket, float(number)).verdict is Verdict.GRANTED


@pytest.mark.parametrize("tokens", [-1, MAX_TOKENS + 1, -(1 << 40)])
def test_invalid_tokens_of_another_member_do_not_count(tokens):
    table = LoadTable()
    table.record_report(Report("bad", "i", 1, {"s0": Load(1, tokens=tokens)}), 0.0)
    assert table.total("s0") == Load(1)


def test_items_leave_memory_for_online_calls():
    memory = ServerMemory()
    memory.install([Service("notes", 100, memory_tokens=MEMORY)])
    limit = int(MEMORY * ITEM_PART)
    assert memory.may_hold_item("notes", Load(0, 2, tokens=limit - 5_000), 5_000)
    assert not memory.may_hold_item("notes", Load(0, 2, tokens=limit - 5_000), 5_001)
    assert memory.may_hold_item("notes", Load(), MEMORY), "a large one runs alone"
    assert not memory.may_hold_item("notes", Load(1), MEMORY)
    assert memory.may_hold(make_servers(1)[0], Load(0, 2, tokens=limit), 1_000, 1.0, 0.0)
    assert limit < MEMORY * USED_PART
