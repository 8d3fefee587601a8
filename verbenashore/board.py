"""How busy each backend server is, as all members that send to it tell each other."""

import msgspec

from verbenashore.types import BackendName, MemberName, ServiceName

#: Seconds after which a silent member's calls no longer count.  A member that was killed reports
#: anew sooner; the calls of one that is frozen or cut off go on at their servers for seconds.
REPORT_SECONDS = 4.0


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The calls of one member at one backend server.

    :param online: calls of callers who wait.
    :param batch: items of jobs, which yield to online calls.
    """

    online: int = 0
    batch: int = 0


class Report(msgspec.Struct, frozen=True, array_like=True):
    """All calls of one member; it replaces that member's older reports.

    :param incarnation: differs for every start of the member.
    :param number: rises with every report of an incarnation.
    :param suspects: servers that the member found unreachable.
    :param waiting_by_service: its online calls that wait for a place.
    """

    member: MemberName
    incarnation: str
    number: int
    load_by_backend: dict[BackendName, Load]
    suspects: list[BackendName] = msgspec.field(default_factory=list)
    waiting_by_service: dict[ServiceName, int] = msgspec.field(default_factory=dict)


class Heard(msgspec.Struct):
    """The newest report of a member, and when it came."""

    report: Report
    at: float


class LoadBoard:
    """The calls of this member and of all others, by backend server."""

    def __init__(self) -> None:
        self.own: dict[BackendName, Load] = {}
        self.heard_by_member: dict[MemberName, Heard] = {}

    def add(self, backend: BackendName, online: int = 0, batch: int = 0) -> None:
        """Adds to, or takes from, this member's own calls."""
        known = self.own.get(backend, Load())
        changed = Load(known.online + online, known.batch + batch)
        if changed == Load():
            self.own.pop(backend, None)
        else:
            self.own[backend] = changed

    def take(self, report: Report, now: float) -> bool:
        """Takes in a report; false if it is older than what is known."""
        known = self.heard_by_member.get(report.member)
        same_start = known is not None and known.report.incarnation == report.incarnation
        if known is not None and same_start and report.number <= known.report.number:
            return False
        self.heard_by_member[report.member] = Heard(report, now)
        return True

    def expire(self, now: float) -> list[MemberName]:
        """Drops and returns the members that were not heard of in time."""
        lost = [
            member
            for member, heard in self.heard_by_member.items()
            if now - heard.at > REPORT_SECONDS
        ]
        for member in lost:
            del self.heard_by_member[member]
        return lost

    def total(self, backend: BackendName) -> Load:
        """Returns the calls of all members at one backend server."""
        loads = [
            heard.report.load_by_backend[backend]
            for heard in self.heard_by_member.values()
            if backend in heard.report.load_by_backend
        ]
        loads.append(self.own.get(backend, Load()))
        return Load(sum(load.online for load in loads), sum(load.batch for load in loads))

    def waiting(self, service: ServiceName) -> int:
        """Returns how many calls wait for a service at the other members."""
        return sum(
            heard.report.waiting_by_service.get(service, 0)
            for heard in self.heard_by_member.values()
        )
