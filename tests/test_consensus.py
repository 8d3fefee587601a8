"""The replicated log: agreement, leases and membership under losses of every kind."""

import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.group import TIMING, Group, entry, run_machine
from verbenashore import consensus, replication
from verbenashore.consensus import Role
from verbenashore.replication import (
    AppendRequest,
    Base,
    HardState,
    Membership,
    Packet,
    Peer,
    RollCallReply,
    RollCallRequest,
    Snapshot,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)

NAMES = st.sampled_from(["n0", "n1", "n2", "n3"])


class LossyGroup(RuleBasedStateMachine):
    """Any mix of losses, with the promises checked after each step."""

    def __init__(self):
        super().__init__()
        self.group = Group(size=3, spares=1)
        self.group.run(2.0)
        self.proposed = 0

    @rule(seconds=st.sampled_from([0.02, 0.3, 1.0, 3.0]))
    def time_passes(self, seconds):
        self.group.run(seconds)

    @rule(count=st.integers(1, 5))
    def a_client_proposes(self, count):
        for _ in range(count):
            self.proposed += 1
            self.group.propose(b"%d" % self.proposed)

    @rule(name=NAMES)
    def a_replica_crashes(self, name):
        self.group.crash(name)

    @rule(name=NAMES)
    def a_replica_crashes_before_its_sync(self, name):
        if name in self.group.replicas:
            self.group.carry_out(name, crash_before_sync=True)

    @rule(name=NAMES)
    def a_replica_restarts(self, name):
        self.group.restart(name)

    @rule(names=st.sets(NAMES, min_size=2))
    def several_replicas_restart(self, names):
        for name in sorted(names):
            self.group.restart(name)

    @rule(name=NAMES)
    def a_disk_is_emptied(self, name):
        # Emptied disks of a majority at once are more than any group bears.
        group = self.group
        for server in group.servers():
            voters = consensus.membership(group.replicas[server]).voters
            alive = {group.replicas[other].id for other in group.running()}
            if len(voters) == group.size and {peer.id for peer in voters} <= alive:
                group.start_new(name)

    @rule(name=NAMES)
    def a_replica_freezes(self, name):
        self.group.frozen.add(name)

    @rule()
    def all_thaw(self):
        self.group.frozen.clear()

    @rule(names=st.sets(NAMES, max_size=2))
    def the_network_parts(self, names):
        self.group.cut = names

    @rule()
    def the_network_heals(self):
        self.group.cut = set()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def packets_are_lost(self, loss):
        self.group.loss = loss

    @rule(name=NAMES)
    def packets_come_twice(self, name):
        self.group.packets += self.group.packets[:20]

    @rule(name=NAMES)
    def a_log_is_compacted(self, name):
        if name in self.group.replicas:
            self.group.compact(name)

    @rule(name=NAMES)
    def a_leader_hands_over(self, name):
        if name in self.group.replicas:
            consensus.hand_over(self.group.replicas[name], self.group.now)

    @invariant()
    def promises_hold(self):
        self.group.check()

    def teardown(self):
        """Whatever happened, a healed group commits again."""
        group = self.group
        group.cut, group.loss, group.frozen = set(), 0.0, set()
        for name in group.disks:
            if name not in group.replicas:
                group.restart(name)
        group.run(8.0)
        group.propose(b"last")
        group.run(1.0)
        assert b"last" in group.commands()


def test_any_mix_of_losses_keeps_the_promises():
    run_machine(LossyGroup, examples=40, steps=40)


def test_a_new_leader_serves_within_a_second_of_the_old_ones_death():
    group = Group()
    group.run(2.0)
    (leader,) = group.servers()
    group.crash(leader)
    group.run(1.0)
    assert group.servers()


def stopped_group(seed):
    """Returns a group that committed something and was then stopped, and who led it."""
    group = Group(seed=seed)
    group.run(2.0)
    group.propose(b"kept")
    group.run(0.5)
    (leader,) = group.servers()
    for name in list(group.replicas):
        group.crash(name)
    group.run(1.0)
    return group, leader


