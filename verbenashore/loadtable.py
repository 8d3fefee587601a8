"""The load of each backend server, from the reports of the members that send calls to it."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from verbenashore.crashedcalls import Records
from verbenashore.quarantine import NO_EVIDENCE, Evidence
from verbenashore.types import BackendName, MemberName, ServiceName

#: Seconds without a report after which a member's calls no longer count.  Not shorter, because the
#: calls of a frozen or partitioned member keep running on the servers for seconds.  A killed member
#: needs no shorter time: it restarts earlier, and its new report replaces the old one.
REPORT_SECONDS = 4.0
#: Largest ``observed`` that one report may state for a server, and ``slowness`` per unit of it.
#: All members together observe up to 30 units for each slot of a server.
MAX_OBSERVED = 4096
MAX_SLOWNESS = 20
#: Largest ``online`` and ``batch`` that one report may state for a server; more than any has slots.
MAX_CALLS = 1 << 16
#: Largest ``tokens`` that one report may state for a server; more than any server's memory holds.
MAX_TOKENS = 1 << 30
#: Seconds without a report after which the calls that a member passed on no longer count.  Short,
#: because their own members report them by another way as soon as that one is silent.
RELAYED_SECONDS = 0.5


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The calls of some members at one backend server.

    :param online: calls of callers who wait.
    :param batch: running items of item jobs, which yield to online calls.
    :param started: requests of the last seconds to a server that states a rate; see
        :mod:`verbenashore.ratelimits`.
    :param observed: time for which the calls have lately waited for data of the server, in units of
        :mod:`verbenashore.speeds`.
    :param slowness: how much longer that was than usual, as a sum over that time.
    :param tokens: for which the calls and items need memory, as far as they state it.
    """

    online: int = 0
    batch: int = 0
    started: int = 0
    observed: int = 0
    slowness: int = 0
    tokens: int = 0


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """What a server has stated last about the rate of requests that it takes.

    :param per_second: requests a second from all members; None if it states no rate any more.
    :param at: Unix time of the statement; a newer one has a higher value.
    """

    per_second: float | None
    at: float


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A member's rank in the tree of :mod:`verbenashore.loadtree`; parents rank before children.

    :param passes_on_last: true for a member that other work keeps busy.
    :param hash: spreads the work over the members of a data centre.
    """

    data_centre: str = ""
    passes_on_last: bool = False
    hash: int = 0


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What one member tells another of the load; it replaces that member's older reports.

    :param incarnation: differs for every start of the member.
    :param number: increases with every report of an incarnation.
    :param load_by_backend: the member's own calls.
    :param suspects: servers that the member found unreachable or replaced.
    :param waiting_by_service: its online calls that wait for a slot.
    :param relayed_by_backend: the calls of further members that it passes on; those of the
        recipient are not among them.
    :param relayed_suspects: the servers that they found unreachable or replaced.
    :param relayed_waiting_by_service: their online calls that wait for a slot.
    :param to_parent: true if the member takes the recipient for its parent in the tree.
    :param leaving: true if the recipient is to forget the member.
    :param evidence: what the member knows of prompts that crash servers.
    :param statements: the request rates that servers have stated, as far as the member knows.
    :param crashed_calls_digest: stands for all that the member knows of requests under which
        servers crashed; None if it keeps no such records.
    :param crashed_calls: those records, if the recipient's digest was another one.
    """

    member: MemberName
    incarnation: str
    number: int
    load_by_backend: dict[BackendName, Load]
    suspects: list[BackendName] = msgspec.field(default_factory=list)
    waiting_by_service: dict[ServiceName, int] = msgspec.field(default_factory=dict)
    relayed_by_backend: dict[BackendName, Load] = msgspec.field(default_factory=dict)
    relayed_suspects: list[BackendName] = msgspec.field(default_factory=list)
    relayed_waiting_by_service: dict[ServiceName, int] = msgspec.field(default_factory=dict)
    position: Position = Position()
    to_parent: bool = False
    leaving: bool = False
    evidence: Evidence = NO_EVIDENCE
    statements: dict[BackendName, Statement] = msgspec.field(default_factory=dict)
    crashed_calls_digest: int | None = None
    crashed_calls: Records = msgspec.field(default_factory=dict)


