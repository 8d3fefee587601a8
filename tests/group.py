"""A group of replicas in one process: the shipped core, with a lossy network and lossy disks."""

import os
import random

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from verbenashore import consensus, repair
from verbenashore.consensus import Role
from verbenashore.replication import (
    Base,
    EntryKind,
    HardState,
    LogEntry,
    Peer,
    RollCallRequest,
    Snapshot,
    Timing,
)
from verbenashore.types import MemberName, ReplicaId

STEP_SECONDS = 0.02
TIMING = Timing(replace_after=2.0)


def run_machine(kind, examples, steps):
    """Runs a state machine with the same examples each time."""
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
    """What a replica has synced."""

    def __init__(self):
        self.hard = HardState()
        self.base = Base()
        self.entries = []

    def write(self, hard, entries):
        """Keeps a hard state and entries, as a data folder does."""
        self.hard = hard or self.hard
        for entry in entries:
            position = entry.index - self.base.index - 1
            if position >= 0:
                self.entries = [*self.entries[:position], entry]


class Group:
    """Replicas by name, the packets between them, and what was committed."""

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
        self.acknowledged = 0
        self.incarnation = 0
        self.loss = 0.0
        self.snapshot_bytes = 3 * (64 << 10) + 1
        self.rates = {}
        self.lines = {}
        self.sent_bytes = {}
        for number in range(size + spares):
            self.start_new(f"n{number}")
        voters = tuple(self.peer(name) for name in sorted(self.replicas)[:size])
        consensus.bootstrap(self.replicas["n0"], voters, self.now)

    def peer(self, name):
        """Returns a replica as its group knows it."""
        return Peer(self.replicas[name].id, MemberName(name), name)

    def start_new(self, name):
        """Starts a replica on a new or emptied disk, under a new id."""
        self.incarnation += 1
        self.disks[name] = (ReplicaId(f"{name}-{self.incarnation}"), Disk())
        self.restart(name)

    def restart(self, name):
        """Starts a replica from what its disk holds."""
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
        """Stops a replica; what it hadn't synced is lost."""
        self.replicas.pop(name, None)

    def step(self, seconds=STEP_SECONDS):
        """Lets time pass and carries out what the replicas want."""
        self.now += seconds
        arriving, self.packets = self.packets, []
        self.random.shuffle(arriving)
        arriving += self.arrived()
        for sender, packet in arriving:
            self.deliver(sender, packet)
        for name in self.running():
            consensus.tick(self.replicas[name], self.now)
            self.repair(name)
            self.carry_out(name)
        self.check()

    def run(self, seconds):
        """Lets time pass in small steps."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def running(self):
        """Returns the replicas that are neither stopped nor frozen."""
        return [name for name in sorted(self.replicas) if name not in self.frozen]

    def deliver(self, sender, packet):
        """Hands a packet over, unless it is lost."""
        if self.random.random() < self.loss:
            return
        for name in self.running():
            apart = (sender in self.cut) != (name in self.cut)
            called = isinstance(packet.message, RollCallRequest) and packet.message.name == name
            if (self.replicas[name].id == packet.to or called) and not apart:
                consensus.receive(self.replicas[name], packet, self.now)
                self.carry_out(name)

    def carry_out(self, name, *, crash_before_sync=False):
        """Does what a runtime does with an output."""
        replica = self.replicas[name]
        output = consensus.take_output(replica)
        if crash_before_sync:
            self.crash(name)
            return
        disk = self.disks[name][1]
        if output.install is not None:
            disk.base = output.install.base
            assert output.install.data == self.snapshot_data(disk.base.index), "a mixed snapshot"
            disk.entries = list(replica.entries)
        disk.write(output.hard_state, output.entries)
        if output.entries:
            consensus.synced(replica, output.entries[-1].index, self.now)
        for packet in output.packets:
            self.post(name, packet)
        for entry in output.committed:
            assert self.committed.setdefault(entry.index, entry) == entry, "histories differ"
        if consensus.may_serve(replica, self.now):
            self.acknowledged = max(self.acknowledged, replica.handed_out)
        if output.committed or output.entries:
            self.carry_out(name)

    def post(self, sender, packet):
        """Puts a packet on its way; the line to a replica with a rate keeps the order."""
        to = next((name for name in self.rates if self.disks[name][0] == packet.to), None)
        if to is None:
            self.packets.append((sender, packet))
            return
        size = len(msgspec.msgpack.encode(packet))
        self.sent_bytes[to] = self.sent_bytes.get(to, 0) + size
        line = self.lines.setdefault(to, [])
        begin = max(self.now, line[-1][0]) if line else self.now
        line.append((begin + size / self.rates[to], sender, packet))

    def arrived(self):
        """Returns the packets that have come over the lines with a rate, in order."""
        arrived = []
        for line in self.lines.values():
            while line and line[0][0] <= self.now:
                arrived.append(line.pop(0)[1:])
        return arrived

    def snapshot_data(self, index):
        """Returns what the state machine writes down at an index."""
        return (b"%d " % index * self.snapshot_bytes)[: self.snapshot_bytes] if index else b""

    def repair(self, name):
        """Does what a leader does for its membership."""
        leader = self.replicas[name]
        if not consensus.may_serve(leader, self.now):
            return
        known = consensus.membership(leader)
        ids = {peer.id for peer in (*known.voters, *known.learners)}
        for other in self.running():
            cut_off = (other in self.cut) != (name in self.cut)
            if self.replicas[other].id not in ids and not cut_off:
                new = repair.with_learner(known, self.peer(other))
                consensus.change_membership(leader, new, self.now)
                return
        change = repair.next_change(leader, self.size, self.now)
        if change is not None:
            consensus.change_membership(leader, change, self.now)

    def propose(self, data):
        """Proposes at whoever believes that it leads, also if it is cut off."""
        for name in self.leaders():
            consensus.propose(self.replicas[name], [data], self.now)
            self.carry_out(name)

    def servers(self):
        """Returns the replicas that may serve at this moment."""
        return [
            name for name in self.running() if consensus.may_serve(self.replicas[name], self.now)
        ]

    def leaders(self):
        """Returns the replicas that believe that they lead."""
        return [name for name in self.running() if self.replicas[name].role is Role.LEADER]

    def compact(self, name):
        """Lets a replica replace its log by a snapshot."""
        replica = self.replicas[name]
        index = replica.handed_out
        if index > replica.snapshot.base.index:
            base = consensus.compact(replica, index, self.snapshot_data(index), self.now)
            disk = self.disks[name][1]
            disk.entries = [entry for entry in disk.entries if entry.index > base.index]
            disk.base = base

    def check(self):
        """Checks that whoever serves knows all that was acknowledged before."""
        servers = self.servers()
        assert len(servers) <= 1, "two replicas serve at once"
        for name in servers:
            assert self.replicas[name].commit >= self.acknowledged, "an old leader serves"

    def commands(self):
        """Returns the committed commands in order."""
        return [
            self.committed[index].data
            for index in sorted(self.committed)
            if self.committed[index].kind is EntryKind.COMMAND
        ]


def entry(index, term, data=b"x"):
    """Returns a command's entry."""
    return LogEntry(index, term, EntryKind.COMMAND, data)
