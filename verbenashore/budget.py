"""The memory and the descriptors that the clients of a process may use; without I/O.

All HTTP servers of a process share one budget.  What a connection holds is counted where it is
held: the connection itself, a head of many fields, a body, requests that were sent ahead, an answer
that waits for its reader.  Near the limit a new request is refused before it runs, and connections
that nothing depends on are closed; requests that run go on, although their answers may exceed the
limit until they are sent.

*Load*: 1,638 to 10,250 descriptors, 128 to 440 MB, and clients that open as many connections as
they can, send bodies and requests as fast as they can, and read nothing.  An ordinary request costs
some additions; only where a limit is reached are all connections looked at, in vain at most
every ``SEARCH_SECONDS`` for each group and kind of search.
"""

import contextlib
import heapq
import time
from collections import Counter
from collections.abc import Callable, Iterator
from enum import Enum

import msgspec

from verbenashore.types import Clock

#: Memory and descriptors of an instance that states none.
DEFAULT_MEMORY_MB = 1024
DEFAULT_MAX_FDS = 4100
#: Share of an instance's memory for what clients hold.  The smallest instance has 128 MB, of which
#: an idle process takes 39 MB.
CLIENT_MEMORY_SHARE = 0.3
#: Share of that for requests that hold more than ``SMALL_BYTES``; small ones may use all of it.
LARGE_SHARE = 0.8
SMALL_BYTES = 64 << 10
#: Descriptors of an instance that are for files, and for connections between processes and those
#: that were accepted but not counted yet.
FILE_DESCRIPTORS = 200
INTERNAL_DESCRIPTORS = 100
#: Least number of descriptors for clients, whatever the limit of the instance.
MIN_CLIENT_DESCRIPTORS = 128
#: Descriptors that the main server of a process leaves to those for health and metrics pages, and
#: share of the memory that large requests may use there.  An ordinary request for a page is never
#: refused for want of memory: an instance whose page doesn't answer is taken out of service.
PAGE_DESCRIPTORS = 64
PAGE_MEMORY_SHARE = 1.1
#: Bytes that a connection takes without a request: 9 KB in the process, the rest in the kernel.
CONNECTION_BYTES = 12 << 10
#: Share of the memory for clients that connections may take; an instance may have more descriptors
#: than memory for them.
CONNECTION_SHARE = 0.5
#: Requests that may wait for memory at a time, and refused connections that may still be read.
#: Each has up to 150 KB in its buffers.
MAX_WAITING = 32
MAX_LINGERING = 32
#: Connections that are closed at a time to make room.
EVICTION_COUNT = 16
#: Seconds after which a connection without any request counts as idle: its first one may be on the
#: way.
FRESH_SECONDS = 0.25
#: Share of the idle timeout for which a connection that has had a request may stay open.
IDLE_SHARE = 0.8
#: Share of the descriptors that the connections of one address may take before those which wait for
#: a next request are closed earlier.
PEER_SHARE = 0.5
#: Seconds after which a connection that has not sent its request, or has read nothing of its
#: answer, may be closed to make room.
STALLED_SECONDS = 5.0
#: The same for one of a page that has not sent its request: the head of a probe is one packet.
PAGE_STALLED_SECONDS = 0.5
#: Shortest time in seconds between two searches that found no connection to close.
SEARCH_SECONDS = 0.05
#: Shortest time in seconds between two reports of the same limit.
REPORT_SECONDS = 5.0


class ClientState(Enum):
    """What a connection does: it waits for a request, receives, runs or answers one."""

    IDLE = "idle"
    RECEIVING = "receiving"
    RUNNING = "running"
    SENDING = "sending"


