"""Waves of calls on a fleet whose entries know each other's calls late; without a network.

Backend servers admit in order of arrival to their slots, and reject what their short queue can't
hold.  Entries place with the real dispatcher and hear of each other through the real load tree.  A
ledger process runs items in free slots and stops them where its table shows more calls than slots.
"""

import heapq
import itertools
from collections import Counter, deque

from tests.loadtrees import Fleet
from verbenashore.directory import BackendEntry, Directory
from verbenashore.dispatch import Dispatcher, Ticket, Verdict
from verbenashore.speeds import CallTimer

OBJECTIVE = 0.3
TIMEOUT = 5.0
#: The load of the large site's sheet, as shares of the mean: low, then high from 3.8 s of 6.6 s on.
LOW, HIGH, PERIOD, RISE_AT = 0.377, 1.84, 6.6, 3.8
SLOTS = 7
QUEUE = 2
#: Seconds that a call holds a slot, and that an item does if it is left alone.
HOLD_SECONDS = 0.5
#: Seconds to the first event of a call, and the parts in which the others come.
FIRST_SECONDS = 0.06
PARTS = 6
PART_EVENTS = 4
ITEM_SECONDS = 2.0
RETRY_SECONDS = 0.01


class Server:
    """A backend server: what runs there, and the calls in its queue."""

    def __init__(self):
        self.calls = 0
        self.items = []
        self.queue = deque()

    @property
    def full(self):
        """Whether no slot is free."""
        return self.calls + len(self.items) >= SLOTS


