"""A fleet of members that exchange reports of load through simulated datagrams."""

import heapq
import itertools
import random

from verbenashore.crashedcalls import CrashedCalls
from verbenashore.gossip import MIN_INTERVAL_SECONDS, node_of
from verbenashore.loadtable import LoadTable
from verbenashore.loadtree import LoadTree, OwnLoad

#: Seconds that a datagram takes within a data centre and between two.
NEAR_SECONDS = 0.0002
FAR_SECONDS = 0.0009


class SimulatedMember:
    """One member: its load table and its place in the tree."""

    def __init__(self, name, data_centre, number, clock, passes_on_last=False):
        self.node = node_of(
            name, f"10.0.{number // 250}.{number % 250}:1", data_centre, passes_on_last
        )
        self.table = LoadTable()
        self.tree = LoadTree(self.node, name, self.table)
        self.crashed_calls = CrashedCalls(clock, name)
        self.sent_records = 0
        self.alive = True
        self.sent = self.received = self.sent_loads = 0


class Fleet:
    """Members in some data centres; time advances in steps of the exchange interval.

    :param loss: share of datagrams that are lost.
    """

    def __init__(self, count, data_centres=5, seed=1, loss=0.0):
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.members = [
            SimulatedMember(f"entry-{n}", f"dc-{n % data_centres}", n, self.elapsed)
            for n in range(count)
        ]
        ledger = SimulatedMember("ledger-0", "dc-0", count, self.elapsed, passes_on_last=True)
        self.members.append(ledger)
        self.by_address = {member.node.address: member for member in self.members}
        self._events = []
        self._order = itertools.count()
        self.tell_members(self.members[:-1])
        for member in self.members:
            self._at(self.random.uniform(0, MIN_INTERVAL_SECONDS), self._exchange, member)

    def tell_members(self, known):
        """Gives all members a list of the members that may be parents."""
        for member in self.members:
            member.tree.set_nodes([other.node for other in known])

    def _at(self, time, action, *arguments):
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def elapsed(self):
        """Returns the time of the fleet."""
        return self.now

    def own_load(self, member):
        """Returns what a member reports besides its calls."""
        known = member.crashed_calls
        return OwnLoad([], {}, crashed_calls_digest=known.digest, crashed_calls=known.records())

    def _exchange(self, member):
        if member.alive:
            member.tree.expire(self.now)
            for address, report in member.tree.due_reports(self.own_load(member), self.now):
                self._send(member, address, report)
        self._at(self.now + MIN_INTERVAL_SECONDS, self._exchange, member)

    def _send(self, member, address, report):
        member.sent += 1
        member.sent_records += len(report.crashed_calls)
        member.sent_loads += len(report.load_by_backend) + len(report.relayed_by_backend)
        target = self.by_address[address]
        near = target.node.position.data_centre == member.node.position.data_centre
        if self.random.random() >= self.loss:
            delay = NEAR_SECONDS if near else FAR_SECONDS
            self._at(self.now + delay, self._deliver, target, report, member.node.address)

    def _deliver(self, member, report, address):
        if member.alive:
            member.received += 1
            if member.tree.receive(report, address, self.now):
                member.crashed_calls.merge(report.crashed_calls)

    def run(self, seconds, each_step=lambda now: None):
        """Runs the fleet; calls a function with the time before each event."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            each_step(self.now)
            action(*arguments)
        self.now = end

    def live(self):
        """Returns the members that run."""
        return [member for member in self.members if member.alive]

    def true_total(self, backend):
        """Returns the online calls that the running members have at a server."""
        return sum(
            member.table.local_by_backend[backend].online
            for member in self.live()
            if backend in member.table.local_by_backend
        )

    def errors(self, backend):
        """Returns by how much each running member's total of a server is off."""
        truth = self.true_total(backend)
        return [member.table.total(backend).online - truth for member in self.live()]
