"""Where a call goes, how long it waits for a place, and when it is refused; without I/O.

The load that this answers: callers who want a first byte within some hundred milliseconds, on
backend servers with a fixed number of slots that admit in order of arrival and know no classes.
Waiting is therefore done here, and a server gets no more online calls than it has slots.
"""

import random
from collections import Counter
from enum import Enum

import msgspec

from verbenashore.board import LoadBoard
from verbenashore.directory import BackendEntry, Directory
from verbenashore.types import BackendName, ServiceName

#: Shortest and longest wait, in seconds, that a refused caller is told.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
#: Seconds for which a server that failed is passed over; doubles up to the second figure.
SUSPEND_SECONDS = 0.3
MAX_SUSPEND_SECONDS = 2.0
#: Soft failures in a row after which a server is suspected: one lookup in six takes longer than a
#: retry is worth waiting for (trouble-1 of hanger-loop), so two in a row are common.
SOFT_FAILURES = 3
#: Seconds between two probes of a suspected server.
PROBE_SECONDS = 0.25
#: Seconds after which a suspected server gets a call although no probe succeeded, for a status
#: check may be wrong.
PROBE_PATIENCE_SECONDS = 4.0
#: Seconds for which a server that said that it is full gets nothing more.
FULL_SECONDS = 0.05
#: Share of its slots up to which a server of the own data centre goes before all others.
NEAR_LIMIT = 0.7
#: Weight of the newest call in the mean time that a service's calls take.
HOLD_WEIGHT = 0.05
#: Assumed time of a call in seconds before any was seen.
FIRST_HOLD_SECONDS = 0.5