class Wave:
    """Plays some waves; counts what callers get.

    :param per_second: mean calls a second.
    :param change: called with each dispatcher, to set another policy.
    :param slowness: returns how many times longer than the mean a server takes at a time.
    """

    def __init__(
        self,
        entries=60,
        servers=39,
        per_second=208.0,
        seed=1,
        change=lambda _: None,
        slowness=lambda _name, _now: 1.0,
    ):
        self.slowness = slowness
        self.fleet = Fleet(entries, seed=seed)
        self.random = self.fleet.random
        self.per_second = per_second
        self.servers = {
            f"s{n}": (Server(), BackendEntry(f"s{n}", "lm", "", f"dc-{n % 5}", SLOTS, False))
            for n in range(servers)
        }
        directory = Directory()
        directory.install_list([entry for _, entry in self.servers.values()], 0.0)
        self.dispatcher_by_name = {}
        for number, member in enumerate(self.fleet.members):
            dispatcher = Dispatcher(
                directory, member.table, member.node.position.data_centre, number
            )
            change(dispatcher)
            self.dispatcher_by_name[member.node.name] = dispatcher
        self.outcomes = Counter()
        self.rejected = self.arrivals = self.items_done = self.items_cut = 0
        self._events = []
        self._order = itertools.count()
        self._next_call = itertools.count()
        self.fleet.run(1.0)
        self._at(self.fleet.now, self._arrive)
        self._at(self.fleet.now, self._run_items)

    def play(self, seconds):
        """Plays some seconds of the waves."""
        self.fleet.run(seconds, self._step)
        return self

    def _at(self, time, action, *arguments):
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def _step(self, now):
        while self._events and self._events[0][0] <= now:
            time, _, action, arguments = heapq.heappop(self._events)
            action(time, *arguments)

    def _arrive(self, now):
        share = HIGH if (now - 1.0) % PERIOD >= RISE_AT else LOW
        self._at(now + self.random.expovariate(self.per_second * share), self._arrive)
        member = self.random.choice(self.fleet.members[:-1])
        self.dispatcher_by_name[member.node.name].speeds.refresh(now)
        self._request(now, member, now, set())

    def _request(self, now, member, arrived_at, excluded):
        dispatcher = self.dispatcher_by_name[member.node.name]
        ticket = Ticket(
            str(next(self._next_call)),
            "lm",
            0,
            arrived_at + OBJECTIVE,
            arrived_at + TIMEOUT,
            accepts_late=bool(excluded),
            excluded=excluded,
        )
        decision = dispatcher.request(ticket, now)
        if decision.verdict is Verdict.GRANTED:
            self._send(now, member, arrived_at, decision.server, excluded)
        elif decision.verdict is Verdict.WAITING:
            self._at(now + RETRY_SECONDS, self._poll, member, ticket, arrived_at)
        else:
            self.outcomes["refused"] += 1

    def _poll(self, now, member, ticket, arrived_at):
        dispatcher = self.dispatcher_by_name[member.node.name]
        dispatcher.withdraw(ticket)
        server = dispatcher.choose(ticket, now)
        if server is not None:
            dispatcher._grant(server, ticket, now)
            self._send(now, member, arrived_at, server, ticket.excluded)
        elif now - arrived_at > TIMEOUT:
            self.outcomes["late"] += 1
        else:
            self._at(now + RETRY_SECONDS, self._poll, member, ticket, arrived_at)

    def _send(self, now, member, arrived_at, entry, excluded):
        self.arrivals += 1
        server = self.servers[entry.name][0]
        call = (member, arrived_at, entry, now)
        if not server.full:
            self._begin(now, server, call)
        elif len(server.queue) < QUEUE:
            server.queue.append(call)
        else:
            self.rejected += 1
            dispatcher = self.dispatcher_by_name[member.node.name]
            dispatcher.release(entry, 0.0)
            dispatcher.record_full(entry.name, now)
            self._request(now + 0.002, member, arrived_at, excluded | {entry.name})

    def _begin(self, now, server, call):
        server.calls += 1
        member, arrived_at, entry, _ = call
        first_seconds = FIRST_SECONDS * self.slowness(entry.name, now)
        is_on_time = now - arrived_at + first_seconds <= OBJECTIVE
        self.outcomes["on time" if is_on_time else "late"] += 1
        speeds = self.dispatcher_by_name[member.node.name].speeds
        timer = CallTimer(speeds, entry, "route", now)
        self._at(now + first_seconds, self._step_call, server, call, timer, 0)

    def _step_call(self, now, server, call, timer, parts):
        """Delivers a part of an answer; the last one ends the call."""
        timer.record_events(1 if not parts else PART_EVENTS, now)
        if parts == PARTS:
            self._end(now, server, call)
            return
        seconds = (HOLD_SECONDS - FIRST_SECONDS) / PARTS * self.slowness(call[2].name, now)
        self._at(now + seconds, self._step_call, server, call, timer, parts + 1)

    def _end(self, now, server, call):
        member, _, entry, sent_at = call
        server.calls -= 1
        self.dispatcher_by_name[member.node.name].release(entry, now - sent_at)
        self._admit(now, server)

    def _admit(self, now, server):
        while server.queue and not server.full:
            self._begin(now, server, server.queue.popleft())

    def _run_items(self, now):
        """Stops items where calls need the slots, and starts others where slots are free."""
        self._at(now + 0.02, self._run_items)
        runner = self.fleet.members[-1]
        for name, (server, entry) in self.servers.items():
            load = runner.table.total(name)
            while server.items and load.online + len(server.items) > SLOTS:
                server.items.pop()
                runner.table.add(name, batch=-1)
                self.items_cut += 1
                self._admit(now, server)
            if load.online + len(server.items) < SLOTS - 1:
                item = object()
                server.items.append(item)
                runner.table.add(name, batch=1)
                self._at(now + ITEM_SECONDS, self._end_item, server, entry, item)

    def _end_item(self, now, server, entry, item):
        if item in server.items:
            server.items.remove(item)
            self.fleet.members[-1].table.add(entry.name, batch=-1)
            self.items_done += 1
            self._admit(now, server)

    def shares(self):
        """Returns the shares of calls by outcome, and of arrivals that servers rejected."""
        calls = sum(self.outcomes.values())
        shares = {name: round(count / calls, 4) for name, count in self.outcomes.items()}
        return shares | {
            "rejected": round(self.rejected / self.arrivals, 4),
            "items": self.items_done,
            "cut": self.items_cut,
        }
