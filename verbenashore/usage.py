"""The requests that workspaces sent to all entries together, as one entry knows them; without I/O.

Each entry tells its neighbours in the load tree how many requests it and the entries behind it have
admitted for each workspace.  A report holds sums only, so its size depends on the number of active
workspaces and not on that of the entries.  Reports have a datagram of their own, since they are
sent only while the route table has workspaces with a limit.

It is made for some hundred workspaces, 300 entries and a report from each of up to 20 neighbours
every 0.1 s.  Reports may be lost or come from members with another route table or another list of
entries.
"""

from collections.abc import Callable, Iterable

import msgspec

from verbenashore import misc
from verbenashore.loadtree import Node, ReportAddress
from verbenashore.messages import Member
from verbenashore.types import MemberName, MemberState, WorkspaceId

#: The first byte of a datagram with a usage report.  MessagePack never uses it, so that it differs
#: from the first byte of a report of load.
MARK = b"\xc1"
#: Least mean time in seconds between two reports to a neighbour.
REPORT_INTERVAL_SECONDS = 0.1
#: Seconds without a report after which the entries that a neighbour stands for aren't reached any
#: more: seven reports, so that lost datagrams and short pauses don't lower the limits in use.
SILENT_SECONDS = 0.75
#: Seconds over which requests are counted, and for which the counts of lost entries are kept.
WINDOW_SECONDS = 5.0
#: Seconds for which an entry that vanished from the list without having drained still counts: it
#: may be partitioned from the leader and still admit requests.  Entries that crashed and were
#: replaced under other names lower every limit for so long.  A single entry that is cut off for
#: longer uses at most its own small part, which the tolerance of a tenth of a limit covers.
VANISHED_SECONDS = 60.0
#: Largest number of entries and of requests that is accepted from another member.
MAX_ENTRIES = 10_000
MAX_REQUESTS = 1_000_000
#: Number of workspaces above which no further ones are relayed that this entry doesn't know.  With
#: the known ones a report then stays far below the 64 KB of a datagram.
MAX_RELAYED_KEYS = 1_000

#: Names a workspace in a report: a hash of four bytes, since names are long.  Two workspaces with
#: the same hash would be counted as one; among 330 of them the probability is 0.00002.
WorkspaceKey = int
#: Requests that were sent in the last second, and those that were admitted in the last second and
#: in the last ``WINDOW_SECONDS``.
Counts = tuple[int, int, int]
NO_REQUESTS: Counts = (0, 0, 0)


def key_of(workspace: WorkspaceId) -> WorkspaceKey:
    """Returns what stands for a workspace in reports."""
    return misc.quick_hash(workspace) & 0xFFFFFFFF


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """The requests admitted by the sender and by all entries behind it, as seen by the recipient.

    :param incarnation: differs for every start of the sender.
    :param number: increases with every report of an incarnation.
    :param entries: the number of entries whose requests are counted, the sender included.
    :param known_entries: the number of entries that the sender knows of; 0 if unknown.
    :param age: mean age of the counts of these entries, in seconds.
    """

    member: MemberName
    incarnation: int
    number: int
    entries: int
    known_entries: int
    age: float
    counts_by_key: dict[WorkspaceKey, Counts]


class ReceivedUsage(msgspec.Struct, frozen=True):
    """The newest valid report of a neighbour, and when it was received."""

    report: UsageReport
    received_at: float


class LostUsage(msgspec.Struct, frozen=True):
    """The requests of entries that became unreachable.

    :param at: when the last of them did.
    :param before: how many other entries the sums covered before.
    :param after: how many they covered then.
    """

    at: float
    before: int
    after: int
    requests_by_key: dict[WorkspaceKey, float]

    def missing_share(self, covered: int) -> float:
        """Returns the share of them that isn't covered again, in whatever way it is reported."""
        return max(0, self.before - covered) / (self.before - self.after)


