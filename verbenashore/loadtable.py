"""The load of each backend server, from the reports that all members sending to it exchange."""

import msgspec

from verbenashore.types import BackendName, MemberName, ServiceName

#: Seconds without a report after which a member's calls no longer count.  Not shorter, because the
#: calls of a frozen or partitioned member keep running on the servers for seconds.  A killed member
#: needs no shorter time: it restarts earlier, and its new report replaces the old one.
REPORT_SECONDS = 4.0


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The calls of one member at one backend server.

    :param online: calls of callers who wait.
    :param batch: running items of item jobs, which yield to online calls.
    """

    online: int = 0
    batch: int = 0


class Report(msgspec.Struct, frozen=True, array_like=True):
    """The complete load of one member; it replaces that member's older reports.

    :param incarnation: differs for every start of the member.
    :param number: increases with every report of an incarnation.
    :param suspects: servers that the member found unreachable.
    :param waiting_by_service: its online calls that wait for a slot.
    """

    member: MemberName
    incarnation: str
    number: int
    load_by_backend: dict[BackendName, Load]
    suspects: list[BackendName] = msgspec.field(default_factory=list)
    waiting_by_service: dict[ServiceName, int] = msgspec.field(default_factory=dict)


class ReceivedReport(msgspec.Struct):
    """The newest report of a member, and when it was received."""

    report: Report
    received_at: float


class LoadTable:
    """The calls of this member and of all peers, by backend server."""

    def __init__(self) -> None:
        self.local_by_backend: dict[BackendName, Load] = {}
        self.received_by_member: dict[MemberName, ReceivedReport] = {}

    def add(self, backend: BackendName, online: int = 0, batch: int = 0) -> None:
        """Changes the numbers of this member's own calls; negative numbers remove calls."""
        before = self.local_by_backend.get(backend, Load())
        after = Load(before.online + online, before.batch + batch)
        if after == Load():
            self.local_by_backend.pop(backend, None)
        else:
            self.local_by_backend[backend] = after

    def record_report(self, report: Report, now: float) -> bool:
        """Records a report; returns False if it isn't newer than the last of that incarnation."""
        previous = self.received_by_member.get(report.member)
        same_incarnation = (
            previous is not None and previous.report.incarnation == report.incarnation
        )
        if previous is not None and same_incarnation and report.number <= previous.report.number:
            return False
        self.received_by_member[report.member] = ReceivedReport(report, now)
        return True

    def expire(self, now: float) -> list[MemberName]:
        """Drops and returns the members whose last report is too old."""
        expired = [
            member
            for member, received in self.received_by_member.items()
            if now - received.received_at > REPORT_SECONDS
        ]
        for member in expired:
            del self.received_by_member[member]
        return expired

    def total(self, backend: BackendName) -> Load:
        """Returns the calls of all members at one backend server."""
        loads = [
            received.report.load_by_backend[backend]
            for received in self.received_by_member.values()
            if backend in received.report.load_by_backend
        ]
        loads.append(self.local_by_backend.get(backend, Load()))
        return Load(sum(load.online for load in loads), sum(load.batch for load in loads))

    def remote_waiting(self, service: ServiceName) -> int:
        """Returns the number of calls that wait for a service at the peers."""
        return sum(
            received.report.waiting_by_service.get(service, 0)
            for received in self.received_by_member.values()
        )
