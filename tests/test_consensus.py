"""The replicated log: agreement, leases and membership changes under crashes and lost messages."""

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
    ColdStartReply,
    ColdStartRequest,
    HardState,
    Membership,
    Packet,
    Peer,
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


def test_safety_holds_under_any_sequence_of_faults():
    run_machine(LossyGroup, examples=40, steps=40)


def test_a_new_leader_serves_within_a_second_of_a_leader_crash():
    group = Group()
    group.run(2.0)
    (leader,) = group.servers()
    group.crash(leader)
    group.run(1.0)
    assert group.servers()


def stopped_group(seed):
    """Returns a group that was stopped as a whole after a commit, and the name of its leader."""
    group = Group(seed=seed)
    group.run(2.0)
    group.propose(b"kept")
    group.run(0.5)
    (leader,) = group.servers()
    for name in list(group.replicas):
        group.crash(name)
    group.run(1.0)
    return group, leader


def test_a_cold_start_elects_a_leader_without_waiting_for_a_lease():
    group, _ = stopped_group(seed=3)
    for name in group.disks:
        group.restart(name)
        group.run(0.1)
    group.run(0.1)
    assert group.servers(), "the last replica has run for 0.2 s, the election timeout is 0.4 s"
    assert group.commands() == [b"kept"]


def test_a_cold_start_does_not_wait_for_a_voter_that_lost_its_disk():
    group, leader = stopped_group(seed=4)
    for name in group.disks:
        (group.start_new if name == leader else group.restart)(name)
        group.run(0.1)
    group.run(0.1)
    assert group.servers() and group.commands() == [b"kept"]


def test_a_restarted_majority_waits_for_the_lease_of_an_unreachable_leader():
    for seed in range(20):
        group = Group(seed=seed)
        group.run(2.0)
        (leader,) = group.servers()
        followers = [name for name in sorted(group.replicas) if name != leader]
        group.cut = {leader}
        for name in followers:
            group.restart(name)
        group.run(TIMING.election_min - 0.06)
        assert not any(group.replicas[name].role is Role.LEADER for name in followers)
        group.run(1.5)
        assert group.servers() and leader not in group.servers()


def test_a_cold_start_elects_the_replica_with_the_newest_log_at_once():
    group = Group(seed=5)
    group.run(2.0)
    (leader,) = group.servers()
    lagging = next(name for name in sorted(group.replicas) if name != leader)
    group.crash(lagging)
    group.propose(b"kept")
    group.run(0.2)
    term = max(replica.hard.term for replica in group.replicas.values())
    for name in list(group.replicas):
        group.crash(name)
    group.run(0.1)
    for name in group.disks:
        group.restart(name)
    group.run(0.24)
    (elected,) = group.servers()
    assert elected != lagging and group.replicas[elected].hard.term == term + 1


def test_an_isolated_leader_stops_serving_before_another_starts():
    group = Group()
    group.run(2.0)
    (old,) = group.servers()
    group.cut = {old}
    group.run(0.36)
    assert old not in group.servers()
    group.run(2.0)
    assert group.servers() and old not in group.servers()


def test_uncommitted_entries_of_an_isolated_leader_are_replaced_by_committed_ones():
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


def test_a_frozen_leader_does_not_serve_when_it_resumes():
    group = Group()
    group.run(2.0)
    (old,) = group.servers()
    group.frozen.add(old)
    group.run(2.0)
    group.frozen.clear()
    assert old not in group.servers()


def test_a_replica_with_an_emptied_disk_rejoins_under_a_new_id_and_replaces_its_old_one():
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
    membership = consensus.membership(group.replicas[group.servers()[0]])
    assert len(membership.voters) == 3
    assert old_id not in {peer.id for peer in membership.voters}
    assert group.replicas[victim].id in {peer.id for peer in membership.voters}


def test_a_group_survives_a_second_crash_right_after_the_repair():
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


