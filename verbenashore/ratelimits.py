"""The request rates that backend servers state, and who may send the next request; without I/O.

A server in need states in its answers how many requests a second it takes from all members
together.  Such a rate is often lower than one request a second for each member, so it can't be
divided among them: each member counts the requests that it has sent to the server within the last
seconds, the load reports add up these counts over all members, and a member sends one more while
the sum leaves room for it.

The sums are some exchanges old.  Where calls wait for the same server at many members, all would
see the same room at the same time, so each of them may send at its share of the rate only: the part
of the waiting calls that wait there.  Work that a server doesn't take runs elsewhere, or is refused
by the dispatcher with the wait that the rates allow.
"""

import math
import random
import time
from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from verbenashore.loadtable import LoadTable, Statement
from verbenashore.types import BackendName, Clock, UnixClock

#: Seconds over which the requests to a server are counted.
WINDOW_SECONDS = 4.0
#: Seconds for which unused requests of a member's share are saved up.
BURST_SECONDS = 1.0
#: Seconds without a call for a server after which what was saved up is forgotten: after a calm,
#: the members with waiting calls would all use it at the same moment.
IDLE_SECONDS = WINDOW_SECONDS
#: Shortest and longest time in seconds after which a server whose rate leaves no room for a request
#: gets one nevertheless: only an answer can tell that the rate has ended.
MIN_TRIAL_SECONDS = 5.0
MAX_TRIAL_SECONDS = 15.0
#: Seconds after which a statement that was not repeated no longer counts.
STATEMENT_SECONDS = 30.0
#: Seconds after which a repeated statement is told to others again.
REPEAT_SECONDS = 1.0
#: Longest time in seconds that a statement may lie ahead of this member's time of day.
MAX_CLOCK_DIFFERENCE_SECONDS = 60.0
#: Least difference between the times of two statements, so that the later one is the newer one
#: although the clocks of the members that heard them differ.
STEP_SECONDS = 0.001


StatementByBackend = dict[BackendName, Statement]


class LimitedServer(msgspec.Struct):
    """A server that has stated a rate, as one member sees it.

    :param heard_at: when this member learned of the newest statement, on its own clock.
    :param sent_at: when each of this member's requests of the last window was sent.
    :param saved: how many requests the member's share allows now.
    :param saved_at: when that was calculated.
    :param trial_at: when a request may be sent that the rate leaves no room for.
    """

    statement: Statement
    heard_at: float
    saved: float
    saved_at: float
    trial_at: float
    sent_at: deque[float] = msgspec.field(default_factory=deque)


