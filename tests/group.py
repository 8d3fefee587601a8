"""Simulates a group of replicas in one process: the real core, a lossy network and lossy disks."""

import os
import random

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from verbenashore import consensus, repair
from verbenashore.consensus import Role
from verbenashore.replication import (
    Base,
    ColdStartRequest,
    EntryKind,
    HardState,
    LogEntry,
    Peer,
    Snapshot,
    Timing,
)
from verbenashore.types import MemberName, ReplicaId

STEP_SECONDS = 0.02
TIMING = Timing(replace_after=2.0)


def run_machine(kind, examples, steps):
    """Runs a Hypothesis state machine with the same examples in each run."""
    run_state_machine_as_test(
        kind,
        settings=settings(
            max_examples=1000 if os.environ.get("VERBENA_SOAK") else examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


class Disk:
    """The state that a replica has synced."""

    def __init__(self):
        self.hard = HardState()
        self.base = Base()
        self.entries = []

    def write(self, hard, entries):
        """Stores a hard state and entries in the way of a data folder."""
        self.hard = hard or self.hard
        for entry in entries:
            position = entry.index - self.base.index - 1
            if position >= 0:
                self.entries = [*self.entries[:position], entry]


class Group:
    """Replicas by name, the packets between them, and the committed entries.

    A replica is ``cut`` off from those that aren't.  Packets to a replica with a bandwidth, in
    bytes per second, are queued and arrive in order; others arrive shuffled in the next step.
    """

    def __init__(self, size=3, spares=0, seed=0):
        self.random = random.Random(seed)
        self.now = 100.0
        self.size = size
        self.disks = {}
        self.replicas = {}
        self.packets = []
        self.cut = set()
        self.frozen = set()
        self.committed = {}
        self.served_index = 0
        self.incarnation = 0
        self.loss = 0.0
        self.snapshot_bytes = 3 * (64 << 10) + 1
        self.bandwidth_by_name = {}
        self.queue_by_name = {}
        self.sent_bytes_by_name = {}
        for number in range(size + spares):
            self.start_new(f"n{number}")
        voters = tuple(self.peer(name) for name in sorted(self.replicas)[:size])
        consensus.bootstrap(self.replicas["n0"], voters, self.now)

    def peer(self, name):
        """Returns the membership entry of a replica."""
        return Peer(self.replicas[name].id, MemberName(name), name)

    def start_new(self, name):
        """Starts a replica on a new or emptied disk, under a new id."""
        self.incarnation += 1
        self.disks[name] = (ReplicaId(f"{name}-{self.incarnation}"), Disk())
        self.restart(name)

    def restart(self, name):
        """Starts a replica from the state on its disk."""
        replica_id, disk = self.disks[name]
        self.replicas[name] = consensus.new_replica(
            replica_id,
            TIMING,
            self.random.randrange(1 << 30),
            disk.hard,
            Snapshot(disk.base, self.snapshot_data(disk.base.index)),
            disk.entries,
            self.now,
            MemberName(name),
        )
        self.frozen.discard(name)

    def crash(self, name):
        """Stops a replica; its unsynced state is lost."""
        self.replicas.pop(name, None)

    def step(self, seconds=STEP_SECONDS):
        """Advances the time, delivers packets and processes the outputs of the replicas."""
        self.now += seconds
        arriving, self.packets = self.packets, []
        self.random.shuffle(arriving)
        arriving += self.pop_arrived()
        for sender, packet in arriving:
            self.deliver(sender, packet)
        for name in self.running():
            consensus.tick(self.replicas[name], self.now)
            self.repair_membership(name)
            self.carry_out(name)
        self.check()

    def run(self, seconds):
        """Advances the time in small steps."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def running(self):
        """Returns the replicas that are neither stopped nor frozen."""
        return [name for name in sorted(self.replicas) if name not in self.frozen]

    def deliver(self, sender, packet):
        """Delivers a packet, unless it is lost."""
        if self.random.random() < self.loss:
            return
        for name in self.running():
            separated = (sender in self.cut) != (name in self.cut)
            asks_process = (
                isinstance(packet.message, ColdStartRequest) and packet.message.process_name == name
            )
            if (self.replicas[name].id == packet.to or asks_process) and not separated:
                consensus.receive(self.replicas[name], packet, self.now)
                self.carry_out(name)

    def carry_out(self, name, *, crash_before_sync=False):
        """Carries out a replica's output, as the runtime does."""
        replica = self.replicas[name]
        output = consensus.take_output(replica)
        if crash_before_sync:
            self.crash(name)
            return
        disk = self.disks[name][1]
        if output.install is not None:
            disk.base = output.install.base
            assert output.install.data == self.snapshot_data(disk.base.index), "mixed parts"
            disk.entries = list(replica.entries)
        disk.write(output.hard_state, output.entries)
        if output.entries:
            consensus.record_synced(replica, output.entries[-1].index, self.now)
        for packet in output.packets:
            self.send(name, packet)
        for entry in output.committed:
            assert self.committed.setdefault(entry.index, entry) == entry, "entries differ"
        if consensus.may_serve(replica, self.now):
            self.served_index = max(self.served_index, replica.delivered)
        if output.committed or output.entries:
            self.carry_out(name)

    def send(self, sender, packet):
        """Sends a packet; a recipient with a bandwidth receives its packets in order."""
        recipient = next(
            (name for name in self.bandwidth_by_name if self.disks[name][0] == packet.to), None
        )
        if recipient is None:
            self.packets.append((sender, packet))
            return
        size = len(msgspec.msgpack.encode(packet))
        self.sent_bytes_by_name[recipient] = self.sent_bytes_by_name.get(recipient, 0) + size
        queue = self.queue_by_name.setdefault(recipient, [])
        begin = max(self.now, queue[-1][0]) if queue else self.now
        queue.append((begin + size / self.bandwidth_by_name[recipient], sender, packet))

    def pop_arrived(self):
        """Removes and returns the queued packets that have arrived by now, in order."""
        arrived = []
        for queue in self.queue_by_name.values():
            while queue and queue[0][0] <= self.now:
                arrived.append(queue.pop(0)[1:])
        return arrived

    def snapshot_data(self, index):
        """Returns the state machine's snapshot data at an index."""
        return (b"%d " % index * self.snapshot_bytes)[: self.snapshot_bytes] if index else b""

    def repair_membership(self, name):
        """Adds a learner or repairs the membership if the replica is a leader that may serve."""
        leader = self.replicas[name]
        if not consensus.may_serve(leader, self.now):
            return
        current = consensus.membership(leader)
        member_ids = {peer.id for peer in (*current.voters, *current.learners)}
        for other in self.running():
            separated = (other in self.cut) != (name in self.cut)
            if self.replicas[other].id not in member_ids and not separated:
                new = repair.with_learner(current, self.peer(other))
                consensus.change_membership(leader, new, self.now)
                return
        change = repair.next_membership(leader, self.size, self.now)
        if change is not None:
            consensus.change_membership(leader, change, self.now)

    def propose(self, data):
        """Proposes to each replica that has the leader role, also if it is isolated."""
        for name in self.leaders():
            consensus.propose(self.replicas[name], [data], self.now)
            self.carry_out(name)

    def servers(self):
        """Returns the replicas that may serve at the current time."""
        return [
            name for name in self.running() if consensus.may_serve(self.replicas[name], self.now)
        ]

    def leaders(self):
        """Returns the replicas that have the leader role."""
        return [name for name in self.running() if self.replicas[name].role is Role.LEADER]

    def compact(self, name):
        """Makes a replica take a snapshot and discard the log up to it."""
        replica = self.replicas[name]
        index = replica.delivered
        if index > replica.snapshot.base.index:
            base = consensus.compact(replica, index, self.snapshot_data(index), self.now)
            disk = self.disks[name][1]
            disk.entries = [entry for entry in disk.entries if entry.index > base.index]
            disk.base = base

    def check(self):
        """Checks that at most one replica serves, and that it has all entries served before."""
        serving = self.servers()
        assert len(serving) <= 1, "two replicas serve at the same time"
        for name in serving:
            assert self.replicas[name].commit >= self.served_index, "an outdated leader serves"

    def commands(self):
        """Returns the committed commands in order."""
        return [
            self.committed[index].data
            for index in sorted(self.committed)
            if self.committed[index].kind is EntryKind.COMMAND
        ]


def entry(index, term, data=b"x"):
    """Returns a log entry with a command."""
    return LogEntry(index, term, EntryKind.COMMAND, data)