def test_a_group_that_was_down_as_a_whole_has_a_leader_without_the_wait_for_a_lease():
    group, _ = stopped_group(seed=3)
    for name in group.disks:
        group.restart(name)
        group.run(0.1)
    group.run(0.1)
    assert group.servers(), "the last one has run for 0.2 s, and an election waits 0.4 s"
    assert group.commands() == [b"kept"]


def test_a_group_that_was_down_does_not_wait_for_a_voter_that_lost_its_disk():
    group, leader = stopped_group(seed=4)
    for name in group.disks:
        (group.start_new if name == leader else group.restart)(name)
        group.run(0.1)
    group.run(0.1)
    assert group.servers() and group.commands() == [b"kept"]


def test_a_restarted_majority_waits_for_the_lease_of_a_leader_that_it_can_not_see():
    for seed in range(20):
        group = Group(seed=seed)
        group.run(2.0)
        (leader,) = group.servers()
        others = [name for name in sorted(group.replicas) if name != leader]
        group.cut = {leader}
        for name in others:
            group.restart(name)
        group.run(TIMING.election_min - 0.06)
        assert not any(group.replicas[name].role is Role.LEADER for name in others)
        group.run(1.5)
        assert group.servers() and leader not in group.servers()


def test_a_restarted_group_chooses_the_newest_log_at_once():
    group = Group(seed=5)
    group.run(2.0)
    (leader,) = group.servers()
    late = next(name for name in sorted(group.replicas) if name != leader)
    group.crash(late)
    group.propose(b"kept")
    group.run(0.2)
    term = max(replica.hard.term for replica in group.replicas.values())
    for name in list(group.replicas):
        group.crash(name)
    group.run(0.1)
    for name in group.disks:
        group.restart(name)
    group.run(0.24)
    (chosen,) = group.servers()
    assert chosen != late and group.replicas[chosen].hard.term == term + 1


def test_a_leader_that_is_cut_off_stops_serving_before_another_starts():
    group = Group()
    group.run(2.0)
    (old,) = group.servers()
    group.cut = {old}
    group.run(0.36)
    assert old not in group.servers()
    group.run(2.0)
    assert group.servers() and old not in group.servers()


def test_what_a_cut_off_leader_appended_gives_way_to_what_was_committed():
    group = Group()
    group.run(2.0)
    (old,) = group.servers()
    group.cut = {old}
    group.propose(b"lost")
    group.run(2.0)
    group.propose(b"kept")
    group.run(0.5)
    group.cut = set()
    group.run(2.0)
    assert group.commands() == [b"kept"]
    logs = [replica.entries for replica in group.replicas.values()]
    assert logs[0] == logs[1] == logs[2]


def test_a_frozen_leader_does_not_serve_when_it_thaws():
    group = Group()
    group.run(2.0)
    (old,) = group.servers()
    group.frozen.add(old)
    group.run(2.0)
    group.frozen.clear()
    assert old not in group.servers()


def test_an_emptied_disk_comes_back_as_a_learner_and_is_replaced_as_a_voter():
    group = Group()
    group.run(2.0)
    for number in range(20):
        group.propose(b"%d" % number)
    group.run(0.5)
    (leader,) = group.servers()
    victim = next(name for name in sorted(group.replicas) if name != leader)
    old_id = group.replicas[victim].id
    group.start_new(victim)
    group.run(6.0)
    known = consensus.membership(group.replicas[group.servers()[0]])
    assert len(known.voters) == 3
    assert old_id not in {peer.id for peer in known.voters}
    assert group.replicas[victim].id in {peer.id for peer in known.voters}


def test_a_second_loss_right_after_the_repair_is_survived():
    group = Group(spares=1)
    group.run(2.0)
    group.propose(b"kept")
    group.run(0.5)
    group.crash(group.servers()[0])
    group.run(8.0)
    group.crash(group.servers()[0])
    group.run(3.0)
    group.propose(b"after")
    group.run(1.0)
    assert group.commands() == [b"kept", b"after"]


