"""Calls to the leader of a replicated group, with discovery of the leader."""

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

#: Calls whose answers may be long, as they hold documents or stored data; they use bulk links.
CALLS_WITH_LONG_ANSWERS = (
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

#: Default timeout of one attempt at one replica.
ATTEMPT_SECONDS = 0.5
#: Delay before the next attempt.
RETRY_DELAY_SECONDS = 0.03
#: Seconds for which a replica that did not answer is avoided: just longer than an election takes,
#: as the replica may have returned by then and be the leader again.
UNRESPONSIVE_SECONDS = 0.6


class LinkPool:
    """The links of this process, by address; each is created on first use.

    Each address has a separate bulk link for calls whose request or answer may be long, so that
    heartbeats and small calls are not queued behind them.
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

        :param bulk: true for calls whose request or answer may be long.
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

    async def close_all_except(self, addresses: set[str]) -> None:
        """Closes all links but those to the given addresses."""
        for by_address in (self._by_address, self._bulk_by_address):
            for address in set(by_address) - addresses:
                await by_address.pop(address).close()

    async def close(self) -> None:
        """Closes all links."""
        await self.close_all_except(set())


class GroupClient:
    """Sends calls to the replica that leads a group.

    :param addresses: the ledger processes that may run a replica.
    :param rate: lowest transfer rate to them, in bytes per second.
    """

    def __init__(
        self,
        group: GroupId,
        links: LinkPool,
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
        self._timed_out_at: dict[str, float] = {}

    @property
    def leader(self) -> str:
        """The address of the replica that answered last, or is to be called next."""
        return self._leader

    def add_addresses(self, addresses: list[str]) -> None:
        """Adds ledger processes that may run a replica."""
        self._addresses += [address for address in addresses if address not in self._addresses]

    def set_addresses(self, addresses: list[str]) -> None:
        """Replaces the ledger processes by those that the leader listed, if it listed any."""
        if addresses and set(addresses) != set(self._addresses):
            self._addresses[:] = addresses
            if self._leader not in addresses:
                self._leader = addresses[0]

    async def propose(
        self, command: Command, timeout: float, attempt_seconds: float = ATTEMPT_SECONDS
    ) -> Result:
        """Commits a command; it may be sent more than once, so commands must be idempotent.

        :param timeout: seconds for all attempts together.
        :param attempt_seconds: timeout of one attempt; :meth:`ask` states what is added to it.
        :raises UnavailableError: if no leader answered in time; the command may be committed or
            not.
        """
        answer = await self.ask(
            Propose(self.group, command), timeout, attempt_seconds=attempt_seconds
        )
        if not isinstance(answer, Committed):
            raise VerbenaError("unexpected answer", step="propose", peer=self._leader)
        return answer.result

    async def ask(
        self,
        body: Body,
        timeout: float,
        leader_wait: float = 0.0,
        attempt_seconds: float = ATTEMPT_SECONDS,
    ) -> Body:
        """Calls the leader; tries other replicas until one answers as leader or time is up.

        Each attempt at a replica that times out doubles the timeout of the next attempt at it.

        :param timeout: seconds for all attempts together.
        :param leader_wait: seconds that the leader may wait before it answers.
        :param attempt_seconds: timeout of the first attempt at a replica, to which the leader's
            wait and the transfer time of the message are added; for a message longer than one part,
            also the backlog of the bulk links.
        :raises UnavailableError: if no leader answered in time.
        :raises VerbenaError: any other error with which a replica answered.
        """
        deadline = self._clock() + timeout
        size = transfer.size_of(body)
        first_timeout = attempt_seconds + leader_wait + transfer.transfer_seconds(size, self._rate)
        long_answer = isinstance(body, CALLS_WITH_LONG_ANSWERS)
        timeouts_by_address: Counter[str] = Counter()
        last_error: VerbenaError = UnavailableError(
            "the timeout expired before the first attempt", step="ask"
        )
        while (remaining := deadline - self._clock()) > 0:
            address = self._leader
            # With a fixed timeout, an answer that takes longer to transfer would never arrive.
            attempt_timeout = first_timeout * 2 ** timeouts_by_address[address]
            if size > PART_BYTES:
                attempt_timeout += self._links.backlog.seconds()
            try:
                link = self._links.to(address, bulk=long_answer or size > PART_BYTES)
                return await link.call(body, min(attempt_timeout, remaining))
            except NotLeaderError as error:
                last_error = error
                if self._switch_to_hint(address, error.peer):
                    continue
            except LinkSilentError as error:
                last_error = error
                timeouts_by_address[address] += 1
                # A late long answer is no sign of a failure while the replica answers pings.
                if not long_answer or self._links.to(address).is_quiet:
                    self._timed_out_at[address] = self._clock()
                    self._switch_from(address)
            except UnavailableError as error:
                last_error = error
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        raise UnavailableError(
            f"group {self.group} has no reachable leader: {last_error.message}",
            step="ask",
            peer=last_error.peer,
        )

    def _switch_to_hint(self, address: str, hint: str) -> bool:
        """Switches to the leader that a replica names and returns true.

        If it names none, or one that recently did not answer, switches to another replica and
        returns false: just after the loss of a leader, the other replicas still name it.

        :param address: the replica that was called.
        :param hint: the leader that it names; "" if it knows none.
        """
        if hint and hint != address and self._is_responsive(hint):
            self.add_addresses([hint])
            self._leader = hint
            return True
        self._switch_from(address)
        return False

    def _is_responsive(self, address: str) -> bool:
        elapsed = self._clock() - self._timed_out_at.get(address, float("-inf"))
        return elapsed > UNRESPONSIVE_SECONDS

    def _switch_from(self, address: str) -> None:
        """Chooses another replica, unless another call has already done so."""
        if self._leader != address:
            return
        position = self._addresses.index(address) if address in self._addresses else 0
        peers = [*self._addresses[position + 1 :], *self._addresses[:position]]
        alive = [peer for peer in peers if not self._links.to(peer).is_silent]
        responsive = [peer for peer in alive if self._is_responsive(peer)]
        # The current replica is kept if it is the only one that answers. So, during an election,
        # the replicas that answer are tried, not the lost leader.
        current = [address] if self._is_responsive(address) else []
        self._leader = (responsive or current or alive or peers or [address])[0]