class EntryNumber:
    """The number of entries that may admit requests, reachable or not."""

    def __init__(self) -> None:
        self._state_by_name: dict[MemberName, MemberState] = {}
        self._vanished_at_by_name: dict[MemberName, float] = {}

    def set_members(self, members: Iterable[Member], now: float) -> None:
        """Replaces the list of entries."""
        state_by_name = {member.name: member.state for member in members}
        for name, state in self._state_by_name.items():
            if name not in state_by_name and state is MemberState.SERVING:
                self._vanished_at_by_name[name] = now
        self._state_by_name = state_by_name
        self._vanished_at_by_name = {
            name: at for name, at in self._vanished_at_by_name.items() if name not in state_by_name
        }

    def known(self, now: float) -> int:
        """Returns the number of entries; 0 if no list is known."""
        if not self._state_by_name:
            return 0
        # The list may stay the same for long.  The names are in the order in which they vanished.
        while self._vanished_at_by_name:
            name, at = next(iter(self._vanished_at_by_name.items()))
            if now - at < VANISHED_SECONDS:
                break
            del self._vanished_at_by_name[name]
        return len(self._state_by_name) + len(self._vanished_at_by_name)


class UsageTable:
    """The sums of the neighbours' reports, and the entries that they cover.

    Reading a sum costs the same however many members there are.
    """

    def __init__(self) -> None:
        self.entry_number = EntryNumber()
        self.known_keys: frozenset[WorkspaceKey] = frozenset()
        self._received_by_member: dict[MemberName, ReceivedUsage] = {}
        self._counts_by_key: dict[WorkspaceKey, Counts] = {}
        self._entries = 0
        # The sum over all covered entries of the age of their counts at the time 0.
        self._age_sum = 0.0
        self._expires_at = float("inf")
        self._lost: LostUsage | None = None
        self._told_entries = 0
        self._told_at = float("-inf")

    def record(self, report: UsageReport, now: float) -> bool:
        """Records a neighbour's report; returns False if it is invalid or not newer."""
        previous = self._received_by_member.get(report.member)
        if (
            previous is not None
            and previous.report.incarnation == report.incarnation
            and report.number <= previous.report.number
        ):
            return False
        valid = self._validated(report)
        if valid is None:
            return False
        self._replace(report.member, ReceivedUsage(valid, now), now)
        if now - self._told_at > WINDOW_SECONDS or valid.known_entries >= self._told_entries:
            self._told_entries, self._told_at = valid.known_entries, now
        return True

    def retain(self, neighbours: Iterable[MemberName], now: float) -> None:
        """Drops the reports of members that are no longer neighbours."""
        for member in self._received_by_member.keys() - set(neighbours):
            self._replace(member, None, now)

    def expire(self, now: float) -> None:
        """Drops the reports of neighbours that are silent."""
        if now < self._expires_at:
            return
        for member, received in list(self._received_by_member.items()):
            if now - received.received_at >= SILENT_SECONDS:
                self._replace(member, None, now)
        self._update_expiry()

    def counts(self, key: WorkspaceKey) -> Counts:
        """Returns the requests of a workspace known here that the other entries reported."""
        return self._counts_by_key.get(key, NO_REQUESTS) if key in self.known_keys else NO_REQUESTS

    def lost_requests(self, key: WorkspaceKey, now: float) -> tuple[float, float]:
        """Returns the requests of entries that became unreachable lately, and since when.

        The former are those of the last ``WINDOW_SECONDS`` at that time.
        """
        lost = self._lost
        if lost is None:
            return 0.0, 0.0
        if now - lost.at >= WINDOW_SECONDS or self._entries >= lost.before:
            self._lost = None
            return 0.0, 0.0
        missing = lost.missing_share(self._entries)
        return lost.requests_by_key.get(key, 0.0) * missing, now - lost.at

    def age(self, now: float) -> float:
        """Returns the mean age of the counts that the other entries reported, in seconds."""
        return max(0.0, self._age_sum / self._entries + now) if self._entries else 0.0

    @property
    def reach(self) -> int:
        """The number of entries that the sums cover, this one included."""
        return 1 + self._entries

    def entries(self, now: float) -> int:
        """Returns the number of all entries: the largest that is listed or that others told of.

        The list of a starting entry grows while others register.  0 if the number is unknown.
        """
        told = self._told_entries if now - self._told_at <= WINDOW_SECONDS else 0
        return max(self.entry_number.known(now), told)

    def relayed(
        self, member: MemberName, own_counts: dict[WorkspaceKey, Counts], now: float
    ) -> tuple[int, float, dict[WorkspaceKey, Counts]]:
        """Returns what a neighbour is told: the own requests and those that others have reported.

        These are the number of other entries covered, the sum of the ages of their counts, and the
        sums of the requests.
        """
        entries, age_sum = self._entries, self._age_sum + self._entries * now
        received = self._received_by_member.get(member)
        its_counts: dict[WorkspaceKey, Counts] = {}
        if received is not None:
            entries -= received.report.entries
            age_sum -= received.report.entries * (received.report.age + now - received.received_at)
            its_counts = received.report.counts_by_key
        counts_by_key = dict(self._counts_by_key)
        _add_differences(counts_by_key, its_counts, own_counts)
        return entries, max(0.0, age_sum), counts_by_key

    def _replace(self, member: MemberName, received: ReceivedUsage | None, now: float) -> None:
        previous = self._received_by_member.pop(member, None)
        old_entries = previous.report.entries if previous is not None else 0
        new_entries = received.report.entries if received is not None else 0
        old_counts = previous.report.counts_by_key if previous is not None else {}
        new_counts = received.report.counts_by_key if received is not None else {}
        if previous is not None and new_entries < old_entries:
            # After a suspension the reports are older than their expiry.
            at = min(now, previous.received_at + SILENT_SECONDS)
            self._record_lost(at, self._entries + new_entries - old_entries, old_counts, new_counts)
        self._entries += new_entries - old_entries
        if previous is not None:
            self._age_sum -= old_entries * (previous.report.age - previous.received_at)
        if received is not None:
            self._age_sum += new_entries * (received.report.age - received.received_at)
            self._received_by_member[member] = received
        _add_differences(
            self._counts_by_key,
            old_counts,
            new_counts,
        )
        if not self._entries:
            # Ends the rounding errors of the sums.
            self._age_sum = 0.0
            self._counts_by_key.clear()
        self._update_expiry()

    def _record_lost(
        self,
        at: float,
        after: int,
        old_counts: dict[WorkspaceKey, Counts],
        new_counts: dict[WorkspaceKey, Counts],
    ) -> None:
        requests_by_key = {
            key: max(0.0, counts[2] - new_counts.get(key, NO_REQUESTS)[2])
            for key, counts in old_counts.items()
        }
        # While members change their parents, some entries are covered twice.
        known = self.entry_number.known(at)
        before, lost = min(self._entries, known - 1) if known else self._entries, self._lost
        if after >= before:
            return
        if lost is not None and at - lost.at < WINDOW_SECONDS and self._entries < lost.before:
            missing, before = lost.missing_share(self._entries), lost.before
            for key, requests in lost.requests_by_key.items():
                requests_by_key[key] = requests_by_key.get(key, 0.0) + requests * missing
        self._lost = LostUsage(at, before, after, requests_by_key)

    def _update_expiry(self) -> None:
        self._expires_at = SILENT_SECONDS + min(
            (received.received_at for received in self._received_by_member.values()),
            default=float("inf"),
        )

    def _validated(self, report: UsageReport) -> UsageReport | None:
        """Returns a report with consistent counts; None if it is invalid.

        Workspaces that aren't known here are kept up to a number: while this entry has an older
        route table, entries on its different sides learn of each other's requests through it.
        """
        if not (1 <= report.entries <= MAX_ENTRIES and 0 <= report.known_entries <= MAX_ENTRIES):
            return None
        if not 0 <= report.age <= WINDOW_SECONDS:
            return None
        counts_by_key = {}
        unknown_room = MAX_RELAYED_KEYS - len(self._counts_by_key)
        for key, counts in report.counts_by_key.items():
            if not all(0 <= count <= MAX_REQUESTS for count in counts):
                return None
            if key not in self.known_keys and key not in self._counts_by_key:
                unknown_room -= 1
                if unknown_room < 0:
                    continue
            sent, second, window = counts
            counts_by_key[key] = (sent, min(second, window), window)
        return msgspec.structs.replace(report, counts_by_key=counts_by_key)


