"""The tree along which members tell each other the load of the backend servers; without I/O.

A member that knows the calls of all others places better, but with a report of each member to each
other, every member that joins costs all others more.  Here a member exchanges reports with its
parent and its children only.  Each report holds the sender's own calls, and the sums of all that it
has from its other neighbours, so everybody learns the sum over all members within a few hops.

The members of a data centre form a heap of ``FAN_OUT`` children each, and so do the first members
of all data centres.  Each member finds its own parent in the list of members; a parent learns of
its children from their reports.  Parents rank before their children, so that there is no cycle,
even while members know different lists.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from verbenashore.crashedcalls import Records
from verbenashore.loadtable import LoadTable, Position, Report, Statement
from verbenashore.quarantine import NO_EVIDENCE, Evidence
from verbenashore.types import BackendName, MemberName, ServiceName

#: Children that a member has in its data centre, and further ones in other data centres.
FAN_OUT = 16
#: Longest time in seconds between two reports to a neighbour.
KEEPALIVE_SECONDS = 0.1
#: Seconds without a report after which a member takes another parent.
PARENT_SILENT_SECONDS = 0.3
#: Seconds between two attempts to reach a former parent that was silent; it is taken again once it
#: answers.
RETRY_PARENT_SECONDS = 1.0

#: Where a member receives reports: the IP address and the port.
ReportAddress = tuple[str, int]


class Node(msgspec.Struct, frozen=True):
    """A member that takes part in the exchange."""

    name: MemberName
    address: ReportAddress
    position: Position


class Neighbour(msgspec.Struct):
    """A member that this one sends reports to.

    :param last_report: the report that was sent last.
    :param sent_at: when that was.
    """

    node: Node
    last_report: Report | None = None
    sent_at: float = float("-inf")


class OwnLoad(msgspec.Struct, frozen=True):
    """What a member reports of itself, besides its calls in the load table."""

    suspects: list[BackendName]
    waiting_by_service: dict[ServiceName, int]
    evidence: Evidence = NO_EVIDENCE
    statements: dict[BackendName, Statement] = msgspec.field(default_factory=dict)
    crashed_calls_digest: int = 0
    crashed_calls: Records = msgspec.field(default_factory=dict)


def find_parent(own: Position, nodes: Iterable[Node]) -> Node | None:
    """Returns the parent of a member; None if it is the root.

    :param nodes: the members that may be parents; may include the member itself.
    """
    first_by_data_centre: dict[str, Node] = {}
    nearby = []
    for node in nodes:
        first = first_by_data_centre.get(node.position.data_centre)
        if first is None or node.position < first.position:
            first_by_data_centre[node.position.data_centre] = node
        if node.position.data_centre == own.data_centre and node.position < own:
            nearby.append(node)
    if not nearby:
        nearby = [node for node in first_by_data_centre.values() if node.position < own]
    if not nearby:
        return None
    nearby.sort(key=lambda node: node.position)
    return nearby[(len(nearby) - 1) // FAN_OUT]


class LoadTree:
    """One member's place in the tree, and the reports that it owes its neighbours.

    :param own: this member.
    :param incarnation: differs for every start of the member.
    """

    def __init__(self, own: Node, incarnation: str, load_table: LoadTable) -> None:
        self._own = own
        self._incarnation = incarnation
        self._load_table = load_table
        self._nodes: dict[MemberName, Node] = {}
        self._retry_at_by_silent: dict[MemberName, float] = {}
        self._parent_is_known = False
        self._parent: Neighbour | None = None
        self._former_parent: MemberName | None = None
        self._parent_heard_at = float("-inf")
        self._children: dict[MemberName, Neighbour] = {}
        self._number = 0

    @property
    def parent(self) -> MemberName | None:
        """The member that this one takes for its parent."""
        return self._parent.node.name if self._parent is not None else None

    @property
    def children(self) -> set[MemberName]:
        """The members that take this one for their parent."""
        return set(self._children)

    @property
    def neighbours(self) -> list[Node]:
        """The parent and the children."""
        neighbours = [child.node for child in self._children.values()]
        return neighbours if self._parent is None else [*neighbours, self._parent.node]

    def set_nodes(self, nodes: Iterable[Node]) -> None:
        """Replaces the members that may be parents."""
        by_name = {node.name: node for node in nodes}
        if by_name != self._nodes:
            self._nodes = by_name
            self._parent_is_known = False

    def receive(self, report: Report, address: ReportAddress, now: float) -> bool:
        """Records a report; returns whether it changed what this member knows."""
        if report.member == self._own.name:
            return False
        if report.leaving:
            return self._forget(report.member, now)
        if report.to_parent:
            if report.position <= self._own.position:
                return False
            node = Node(report.member, address, report.position)
            child = self._children.get(report.member)
            if child is None or child.node != node:
                self._children[report.member] = Neighbour(node)
        elif report.member == self.parent:
            self._parent_heard_at = now
            if self._former_parent is not None:
                self._load_table.forget(self._former_parent)
                self._former_parent = None
        else:
            if self._retry_at_by_silent.pop(report.member, None) is not None:
                self._parent_is_known = False
            return False
        return self._load_table.record_report(report, now)

    def expire(self, now: float) -> list[MemberName]:
        """Drops old reports; returns the members that no longer count."""
        expired = self._load_table.expire(now)
        for member in expired:
            self._children.pop(member, None)
        return expired

    def due_reports(self, own: OwnLoad, now: float) -> list[tuple[ReportAddress, Report]]:
        """Returns the reports to send now.

        A neighbour gets none if nothing has changed for it within ``KEEPALIVE_SECONDS``.
        """
        sent = [*self._update_parent(now), *self._attempts_at_silent(now)]
        neighbours = [*self._children.values()]
        if self._parent is not None:
            neighbours.append(self._parent)
        for neighbour in neighbours:
            report = self._report_for(neighbour.node, own, neighbour is self._parent)
            unchanged = neighbour.last_report == report
            if unchanged and now - neighbour.sent_at < KEEPALIVE_SECONDS:
                continue
            neighbour.last_report, neighbour.sent_at = report, now
            sent.append((neighbour.node.address, self._numbered(report)))
        return sent

    def leave(self) -> list[tuple[ReportAddress, Report]]:
        """Leaves the tree; returns the reports that tell the neighbours."""
        neighbours = [*self._children.values()]
        if self._parent is not None:
            neighbours.append(self._parent)
        self._children.clear()
        self._parent, self._former_parent, self._parent_is_known = None, None, False
        for member in list(self._load_table.received_by_member):
            self._load_table.forget(member)
        return [self._farewell(neighbour.node) for neighbour in neighbours]

    def _forget(self, member: MemberName, now: float) -> bool:
        if member == self.parent:
            self._avoid_parent(now)
        elif self._children.pop(member, None) is None:
            return False
        self._load_table.forget(member)
        return True

    def _avoid_parent(self, now: float) -> None:
        assert self._parent is not None
        self._retry_at_by_silent[self._parent.node.name] = now + RETRY_PARENT_SECONDS
        self._parent_is_known = False

    def _attempts_at_silent(self, now: float) -> list[tuple[ReportAddress, Report]]:
        """Returns reports without calls to the silent members whose next attempt is due.

        One that receives such a report answers, as to any child.
        """
        attempts = []
        for name, retry_at in list(self._retry_at_by_silent.items()):
            node = self._nodes.get(name)
            if node is None:
                del self._retry_at_by_silent[name]
            elif now >= retry_at:
                self._retry_at_by_silent[name] = now + RETRY_PARENT_SECONDS
                empty = Report(
                    self._own.name,
                    self._incarnation,
                    0,
                    {},
                    position=self._own.position,
                    to_parent=True,
                )
                attempts.append((node.address, self._numbered(empty)))
        return attempts

    def _update_parent(self, now: float) -> list[tuple[ReportAddress, Report]]:
        """Chooses the parent anew if the known one is silent or the members have changed."""
        if self._parent is not None and now - self._parent_heard_at > PARENT_SILENT_SECONDS:
            self._avoid_parent(now)
        if self._parent_is_known:
            return []
        self._parent_is_known = True
        candidates = (
            node for node in self._nodes.values() if node.name not in self._retry_at_by_silent
        )
        node = find_parent(self._own.position, candidates)
        if self._parent is not None and node == self._parent.node:
            return []
        farewells = []
        if self._parent is not None:
            farewells.append(self._farewell(self._parent.node))
            self._former_parent = self._parent.node.name
        self._parent = Neighbour(node) if node is not None else None
        self._parent_heard_at = now
        return farewells

    def _report_for(self, node: Node, own: OwnLoad, to_parent: bool) -> Report:
        return Report(
            self._own.name,
            self._incarnation,
            0,
            dict(self._load_table.local_by_backend),
            own.suspects,
            own.waiting_by_service,
            self._load_table.relayed_load(node.name),
            self._load_table.relayed_suspects(node.name),
            self._load_table.relayed_waiting(node.name),
            self._own.position,
            to_parent,
            evidence=own.evidence,
            statements=own.statements,
            crashed_calls_digest=own.crashed_calls_digest,
            crashed_calls=own.crashed_calls if self._lacks_crashed_calls(node, own) else {},
        )

    def _lacks_crashed_calls(self, node: Node, own: OwnLoad) -> bool:
        """Returns whether a neighbour knows other crashed calls than this member."""
        received = self._load_table.received_by_member.get(node.name)
        if received is None or received.report.crashed_calls_digest is None:
            return False
        return received.report.crashed_calls_digest != own.crashed_calls_digest

    def _farewell(self, node: Node) -> tuple[ReportAddress, Report]:
        report = Report(
            self._own.name, self._incarnation, 0, {}, position=self._own.position, leaving=True
        )
        return (node.address, self._numbered(report))

    def _numbered(self, report: Any) -> Report:
        self._number += 1
        numbered: Report = msgspec.structs.replace(report, number=self._number)
        return numbered
