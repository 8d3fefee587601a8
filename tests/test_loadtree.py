"""The exchange of load between members: what each learns, how late, and what it costs a member."""

import statistics

import msgspec
import pytest

from tests.loadtrees import Fleet
from verbenashore.fingerprints import Identity
from verbenashore.gossip import MIN_INTERVAL_SECONDS
from verbenashore.loadtable import REPORT_SECONDS, Load, Report
from verbenashore.loadtree import FAN_OUT, PARENT_SILENT_SECONDS, OwnLoad

DATA_CENTRES = 5
SERVERS = 40
#: Seconds within which a member that is in touch must know what others know.
CONTACT_SECONDS = 3.0
#: Neighbours of the busiest member: its children in its data centre, the first members of the other
#: data centres, its parent, and the ledger process that runs items.
MOST_NEIGHBOURS = FAN_OUT + DATA_CENTRES + 1


def change_loads(fleet, per_second):
    """Returns a step function under which calls begin and end at all entries.

    :param per_second: changes at each entry.
    """
    entries = fleet.members[:-1]
    state = {"next": fleet.now}

    def step(now):
        while now >= state["next"]:
            entry = fleet.random.choice(entries)
            backend = f"s{fleet.random.randrange(SERVERS)}"
            held = entry.table.local_by_backend.get(backend, Load()).online
            entry.table.add(backend, online=-1 if held and fleet.random.random() < 0.5 else 1)
            state["next"] += 1 / (per_second * len(entries))

    return step


def traffic(members):
    """Returns the mean and the largest number of datagrams that a member sent and received."""
    fleet = Fleet(members, DATA_CENTRES)
    fleet.run(1.0)
    before = {member.node.name: member.sent + member.received for member in fleet.members}
    fleet.run(2.0, change_loads(fleet, per_second=20))
    counts = [
        (member.sent + member.received - before[member.node.name]) / 2.0 for member in fleet.members
    ]
    return statistics.mean(counts), max(counts)


def test_datagrams_of_a_member_do_not_grow_with_the_fleet():
    """Guards against reports of each member to each other: 59 members sent 80,000 a second."""
    bound = 2 * MOST_NEIGHBOURS / MIN_INTERVAL_SECONDS
    small, large, planned = traffic(30), traffic(130), traffic(380)
    assert max(small[1], large[1], planned[1]) <= bound
    assert max(large[0], planned[0]) <= 1.5 * small[0]


def test_all_members_of_a_large_fleet_refuse_a_held_request_soon_and_then_say_no_more_of_it():
    """Guards against records of crashes in each report, for as long as they are kept."""
    fleet = Fleet(380, DATA_CENTRES, loss=0.1)
    fleet.run(1.0)
    identity = Identity("GET", "h", "/bad", None, [], b"")
    for server, member in zip(("s1", "s2"), fleet.members, strict=False):
        member.crashed_calls.record_crash(identity, server, begun=False)
        fleet.run(0.05)
    fleet.run(CONTACT_SECONDS)
    assert all(member.crashed_calls.held_request(identity) for member in fleet.members)
    sent = sum(member.sent_records for member in fleet.members)
    fleet.run(5.0)
    assert sum(member.sent_records for member in fleet.members) == sent


def test_an_earlier_build_that_states_no_digest_is_sent_no_records():
    fleet = Fleet(2, 1)
    first, earlier, _ = fleet.members
    first.crashed_calls.record_crash(Identity("GET", "h", "/bad", None, [], b""), "s", begun=False)
    own_load = fleet.own_load
    fleet.own_load = lambda member: (
        own_load(member) if member is first else OwnLoad([], {}, crashed_calls_digest=None)
    )
    fleet.run(1.0)
    assert first.sent_records == 0 and earlier.received > 0


@pytest.mark.parametrize("members", [1, 8, 60, 130])
def test_all_members_learn_the_sum_over_all(members):
    fleet = Fleet(members)
    for number, member in enumerate(fleet.members):
        member.table.add("s0", online=1 + number % 3)
    fleet.run(1.0)
    assert set(fleet.errors("s0")) == {0}


def test_a_change_reaches_all_members_within_five_exchanges():
    fleet = Fleet(60)
    fleet.run(1.0)
    for member in fleet.members[:5]:
        member.table.add("s0", online=1)
    fleet.run(5 * MIN_INTERVAL_SECONDS)
    assert set(fleet.errors("s0")) == {0}


def test_lost_datagrams_delay_an_update_and_nothing_else():
    fleet = Fleet(60, loss=0.025)
    fleet.run(2.0, change_loads(fleet, per_second=20))
    fleet.run(1.0)
    assert all(set(fleet.errors(f"s{n}")) == {0} for n in range(SERVERS))


@pytest.mark.parametrize("data_centre", ["dc-0", "dc-3"])
def test_a_lost_parent_is_replaced_and_no_call_counts_twice(data_centre):
    fleet = Fleet(60)
    for member in fleet.members:
        member.table.add("s0", online=1)
    fleet.run(1.0)
    lost = min(
        (m for m in fleet.members if m.node.position.data_centre == data_centre),
        key=lambda member: member.node.position,
    )
    assert len(lost.tree.children) > 5
    lost.alive = False
    fleet.run(3 * PARENT_SILENT_SECONDS)
    # The calls of the lost member itself still run at the server.
    assert set(fleet.errors("s0")) <= {0, 1}
    fleet.run(2.0, change_loads(fleet, per_second=20))
    fleet.run(REPORT_SECONDS)
    assert set(fleet.errors("s0")) == {0}
    lost.alive = True
    fleet.run(3.0)
    assert set(fleet.errors("s0")) == {0}


def test_members_that_know_different_lists_form_no_cycle():
    """A call that comes back to the member that reported it would be counted without end."""
    fleet = Fleet(60)
    for member in fleet.members:
        member.table.add("s0", online=1)
        known = fleet.random.sample(fleet.members[:-1], 20)
        member.tree.set_nodes([other.node for other in known])
    fleet.run(5.0)
    assert max(fleet.errors("s0")) <= 0
    fleet.tell_members(fleet.members[:-1])
    fleet.run(2.0)
    assert set(fleet.errors("s0")) == {0}


def test_a_member_that_leaves_counts_no_longer():
    fleet = Fleet(60)
    for member in fleet.members:
        member.table.add("s0", online=1)
    fleet.run(1.0)
    leaving = fleet.members[7]
    for address, report in leaving.tree.leave():
        fleet._send(leaving, address, report)
    leaving.alive = False
    fleet.run(1.0)
    assert set(fleet.errors("s0")) == {0}


def test_a_report_of_an_earlier_build_is_read_and_not_counted():
    """Earlier builds report to all members, which would count calls twice beside the tree."""
    earlier = msgspec.msgpack.encode(["old", "i", 1, {"s0": [2, 0]}, [], {}])
    report = msgspec.msgpack.decode(earlier, type=Report)
    fleet = Fleet(8)
    assert not fleet.members[0].tree.receive(report, ("10.9.9.9", 1), 0.0)
    assert fleet.members[0].table.total("s0") == Load()