def test_a_replica_behind_a_snapshot_catches_up():
    group = Group()
    group.run(2.0)
    (leader,) = group.servers()
    late = next(name for name in sorted(group.replicas) if name != leader)
    group.crash(late)
    for number in range(300):
        group.propose(b"%d" % number)
    group.run(0.5)
    for name in group.running():
        group.compact(name)
    group.restart(late)
    group.run(2.0)
    assert group.replicas[late].commit >= 300


#: Bytes per second of the slowest line on the users' pages, 15 Mbit/s.
SLOW_LINE = 15e6 / 8
#: Takes 2.8 times the longest election time on that line.
LARGE_SNAPSHOT = 4_000_000


def behind_a_slow_line(*, emptied, seed=0):
    """Returns a group whose snapshot is large, its leader, and a replica that needs it."""
    group = Group(seed=seed)
    group.snapshot_bytes = LARGE_SNAPSHOT
    group.run(2.0)
    (leader,) = group.servers()
    late = next(name for name in sorted(group.replicas) if name != leader)
    group.crash(late)
    for number in range(20):
        group.propose(b"%d" % number * (1 << 20))
    group.run(1.5)
    for name in group.running():
        group.compact(name)
    (group.start_new if emptied else group.restart)(late)
    group.rates[late] = SLOW_LINE
    return group, leader, late


def run_and_note(group, leader, late, seconds):
    """Runs a group; returns the longest time without a known answer of a replica."""
    longest = 0.0
    late_id = group.replicas[late].id
    for _ in range(round(seconds / 0.02)):
        group.step()
        known = consensus.membership(group.replicas[leader])
        if late_id in {peer.id for peer in (*known.voters, *known.learners)}:
            answered = consensus.progress_of(group.replicas[leader], late_id).acknowledged
            if answered > 0.0:
                longest = max(longest, group.now - answered)
    return longest


def test_a_large_snapshot_reaches_a_learner_behind_a_slow_line_and_goes_over_it_once():
    group, leader, late = behind_a_slow_line(emptied=True)
    run_and_note(group, leader, late, 6.0)
    assert group.replicas[late].commit >= 20
    assert group.sent_bytes[late] < 1.2 * LARGE_SNAPSHOT


def test_a_voter_behind_a_slow_line_hears_its_leader_while_it_gets_a_large_snapshot():
    group, leader, late = behind_a_slow_line(emptied=False)
    group.run(0.2)
    started = group.replicas[late].hard.term
    longest = run_and_note(group, leader, late, 6.0)
    assert group.replicas[late].commit >= 20
    assert group.replicas[late].hard.term == started and group.servers() == [leader]
    assert longest < TIMING.lease


def test_a_snapshot_goes_on_where_it_was_after_parts_are_lost():
    group, leader, late = behind_a_slow_line(emptied=False, seed=1)
    group.loss = 0.1
    group.run(10.0)
    group.loss = 0.0
    group.run(1.0)
    assert group.replicas[late].commit >= 20
    assert group.sent_bytes[late] < 1.5 * LARGE_SNAPSHOT


def test_a_replica_gets_a_snapshot_from_a_leader_that_takes_the_next_ones_meanwhile():
    group, leader, late = behind_a_slow_line(emptied=True)
    for number in range(30):
        group.run(0.4)
        group.propose(b"more %d" % number)
        group.compact(leader)
    group.run(1.0)
    assert group.replicas[late].commit == group.replicas[leader].commit
    assert group.sent_bytes[late] < 1.5 * LARGE_SNAPSHOT


def test_a_replica_that_starts_again_amid_a_snapshot_still_gets_one():
    group, leader, late = behind_a_slow_line(emptied=False)
    group.run(1.5)
    assert consensus.progress_of(group.replicas[leader], group.replicas[late].id).sending.received
    group.restart(late)
    group.propose(b"more")
    group.compact(leader)
    group.run(4.0)
    assert group.replicas[late].commit == group.replicas[leader].commit
    assert group.replicas[late].receiving is None