def test_a_lost_voter_is_replaced_by_a_distant_learner_while_commits_never_pause():
    group = Group(spares=1)
    group.run(2.0)
    (leader,) = group.servers()
    lost = next(name for name in ("n0", "n1", "n2") if name != leader)
    lost_id, distant_id = group.replicas[lost].id, group.replicas["n3"].id
    group.crash(lost)
    on_their_way = []
    deliver = group.deliver

    def deliver_later(sender, packet):
        if distant_id in (packet.sender, packet.to):
            on_their_way.append((sender, packet))
        else:
            deliver(sender, packet)

    group.deliver = deliver_later
    for number in range(250):
        arriving, on_their_way[:] = on_their_way[:], []
        for sender, packet in arriving:
            deliver(sender, packet)
        group.propose(b"%d" % number)
        group.step()
    voters = {peer.id for peer in consensus.membership(group.replicas[leader]).voters}
    assert len(voters) == 3 and lost_id not in voters


def test_a_replica_that_lacks_discarded_entries_catches_up_by_a_snapshot():
    group = Group()
    group.run(2.0)
    (leader,) = group.servers()
    lagging = next(name for name in sorted(group.replicas) if name != leader)
    group.crash(lagging)
    for number in range(300):
        group.propose(b"%d" % number)
    group.run(0.5)
    for name in group.running():
        group.compact(name)
    group.restart(lagging)
    group.run(2.0)
    assert group.replicas[lagging].commit >= 300


#: Bytes per second of the slowest line in the requirements, 15 Mbit/s.
SLOW_LINE = 15e6 / 8
#: Takes 2.8 times the longest election timeout on that line.
LARGE_SNAPSHOT = 4_000_000


def group_with_snapshot_transfer(*, emptied, seed=0):
    """Returns a group, its leader, and a replica on a slow line that needs a large snapshot."""
    group = Group(seed=seed)
    group.snapshot_bytes = LARGE_SNAPSHOT
    group.run(2.0)
    (leader,) = group.servers()
    lagging = next(name for name in sorted(group.replicas) if name != leader)
    group.crash(lagging)
    for number in range(20):
        group.propose(b"%d" % number * (1 << 20))
    group.run(1.5)
    for name in group.running():
        group.compact(name)
    (group.start_new if emptied else group.restart)(lagging)
    group.bandwidth_by_name[lagging] = SLOW_LINE
    return group, leader, lagging


def run_measuring_longest_silence(group, leader, lagging, seconds):
    """Runs a group; returns the longest time for which a replica did not answer the leader.

    The time without an answer starts when the newest message that was answered was sent.
    """
    longest = 0.0
    lagging_id = group.replicas[lagging].id
    for _ in range(round(seconds / 0.02)):
        group.step()
        current = consensus.membership(group.replicas[leader])
        if lagging_id in {peer.id for peer in (*current.voters, *current.learners)}:
            answered = consensus.progress_of(
                group.replicas[leader], lagging_id
            ).acknowledged_sent_at
            if answered > 0.0:
                longest = max(longest, group.now - answered)
    return longest


def test_a_large_snapshot_is_sent_once_to_a_learner_on_a_slow_line():
    group, leader, lagging = group_with_snapshot_transfer(emptied=True)
    run_measuring_longest_silence(group, leader, lagging, 6.0)
    assert group.replicas[lagging].commit >= 20
    assert group.sent_bytes_by_name[lagging] < 1.2 * LARGE_SNAPSHOT


def test_a_large_snapshot_does_not_delay_heartbeats_to_a_voter_on_a_slow_line():
    group, leader, lagging = group_with_snapshot_transfer(emptied=False)
    group.run(0.2)
    term = group.replicas[lagging].hard.term
    longest = run_measuring_longest_silence(group, leader, lagging, 6.0)
    assert group.replicas[lagging].commit >= 20
    assert group.replicas[lagging].hard.term == term and group.servers() == [leader]
    assert longest < TIMING.lease


def test_a_snapshot_transfer_resumes_after_lost_parts():
    group, leader, lagging = group_with_snapshot_transfer(emptied=False, seed=1)
    group.loss = 0.1
    group.run(10.0)
    group.loss = 0.0
    group.run(1.0)
    assert group.replicas[lagging].commit >= 20
    assert group.sent_bytes_by_name[lagging] < 1.5 * LARGE_SNAPSHOT


def test_newer_snapshots_do_not_interrupt_a_snapshot_transfer():
    group, leader, lagging = group_with_snapshot_transfer(emptied=True)
    for number in range(30):
        group.run(0.4)
        group.propose(b"more %d" % number)
        group.compact(leader)
    group.run(1.0)
    assert group.replicas[lagging].commit == group.replicas[leader].commit
    assert group.sent_bytes_by_name[lagging] < 1.5 * LARGE_SNAPSHOT


