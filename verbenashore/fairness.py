"""The order in which workspaces of the same priority take turns at free slots; without I/O.

A waiting call's position is its workspace's recent usage over all entries, plus the calls of the
workspace that wait before it, relative to the workspace's weight.  So the calls of a workspace that
sends far more than usual wait behind those of others, and the slots that others don't use are
available to it.

It is made for 72 workspaces of which one sends 7 times its usual rate for some seconds, at entries
that each have some dozen waiting calls and know each other's usage some exchanges late.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, TypeVar

import msgspec

from verbenashore.types import NO_WORKSPACE, Rank, ServiceName, WorkspaceId

#: Seconds for which the demand seen by a workspace is kept: about the age of what is known of other
#: entries.  Calculating it looks at all workspaces.
DEMAND_SECONDS = 0.05
#: A workspace is the last one if this share of all calls of others goes before its own.
LAST_SHARE = 0.8


class WaitingCall(Protocol):
    """What decides about the order of a waiting call; :class:`verbenashore.dispatch.Ticket`."""

    @property
    def service(self) -> ServiceName:
        """The service whose slots it waits for."""

    @property
    def rank(self) -> Rank:
        """Lower ranks go first."""

    @property
    def soft_deadline(self) -> float:
        """The latest time to reach a server for an answer within the objective."""

    @property
    def workspace(self) -> WorkspaceId | None:
        """Whose call it is; None if it belongs to no workspace."""


class Demand(msgspec.Struct, frozen=True):
    """Requests of the last second, as seen by a call of one workspace.

    :param waiting_before: the share of all requests by workspaces that go before it.  It stands for
        the share of the calls that wait at other entries, whose workspaces aren't known here.
    :param later_before: the share of all requests by workspaces whose next call goes before it.
    :param is_last: whether this holds for nearly all requests of other workspaces.
    """

    waiting_before: float
    later_before: float
    is_last: bool


W = TypeVar("W", bound=WaitingCall)


class FairShares:
    """Orders waiting calls by the usage of their workspaces.

    :param names: returns the workspaces in the route table; none if it has no workspaces.
    :param recent: returns the requests of a workspace in the last second, at the given time.
    :param weight: returns the weight of a workspace.
    """

    def __init__(
        self,
        names: Callable[[], Iterable[WorkspaceId]],
        recent: Callable[[WorkspaceId, float], float],
        weight: Callable[[WorkspaceId], float],
    ) -> None:
        self._names = names
        self._recent = recent
        self._weight = weight
        self._demand_by_name: dict[WorkspaceId, Demand] = {}
        self._demands_until = float("-inf")

    def in_order(self, calls: Sequence[W], now: float) -> list[W]:
        """Returns calls in the order in which they get slots.

        Calls that can still be on time go first, then lower ranks, then the workspaces take turns.
        """
        keys = {id(call): (now > call.soft_deadline, call.rank) for call in calls}
        by_deadline = sorted(calls, key=lambda call: (*keys[id(call)], call.soft_deadline))
        if all(call.workspace is None for call in calls):
            return by_deadline
        positions = self._positions(by_deadline, now)
        return sorted(
            by_deadline, key=lambda call: (*keys[id(call)], positions[id(call)], call.soft_deadline)
        )

    def before(self, call: WaitingCall, waiting: Sequence[W], now: float) -> list[W]:
        """Returns the waiting calls that go before a new one of the same service."""
        others = [
            other
            for other in self.in_order(waiting, now)
            if other.service == call.service and other.rank <= call.rank
        ]
        positions = self._positions(others, now)
        own = sum(other.workspace == call.workspace and other.rank == call.rank for other in others)
        position = self._position(call.workspace, own, now)
        return [
            other
            for other in others
            if now <= other.soft_deadline
            and (other.rank < call.rank or positions[id(other)] <= position)
        ]

    def demand(self, workspace: WorkspaceId | None, now: float) -> Demand:
        """Returns which part of the recent requests goes before a new call of a workspace."""
        own = workspace or NO_WORKSPACE
        if not 0 <= self._demands_until - now <= DEMAND_SECONDS:
            self._demand_by_name.clear()
            self._demands_until = now + DEMAND_SECONDS
        known = self._demand_by_name.get(own)
        if known is None:
            known = self._demand_by_name[own] = self._calculate_demand(own, now)
        return known

    def _calculate_demand(self, own: WorkspaceId, now: float) -> Demand:
        position = self._position(own, 0, now)
        waiting_before = later_before = others = own_recent = 0.0
        for name in self._names():
            recent = self._recent(name, now)
            if name == own:
                own_recent = recent
                continue
            others += recent
            weight = self._weight(name)
            if recent / weight < position:
                waiting_before += recent
            elif recent / weight == position:
                # Some of them came earlier.
                waiting_before += recent / 2
            if (recent + 1) / weight < position:
                later_before += recent
        total = max(1.0, others + own_recent)
        return Demand(
            (waiting_before + own_recent) / total,
            later_before / total,
            later_before > LAST_SHARE * others,
        )

    def _position(self, workspace: WorkspaceId | None, before: int, now: float) -> float:
        name = workspace or NO_WORKSPACE
        return (self._recent(name, now) + before) / self._weight(name)

    def _positions(self, calls: Iterable[W], now: float) -> dict[int, float]:
        """Returns the positions of calls, which are given in the order within each workspace."""
        positions = {}
        number_by_group: Counter[tuple[ServiceName, bool, Rank, WorkspaceId | None]] = Counter()
        for call in calls:
            group = (call.service, now > call.soft_deadline, call.rank, call.workspace)
            positions[id(call)] = self._position(call.workspace, number_by_group[group], now)
            number_by_group[group] += 1
        return positions
