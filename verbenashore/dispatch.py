"""Chooses a server for each call, queues calls for a free slot, and refuses them; without I/O.

It is made for callers that expect a first byte within some hundred milliseconds, on backend servers
with a fixed number of slots that admit calls in order of arrival and know no priority classes.
Calls are therefore queued here, and a server gets no more online calls than it has slots.
"""

import random
from collections import Counter
from enum import Enum

import msgspec

from verbenashore.directory import BackendEntry, Directory
from verbenashore.estimates import MARGIN_SECONDS, Costs, Estimate
from verbenashore.fairness import FairShares
from verbenashore.loadtable import Load, LoadTable
from verbenashore.prefixes import NO_SIZE, PromptSize, SentPrefixes
from verbenashore.ratelimits import RateLimits
from verbenashore.servermemory import ServerMemory, is_idle
from verbenashore.speeds import Speeds
from verbenashore.types import BackendName, Rank, ServiceName, WorkspaceId

#: Shortest and longest Retry-After, in seconds, that a refused caller gets.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
#: The Retry-After of a refused caller, as a multiple of the expected wait.  A caller who returns as
#: soon as the queue should be empty takes the slot of a first attempt that could be on time.
RETRY_SPREAD = (2.0, 4.0)
#: Least time in seconds for which a suspected server gets no calls, even after a successful probe.
#: It doubles with each further failure up to the maximum; a failure that another member reports
#: sets the least value.
SUSPEND_SECONDS = 0.3
MAX_SUSPEND_SECONDS = 2.0
#: Seconds after which a replaced server may get calls although no probe succeeded, and between two
#: of its probes.  Its name leaves the list before, unless the answer that told of another server
#: was wrong.
REPLACED_RETRY_SECONDS = 10.0
REPLACED_PROBE_SECONDS = 2.0
#: Number of failures at which a silent server or a broken answer makes the server suspected; a
#: server that this process or another member found unreachable or replaced is suspected at once.
#: One lookup call in six outlasts the time after which a retry elsewhere pays, so two in a row are
#: common.
SOFT_FAILURES = 3
#: Seconds between two probes of a suspected server.
PROBE_SECONDS = 0.25
#: Seconds after which a suspected server may get calls although no probe succeeded, since its
#: status check may be wrong.
SUSPECT_RETRY_SECONDS = 4.0
#: Seconds for which a server that reported itself full gets no calls.
FULL_BACKOFF_SECONDS = 0.05
#: Servers that one choice compares.  With more, each choice takes a random sample, half of it from
#: the own data centre, so that its cost doesn't grow with the fleet.
MAX_CANDIDATES = 64
#: Servers with nearly the best estimate of which one choice compares the exact ones.
CHOICES = 2
#: Weight of the newest call in the moving average of the time that a service's calls hold a slot.
HOLD_WEIGHT = 0.05
#: Lowest total rate, in calls a second, that is assumed for the servers of a service.
MIN_SERVICE_RATE = 0.01
#: Part of a server's stated rate that items of jobs and status checks may use while online calls
#: run there.
BACKGROUND_PART = 0.5
#: Least part of a service's rate that is assumed for calls of a workspace that others go before.
MIN_FREE_SHARE = 0.05
#: Seconds for which a slot must have been free before a call takes it that calls waiting at other
#: entries go before: these learn of the slot by a report within two exchanges, and poll for it.
YIELD_SECONDS = 0.05
#: Assumed time in seconds that a call holds a slot, before any was measured.
DEFAULT_HOLD_SECONDS = 0.5
#: Least such time that is assumed.
MIN_HOLD_SECONDS = 1e-3

#: Rank of a call that resumes at another server; it goes before all others.
RESUMED_RANK: Rank = (float("-inf"), 0)