class UsageExchange:
    """The reports that one entry owes its neighbours, and those that it gets from them.

    :param incarnation: a hash that differs for every start of the entry.
    :param is_active: returns whether reports are sent and read now.
    :param own_counts: returns the requests that this entry has admitted, at the given time.
    """

    def __init__(
        self,
        name: MemberName,
        incarnation: int,
        table: UsageTable,
        is_active: Callable[[], bool],
        own_counts: Callable[[float], dict[WorkspaceKey, Counts]],
    ) -> None:
        self._name = name
        self._incarnation = incarnation & 0xFFFFFFFF
        self._table = table
        self._is_active = is_active
        self._own_counts = own_counts
        self._number = 0
        self._due_at = float("-inf")
        self._reads_from = float("-inf")
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(UsageReport)

    def set_members(self, members: Iterable[Member], now: float) -> None:
        """Replaces the list of entries."""
        self._table.entry_number.set_members(members, now)

    def receive(self, data: bytes, neighbours: Iterable[Node], now: float) -> None:
        """Records the report in a datagram, if it comes from a neighbour.

        After a suspension the datagrams that arrived meanwhile are old, and are passed over.

        :raises msgspec.DecodeError: if it can't be read.
        """
        if not self._is_active() or now < self._reads_from or now - self._due_at > SILENT_SECONDS:
            return
        report = self._decoder.decode(data[len(MARK) :])
        if any(node.name == report.member for node in neighbours):
            self._table.record(report, now)

    def due_datagrams(
        self, neighbours: Iterable[Node], now: float
    ) -> list[tuple[ReportAddress, bytes]]:
        """Returns the reports to send now; none until the next interval."""
        if now < self._due_at - REPORT_INTERVAL_SECONDS:
            # The clock went back: the times of all reports are meaningless.
            self._table.retain((), now)
            self._due_at = now
        if not self._is_active() or now < self._due_at:
            return []
        if now - self._due_at > SILENT_SECONDS:
            self._reads_from = now + REPORT_INTERVAL_SECONDS
        is_regular = now - self._due_at < REPORT_INTERVAL_SECONDS
        self._due_at = (self._due_at if is_regular else now) + REPORT_INTERVAL_SECONDS
        # Nodes of processes that admit no calls of callers aren't told.
        nodes = [node for node in neighbours if not node.position.passes_on_last]
        self._table.retain((node.name for node in nodes), now)
        self._table.expire(now)
        own_counts = self._own_counts(now)
        # Numbers that others told of aren't passed on, or a former one would never be forgotten.
        known_entries = self._table.entry_number.known(now)
        self._number += 1
        datagrams = []
        for node in nodes:
            entries, age_sum, counts_by_key = self._table.relayed(node.name, own_counts, now)
            report = UsageReport(
                self._name,
                self._incarnation,
                self._number,
                1 + entries,
                known_entries,
                round(min(WINDOW_SECONDS, age_sum / (1 + entries)), 3),
                counts_by_key,
            )
            datagrams.append((node.address, MARK + self._encoder.encode(report)))
        return datagrams


def _add_differences(
    sums: dict[WorkspaceKey, Counts],
    before: dict[WorkspaceKey, Counts],
    after: dict[WorkspaceKey, Counts],
) -> None:
    """Updates sums by the differences between two reports of one member."""
    if before == after:
        return
    for key in before.keys() | after.keys():
        old, new = before.get(key, NO_REQUESTS), after.get(key, NO_REQUESTS)
        if old == new:
            continue
        total = sums.get(key, NO_REQUESTS)
        sums[key] = (
            total[0] + new[0] - old[0],
            total[1] + new[1] - old[1],
            total[2] + new[2] - old[2],
        )
        if sums[key] == NO_REQUESTS:
            del sums[key]
