"""Calls to the leader of a replicated group, wherever it is."""

import asyncio
from collections import Counter
from collections.abc import Callable

import zmq.asyncio

from verbenashore import transfer
from verbenashore.exceptions import (
    LinkSilentError,
    NotLeaderError,
    UnavailableError,
    VerbenaError,
)
from verbenashore.link import Link
from verbenashore.machine import Command, Result
from verbenashore.messages import (
    Body,
    Committed,
    ListFiles,
    ListJobs,
    Propose,
    ReadHistory,
    ReadItemBody,
    ReadItems,
    ReadPart,
    ReadResults,
    ReadVersion,
    Sender,
)
from verbenashore.transfer import PART_BYTES, AskPart, Backlog
from verbenashore.types import Clock, GroupId

#: Calls whose answers grow with the state.
LONG_ANSWERS = (
    AskPart,
    ListFiles,
    ListJobs,
    ReadHistory,
    ReadItemBody,
    ReadItems,
    ReadPart,
    ReadResults,
    ReadVersion,
)

ATTEMPT_SECONDS = 0.5
RETRY_SECONDS = 0.03
#: Seconds for which a replica that did not answer is not turned to: longer than an election takes,
#: and no longer, since it may be back and lead again.
UNANSWERED_SECONDS = 0.6


class Links:
    """The links of this process, by address; a link is made when it is first used.

    What may be long has a link of its own to each address, so that heartbeats and small calls never
    wait behind it.
    """

    def __init__(
        self, context: zmq.asyncio.Context, sender: Callable[[], Sender], clock: Clock
    ) -> None:
        self._context = context
        self._sender = sender
        self._clock = clock
        self.backlog = Backlog(clock)
        self._by_address: dict[str, Link] = {}
        self._bulk_by_address: dict[str, Link] = {}

    def to(self, address: str, *, bulk: bool = False) -> Link:
        """Returns the link to an address.

        :param bulk: true for calls whose answers, or which themselves, may be long.
        """
        by_address = self._bulk_by_address if bulk else self._by_address
        if address not in by_address:
            by_address[address] = Link(
                self._context,
                address,
                self._sender,
                self._clock,
                self.backlog if bulk else None,
            )
        return by_address[address]

    async def keep_only(self, addresses: set[str]) -> None:
        """Closes the links to all other addresses."""
        for by_address in (self._by_address, self._bulk_by_address):
            for address in set(by_address) - addresses:
                await by_address.pop(address).close()

    async def close(self) -> None:
        """Closes all links."""
        await self.keep_only(set())


class GroupClient:
    """A way to whichever replica leads a group.

    :param addresses: the ledger processes that may run a replica.
    :param rate: bytes per second at which messages to them are sure to move.
    """

    def __init__(
        self,
        group: GroupId,
        links: Links,
        addresses: list[str],
        clock: Clock,
        rate: float = transfer.LOWEST_BYTES_PER_SECOND,
    ) -> None:
        self.group = group
        self._rate = rate
        self._links = links
        self._clock = clock
        self._addresses = addresses
        self._leader = addresses[0]
        self._unanswered_at: dict[str, float] = {}

    def add_addresses(self, addresses: list[str]) -> None:
        """Adds ledger processes that may run a replica."""
        self._addresses += [address for address in addresses if address not in self._addresses]

    def keep_addresses(self, addresses: list[str]) -> None:
        """Replaces the ledger processes by those that the group's leader named."""
        if addresses and set(addresses) != set(self._addresses):
            self._addresses[:] = addresses
            if self._leader not in addresses:
                self._leader = addresses[0]

    async def propose(
        self, command: Command, seconds: float, attempt: float = ATTEMPT_SECONDS
    ) -> Result:
        """Commits a command; it may be sent more than once, so commands must bear that.

        :param attempt: seconds for each replica that is asked, beside what the bytes take.
        :raises UnavailableError: if no leader answered in time; it may be committed or not.
        """
        answer = await self.ask(Propose(self.group, command), seconds, attempt=attempt)
        if not isinstance(answer, Committed):
            raise VerbenaError("unexpected answer", step="propose", peer=self._leader)
        return answer.result

    async def ask(
        self, body: Body, seconds: float, wait: float = 0.0, attempt: float = ATTEMPT_SECONDS
    ) -> Body:
        """Asks the leader, and looks for it while there is time.

        A replica that is asked again gets twice the time that it had before.

        :param wait: seconds that the leader may take before it answers.
        :param attempt: seconds for each replica that is asked, beside the wait and what the
            message's bytes take.
        :raises UnavailableError: if no leader answered in time.
        """
        deadline = self._clock() + seconds
        size = transfer.size_of(body)
        limit = attempt + wait + transfer.seconds(size, self._rate)
        long_answer = isinstance(body, LONG_ANSWERS)
        unanswered: Counter[str] = Counter()
        last: VerbenaError = UnavailableError("no leader", step="ask")
        while (left := deadline - self._clock()) > 0:
            address = self._leader
            # Its answer may be larger than what comes in that time, and would never come.
            longer = limit * 2 ** unanswered[address]
            if size > PART_BYTES:
                longer += self._links.backlog.seconds()
            try:
                link = self._links.to(address, bulk=long_answer or size > PART_BYTES)
                return await link.call(body, min(longer, left))
            except NotLeaderError as error:
                last = error
                if self._follow(address, error.peer):
                    continue
            except LinkSilentError as error:
                last = error
                unanswered[address] += 1
                # A long answer that is late says nothing of a replica that answers pings.
                if not long_answer or self._links.to(address).is_quiet:
                    self._unanswered_at[address] = self._clock()
                    self._turn_from(address)
            except UnavailableError as error:
                last = error
            await asyncio.sleep(RETRY_SECONDS)
        raise UnavailableError(
            f"group {self.group} has no reachable leader: {last.message}",
            step="ask",
            peer=last.peer,
        )

    def _follow(self, address: str, hint: str) -> bool:
        """Turns to the leader that a replica names; false if that one did not answer lately.

        For a moment after a leader's loss the others still name it.
        """
        if hint and hint != address and self._is_answering(hint):
            self.add_addresses([hint])
            self._leader = hint
            return True
        self._turn_from(address)
        return False

    def _is_answering(self, address: str) -> bool:
        unanswered = self._clock() - self._unanswered_at.get(address, float("-inf"))
        return unanswered > UNANSWERED_SECONDS

    def _turn_from(self, address: str) -> None:
        """Looks elsewhere, unless another call has already done so."""
        if self._leader != address:
            return
        position = self._addresses.index(address) if address in self._addresses else 0
        others = [*self._addresses[position + 1 :], *self._addresses[:position]]
        alive = [other for other in others if not self._links.to(other).is_silent]
        answering = [other for other in alive if self._is_answering(other)]
        # While an election goes on, the others are asked in turn rather than the one that is gone.
        also = [address] if self._is_answering(address) else []
        self._leader = (answering or also or alive or others or [address])[0]