def test_a_replica_that_restarts_during_a_snapshot_transfer_catches_up():
    group, leader, lagging = group_with_snapshot_transfer(emptied=False)
    group.run(1.5)
    assert consensus.progress_of(
        group.replicas[leader], group.replicas[lagging].id
    ).outgoing.acknowledged_bytes
    group.restart(lagging)
    group.propose(b"more")
    group.compact(leader)
    group.run(4.0)
    assert group.replicas[lagging].commit == group.replicas[leader].commit
    assert group.replicas[lagging].incoming is None


def group_with_missing_entries(count, size, seed=0):
    """Returns a group, its leader, and a replica on a slow line that lacks many entries."""
    group = Group(seed=seed)
    group.run(2.0)
    (leader,) = group.servers()
    lagging = next(name for name in sorted(group.replicas) if name != leader)
    group.crash(lagging)
    for _ in range(count):
        group.propose(b"a" * size)
    group.run(1.5)
    group.restart(lagging)
    group.bandwidth_by_name[lagging] = SLOW_LINE
    group.run(0.2)
    return group, leader, lagging


@pytest.mark.parametrize(("count", "size"), [(40, 100_000), (8_000, 500)])
def test_catching_up_by_entries_does_not_delay_heartbeats(count, size):
    group, leader, lagging = group_with_missing_entries(count, size)
    term = group.replicas[lagging].hard.term
    longest = run_measuring_longest_silence(group, leader, lagging, 8.0)
    assert group.replicas[lagging].commit == group.replicas[leader].commit
    assert longest < TIMING.lease
    assert group.replicas[lagging].hard.term == term and group.servers() == [leader]
    log_bytes = sum(len(msgspec.msgpack.encode(kept)) for kept in group.replicas[leader].entries)
    assert group.sent_bytes_by_name[lagging] < 1.2 * log_bytes


def test_new_commands_do_not_delay_heartbeats_to_a_lagging_replica():
    group, leader, lagging = group_with_missing_entries(40, 100_000)
    longest = 0.0
    for number in range(100):
        group.propose(b"%d" % number * 5_000)
        longest = max(longest, run_measuring_longest_silence(group, leader, lagging, 0.04))
    assert longest < TIMING.lease
    run_measuring_longest_silence(group, leader, lagging, 6.0)
    assert group.replicas[lagging].commit == group.replicas[leader].commit


def test_an_entry_larger_than_the_message_limit_is_delivered():
    group, leader, lagging = group_with_missing_entries(2, 1_500_000)
    group.run(4.0)
    assert group.replicas[lagging].commit == group.replicas[leader].commit


def test_a_lost_message_causes_at_most_one_window_to_be_resent():
    total, loss, groups = 0, 0.1, 6
    for seed in range(groups):
        group, leader, lagging = group_with_missing_entries(200, 20_000, seed=seed)
        group.loss = loss
        group.run(10.0)
        assert group.replicas[lagging].commit == group.replicas[leader].commit
        total += group.sent_bytes_by_name[lagging]
    window = consensus.WINDOW_BYTES / consensus.MAX_BYTES_PER_MESSAGE
    assert total < groups * 200 * 20_000 * (1 + loss * window)


def retained_bytes(group, leader):
    """Returns the bytes of the entries that a leader retains although its snapshot covers them."""
    replica = group.replicas[leader]
    count = replica.snapshot.base.index - replica.base.index
    return sum(len(kept.data) for kept in replica.entries[:count])