def lacking_entries(count, size, seed=0):
    """Returns a group with a replica on a slow line that lacks many bytes of entries."""
    group = Group(seed=seed)
    group.run(2.0)
    (leader,) = group.servers()
    late = next(name for name in sorted(group.replicas) if name != leader)
    group.crash(late)
    for _ in range(count):
        group.propose(b"a" * size)
    group.run(1.5)
    group.restart(late)
    group.rates[late] = SLOW_LINE
    group.run(0.2)
    return group, leader, late


@pytest.mark.parametrize(("count", "size"), [(40, 100_000), (8_000, 500)])
def test_a_replica_that_lacks_many_entries_hears_its_leader_while_it_gets_them(count, size):
    group, leader, late = lacking_entries(count, size)
    term = group.replicas[late].hard.term
    longest = run_and_note(group, leader, late, 8.0)
    assert group.replicas[late].commit == group.replicas[leader].commit
    assert longest < TIMING.lease
    assert group.replicas[late].hard.term == term and group.servers() == [leader]
    on_the_line = sum(len(msgspec.msgpack.encode(kept)) for kept in group.replicas[leader].entries)
    assert group.sent_bytes[late] < 1.2 * on_the_line


def test_commands_proposed_meanwhile_do_not_fill_the_line_of_a_replica_that_is_behind():
    group, leader, late = lacking_entries(40, 100_000)
    longest = 0.0
    for number in range(100):
        group.propose(b"%d" % number * 5_000)
        longest = max(longest, run_and_note(group, leader, late, 0.04))
    assert longest < TIMING.lease
    run_and_note(group, leader, late, 6.0)
    assert group.replicas[late].commit == group.replicas[leader].commit


def test_an_entry_larger_than_a_message_should_be_still_gets_through():
    group, leader, late = lacking_entries(2, 1_500_000)
    group.run(4.0)
    assert group.replicas[late].commit == group.replicas[leader].commit


def test_a_lost_message_makes_no_more_than_the_window_be_sent_again():
    total, loss, groups = 0, 0.1, 6
    for seed in range(groups):
        group, leader, late = lacking_entries(200, 20_000, seed=seed)
        group.loss = loss
        group.run(10.0)
        assert group.replicas[late].commit == group.replicas[leader].commit
        total += group.sent_bytes[late]
    window = consensus.WINDOW_BYTES / consensus.MAX_BYTES_PER_MESSAGE
    assert total < groups * 200 * 20_000 * (1 + loss * window)


def kept_bytes(group, leader):
    """Returns how much a leader keeps of what its newest snapshot stands for."""
    replica = group.replicas[leader]
    count = replica.snapshot.base.index - replica.base.index
    return sum(len(kept.data) for kept in replica.entries[:count])