class ReceivedReport(msgspec.Struct):
    """The newest report of a member, and when it was received."""

    report: Report
    received_at: float


class LoadTable:
    """The calls of this member and of all others, by backend server.

    The sums over the reports are updated with each report, so that reading them costs the same
    however many members there are.
    """

    def __init__(self) -> None:
        self.local_by_backend: dict[BackendName, Load] = {}
        self.received_by_member: dict[MemberName, ReceivedReport] = {}
        self._remote_by_backend: dict[BackendName, Load] = {}
        self._total_by_backend: dict[BackendName, Load] = {}
        self._remote_waiting_by_service: Counter[ServiceName] = Counter()

    def add(
        self,
        backend: BackendName,
        online: int = 0,
        batch: int = 0,
        started: int = 0,
        observed: int = 0,
        slowness: int = 0,
        tokens: int = 0,
    ) -> None:
        """Changes the numbers of this member's own calls; negative numbers remove calls."""
        change = Load(online, batch, started, observed, slowness, tokens)
        _add(self.local_by_backend, backend, change)
        self._total_by_backend.pop(backend, None)

    def clear_local(self) -> None:
        """Removes all of this member's own calls."""
        self.local_by_backend.clear()
        self._total_by_backend.clear()

    def record_report(self, report: Report, now: float) -> bool:
        """Records a report; returns False if it isn't newer than the last of that incarnation."""
        previous = self.received_by_member.get(report.member)
        same_incarnation = (
            previous is not None and previous.report.incarnation == report.incarnation
        )
        if previous is not None and same_incarnation and report.number <= previous.report.number:
            return False
        self._replace(report.member, ReceivedReport(_bounded(report), now))
        return True

    def expire(self, now: float) -> list[MemberName]:
        """Drops the reports that are too old; returns the members that no longer count at all."""
        expired = []
        for member, received in list(self.received_by_member.items()):
            age = now - received.received_at
            if age > REPORT_SECONDS:
                self.forget(member)
                expired.append(member)
            elif age > RELAYED_SECONDS:
                own = _without_relayed(received.report)
                if own != received.report:
                    self._replace(member, ReceivedReport(own, received.received_at))
        return expired

    def forget(self, member: MemberName) -> None:
        """Drops the report of a member."""
        self._replace(member, None)

    def total(self, backend: BackendName) -> Load:
        """Returns the calls of all members at one backend server."""
        total = self._total_by_backend.get(backend)
        if total is None:
            remote = self._remote_by_backend.get(backend, NO_LOAD)
            total = _sum(remote, self.local_by_backend.get(backend, NO_LOAD))
            self._total_by_backend[backend] = total
        return total

    def forget_backends(self, backends: Iterable[BackendName]) -> None:
        """Drops what is kept of servers that are no longer listed, beside their calls."""
        for backend in backends:
            self._total_by_backend.pop(backend, None)

    def local(self, backend: BackendName) -> Load:
        """Returns this member's own calls at one backend server."""
        return self.local_by_backend.get(backend, NO_LOAD)

    def remote_waiting(self, service: ServiceName) -> int:
        """Returns the number of calls that wait for a service at other members."""
        return self._remote_waiting_by_service[service]

    def relayed_load(self, member: MemberName) -> dict[BackendName, Load]:
        """Returns the calls of all other members but one and those that it passed on."""
        by_backend = dict(self._remote_by_backend)
        received = self.received_by_member.get(member)
        if received is not None:
            _subtract_report(by_backend, received.report)
        return by_backend

    def relayed_waiting(self, member: MemberName) -> dict[ServiceName, int]:
        """Returns the waiting calls of the members that :meth:`relayed_load` covers."""
        waiting = Counter(self._remote_waiting_by_service)
        received = self.received_by_member.get(member)
        if received is not None:
            waiting.subtract(received.report.waiting_by_service)
            waiting.subtract(received.report.relayed_waiting_by_service)
        return dict(+waiting)

    def relayed_suspects(self, member: MemberName) -> list[BackendName]:
        """Returns the servers that the members that :meth:`relayed_load` covers can't reach."""
        suspects: set[BackendName] = set()
        for name, received in self.received_by_member.items():
            if name != member:
                suspects.update(received.report.suspects, received.report.relayed_suspects)
        return sorted(suspects)

    def _replace(self, member: MemberName, received: ReceivedReport | None) -> None:
        previous = self.received_by_member.pop(member, None)
        before = previous.report if previous is not None else NO_REPORT
        after = received.report if received is not None else NO_REPORT
        self._add_differences(before.load_by_backend, after.load_by_backend)
        self._add_differences(before.relayed_by_backend, after.relayed_by_backend)
        self._remote_waiting_by_service.subtract(before.waiting_by_service)
        self._remote_waiting_by_service.subtract(before.relayed_waiting_by_service)
        self._remote_waiting_by_service.update(after.waiting_by_service)
        self._remote_waiting_by_service.update(after.relayed_waiting_by_service)
        if received is not None:
            self.received_by_member[member] = received

    def _add_differences(
        self, before: dict[BackendName, Load], after: dict[BackendName, Load]
    ) -> None:
        """Updates the sums for the servers whose load differs between two reports of a member."""
        for backend in before.keys() | after.keys():
            old, new = before.get(backend, NO_LOAD), after.get(backend, NO_LOAD)
            if old != new:
                _add(self._remote_by_backend, backend, _sum(new, _negative(old)))
                self._total_by_backend.pop(backend, None)


