"""The limits on the requests of workspaces, over all entries together; without I/O.

Each entry counts the requests that it admits, and knows those of the others by sums that are some
exchanges old (:mod:`verbenashore.usage`).  It admits one more request while all that it knows of,
with an estimate of what the others have admitted since, stays under the limit.  So any entry may
use all of a limit, however little that is.  Entries that can't reach all others use a part of each
limit; the parts of two sides that don't reach each other add up to at most the whole.

It is made for some hundred workspaces that send up to 7.5 times their usual rate for some seconds,
at up to 300 entries, of which some have 0.3 of a core: a request costs some dictionary look-ups.
"""

import random
from collections import deque
from collections.abc import Callable, Iterator

import msgspec

from verbenashore import usage
from verbenashore.routing import RouteTable, Workspace
from verbenashore.types import NO_WORKSPACE, WorkspaceId
from verbenashore.usage import Counts, UsageTable, WorkspaceKey

#: Seconds over which requests are counted, in addition to the last second.
WINDOW_SECONDS = usage.WINDOW_SECONDS
#: Seconds whose requests are counted together.
SLOT_SECONDS = 0.1
SECOND_SLOTS = round(1.0 / SLOT_SECONDS)
WINDOW_SLOTS = round(WINDOW_SECONDS / SLOT_SECONDS)
#: Shortest and longest time in seconds after which a refused caller is told to retry.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = WINDOW_SECONDS
#: The factor by which these times are spread, so that callers don't all return at once.
RETRY_SPREAD = (1.0, 1.5)
#: Least step back of the clock, in seconds, after which this entry counts as just started.
CLOCK_STEP_SECONDS = 1.0
#: Seconds without a refusal after which a workspace is no longer logged as limited.
CALM_SECONDS = 5.0
#: Requests beyond a limit that all entries together may admit while they can't reach each other.
#: An entry's part of a small limit is less than one request, so its callers would get nothing.
UNREACHED_REQUESTS = 15
#: Demand after a start at which a workspace is taken to have used up its limits before, as a factor
#: to its rate and as a part of its burst.
HEAVY_FACTOR = 1.25
HEAVY_BURST_PART = 0.25
#: Retry-After in seconds of a request that is refused only because this entry has just started or
#: doesn't reach the others; both usually end within that time.
TRANSIENT_RETRY_SECONDS = (0.2, 0.5)
#: Highest number of workspaces in the metrics.
MAX_SHOWN = 100


