"""Whether a server has memory for one more call, by what all members have running there; no I/O.

A server has memory for the tokens of its calls, prompts and answers, and crashes if they exceed
it.  The load reports add up the tokens of the calls in progress, but are some exchanges old:
members that place at the same moment don't know of each other's calls.  A call that would fit if
every member placed one like it, as far as the server's slots allow, may go at once.  A larger one,
or one at a server that is nearly full, may go with a small chance only, so that members seldom do
so within the age of a report.

It is made for 25 members, and servers of 72,000 tokens that run 8 calls of 500 to 5,000 tokens.
"""

import random
from collections import deque
from collections.abc import Iterable

from verbenashore.directory import BackendEntry
from verbenashore.loadtable import Load
from verbenashore.routing import Service
from verbenashore.types import BackendName, ServiceName

#: Part of the declared memory that is used, since answers may be longer than expected.
USED_PART = 0.9
#: Part of the free memory that one call may take that would not fit if every member placed one.
LARGE_PART = 0.7
#: Highest chance that such a call may go to a server at one attempt; a queued call has a hundred a
#: second.  Among many members it is one by their number.
LARGE_CHANCE = 0.05
#: Members that may place at a server at the same moment, for each of its slots: it rejects further
#: calls itself, and holds none of them.
MEMBERS_PER_SLOT = 2
#: Seconds for which what this member has placed at a server may be unknown to others, and what they
#: have placed to it.
UNKNOWN_SECONDS = 0.15
#: Part of the memory from which on a call doesn't keep smaller ones behind it waiting.
QUEUE_PART = 0.1
#: Part of the memory that calls and items may have in use for another item to start: the rest is
#: kept for online calls.
ITEM_PART = 0.6


class ServerMemory:
    """The memory of the servers of each service.

    :param members: the members that place calls.
    :param placed_by_server: when this member has lately sent calls there, and their tokens.
    """

    def __init__(self, seed: int = 0) -> None:
        self.members = 1
        self._tokens_by_service: dict[ServiceName, int] = {}
        self.placed_by_server: dict[BackendName, deque[tuple[float, int]]] = {}
        self._random = random.Random(seed)

    def forget(self, servers: Iterable[BackendName]) -> None:
        """Drops servers that are no longer listed."""
        for server in servers:
            self.placed_by_server.pop(server, None)

    def install(self, services: Iterable[Service]) -> None:
        """Replaces the declared memory of all services."""
        self._tokens_by_service = {
            service.name: service.memory_tokens for service in services if service.memory_tokens
        }

    def is_bound(self, service: ServiceName, tokens: int) -> bool:
        """Returns whether the memory of the servers matters for a call of some tokens."""
        return tokens > 0 and service in self._tokens_by_service

    def is_large(self, service: ServiceName, tokens: int) -> bool:
        """Returns whether a call needs so much memory that smaller ones may go before it."""
        declared = self._tokens_by_service.get(service)
        return declared is not None and tokens > declared * QUEUE_PART

    def fits(self, service: ServiceName, tokens: int) -> bool:
        """Returns whether an empty server has memory for a call."""
        declared = self._tokens_by_service.get(service)
        return declared is None or tokens <= declared

    def needs_idle(self, service: ServiceName, tokens: int) -> bool:
        """Returns whether a call is so large that it may only go to an idle server."""
        declared = self._tokens_by_service.get(service)
        # A member that places alone knows of all calls, and may use all of the free memory.
        part = LARGE_PART if self.members > 1 else 1.0
        return declared is not None and tokens > declared * USED_PART * part

    def most_tokens(self, service: ServiceName, tokens: int) -> float:
        """Returns the tokens in use at a server up to which any member may send it a call at once.

        It doesn't hold for one to which this member has lately sent others.
        """
        return self._tokens_by_service[service] * USED_PART - tokens * self.members

    def may_hold(
        self, server: BackendEntry, load: Load, tokens: int, share: float, now: float
    ) -> bool:
        """Returns whether this member may send a call to a server now.

        :param load: the load of the server.
        :param share: this member's part of the calls that wait for the service.
        """
        declared = self._tokens_by_service.get(server.service)
        if declared is None or not tokens:
            return True
        room = declared * USED_PART - load.tokens
        unknown = self._placed_lately(server.name, now)
        members = min(self.members, MEMBERS_PER_SLOT * server.slots)
        if (unknown + tokens) * members <= room + unknown:
            return True
        if tokens > room * LARGE_PART and not (is_idle(load) and tokens <= declared):
            return False
        chance = min(LARGE_CHANCE, 1 / members) * share
        return members == 1 or self._random.random() < chance

    def record_placed(self, server: BackendEntry, tokens: int, now: float) -> None:
        """Records that this member sends a call to a server."""
        if self.is_bound(server.service, tokens):
            self.placed_by_server.setdefault(server.name, deque()).append((now, tokens))

    def _placed_lately(self, server: BackendName, now: float) -> int:
        """Returns the tokens that this member has sent to a server and others may not know of."""
        placed = self.placed_by_server.get(server)
        if placed is None:
            return 0
        while placed and placed[0][0] < now - UNKNOWN_SECONDS:
            placed.popleft()
        if not placed:
            del self.placed_by_server[server]
        return sum(tokens for _, tokens in placed)

    def item_room(self, service: ServiceName, load: Load) -> float:
        """Returns the most tokens that an item may have to start at a server; less than 0 if none.

        One member starts all items.
        """
        declared = self._tokens_by_service.get(service)
        if declared is None:
            return float("inf")
        return declared if is_idle(load) else int(declared * ITEM_PART) - load.tokens

    def may_hold_item(self, service: ServiceName, load: Load, tokens: int) -> bool:
        """Returns whether an item may start at a server."""
        return tokens <= self.item_room(service, load)


def is_idle(load: Load) -> bool:
    """Returns whether a server has no calls, as far as is known."""
    return not load.online and not load.batch and not load.tokens