def test_the_entries_kept_for_a_replica_that_gets_a_snapshot_are_limited_and_end_with_its_need():
    group, leader, late = behind_a_slow_line(emptied=False)
    group.run(0.5)
    sizes = []
    for _ in range(8):
        group.propose(b"a" * (consensus.KEPT_LOG_BYTES // 5))
        group.run(0.1)
        group.compact(leader)
        sizes.append(kept_bytes(group, leader))
        assert group.replicas[late].receiving is not None
    assert sizes[:5] == sorted(sizes[:5]) and sizes[0] > 0
    assert max(sizes) <= consensus.KEPT_LOG_BYTES
    group.rates.clear()
    group.run(6.0)
    assert group.replicas[late].commit == group.replicas[leader].commit
    assert kept_bytes(group, leader) == 0
    group.crash(late)
    group.run(TIMING.election_max)
    group.propose(b"a")
    group.run(0.1)
    group.compact(leader)
    assert kept_bytes(group, leader) == 0, "one that is away needs a snapshot anyway"


def part(term, index, offset, data, size=4):
    """Returns a leader's message with a part of a snapshot."""
    return SnapshotRequest(term, Base(index, 5, started().base.membership), size, offset, data, 0.0)


def test_parts_that_are_late_repeated_or_of_another_snapshot_are_never_mixed():
    replica = started()
    assert tell(replica, "b", part(5, 20, 2, b"cd"))["b"].received == 0, "the first is missing"
    assert tell(replica, "b", part(5, 20, 0, b"ab"))["b"].received == 2
    assert tell(replica, "b", part(5, 20, 0, b"ab"))["b"].received == 2
    assert tell(replica, "b", part(5, 19, 2, b"yz"))["b"] == SnapshotReply(5, 20, 2, 0.0)
    assert tell(replica, "b", part(5, 21, 2, b"yz"))["b"] == SnapshotReply(5, 21, 0, 0.0)
    assert tell(replica, "b", part(5, 20, 2, b"cd"))["b"] == SnapshotReply(5, 21, 0, 0.0)
    assert tell(replica, "b", part(5, 21, 0, b"wx"))["b"].received == 2
    assert tell(replica, "c", part(6, 21, 2, b"yz"))["c"].received == 0, "of another leader"
    assert tell(replica, "c", part(6, 21, 0, b"12"))["c"].received == 2
    consensus.receive(replica, Packet("c", "a", part(6, 21, 2, b"34")), 0.01)
    output = consensus.take_output(replica)
    assert (output.install.base.index, output.install.data) == (21, b"1234")
    assert [packet.message.match for packet in output.packets] == [21]
    assert replica.receiving is None and replica.commit == 21


def test_the_parts_of_a_snapshot_are_dropped_once_the_log_or_another_leader_passes_them():
    replica = started()
    tell(replica, "b", part(5, 8, 0, b"ab"))
    tell(replica, "b", AppendRequest(5, 7, 5, [entry(8, 5)], 8, 0.0))
    assert replica.receiving is None
    tell(replica, "b", part(5, 20, 0, b"ab"))
    tell(replica, "c", append(6))
    assert replica.receiving is None


def vote(request, *, replica_id="a", now=10.0):
    """Returns the answer of a replica that has just started, after its shelter has ended."""
    hard = HardState(5, "")
    replica = consensus.new_replica(replica_id, replication.Timing(), 1, hard, Snapshot(), [], 0.0)
    consensus.receive(replica, Packet("b", "a", request), now)
    output = consensus.take_output(replica)
    return [p.message for p in output.packets if isinstance(p.message, VoteReply)]


def test_a_vote_for_another_id_is_not_given():
    assert vote(VoteRequest(9, 0, 0, False, False), replica_id="a2") == []


def test_a_restarted_replica_grants_no_vote_while_a_lease_may_last():
    request = VoteRequest(9, 0, 0, False, False)
    assert not vote(request, now=0.1)[0].granted
    assert vote(request, now=10.0)[0].granted


def test_a_replica_votes_once_in_a_term():
    replica = consensus.new_replica("a", replication.Timing(), 1, HardState(), Snapshot(), [], 0.0)
    for sender in ("b", "c"):
        request = VoteRequest(3, 0, 0, False, False)
        consensus.receive(replica, Packet(sender, "a", request), 10.0)
    replies = [packet.message.granted for packet in consensus.take_output(replica).packets]
    assert replies == [True, False]
    assert replica.role is Role.FOLLOWER


def test_a_replica_that_joins_a_long_settled_leader_is_given_time_to_answer():
    group = Group()
    group.run(3 * TIMING.replace_after)
    leader = group.servers()[0]
    lost = next(name for name in sorted(group.replicas) if name != leader)
    group.crash(lost)
    group.start_new(lost)
    while not consensus.membership(group.replicas[leader]).learners:
        group.step()
    # Its link takes a moment longer than the commit of its admission.
    group.cut.add(lost)
    group.run(0.3)
    assert group.peer(lost) in consensus.membership(group.replicas[leader]).learners
    group.cut.clear()
    group.run(1.0)
    assert group.peer(lost) in consensus.membership(group.replicas[leader]).voters
    assert len(consensus.membership(group.replicas[leader]).voters) == 3


def started(names="abc"):
    """Returns replica ``a`` of a group that has just started, with term 5 on its disk."""
    known = Membership(tuple(Peer(name, name, name) for name in names))
    base = Base(7, 5, known)
    return consensus.new_replica(
        "a", replication.Timing(), 1, HardState(5, ""), Snapshot(base), [], 0.0
    )


def tell(replica, sender, message, now=0.01):
    """Hands a replica one message and returns what it sends, by recipient."""
    consensus.receive(replica, Packet(sender, "a", message), now)
    return {packet.to: packet.message for packet in consensus.take_output(replica).packets}


def append(term):
    """Returns a leader's message without entries."""
    return AppendRequest(term, 7, 5, [], 7, 0.0)


def test_a_replica_that_has_heard_a_leader_or_knows_other_voters_does_not_count_as_just_started():
    call = RollCallRequest(1, ["a", "b", "c"], "a")
    replica = started()
    assert tell(replica, "b", call)["b"].fresh
    assert not tell(started(), "b", RollCallRequest(1, ["a", "b", "d"], "a"))["b"].fresh
    tell(replica, "c", append(5))
    assert not tell(replica, "b", call)["b"].fresh
    leading = Group()
    leading.run(2.0)
    assert not any(replica.fresh for replica in leading.replicas.values())


def test_a_vote_without_the_shelter_is_granted_only_to_who_knows_this_start():
    def answer(replica, start):
        return tell(replica, "b", VoteRequest(6, 7, 5, False, False, start))["b"].granted

    replica = started()
    assert not answer(replica, 0)
    assert not answer(replica, replica.start + 1)
    assert answer(replica, replica.start)
    after_a_leader = started()
    tell(after_a_leader, "c", append(5))
    assert not answer(after_a_leader, after_a_leader.start)


def test_only_the_process_that_ran_a_voter_tells_that_it_is_no_more():
    def answer(own_name):
        replica = consensus.new_replica(
            "new", replication.Timing(), 1, HardState(), Snapshot(), [], 0.0, own_name
        )
        consensus.receive(replica, Packet("b", "a", RollCallRequest(1, ["a", "b"], "n0")), 0.1)
        return [(p.sender, p.message.fresh) for p in consensus.take_output(replica).packets]

    assert answer("n0") == [("a", True)]
    assert answer("n1") == answer("") == []


def answers(replica, starts):
    """Answers a replica's current call for the others; returns whom it asks for a vote then."""
    sent = {}
    for name, start in starts.items():
        reply = RollCallReply(replica.roll.number, start, True, 5, 6)
        sent |= tell(replica, name, reply)
    return {name for name, message in sent.items() if isinstance(message, VoteRequest)}


def test_two_calls_with_the_same_starts_are_needed_and_all_voters_in_each():
    replica = started()
    consensus.tick(replica, 0.0)
    consensus.take_output(replica)
    assert answers(replica, {"b": 11}) == set(), "one voter may still follow a leader"
    assert answers(replica, {"c": 12}) == set(), "one may lead since it answered"
    assert answers(replica, {"b": 11, "c": 13}) == set(), "one has started again in between"
    assert answers(replica, {"b": 11, "c": 13}) == {"b", "c"}


def test_an_answer_to_an_older_call_or_of_another_replica_proves_nothing():
    replica = started()
    consensus.tick(replica, 0.0)
    consensus.take_output(replica)
    old = RollCallReply(replica.roll.number, 11, True, 5, 6)
    answers(replica, {"b": 11, "c": 12})
    tell(replica, "b", old)
    tell(replica, "d", RollCallReply(replica.roll.number, 9, True, 5, 6))
    assert replica.roll.missing == {"b", "c"}
