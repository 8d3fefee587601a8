"""A fleet of entries that share the limits of workspaces through simulated datagrams."""

import bisect
from collections import Counter

from tests.loadtrees import FAR_SECONDS, Fleet
from verbenashore.loadtable import LoadTable
from verbenashore.loadtree import LoadTree
from verbenashore.messages import Member
from verbenashore.misc import quick_hash
from verbenashore.quotas import WINDOW_SECONDS, WorkspaceQuotas
from verbenashore.routing import RouteTable
from verbenashore.types import MemberRole, MemberState
from verbenashore.usage import UsageExchange, UsageTable

#: What may be admitted beyond a limit over any ``WINDOW_SECONDS``, from the agreed bounds.
OVER, SLACK = 0.1, 20


class QuotaFleet(Fleet):
    """Entries that admit requests of workspaces; arrivals are drawn for each entry at random.

    :param workspaces: the limits in the route table.
    """

    def __init__(self, count, workspaces, loss=0.0, seed=1):
        super().__init__(count, 3, seed, loss)
        self.entries = self.members[:-1]
        self.tables = {
            member.node.name: RouteTable(1, workspaces=workspaces) for member in self.entries
        }
        self.times = {workspace.name: [] for workspace in workspaces}
        self.outcomes = Counter()
        self.is_cut = lambda _one, _other: False
        self.clock_steps = Counter()
        self.started = Counter()
        for entry in self.entries:
            self.start(entry, -100.0)
        self.list_entries(self.entries)

    def clock(self, entry):
        """Returns the time on the clock of an entry."""
        return self.now + self.clock_steps[entry.node.name]

    def start(self, entry, at=None):
        """Starts an entry, which knows nothing of what it did before."""
        name = entry.node.name
        self.started[name] += 1
        entry.alive = True
        entry.table = LoadTable()
        entry.tree = LoadTree(entry.node, f"{name}-{self.started[name]}", entry.table)
        entry.tree.set_nodes([other.node for other in self.entries])
        entry.usage = UsageTable()
        entry.quotas = WorkspaceQuotas(
            entry.usage, self.now if at is None else at, quick_hash(name)
        )
        entry.quotas.install(self.tables[name])
        entry.exchange = UsageExchange(
            name,
            self.started[name],
            entry.usage,
            lambda: entry.quotas.is_active,
            entry.quotas.own_counts,
        )

    def list_entries(self, listed, recipients=None):
        """Gives some entries a list of the entries; all if none are given."""
        members = [
            Member(e.node.name, "", MemberRole.ENTRY, "", "", "", MemberState.SERVING, 1)
            for e in listed
        ]
        for entry in recipients or self.entries:
            entry.exchange.set_members(members, self.clock(entry))

    def install(self, entry, *workspaces):
        """Puts a newer route table in force at one entry."""
        version = self.tables[entry.node.name].version + 1
        self.tables[entry.node.name] = RouteTable(version, workspaces=workspaces)
        entry.quotas.install(self.tables[entry.node.name])

    def _exchange(self, member):
        if member.alive and member in self.entries:
            neighbours = member.tree.neighbours
            for address, data in member.exchange.due_datagrams(neighbours, self.clock(member)):
                target = self.by_address[address]
                if self.random.random() >= self.loss and not self.is_cut(member, target):
                    self._at(self.now + FAR_SECONDS, self._read, target, data)
        super()._exchange(member)

    def _send(self, member, address, report):
        if not self.is_cut(member, self.by_address[address]):
            super()._send(member, address, report)

    def _read(self, member, data):
        if member.alive:
            member.exchange.receive(data, member.tree.neighbours, self.clock(member))

    def send(self, name, rates, seconds):
        """Lets requests of a workspace arrive for some seconds.

        :param rates: requests a second at each entry, in the order of the entries; one number for
            the sum over all entries, if they get the same.
        """
        end = self.now + seconds
        if isinstance(rates, float):
            rates = [rates / len(self.entries)] * len(self.entries)
        for entry, rate in zip(self.entries, rates, strict=True):
            at = self.now
            while rate and (at := at + self.random.expovariate(rate)) < end:
                self._at(at, self._arrive, entry, name)

    def _arrive(self, entry, name):
        if not entry.alive:
            self.outcomes["unreachable"] += 1
            return
        workspace = next(w for w in self.tables[entry.node.name].workspaces if w.name == name)
        times = self.times[name]
        recent = len(times) - bisect.bisect(times, self.now - WINDOW_SECONDS)
        second = len(times) - bisect.bisect(times, self.now - 1.0)
        is_within = (
            recent < workspace.per_second * WINDOW_SECONDS + workspace.burst
            and second < workspace.per_second + workspace.burst
        )
        if not entry.quotas.admit(name, self.clock(entry)):
            times.append(self.now)
            self.outcomes["admitted"] += 1
        else:
            self.outcomes["refused within" if is_within else "refused"] += 1

    def most(self, name, since=0.0):
        """Returns the most requests that were admitted in any window since some time."""
        times = [at for at in self.times[name] if at >= since]
        return max(
            (n + 1 - bisect.bisect(times, at - WINDOW_SECONDS) for n, at in enumerate(times)),
            default=0,
        )


def bound(workspace):
    """Returns the most requests of a workspace over any window, from the agreed bounds."""
    limit = workspace.per_second * WINDOW_SECONDS + workspace.burst
    return limit * (1 + OVER) + SLACK