NO_LOAD = Load()
NO_REPORT = Report(MemberName(""), "", 0, {})


def _sum(one: Load, other: Load) -> Load:
    return Load(
        one.online + other.online,
        one.batch + other.batch,
        one.started + other.started,
        one.observed + other.observed,
        one.slowness + other.slowness,
        one.tokens + other.tokens,
    )


def _negative(load: Load) -> Load:
    return Load(
        -load.online,
        -load.batch,
        -load.started,
        -load.observed,
        -load.slowness,
        -load.tokens,
    )


def _bounded(report: Report) -> Report:
    """Returns a report without values out of bounds, which would distort all sums.

    A server with such numbers of calls counts as not reported.  One with such observations or
    tokens counts as not observed by the sender, and its calls there as small.
    """
    if all(
        _is_valid(load)
        for loads in (report.load_by_backend, report.relayed_by_backend)
        for load in loads.values()
    ):
        return report
    return msgspec.structs.replace(
        report,
        load_by_backend=_without_invalid(report.load_by_backend),
        relayed_by_backend=_without_invalid(report.relayed_by_backend),
    )


def _without_invalid(by_backend: dict[BackendName, Load]) -> dict[BackendName, Load]:
    return {
        backend: (
            load
            if _is_valid(load)
            else msgspec.structs.replace(load, observed=0, slowness=0, tokens=0)
        )
        for backend, load in by_backend.items()
        if _has_valid_calls(load)
    }


def _has_valid_calls(load: Load) -> bool:
    return 0 <= load.online <= MAX_CALLS and 0 <= load.batch <= MAX_CALLS


def _is_valid(load: Load) -> bool:
    return (
        _has_valid_calls(load)
        and 0 <= load.observed <= MAX_OBSERVED
        and abs(load.slowness) <= MAX_SLOWNESS * load.observed
        and 0 <= load.tokens <= MAX_TOKENS
    )


def _add(by_backend: dict[BackendName, Load], backend: BackendName, load: Load) -> None:
    after = _sum(by_backend.get(backend, NO_LOAD), load)
    if after != NO_LOAD:
        by_backend[backend] = after
    else:
        by_backend.pop(backend, None)


def _subtract_report(by_backend: dict[BackendName, Load], report: Report) -> None:
    for loads in (report.load_by_backend, report.relayed_by_backend):
        for backend, load in loads.items():
            _add(by_backend, backend, _negative(load))


def _without_relayed(report: Report) -> Report:
    return msgspec.structs.replace(
        report, relayed_by_backend={}, relayed_suspects=[], relayed_waiting_by_service={}
    )