def test_entries_retained_for_a_lagging_replica_are_bounded_and_discarded_once_it_caught_up():
    group, leader, lagging = group_with_snapshot_transfer(emptied=False)
    group.run(0.5)
    sizes = []
    for _ in range(8):
        group.propose(b"a" * (consensus.RETAINED_LOG_BYTES // 5))
        group.run(0.1)
        group.compact(leader)
        sizes.append(retained_bytes(group, leader))
        assert group.replicas[lagging].incoming is not None
    assert sizes[:5] == sorted(sizes[:5]) and sizes[0] > 0
    assert max(sizes) <= consensus.RETAINED_LOG_BYTES
    group.bandwidth_by_name.clear()
    group.run(6.0)
    assert group.replicas[lagging].commit == group.replicas[leader].commit
    assert retained_bytes(group, leader) == 0
    group.crash(lagging)
    group.run(TIMING.election_max)
    group.propose(b"a")
    group.run(0.1)
    group.compact(leader)
    assert retained_bytes(group, leader) == 0, "a replica that is down needs a snapshot anyway"


def part(term, index, offset, data, size=4):
    """Returns a leader's request that carries a part of a snapshot."""
    return SnapshotRequest(
        term, Base(index, 5, started_replica().base.membership), size, offset, data, 0.0
    )


def test_parts_that_are_late_repeated_or_of_another_snapshot_are_never_mixed():
    replica = started_replica()
    assert send(replica, "b", part(5, 20, 2, b"cd"))["b"].received == 0, "the first is missing"
    assert send(replica, "b", part(5, 20, 0, b"ab"))["b"].received == 2
    assert send(replica, "b", part(5, 20, 0, b"ab"))["b"].received == 2
    assert send(replica, "b", part(5, 19, 2, b"yz"))["b"] == SnapshotReply(5, 20, 2, 0.0)
    assert send(replica, "b", part(5, 21, 2, b"yz"))["b"] == SnapshotReply(5, 21, 0, 0.0)
    assert send(replica, "b", part(5, 20, 2, b"cd"))["b"] == SnapshotReply(5, 21, 0, 0.0)
    assert send(replica, "b", part(5, 21, 0, b"wx"))["b"].received == 2
    assert send(replica, "c", part(6, 21, 2, b"yz"))["c"].received == 0, "a part of another leader"
    assert send(replica, "c", part(6, 21, 0, b"12"))["c"].received == 2
    consensus.receive(replica, Packet("c", "a", part(6, 21, 2, b"34")), 0.01)
    output = consensus.take_output(replica)
    assert (output.install.base.index, output.install.data) == (21, b"1234")
    assert [packet.message.match for packet in output.packets] == [21]
    assert replica.incoming is None and replica.commit == 21


def test_a_partial_snapshot_is_dropped_once_the_commit_or_a_newer_term_passes_it():
    replica = started_replica()
    send(replica, "b", part(5, 8, 0, b"ab"))
    send(replica, "b", AppendRequest(5, 7, 5, [entry(8, 5)], 8, 0.0))
    assert replica.incoming is None
    send(replica, "b", part(5, 20, 0, b"ab"))
    send(replica, "c", heartbeat(6))
    assert replica.incoming is None


def vote_replies(request, *, replica_id="a", now=10.0):
    """Returns the vote replies of a restarted replica, by default long after its start."""
    hard = HardState(5, "")
    replica = consensus.new_replica(replica_id, replication.Timing(), 1, hard, Snapshot(), [], 0.0)
    consensus.receive(replica, Packet("b", "a", request), now)
    output = consensus.take_output(replica)
    return [p.message for p in output.packets if isinstance(p.message, VoteReply)]


def test_a_vote_request_to_another_id_is_not_answered():
    assert vote_replies(VoteRequest(9, 0, 0, False, False), replica_id="a2") == []


def test_a_restarted_replica_grants_no_vote_while_a_lease_may_last():
    request = VoteRequest(9, 0, 0, False, False)
    assert not vote_replies(request, now=0.1)[0].granted
    assert vote_replies(request, now=10.0)[0].granted


def test_a_replica_votes_once_per_term():
    replica = consensus.new_replica("a", replication.Timing(), 1, HardState(), Snapshot(), [], 0.0)
    for sender in ("b", "c"):
        request = VoteRequest(3, 0, 0, False, False)
        consensus.receive(replica, Packet(sender, "a", request), 10.0)
    replies = [packet.message.granted for packet in consensus.take_output(replica).packets]
    assert replies == [True, False]
    assert replica.role is Role.FOLLOWER


def test_a_new_learner_is_not_removed_before_it_has_had_time_to_reply():
    group = Group()
    group.run(3 * TIMING.replace_after)
    leader = group.servers()[0]
    lost = next(name for name in sorted(group.replicas) if name != leader)
    group.crash(lost)
    group.start_new(lost)
    while not consensus.membership(group.replicas[leader]).learners:
        group.step()
    # The link to the learner comes up a moment after its admission is committed.
    group.cut.add(lost)
    group.run(0.3)
    assert group.peer(lost) in consensus.membership(group.replicas[leader]).learners
    group.cut.clear()
    group.run(1.0)
    assert group.peer(lost) in consensus.membership(group.replicas[leader]).voters
    assert len(consensus.membership(group.replicas[leader]).voters) == 3


def started_replica(names="abc"):
    """Returns replica ``a`` of a group that has just started, with term 5 on its disk."""
    members = Membership(tuple(Peer(name, name, name) for name in names))
    base = Base(7, 5, members)
    return consensus.new_replica(
        "a", replication.Timing(), 1, HardState(5, ""), Snapshot(base), [], 0.0
    )


def send(replica, sender, message, now=0.01):
    """Delivers a message to a replica and returns the messages that it sends, by recipient."""
    consensus.receive(replica, Packet(sender, "a", message), now)
    return {packet.to: packet.message for packet in consensus.take_output(replica).packets}


def heartbeat(term):
    """Returns an append request without entries."""
    return AppendRequest(term, 7, 5, [], 7, 0.0)


def test_a_replica_with_leader_contact_or_other_voters_does_not_count_as_just_started():
    request = ColdStartRequest(1, ["a", "b", "c"], "a")
    replica = started_replica()
    assert send(replica, "b", request)["b"].just_started
    assert not send(started_replica(), "b", ColdStartRequest(1, ["a", "b", "d"], "a"))[
        "b"
    ].just_started
    send(replica, "c", heartbeat(5))
    assert not send(replica, "b", request)["b"].just_started
    leading = Group()
    leading.run(2.0)
    assert not any(replica.just_started for replica in leading.replicas.values())


def test_a_vote_right_after_a_restart_requires_the_current_start_id():
    def is_granted(replica, start_id):
        return send(replica, "b", VoteRequest(6, 7, 5, False, False, start_id))["b"].granted

    replica = started_replica()
    assert not is_granted(replica, 0)
    assert not is_granted(replica, replica.start_id + 1)
    assert is_granted(replica, replica.start_id)
    after_a_leader = started_replica()
    send(after_a_leader, "c", heartbeat(5))
    assert not is_granted(after_a_leader, after_a_leader.start_id)


def test_only_the_process_that_ran_a_voter_reports_it_as_lost():
    def replies(process_name):
        replica = consensus.new_replica(
            "new", replication.Timing(), 1, HardState(), Snapshot(), [], 0.0, process_name
        )
        consensus.receive(replica, Packet("b", "a", ColdStartRequest(1, ["a", "b"], "n0")), 0.1)
        return [(p.sender, p.message.just_started) for p in consensus.take_output(replica).packets]

    assert replies("n0") == [("a", True)]
    assert replies("n1") == replies("") == []


def send_start_ids(replica, start_ids):
    """Answers a replica's current round for other voters; returns those it then asks for a vote."""
    sent = {}
    for name, start_id in start_ids.items():
        reply = ColdStartReply(replica.cold_start.round_number, start_id, True, 5, 6)
        sent |= send(replica, name, reply)
    return {name for name, message in sent.items() if isinstance(message, VoteRequest)}


def test_a_cold_start_is_proved_by_two_rounds_in_which_all_voters_state_the_same_start_ids():
    replica = started_replica()
    consensus.tick(replica, 0.0)
    consensus.take_output(replica)
    assert send_start_ids(replica, {"b": 11}) == set(), "the other voter may still follow a leader"
    assert (
        send_start_ids(replica, {"c": 12}) == set()
    ), "a voter may have become leader since its reply"
    assert (
        send_start_ids(replica, {"b": 11, "c": 13}) == set()
    ), "a voter has restarted between the rounds"
    assert send_start_ids(replica, {"b": 11, "c": 13}) == {"b", "c"}


def test_a_reply_to_an_earlier_round_or_of_a_non_voter_is_ignored():
    replica = started_replica()
    consensus.tick(replica, 0.0)
    consensus.take_output(replica)
    earlier_reply = ColdStartReply(replica.cold_start.round_number, 11, True, 5, 6)
    send_start_ids(replica, {"b": 11, "c": 12})
    send(replica, "b", earlier_reply)
    send(replica, "d", ColdStartReply(replica.cold_start.round_number, 9, True, 5, 6))
    assert replica.cold_start.missing == {"b", "c"}