class RequestCount:
    """Requests of the last second and of the last ``WINDOW_SECONDS``, in slots."""

    def __init__(self) -> None:
        self._slots: deque[list[int]] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Counts one request."""
        slot = int(now / SLOT_SECONDS)
        if self._slots and self._slots[-1][0] >= slot:
            self._slots[-1][1] += 1
        else:
            self._slots.append([slot, 1])
        self._total += 1

    def remove(self, at: float) -> None:
        """Subtracts a request that was counted at some time, unless it is no longer counted."""
        slot = int(at / SLOT_SECONDS)
        for entry in reversed(self._slots):
            if entry[0] <= slot:
                if entry[0] == slot and entry[1]:
                    entry[1] -= 1
                    self._total -= 1
                return

    def window(self, now: float) -> int:
        """Returns the requests of the last ``WINDOW_SECONDS``."""
        oldest = int(now / SLOT_SECONDS) - WINDOW_SLOTS
        slots = self._slots
        while slots and slots[0][0] < oldest:
            self._total -= slots.popleft()[1]
        return self._total

    def second(self, now: float) -> int:
        """Returns the requests of the last second."""
        oldest = int(now / SLOT_SECONDS) - SECOND_SLOTS
        count = 0
        for slot, number in reversed(self._slots):
            if slot <= oldest:
                break
            count += number
        return count

    def seconds_to_oldest_end(self, now: float) -> float:
        """Returns after how long the oldest requests of the window no longer count."""
        if not self._slots:
            return 0.0
        return (self._slots[0][0] + WINDOW_SLOTS + 1) * SLOT_SECONDS - now


class WorkspaceUse(msgspec.Struct):
    """One workspace's limit, and its requests at this entry.

    :param rounding: added to parts of requests before they are cut to whole ones; differs between
        entries, so that the sum over many of them is right.
    :param admitted: the requests of the last seconds that were admitted.
    :param refused: those that were refused.
    :param received_count: all requests since the entry started; so are the other counts.
    :param taken_back_count: admitted requests that were refused later without having run.
    :param limited_at: when the last request was refused; None if limiting has ended.
    """

    workspace: Workspace
    key: WorkspaceKey
    rounding: float
    admitted: RequestCount = msgspec.field(default_factory=RequestCount)
    refused: RequestCount = msgspec.field(default_factory=RequestCount)
    received_count: int = 0
    admitted_count: int = 0
    refused_count: int = 0
    taken_back_count: int = 0
    limited_at: float | None = None

    @property
    def second_limit(self) -> float:
        """The most requests in a second."""
        return self.workspace.per_second + self.workspace.burst

    @property
    def window_limit(self) -> float:
        """The most requests in ``WINDOW_SECONDS``."""
        return self.workspace.per_second * WINDOW_SECONDS + self.workspace.burst

    def used_share(self, age: float) -> float:
        """Returns the largest share of a window's requests that still counts some time later.

        The limit of the last second keeps a workspace from using up that of the window faster than
        in ``window_limit / second_limit`` seconds, so the oldest requests end that much earlier
        than the newest.
        """
        if not self.window_limit:
            return 0.0
        left = (WINDOW_SECONDS - age) * self.second_limit / self.window_limit
        return max(0.0, min(1.0, left))


class QuotaState(msgspec.Struct, frozen=True):
    """What decides about the next request of a workspace.

    :param used: known requests of the window, with the estimate of those not yet known.
    :param used_second: the same for the last second.
    :param fraction: the part of the limits that this entry may use.
    :param age: mean age of the sums over other entries, in seconds.
    """

    used: float
    used_second: float
    fraction: float
    reach: int
    entries: int
    age: float


class WorkspaceQuotas:
    """The limits of all workspaces in the table in force, and the requests at one entry.

    :param started_at: when this entry started, on the clock that it passes.
    :param on_limited: called with a workspace, whether its requests are being refused, and the
        version of the route table, when the refusals start and when they have stopped.
    """

    def __init__(
        self,
        table: UsageTable,
        started_at: float,
        seed: int = 0,
        on_limited: Callable[[WorkspaceId, bool], None] = lambda _name, _is_limited: None,
    ) -> None:
        self._table = table
        self._started_at = started_at
        self._random = random.Random(seed)
        self._on_limited = on_limited
        self._use_by_name: dict[WorkspaceId, WorkspaceUse] = {}
        self._latest = started_at
        self.version = 0
        self.is_active = False

    def install(self, table: RouteTable) -> None:
        """Installs the limits of a route table; what was admitted before counts against them."""
        before = self._use_by_name
        self._use_by_name = {}
        for workspace in table.workspaces or ():
            self._use_by_name[workspace.name] = self._use_of(workspace, before)
        if table.workspaces is not None:
            self._use_by_name[NO_WORKSPACE] = self._use_of(Workspace(NO_WORKSPACE), before)
        self._table.known_keys = frozenset(use.key for use in self._use_by_name.values())
        self.version = table.version
        self.is_active = any(use.workspace.per_second for use in self._use_by_name.values())

    def admit(self, name: WorkspaceId, now: float) -> float:
        """Counts a request if it is within the limits.

        Returns 0 if it is admitted, else the seconds after which a retry is worthwhile.
        """
        use = self._use_by_name.get(name)
        if use is None:
            return 0.0
        self._observe(now)
        use.received_count += 1
        if use.workspace.per_second:
            state = self._state(use, now)
            room = self._room(use, state, now)
            if room < 1 or room < self._expected(use, state, now) * self._random.random():
                return self._refuse(use, state, room, now)
        use.admitted.window(now)
        use.admitted.add(now)
        use.admitted_count += 1
        return 0.0

    def take_back(self, name: WorkspaceId, admitted_at: float) -> None:
        """Subtracts a request that was refused after its admission, without having run."""
        use = self._use_by_name.get(name)
        if use is not None:
            use.admitted.remove(admitted_at)
            use.taken_back_count += 1

    def recent(self, name: WorkspaceId, now: float) -> float:
        """Returns the requests of a workspace in the last second, as far as this entry knows."""
        use = self._use_by_name.get(name)
        if use is None:
            return 0.0
        self._table.expire(now)
        return use.admitted.second(now) + self._table.counts(use.key)[1]

    def weight(self, name: WorkspaceId) -> float:
        """Returns the share of a workspace relative to others: its rate, or 1 if it has none."""
        use = self._use_by_name.get(name)
        return use.workspace.per_second or 1.0 if use is not None else 1.0

    @property
    def names(self) -> Iterator[WorkspaceId]:
        """The workspaces of the table in force, and ``NO_WORKSPACE`` if it has any."""
        return iter(self._use_by_name)

    def is_ready(self, name: WorkspaceId, now: float) -> bool:
        """Returns whether a workspace has no limit, or the number of entries is known."""
        use = self._use_by_name.get(name)
        return use is None or not use.workspace.per_second or self._table.entries(now) > 0

    def own_counts(self, now: float) -> dict[WorkspaceKey, Counts]:
        """Returns the requests to report to other entries, with those of a predecessor."""
        counts_by_key: dict[WorkspaceKey, Counts] = {}
        for name, use in self._use_by_name.items():
            if use.limited_at is not None and now - use.limited_at >= CALM_SECONDS:
                use.limited_at = None
                self._on_limited(name, False)
            window = use.admitted.window(now)
            second_charge, window_charge = self._start_charge(use, now)
            if window or window_charge or use.limited_at is not None:
                second = use.admitted.second(now)
                counts_by_key[use.key] = (
                    second + use.refused.second(now),
                    second + int(second_charge + use.rounding),
                    window + int(window_charge + use.rounding),
                )
        return counts_by_key

    def describe(self, name: WorkspaceId, now: float) -> dict[str, object]:
        """Returns what decides about a workspace's next request, as log fields."""
        use = self._use_by_name.get(name)
        if use is None:
            return {}
        state = self._state(use, now)
        return {
            "workspace": name,
            "per_second": use.workspace.per_second,
            "burst": use.workspace.burst,
            "sum": round(state.used, 1),
            "sum_second": round(state.used_second, 1),
            "fraction": round(state.fraction, 3),
            "reach": state.reach,
            "entries": state.entries,
            "sum_age": round(state.age, 3),
            "version": self.version,
        }

    def gauges(self, now: float) -> dict[str, float]:
        """Returns the counts, sums and fractions of the busiest workspaces, for the metrics."""
        if not self._use_by_name:
            return {}
        busiest = sorted(
            self._use_by_name.items(), key=lambda pair: (-pair[1].received_count, pair[0])
        )
        values = {"quota.version": float(self.version)}
        for name, use in busiest[:MAX_SHOWN]:
            state = self._state(use, now)
            label = f"workspace.{name or '(none)'}"
            values |= {
                f"{label}.received": use.received_count,
                f"{label}.admitted": use.admitted_count,
                f"{label}.refused_quota": use.refused_count,
                f"{label}.refused_later": use.taken_back_count,
                f"{label}.sum": state.used,
                f"{label}.sum_second": state.used_second,
                f"{label}.fraction": state.fraction,
            }
        return values

    def _use_of(
        self, workspace: Workspace, before: dict[WorkspaceId, WorkspaceUse]
    ) -> WorkspaceUse:
        use = before.get(workspace.name)
        if use is None:
            return WorkspaceUse(workspace, usage.key_of(workspace.name), self._random.random())
        use.workspace = workspace
        return use

    def _observe(self, now: float) -> None:
        """Starts anew if the clock went back: the counts' times are then meaningless."""
        if now < self._latest - CLOCK_STEP_SECONDS:
            self._started_at = self._latest = now
            for use in self._use_by_name.values():
                use.admitted, use.refused = RequestCount(), RequestCount()
        self._latest = max(now, self._latest)

    def _state(self, use: WorkspaceUse, now: float) -> QuotaState:
        table = self._table
        table.expire(now)
        reach, entries, age = table.reach, table.entries(now), table.age(now)
        _, second, window = table.counts(use.key)
        since = second * min(age, 1.0)
        # The oldest requests of the reported window have left it since.
        left = (window - second) * min(1.0, age / (WINDOW_SECONDS - 1.0))
        elsewhere = window + since - left
        lost, lost_age = table.lost_requests(use.key, now)
        if lost:
            elsewhere += lost * use.used_share(lost_age)
        second_charge, window_charge = self._start_charge(use, now)
        return QuotaState(
            use.admitted.window(now) + elsewhere + window_charge,
            use.admitted.second(now) + second + since + second_charge,
            fraction_in_use(reach, entries),
            reach,
            entries,
            age,
        )

    def _start_charge(self, use: WorkspaceUse, now: float) -> tuple[float, float]:
        """Returns the requests of the last second and window that a predecessor may have admitted.

        What it admitted isn't known.  It counts as its equal part of the rate; for a workspace that
        now sends more than its rate, as its equal part of the whole limits.
        """
        age = now - self._started_at
        if age >= WINDOW_SECONDS or not use.workspace.per_second:
            return 0.0, 0.0
        entries = max(1, self._table.entries(now))
        young = max(0.0, 1.0 - age)
        if self._is_heavy(use, now, age):
            window = use.window_limit * use.used_share(age)
            return use.second_limit * young / entries, window / entries
        rate = use.workspace.per_second / entries
        return rate * young, rate * (WINDOW_SECONDS - age)

    def _is_heavy(self, use: WorkspaceUse, now: float, age: float) -> bool:
        """Returns whether a workspace sends clearly more than its rate since this entry started."""
        sent = use.admitted.second(now) + use.refused.second(now) + self._table.counts(use.key)[0]
        rate, burst = use.workspace.per_second, use.workspace.burst
        return sent > HEAVY_FACTOR * rate * min(1.0, age) + HEAVY_BURST_PART * burst + 1

    @staticmethod
    def _room(use: WorkspaceUse, state: QuotaState, now: float) -> float:
        """Returns how many requests may still be admitted by what is known."""
        window_limit, second_limit = limits_in_use(use, state)
        room = min(window_limit - state.used, second_limit - state.used_second)
        is_partitioned = 0 < 2 * state.reach <= state.entries
        if is_partitioned and use.rounding * state.entries < UNREACHED_REQUESTS:
            return max(room, 1.0 - use.admitted.window(now))
        return room

    def _expected(self, use: WorkspaceUse, state: QuotaState, now: float) -> float:
        """Returns how many requests all entries will get before they know of each other's.

        If that is more than there is room for, each entry admits some of them at random.
        Otherwise all entries would fill the same room at the same moment.
        """
        sent = use.admitted.second(now) + use.refused.second(now) + 1
        return (sent + self._table.counts(use.key)[0]) * (state.age + usage.REPORT_INTERVAL_SECONDS)

    def _refuse(self, use: WorkspaceUse, state: QuotaState, room: float, now: float) -> float:
        use.refused.window(now)
        use.refused.add(now)
        use.refused_count += 1
        if use.limited_at is None:
            self._on_limited(use.workspace.name, True)
        use.limited_at = now
        charges = self._start_charge(use, now)
        if (
            max(1.0, use.window_limit) - state.used + charges[1] >= 1
            and max(1.0, use.second_limit) - state.used_second + charges[0] >= 1
            and not self._is_heavy(use, now, now - self._started_at)
        ):
            return self._random.uniform(*TRANSIENT_RETRY_SECONDS)
        # Those who were refused in the last second return as well, at all entries.
        demand = max(0.0, 1 - room) + use.refused.second(now) * state.reach
        seconds = demand / max(use.workspace.per_second * state.fraction, 1e-3)
        if state.used + 1 > limits_in_use(use, state)[0]:
            seconds = max(seconds, use.admitted.seconds_to_oldest_end(now))
        spread = self._random.uniform(*RETRY_SPREAD)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds * spread))


def limits_in_use(use: WorkspaceUse, state: QuotaState) -> tuple[float, float]:
    """Returns how many requests of the window and of the last second this entry may let happen.

    Entries that reach more than half of all allow at least one, or a workspace whose limits, or
    its parts of them, are below one request would be refused for ever.  Only one side of a
    partition has more than half, so the tolerance of 20 requests covers it.
    """
    least = 1.0 if 0 < state.entries < 2 * state.reach else 0.0
    return (
        max(least, use.window_limit * state.fraction),
        max(least, use.second_limit * state.fraction),
    )


def fraction_in_use(reach: int, entries: int) -> float:
    """Returns the part of each limit that entries use that reach only some of all entries.

    More than half of them use more than half of it, and fewer use the rest, so that the parts of
    all sides that don't reach each other add up to at most the whole.

    :param reach: how many entries are reached, the own one included.
    :param entries: the number of all entries; 0 if unknown.
    """
    if not entries:
        return 0.0
    if reach >= entries:
        return 1.0
    return (entries + reach if 2 * reach > entries else reach) / (2 * entries)