class Verdict(Enum):
    """The decision about a ticket."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


class Ticket(msgspec.Struct, eq=False):
    """A call's request for a slot at a backend server.

    :param rank: lower ranks go first.
    :param soft_deadline: latest time to reach a server for an answer within the objective.
    :param hard_deadline: latest time to reach a server for any answer.
    :param accepts_late: true if waiting past the soft deadline is better than a refusal, as for a
        caller's last attempt.
    :param excluded: servers at which an attempt of the call has failed.
    :param workspace: whose call it is; None if it has no workspace.
    :param size: the tokens of the call.
    :param estimate: the terms by which a server was chosen last.
    :param has_begun: whether the caller has a part of the answer.
    """

    id: str
    service: ServiceName
    rank: Rank
    soft_deadline: float
    hard_deadline: float
    accepts_late: bool = False
    excluded: set[BackendName] = msgspec.field(default_factory=set)
    workspace: WorkspaceId | None = None
    size: PromptSize = NO_SIZE
    estimate: Estimate | None = None
    has_begun: bool = False

    def resume(self, deadline: float, refused_by: set[BackendName]) -> None:
        """Puts a call whose caller reads an answer before all others; any wait is a gap in it.

        :param deadline: when the call times out.
        :param refused_by: the servers that did not run it.  They may have a free slot again.
        """
        self.has_begun = True
        self.rank = RESUMED_RANK
        self.soft_deadline = self.hard_deadline = deadline
        self.excluded -= refused_by


class Decision(msgspec.Struct, frozen=True):
    """A verdict, with what follows from it.

    :param server: the server at which a slot was granted.
    :param retry_after: the Retry-After of a refusal, in seconds.
    :param reason: why the ticket was refused.
    """

    verdict: Verdict
    server: BackendEntry | None = None
    retry_after: float = 0.0
    reason: str = ""


class FailureKind(Enum):
    """How a call failed at a server.

    UNREACHABLE: no connection.  REPLACED: another server has its address.  SILENT: no data in time.
    BROKEN: any other failure, such as a truncated answer or an unexpected status.  REPORTED:
    another member found the server unreachable or replaced.
    """

    UNREACHABLE = "unreachable"
    REPLACED = "replaced"
    SILENT = "silent"
    BROKEN = "broken"
    REPORTED = "reported"


class Health(msgspec.Struct):
    """The health of one server, as seen from the calls sent to it.

    :param avoid_until: the server gets no calls before this time.
    :param failures: failures counted since the last reset, with those that other members reported;
        a successful probe lowers the number.
    :param suspected: the server gets no calls until a probe succeeds, or ``SUSPECT_RETRY_SECONDS``
        (``REPLACED_RETRY_SECONDS`` for a replaced server) have passed since ``suspected_at``.
    :param found_here: whether the last failure that made or kept the server suspected was that this
        process couldn't connect or reached another server, which this process reports to the other
        members.  Slow or broken answers are not reported, since the call itself may be the reason,
        nor are the reports of other members passed on.
    :param replaced: whether that failure was that another server has the address.
    :param suspected_at: time of the last failure that made or kept the server suspected.
    :param next_probe_at: when the next probe is due.
    """

    avoid_until: float = float("-inf")
    failures: int = 0
    suspected: bool = False
    found_here: bool = False
    replaced: bool = False
    suspected_at: float = float("-inf")
    next_probe_at: float = float("inf")


WAITING = Decision(Verdict.WAITING)


class Dispatcher:
    """The queued tickets of one process, and the health of the servers.

    :param limits: the rates that servers state; a server gets no more requests than they allow.
    :param fair_shares: the order among the workspaces of one rank; None if there are none.
    """

    def __init__(
        self,
        directory: Directory,
        load_table: LoadTable,
        data_centre: str,
        seed: int = 0,
        limits: RateLimits | None = None,
        fair_shares: FairShares | None = None,
    ) -> None:
        self._fair_shares = fair_shares
        self.limits = limits or RateLimits(load_table)
        self.speeds = Speeds(directory, load_table)
        self.prefixes = SentPrefixes()
        self.memory = ServerMemory(seed)
        self._directory = directory
        self._load_table = load_table
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._choice_random = random.Random(seed)
        self._waiting: list[Ticket] = []
        self._health_by_name: dict[BackendName, Health] = {}
        self._hold_by_service: dict[ServiceName, float] = {}
        self._free_since_by_service: dict[ServiceName, float] = {}
        self._costs_by_service: dict[ServiceName, Costs] = {}

    @property
    def waiting(self) -> int:
        """The number of queued tickets."""
        return len(self._waiting)

    def waiting_by_service(self) -> Counter[ServiceName]:
        """Returns the number of queued tickets by service."""
        return Counter(ticket.service for ticket in self._waiting)

    def request(self, ticket: Ticket, now: float) -> Decision:
        """Grants a slot at once, queues the ticket, or refuses it."""
        server = None if self._must_queue(ticket, now) else self.choose(ticket, now)
        if server is not None:
            return self._grant(server, ticket, now)
        if not self._has_candidate(ticket):
            return Decision(Verdict.REFUSED, None, MAX_RETRY_SECONDS, "no server")
        if not ticket.accepts_late and self._lacks_memory(ticket):
            return Decision(Verdict.REFUSED, None, MAX_RETRY_SECONDS, "no idle server")
        wait = self.expected_wait(ticket.service, ticket, now)
        # A call that has begun goes before those that make the wait long, and its caller can't be
        # told to come again.
        if not ticket.has_begun and now + wait > (
            ticket.hard_deadline if ticket.accepts_late else ticket.soft_deadline
        ):
            is_limited = self._lost_rate(ticket.service) > 0
            reason = "the servers' rates are used up" if is_limited else "queue too long"
            return Decision(Verdict.REFUSED, None, self._retry_after(wait), reason)
        self._waiting.append(ticket)
        return WAITING

    def poll(self, now: float) -> list[tuple[Ticket, Decision]]:
        """Returns the queued tickets that are granted or refused now, and removes them.

        Tickets that can still be on time go first; the late ones get the slots that are left.
        Workspaces of the same rank take turns.
        """
        decided: list[tuple[Ticket, Decision]] = []
        full_services: set[ServiceName] = set()
        for ticket in self._in_order(now):
            server = None if ticket.service in full_services else self.choose(ticket, now)
            yields = server is not None and self._yields(ticket, now)
            if server is None:
                self._free_since_by_service.pop(ticket.service, None)
            if server is not None and not yields:
                decided.append((ticket, self._grant(server, ticket, now)))
            elif now > ticket.hard_deadline or not self._has_candidate(ticket):
                refused = Decision(Verdict.REFUSED, None, MIN_RETRY_SECONDS, "waited")
                decided.append((ticket, refused))
            elif self._takes_any_slot(ticket):
                # What goes after a ticket that yields doesn't get the slot either.
                full_services.add(ticket.service)
        for ticket, _ in decided:
            self._waiting.remove(ticket)
        return decided

    def withdraw(self, ticket: Ticket) -> None:
        """Removes the ticket of a caller who left from the queue."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def release(
        self, server: BackendEntry, held_seconds: float, ticket: Ticket | None = None
    ) -> None:
        """Frees the slot of a call, and updates the mean time that the service's calls hold one.

        :param ticket: that of the call; None if it has no known size.
        """
        tokens = ticket.size.tokens if ticket is not None else 0
        self._load_table.add(server.name, online=-1, tokens=-tokens)
        mean = self._hold_by_service.get(server.service, held_seconds)
        self._hold_by_service[server.service] = mean + HOLD_WEIGHT * (held_seconds - mean)

    def record_success(self, name: BackendName) -> None:
        """Records a successful call, which resets the health of a server that isn't suspected."""
        health = self._health_by_name.get(name)
        if health is not None and not health.suspected:
            del self._health_by_name[name]

    def record_failure(self, name: BackendName, kind: FailureKind, now: float) -> bool:
        """Records a failed call; returns True if the server has just become suspected.

        A suspected server gets no calls for a while, longer with each further failure.  Another
        member's report about a server that is already suspected is ignored, and so is the failure
        of a call that outlasted the server's entry in the list.
        """
        is_listed = name in self._directory.by_name
        if kind is not FailureKind.REPORTED and not is_listed:
            return False
        # Other names are never dropped by ``forget``.
        if kind is not FailureKind.SILENT and is_listed:
            self.prefixes.clear(name, now)
        health = self._health_by_name.setdefault(name, Health())
        if kind is FailureKind.REPORTED and health.suspected:
            return False
        health.failures += 1
        threshold = SOFT_FAILURES if kind in (FailureKind.SILENT, FailureKind.BROKEN) else 1
        if health.failures < threshold:
            return False
        newly_suspected = not health.suspected
        backoff = min(
            MAX_SUSPEND_SECONDS, SUSPEND_SECONDS * 2 ** min(8, health.failures - threshold)
        )
        health.avoid_until = now + (SUSPEND_SECONDS if kind is FailureKind.REPORTED else backoff)
        health.suspected = True
        health.found_here = kind in (FailureKind.UNREACHABLE, FailureKind.REPLACED)
        health.replaced = kind is FailureKind.REPLACED
        health.suspected_at = now
        if newly_suspected:
            health.next_probe_at = now + PROBE_SECONDS
        elif health.replaced:
            health.next_probe_at = max(health.next_probe_at, now + REPLACED_PROBE_SECONDS)
        return newly_suspected

    def due_probes(self, now: float) -> list[BackendEntry]:
        """Returns the suspected servers whose probe is due, and schedules their next one."""
        due = []
        for name, health in self._health_by_name.items():
            server = self._directory.by_name.get(name)
            if health.suspected and now >= health.next_probe_at and server is not None:
                pause = REPLACED_PROBE_SECONDS if health.replaced else PROBE_SECONDS
                health.next_probe_at = now + pause
                due.append(server)
        return due

    def record_probe_success(self, name: BackendName) -> None:
        """Records a successful probe: the server may get calls again, once its pause is over."""
        health = self._health_by_name.get(name)
        if health is not None:
            health.suspected = False
            # Two more soft failures suspect it again: the probe may be right, and the failures of
            # the calls may have been chance.
            health.failures = min(health.failures, SOFT_FAILURES - 2)
            health.next_probe_at = float("inf")

    @property
    def suspects(self) -> list[BackendName]:
        """The servers that this process itself found unreachable or replaced and still suspects."""
        return [
            name
            for name, health in self._health_by_name.items()
            if health.suspected and health.found_here
        ]

    @property
    def has_suspects(self) -> bool:
        """Whether any server is suspected, by this process or by another member."""
        return any(health.suspected for health in self._health_by_name.values())

    def record_full(self, name: BackendName, now: float) -> None:
        """Records that a server refused a call because it is full."""
        health = self._health_by_name.setdefault(name, Health())
        health.avoid_until = max(health.avoid_until, now + FULL_BACKOFF_SECONDS)

    def record_leaving(self, server: BackendEntry) -> bool:
        """Records that a server stated that it leaves; returns True if that was not known."""
        return self._directory.mark_leaving(server)

    def forget(self, names: list[BackendName]) -> None:
        """Drops the health of servers that are no longer listed."""
        self.limits.forget(names)
        self.speeds.forget(names)
        self.prefixes.forget(names)
        self.memory.forget(names)
        self._load_table.forget_backends(names)
        for name in names:
            self._health_by_name.pop(name, None)

    def may_use(self, name: BackendName, now: float) -> bool:
        """Returns whether a server may get calls now."""
        health = self._health_by_name.get(name)
        if health is None:
            return True
        retry_seconds = REPLACED_RETRY_SECONDS if health.replaced else SUSPECT_RETRY_SECONDS
        trusted = not health.suspected or now >= health.suspected_at + retry_seconds
        return trusted and now >= health.avoid_until

    def choose(self, ticket: Ticket, now: float) -> BackendEntry | None:
        """Returns a usable server that has fewer online calls than slots, or None.

        Slots that job items use count as free here, since items yield to online calls.  Of the
        usable servers whose estimated time to the first event is near the best one, the better of
        ``CHOICES`` random ones is taken.  Answers calls that many members place at the same time by
        reports that are some exchanges old: if all took the best server, it would be full before
        they learn of each other.  A server that has a part of the prompt cached is taken instead if
        it saves more time than it costs otherwise.
        """
        usable: list[tuple[float, BackendEntry, Load]] = []
        best = float("inf")
        excluded, has_health = ticket.excluded, bool(self._health_by_name)
        is_limited = self.limits.any_limited
        tokens = ticket.size.tokens
        is_bound = self.memory.is_bound(ticket.service, tokens)
        most_tokens = self.memory.most_tokens(ticket.service, tokens) if is_bound else 0.0
        placed_lately = self.memory.placed_by_server
        share = self._waiting_share(ticket.service) if is_limited or is_bound else 1.0
        total = self._load_table.total
        costs = self._costs(ticket.service)
        for server in self.candidates(ticket.service):
            name = server.name
            if name in excluded or (has_health and not self.may_use(name, now)):
                continue
            load = total(name)
            if load.online >= server.slots:
                continue
            if is_limited and not self.limits.may_send(name, share):
                continue
            if (
                is_bound
                and (load.tokens > most_tokens or name in placed_lately)
                and not self.memory.may_hold(server, load, tokens, share, now)
            ):
                continue
            seconds = costs.seconds(server, load)
            usable.append((seconds, server, load))
            if seconds < best:
                best = seconds
        if not usable:
            return None
        best += MARGIN_SECONDS
        similar = [option for option in usable if option[0] <= best]
        chosen = self._choice_random.sample(similar, min(CHOICES, len(similar)))
        cached = self.prefixes.cached_tokens(ticket.size, now) if ticket.size.segments else {}
        if cached:
            chosen += [option for option in usable if option[1].name in cached]
            chosen = [
                (seconds - costs.saved_seconds(server, cached.get(server.name, 0)), server, load)
                for seconds, server, load in chosen
            ]
        _, server, load = min(chosen, key=lambda option: option[0])
        ticket.estimate = costs.estimate(server, load, cached.get(server.name, 0))
        return server

    def _costs(self, service: ServiceName) -> Costs:
        """Returns the estimates for a service, new ones when what they rest on has changed."""
        first, hold = self.speeds.first_seconds(service), self._hold_seconds(service)
        costs = self._costs_by_service.get(service)
        if costs is None or not costs.is_based_on(self.speeds.version, first, hold):
            costs = Costs(self.speeds, self._data_centre, first, hold)
            self._costs_by_service[service] = costs
        return costs

    def fits(self, ticket: Ticket) -> bool:
        """Returns whether the memory of an empty server is enough for a call."""
        return self.memory.fits(ticket.service, ticket.size.tokens)

    def has_usable(self, service: ServiceName, excluded: set[BackendName], now: float) -> bool:
        """Returns whether a service has a server beside the excluded ones that may get calls now.

        A full one counts, since a call can wait for a slot there.
        """
        return any(
            server.name not in excluded and self.may_use(server.name, now)
            for server in self._directory.accepting_servers(service)
        )

    def candidates(self, service: ServiceName) -> list[BackendEntry]:
        """Returns the servers that one choice compares: all, or of many a random sample."""
        servers = self._directory.accepting_servers(service)
        if len(servers) <= MAX_CANDIDATES:
            return servers
        nearby = self._directory.accepting_in(service, self._data_centre)
        near = self._choice_random.sample(nearby, min(len(nearby), MAX_CANDIDATES // 2))
        return near + self._choice_random.sample(servers, MAX_CANDIDATES - len(near))

    def expected_wait(
        self, service: ServiceName, ticket: Ticket | None = None, now: float = 0.0
    ) -> float:
        """Returns the seconds that a new ticket of a service would wait for a slot.

        Only the calls that go before it count, if it belongs to a workspace.
        """
        local: float = self.waiting_by_service()[service]
        remote: float = self._load_table.remote_waiting(service)
        free_share = 1.0
        shares = self._fair_shares_of(ticket)
        if shares is not None and ticket is not None:
            demand = shares.demand(ticket.workspace, now)
            local = len(shares.before(ticket, self._waiting, now)) if local else 0
            remote *= demand.waiting_before
            # Later calls of these workspaces go before it, too.
            free_share = max(MIN_FREE_SHARE, 1.0 - demand.later_before)
        queued = local + remote + 1
        slots = max(1, self._directory.accepting_slots(service))
        rate = slots / self._hold_seconds(service) - self._lost_rate(service)
        return queued / max(MIN_SERVICE_RATE, rate * free_share)

    def may_use_in_background(self, server: BackendEntry) -> bool:
        """Returns whether a server's rate leaves room for an item of a job or a status check.

        Online calls go first: those that wait for a server of the service, and the next ones at a
        server where some run.
        """
        if self.limits.per_second(server.name) is None:
            return True
        waiting = self.waiting_by_service()[server.service]
        if waiting + self._load_table.remote_waiting(server.service):
            return False
        is_used = self._load_table.total(server.name).online > 0
        return self.limits.may_send(server.name, part=BACKGROUND_PART if is_used else 1.0)

    def _waiting_share(self, service: ServiceName) -> float:
        """Returns the part of the calls waiting for a service that wait here.

        A call that has just arrived counts as waiting.
        """
        local = max(1, self.waiting_by_service()[service])
        return local / (local + self._load_table.remote_waiting(service))

    def _hold_seconds(self, service: ServiceName) -> float:
        return max(MIN_HOLD_SECONDS, self._hold_by_service.get(service, DEFAULT_HOLD_SECONDS))

    def _lost_rate(self, service: ServiceName) -> float:
        """Returns the calls a second that a service can't take because servers state a rate."""
        hold = self._hold_seconds(service)
        lost = 0.0
        for name in self.limits.limited:
            server = self._directory.by_name.get(name)
            per_second = self.limits.per_second(name)
            if server is None or server.leaving or server.service != service or per_second is None:
                continue
            lost += max(0.0, server.slots / hold - per_second)
        return lost

    def _has_candidate(self, ticket: Ticket) -> bool:
        """Returns whether any server that accepts work, suspected or not, isn't excluded.

        Every server of a service has the same memory, so a call that doesn't fit has none.
        """
        return self.fits(ticket) and any(
            server.name not in ticket.excluded
            for server in self._directory.accepting_servers(ticket.service)
        )

    def _lacks_memory(self, ticket: Ticket) -> bool:
        """Returns whether a call needs an idle server, and there is none.

        Busy servers seldom become idle, and the expected wait is that for a slot.
        """
        return self.memory.needs_idle(ticket.service, ticket.size.tokens) and not any(
            is_idle(self._load_table.total(server.name))
            for server in self.candidates(ticket.service)
            if server.name not in ticket.excluded
        )

    def _in_order(self, now: float) -> list[Ticket]:
        """Returns the queued tickets in the order in which they get slots."""
        if self._fair_shares is not None:
            return self._fair_shares.in_order(self._waiting, now)
        return sorted(self._waiting, key=lambda t: (now > t.soft_deadline, t.rank, t.soft_deadline))

    def _fair_shares_of(self, ticket: Ticket | None) -> FairShares | None:
        """Returns what orders a ticket among those of other workspaces; None if nothing does."""
        if ticket is None or all(t.workspace is None for t in (ticket, *self._waiting)):
            return None
        return self._fair_shares

    def _yields(self, ticket: Ticket, now: float) -> bool:
        """Returns whether a ticket leaves a free slot to calls that wait at other entries.

        The workspaces of those calls aren't known here, so this holds only for one that nearly all
        others go before, and only for a short time.
        """
        shares = self._fair_shares_of(ticket)
        if shares is None or not self._load_table.remote_waiting(ticket.service):
            return False
        if not shares.demand(ticket.workspace, now).is_last:
            return False
        free_since = self._free_since_by_service.setdefault(ticket.service, now)
        return now - free_since < YIELD_SECONDS

    def _must_queue(self, ticket: Ticket, now: float) -> bool:
        """Returns whether a queued ticket of the same service goes before this one.

        Tickets that can't use every free slot don't count.
        """
        shares = self._fair_shares_of(ticket)
        if shares is not None:
            if self._yields(ticket, now):
                return True
            return any(
                self._takes_any_slot(other) for other in shares.before(ticket, self._waiting, now)
            )
        return any(
            other.service == ticket.service and other.rank <= ticket.rank
            for other in self._waiting
            if self._takes_any_slot(other)
        )

    def _takes_any_slot(self, ticket: Ticket) -> bool:
        """Returns whether a ticket can use every free slot, unlike one with excluded servers.

        One that needs a large part of a server's memory can't either.
        """
        if ticket.excluded:
            return False
        return not self.memory.is_large(ticket.service, ticket.size.tokens)

    def _grant(self, server: BackendEntry, ticket: Ticket, now: float) -> Decision:
        self._load_table.add(server.name, online=1, tokens=ticket.size.tokens)
        self.memory.record_placed(server, ticket.size.tokens, now)
        self.limits.record_request(server.name)
        return Decision(Verdict.GRANTED, server)

    def _retry_after(self, wait: float) -> float:
        spread = self._random.uniform(*RETRY_SPREAD)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait * spread))