class RateLimits:
    """The servers with a stated rate, and this member's requests to them.

    :param clock: measures intervals.
    :param unix_clock: stamps statements, which members compare.
    :param on_change: called with a server and its rate, or None for its end, when that changes.
    """

    def __init__(
        self,
        load_table: LoadTable,
        clock: Clock = time.monotonic,
        unix_clock: UnixClock = time.time,
        seed: int = 0,
        on_change: Callable[[BackendName, float | None], None] = lambda _name, _rate: None,
    ) -> None:
        self._load_table = load_table
        self._clock = clock
        self._unix_clock = unix_clock
        self._random = random.Random(seed)
        self._on_change = on_change
        self._by_name: dict[BackendName, LimitedServer] = {}

    def record_statement(self, name: BackendName, per_second: float | None) -> bool:
        """Records what a server stated in an answer; returns whether it is news for others.

        :param per_second: its rate; None if the answer states none.
        """
        known = self._by_name.get(name)
        if known is None and per_second is None:
            return False
        at = self._unix_clock()
        if known is not None and known.statement.per_second == per_second:
            known.heard_at = self._clock()
            if at - known.statement.at < REPEAT_SECONDS:
                return False
        if known is not None:
            at = max(at, known.statement.at + STEP_SECONDS)
        return self._install(name, Statement(per_second, at))

    def merge(self, statements: StatementByBackend) -> bool:
        """Adds what another member has heard; returns whether any of it is news."""
        news = [
            self._install(name, statement)
            for name, statement in statements.items()
            if self._is_valid(statement) and self._is_newer(name, statement)
        ]
        return any(news)

    def statements(self) -> StatementByBackend:
        """Returns what this member knows, for others."""
        self._expire()
        return {name: server.statement for name, server in self._by_name.items()}

    def per_second(self, name: BackendName) -> float | None:
        """Returns the rate of a server; None if it states none."""
        server = self._by_name.get(name)
        return server.statement.per_second if server is not None else None

    @property
    def any_limited(self) -> bool:
        """Whether any server has stated a rate lately."""
        return bool(self._by_name)

    @property
    def limited(self) -> Iterable[BackendName]:
        """The servers that state a rate now."""
        return (
            name
            for name, server in self._by_name.items()
            if server.statement.per_second is not None
        )

    def may_send(self, name: BackendName, share: float = 1.0, part: float = 1.0) -> bool:
        """Returns whether this member may send one more request to a server now.

        :param share: this member's part of the calls that wait for the server.
        :param part: the part of the server's rate that requests of this kind may use.
        """
        server = self._by_name.get(name)
        if server is None or server.statement.per_second is None:
            return True
        now = self._clock()
        self._drop_old(name, server, now)
        per_second = server.statement.per_second
        sent = self._load_table.total(name).started
        if sent + 1 <= per_second * WINDOW_SECONDS * part:
            self._save_up(server, share, now)
            return server.saved >= 1
        if now < server.trial_at:
            return False
        if sent:
            # Another member's request answers the same question.
            server.trial_at = self._next_trial_at(now)
        return not sent

    def record_request(self, name: BackendName) -> None:
        """Records that this member sends a request to a server."""
        server = self._by_name.get(name)
        if server is None or server.statement.per_second is None:
            return
        now = self._clock()
        server.sent_at.append(now)
        server.saved = max(0.0, server.saved - 1)
        server.trial_at = self._next_trial_at(now)
        self._load_table.add(name, started=1)

    def forget(self, names: Iterable[BackendName]) -> None:
        """Drops servers that are no longer listed."""
        for name in names:
            self._remove(name)

    def _is_newer(self, name: BackendName, statement: Statement) -> bool:
        known = self._by_name.get(name)
        if known is None:
            is_recent = statement.at >= self._unix_clock() - STATEMENT_SECONDS
            return statement.per_second is not None and is_recent
        return statement.at > known.statement.at

    def _install(self, name: BackendName, statement: Statement) -> bool:
        """Replaces the statement of a server; returns true, since this is news."""
        now = self._clock()
        server = self._by_name.get(name)
        before = server.statement.per_second if server is not None else None
        if server is None:
            # A random start keeps members from sending at the same time.
            server = LimitedServer(
                statement, now, self._random.random(), now, self._next_trial_at(now)
            )
            self._by_name[name] = server
        server.statement, server.heard_at = statement, now
        if statement.per_second != before:
            server.saved_at = now
            self._on_change(name, statement.per_second)
        return True

    def _save_up(self, server: LimitedServer, share: float, now: float) -> None:
        """Adds what this member's share has allowed since the last time."""
        per_second = (server.statement.per_second or 0.0) * share
        seconds = now - server.saved_at
        if seconds > IDLE_SECONDS:
            server.saved = 1.0 if share >= 1 else self._random.random()
        else:
            most = max(1.0, per_second * BURST_SECONDS)
            server.saved = min(most, server.saved + per_second * seconds)
        server.saved_at = now

    def _next_trial_at(self, now: float) -> float:
        return now + self._random.uniform(MIN_TRIAL_SECONDS, MAX_TRIAL_SECONDS)

    def _drop_old(self, name: BackendName, server: LimitedServer, now: float) -> None:
        while server.sent_at and server.sent_at[0] <= now - WINDOW_SECONDS:
            server.sent_at.popleft()
            self._load_table.add(name, started=-1)

    def _expire(self) -> None:
        now = self._clock()
        for name, server in list(self._by_name.items()):
            self._drop_old(name, server, now)
            if now - server.heard_at > STATEMENT_SECONDS:
                self._remove(name)

    def _remove(self, name: BackendName) -> None:
        server = self._by_name.pop(name, None)
        if server is not None:
            self._load_table.add(name, started=-len(server.sent_at))
            if server.statement.per_second is not None:
                self._on_change(name, None)

    def _is_valid(self, statement: Statement) -> bool:
        latest = self._unix_clock() + MAX_CLOCK_DIFFERENCE_SECONDS
        rate = statement.per_second
        return statement.at <= latest and (rate is None or (math.isfinite(rate) and rate >= 0))