class Verdict(Enum):
    """What becomes of a ticket."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


class Ticket(msgspec.Struct, eq=False):
    """One call that wants a place.

    :param rank: lower ranks go first.
    :param start_by: when it has to be at a server to be on time.
    :param end_by: when it has to be at a server to be answered at all.
    :param patient: rather waits and is late than is refused, as a caller on its last attempt.
    :param excluded: servers that it was sent to before.
    """

    id: str
    service: ServiceName
    rank: int
    start_by: float
    end_by: float
    patient: bool = False
    excluded: set[BackendName] = msgspec.field(default_factory=set)


class Decision(msgspec.Struct, frozen=True):
    """A verdict, with the server or the time to come back in."""

    verdict: Verdict
    server: BackendEntry | None = None
    retry_after: float = 0.0
    reason: str = ""


class Failure(Enum):
    """How a call failed at a server.

    UNREACHABLE: no connection.  SILENT: no answer in time.  BROKEN: an answer that is cut off or
    can't be read.  REPORTED: another member found it unreachable.
    """

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BROKEN = "broken"
    REPORTED = "reported"


class Health(msgspec.Struct):
    """What calls showed of one server.

    :param avoid_until: it gets nothing before this time.
    :param failures: in a row.
    :param suspected: it gets nothing before a probe succeeds, either.
    :param told: it was found unreachable here, which the other members are told; a slow or
        broken answer may be the call's own, and hearsay isn't passed on.
    :param since: when it was suspected.
    :param probe_at: when it is to be probed next.
    """

    avoid_until: float = float("-inf")
    failures: int = 0
    suspected: bool = False
    told: bool = False
    since: float = float("-inf")
    probe_at: float = float("inf")


WAITING = Decision(Verdict.WAITING)


class Dispatcher:
    """The tickets of one process that wait, and what it knows of the servers."""

    def __init__(
        self, directory: Directory, board: LoadBoard, data_centre: str, seed: int = 0
    ) -> None:
        self._directory = directory
        self._board = board
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._waiting: list[Ticket] = []
        self._health_by_name: dict[BackendName, Health] = {}
        self._hold_by_service: dict[ServiceName, float] = {}

    @property
    def waiting(self) -> int:
        """How many tickets wait."""
        return len(self._waiting)

    def waiting_by_service(self) -> Counter[ServiceName]:
        """Returns how many tickets wait for each service."""
        return Counter(ticket.service for ticket in self._waiting)

    def request(self, ticket: Ticket, now: float) -> Decision:
        """Grants a place at once, lets the ticket wait, or refuses it."""
        server = None if self._is_behind(ticket) else self.choose(ticket, now)
        if server is not None:
            return self._grant(server)
        if not self._is_possible(ticket):
            return Decision(Verdict.REFUSED, None, MAX_RETRY_SECONDS, "no server")
        wait = self.expected_wait(ticket.service)
        if now + wait > (ticket.end_by if ticket.patient else ticket.start_by):
            return Decision(Verdict.REFUSED, None, self._retry_after(wait), "queue too long")
        self._waiting.append(ticket)
        return WAITING

    def poll(self, now: float) -> list[tuple[Ticket, Decision]]:
        """Returns what has become of tickets that waited.

        Those that can still be on time go first; the late ones get what is left.
        """
        decided: list[tuple[Ticket, Decision]] = []
        full: set[ServiceName] = set()
        for ticket in sorted(self._waiting, key=lambda t: (now > t.start_by, t.rank, t.start_by)):
            server = None if ticket.service in full else self.choose(ticket, now)
            if server is not None:
                decided.append((ticket, self._grant(server)))
            elif now > ticket.end_by or not self._is_possible(ticket):
                refused = Decision(Verdict.REFUSED, None, MIN_RETRY_SECONDS, "waited")
                decided.append((ticket, refused))
            elif not ticket.excluded:
                full.add(ticket.service)
        for ticket, _ in decided:
            self._waiting.remove(ticket)
        return decided

    def withdraw(self, ticket: Ticket) -> None:
        """Takes a ticket out whose caller has left."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def release(self, server: BackendEntry, held: float) -> None:
        """Gives a place back after some seconds."""
        self._board.add(server.name, online=-1)
        known = self._hold_by_service.get(server.service, held)
        self._hold_by_service[server.service] = known + HOLD_WEIGHT * (held - known)

    def note_success(self, name: BackendName) -> None:
        """Notes that a server answered as it should."""
        health = self._health_by_name.get(name)
        if health is not None and not health.suspected:
            del self._health_by_name[name]

    def note_failure(self, name: BackendName, kind: Failure, now: float) -> bool:
        """Notes a failed call; true if the server is suspected from now on.

        It is passed over for a while, longer with each failure in a row.
        """
        health = self._health_by_name.setdefault(name, Health())
        if kind is Failure.REPORTED and health.suspected:
            return False
        health.failures += 1
        enough = SOFT_FAILURES if kind in (Failure.SILENT, Failure.BROKEN) else 1
        if health.failures < enough:
            return False
        newly = not health.suspected
        pause = min(MAX_SUSPEND_SECONDS, SUSPEND_SECONDS * 2 ** min(8, health.failures - enough))
        health.avoid_until = now + (SUSPEND_SECONDS if kind is Failure.REPORTED else pause)
        health.suspected = True
        health.told = kind is Failure.UNREACHABLE
        health.since = now
        health.probe_at = min(health.probe_at, now + PROBE_SECONDS)
        return newly

    def due_probes(self, now: float) -> list[BackendEntry]:
        """Returns the suspected servers that are to be probed now."""
        due = []
        for name, health in self._health_by_name.items():
            server = self._directory.by_name.get(name)
            if health.suspected and now >= health.probe_at and server is not None:
                health.probe_at = now + PROBE_SECONDS
                due.append(server)
        return due

    def note_probe(self, name: BackendName) -> None:
        """Notes that a probe succeeded: the server may get calls again."""
        health = self._health_by_name.get(name)
        if health is not None:
            health.suspected = False
            # It has to fail twice again: a status check may be right, and the calls unlucky.
            health.failures = min(health.failures, SOFT_FAILURES - 2)
            health.probe_at = float("inf")

    @property
    def suspects(self) -> list[BackendName]:
        """The servers that this process found unreachable and still suspects."""
        return [
            name
            for name, health in self._health_by_name.items()
            if health.suspected and health.told
        ]

    def note_full(self, name: BackendName, now: float) -> None:
        """Notes that a server refused a call because it is full."""
        health = self._health_by_name.setdefault(name, Health())
        health.avoid_until = max(health.avoid_until, now + FULL_SECONDS)

    def forget(self, names: list[BackendName]) -> None:
        """Drops what is known of servers that are gone."""
        for name in names:
            self._health_by_name.pop(name, None)

    def may_use(self, name: BackendName, now: float) -> bool:
        """Tells whether a server is not passed over at present."""
        health = self._health_by_name.get(name)
        if health is None:
            return True
        trusted = not health.suspected or now >= health.since + PROBE_PATIENCE_SECONDS
        return trusted and now >= health.avoid_until

    def choose(self, ticket: Ticket, now: float) -> BackendEntry | None:
        """Returns the best server with a free place, or None."""
        open_servers = [
            (self._cost(server), server)
            for server in self._directory.of_service(ticket.service)
            if server.name not in ticket.excluded
            and self.may_use(server.name, now)
            and self._board.total(server.name).online < server.slots
        ]
        return min(open_servers, key=lambda pair: pair[0])[1] if open_servers else None

    def expected_wait(self, service: ServiceName) -> float:
        """Returns the seconds that a new ticket of a service would wait."""
        ahead = self.waiting_by_service()[service] + self._board.waiting(service) + 1
        slots = sum(server.slots for server in self._directory.of_service(service))
        hold = self._hold_by_service.get(service, FIRST_HOLD_SECONDS)
        return ahead * hold / max(1, slots)

    def _cost(self, server: BackendEntry) -> tuple[bool, bool, bool, float, float]:
        load = self._board.total(server.name)
        busy = (load.online + load.batch) / max(1, server.slots)
        online = load.online / max(1, server.slots)
        return (
            busy >= 1,
            busy >= NEAR_LIMIT,
            server.data_centre != self._data_centre,
            online if busy >= 1 else busy,
            self._random.random(),
        )

    def _is_possible(self, ticket: Ticket) -> bool:
        """Tells whether any server may ever take the ticket, as far as is known."""
        return any(
            server.name not in ticket.excluded
            for server in self._directory.of_service(ticket.service)
        )

    def _is_behind(self, ticket: Ticket) -> bool:
        """Tells whether an older ticket of the same service waits for the same servers."""
        return any(
            other.service == ticket.service and other.rank <= ticket.rank
            for other in self._waiting
            if not other.excluded
        )

    def _grant(self, server: BackendEntry) -> Decision:
        self._board.add(server.name, online=1)
        return Decision(Verdict.GRANTED, server)

    def _retry_after(self, wait: float) -> float:
        spread = self._random.uniform(1.0, 2.0)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait * spread))