class Limit(Enum):
    """The limits that a process imposes on its clients, as they are logged."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    SERVER_DESCRIPTORS = "server_descriptors"
    IDLE_CLOSED = "idle_closed"
    STALLED_CLOSED = "stalled_closed"
    PIPELINING_CLOSED = "pipelining_closed"


class Group(msgspec.Struct, eq=False):
    """The connections of one server of a process.

    :param descriptor_limit: for these connections and the requests that run on them.
    :param memory_limit: for all clients of the process, where a request holds memory here.
    :param is_page: whether the server has a health or metrics page.
    """

    descriptor_limit: int
    memory_limit: int
    is_page: bool = False
    descriptors: int = 0


class Account(msgspec.Struct, eq=False):
    """What one connection holds.

    :param group: the server that it belongs to.
    :param peer: the IP address of the client.
    :param close: closes the connection.
    :param since: when the state began; in ``SENDING``, when the last part was written; in
        ``RECEIVING``, when the last 64 KiB of the body had arrived.
    :param idle_seconds: for which the connection may be idle.
    :param requests: how many requests it has had.
    :param held: bytes of its request and answer, beside ``CONNECTION_BYTES``.
    """

    group: Group
    peer: str
    close: Callable[[], None]
    since: float
    idle_seconds: float
    state: ClientState = ClientState.IDLE
    requests: int = 0
    held: int = 0


class Answer(msgspec.Struct, eq=False):
    """An answer of a backend server that is kept until it is complete.

    :param held: its bytes so far.
    """

    held: int = 0


#: Is called with a limit that was reached, and how often since its last report.
LimitHandler = Callable[[Limit, int], None]


class Budget:
    """The memory and descriptors of one process, and the connections that use them.

    :param memory_mb: of the instance, in MiB.
    :param max_fds: descriptors that the process may open.
    :param on_limit: called when a limit was reached, but not more often than ``REPORT_SECONDS``
        for each.
    """

    def __init__(
        self,
        memory_mb: int = DEFAULT_MEMORY_MB,
        max_fds: int = DEFAULT_MAX_FDS,
        clock: Clock = time.monotonic,
        on_limit: LimitHandler = lambda _limit, _count: None,
    ) -> None:
        self.memory_limit = int((memory_mb << 20) * CLIENT_MEMORY_SHARE)
        self.descriptor_limit = max(
            MIN_CLIENT_DESCRIPTORS,
            min(
                max_fds - FILE_DESCRIPTORS - INTERNAL_DESCRIPTORS,
                int(self.memory_limit * CONNECTION_SHARE / CONNECTION_BYTES),
            ),
        )
        self.clock = clock
        self._on_limit = on_limit
        self._accounts: set[Account] = set()
        self._answers: set[Answer] = set()
        self._connections_by_peer: Counter[str] = Counter()
        self._request_bytes = 0
        self._running = 0
        self._waiting = 0
        self._lingering = 0
        self._search_at_by_scope: dict[tuple[Group | None, bool], float] = {}
        self._report_at_by_limit: dict[Limit, float] = {}
        self._unreported: Counter[Limit] = Counter()

    @property
    def held_bytes(self) -> int:
        """The bytes that clients hold now."""
        return self._request_bytes + len(self._accounts) * CONNECTION_BYTES

    @property
    def connections(self) -> int:
        """The open connections of clients."""
        return len(self._accounts)

    @property
    def descriptors(self) -> int:
        """The descriptors of clients; a request that runs needs one to a backend server."""
        return len(self._accounts) + self._running

    @property
    def _is_full(self) -> bool:
        return self.held_bytes >= self.memory_limit

    def add_group(self, *, is_page: bool = False) -> Group:
        """Returns the group for the connections of a server.

        :param is_page: whether it serves a health or metrics page.
        """
        if is_page:
            return Group(PAGE_DESCRIPTORS, int(self.memory_limit * PAGE_MEMORY_SHARE), True)
        return Group(self.descriptor_limit - PAGE_DESCRIPTORS, self.memory_limit)

    def open(self, account: Account) -> bool:
        """Counts a new connection; returns false if there is no room for it."""
        if not self._find_descriptor(account):
            return False
        self._accounts.add(account)
        account.group.descriptors += 1
        self._connections_by_peer[account.peer] += 1
        return True

    def close(self, account: Account) -> None:
        """Counts a connection as closed, whether or not it was made to."""
        self.release(account)
        if account in self._accounts:
            self._accounts.discard(account)
            account.group.descriptors -= 1
            self._connections_by_peer[account.peer] -= 1
            if not self._connections_by_peer[account.peer]:
                del self._connections_by_peer[account.peer]

    def start_request(self, account: Account) -> bool:
        """Counts a request that is to run; returns false if there is no room for it."""
        if not self._find_descriptor(account):
            return False
        if self._is_full and not account.group.is_page:
            self.make_room(account)
            if self._is_full:
                self.report(Limit.MEMORY)
                return False
        self._running += 1
        account.group.descriptors += 1
        account.requests += 1
        account.state = ClientState.RUNNING
        return True

    def end_request(self, account: Account) -> None:
        """Counts a request as ended."""
        self._running -= 1
        account.group.descriptors -= 1

    def _find_descriptor(self, account: Account) -> bool:
        """Returns whether a descriptor is free, or could be made free, for a connection."""
        group = account.group
        if group.descriptors >= group.descriptor_limit:
            limit, found = Limit.SERVER_DESCRIPTORS, self._evict(account, group)
        elif self.descriptors >= self.descriptor_limit:
            limit, found = Limit.DESCRIPTORS, self._evict(account)
        else:
            return True
        if not found:
            self.report(limit)
        return found

    def set_state(self, account: Account, state: ClientState) -> None:
        """Records what a connection does from now on."""
        account.state, account.since = state, self.clock()

    def try_hold(self, account: Account, size: int) -> bool:
        """Counts bytes of a request that is being received; returns false if there is no room.

        The only request that holds anything always has room: a single one within the limits on its
        size is served whatever the memory of the instance.
        """
        limit = account.group.memory_limit
        if account.held + size > SMALL_BYTES:
            limit = int(limit * LARGE_SHARE)
        if self.held_bytes + size > limit and account.held != self._request_bytes:
            return False
        self.hold(account, size)
        return True

    def hold(self, account: Account, size: int) -> None:
        """Counts bytes that a request holds in any case."""
        account.held += size
        self._request_bytes += size

    def release(self, account: Account, size: int | None = None) -> None:
        """Counts bytes of a request as released; all of them without a size."""
        size = account.held if size is None else min(size, account.held)
        account.held -= size
        self._request_bytes -= size

    @contextlib.contextmanager
    def answer(self) -> Iterator[Answer]:
        """Yields an answer of a backend server that is kept while the block runs."""
        answer = Answer()
        self._answers.add(answer)
        try:
            yield answer
        finally:
            self._answers.discard(answer)
            self._request_bytes -= answer.held

    def keep_part(self, answer: Answer, size: int) -> bool:
        """Counts a part of an answer; returns whether its next part should wait for room.

        The server that sends it waits as well then.  The largest answer goes on in any case, since
        all that wait could keep a part each; it is likely to be complete first.
        """
        answer.held += size
        self._request_bytes += size
        return self.held_bytes >= self.memory_limit and any(
            other.held > answer.held for other in self._answers
        )

    def start_wait(self) -> bool:
        """Counts a request that waits for memory; returns false if too many do."""
        if self._waiting >= MAX_WAITING:
            return False
        self._waiting += 1
        return True

    def end_wait(self) -> None:
        """Counts a wait as ended."""
        self._waiting -= 1

    def start_linger(self) -> bool:
        """Counts a refused connection that is still read; returns false if too many are."""
        if self._lingering >= MAX_LINGERING:
            return False
        self._lingering += 1
        return True

    def end_linger(self) -> None:
        """Counts a refused connection as no longer read."""
        self._lingering -= 1

    def make_room(self, account: Account) -> None:
        """Closes stalled connections, to free memory for another; idle ones hold little."""
        self._evict(account, stalled_only=True)

    def report(self, limit: Limit) -> None:
        """Counts that a limit has taken effect, and reports it unless that was just done."""
        self._unreported[limit] += 1
        now = self.clock()
        if now - self._report_at_by_limit.get(limit, float("-inf")) >= REPORT_SECONDS:
            self._report_at_by_limit[limit] = now
            self._on_limit(limit, self._unreported.pop(limit))

    def _evict(
        self, keep: Account, group: Group | None = None, *, stalled_only: bool = False
    ) -> bool:
        """Closes some connections, of a group or of any, that nothing depends on."""
        now = self.clock()
        # A search in vain among some connections says nothing about others.
        scope = (group, stalled_only)
        if now < self._search_at_by_scope.get(scope, float("-inf")):
            return False
        greedy_peer = self._greedy_peer()
        ranked = (
            (rank, id(account), account)
            for account in self._accounts
            if account is not keep
            and (group is None or account.group is group)
            and not (stalled_only and account.state is ClientState.IDLE)
            and (rank := _eviction_rank(account, now, greedy_peer))
        )
        chosen = heapq.nsmallest(EVICTION_COUNT, ranked)
        if not chosen:
            self._search_at_by_scope[scope] = now + SEARCH_SECONDS
        for rank, _, account in chosen:
            if rank[0] > chosen[0][0][0]:
                break
            is_idle = account.state is ClientState.IDLE
            self.report(Limit.IDLE_CLOSED if is_idle else Limit.STALLED_CLOSED)
            self.close(account)
            account.close()
        return bool(chosen)

    def _greedy_peer(self) -> str:
        """Returns the address whose connections take more than their share; "" if none does."""
        if not self._connections_by_peer:
            return ""
        peer, count = self._connections_by_peer.most_common(1)[0]
        return peer if count > self.descriptor_limit * PEER_SHARE else ""


def _eviction_rank(account: Account, now: float, greedy_peer: str) -> tuple[float, ...]:
    """Returns the rank of a connection that may be closed, the lowest first; () if it may not."""
    age = now - account.since
    if account.state is ClientState.IDLE:
        if not account.requests:
            return (0, 0, -age) if age >= FRESH_SECONDS else ()
        if age >= account.idle_seconds * IDLE_SHARE:
            return (1, 0, -age)
        return (2, account.requests, -age) if account.peer == greedy_peer else ()
    is_probe = account.group.is_page and account.state is ClientState.RECEIVING
    stalled_seconds = PAGE_STALLED_SECONDS if is_probe else STALLED_SECONDS
    if account.state is ClientState.RUNNING or age < stalled_seconds:
        return ()
    return (3, 0, -age)
