"""Exchanges reports of load with the neighbours in the load tree by datagrams.

Each report is complete and replaces the sender's previous one, so a lost datagram only delays an
update.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from verbenashore import logs, misc, usage
from verbenashore.crashedcalls import CrashedCalls
from verbenashore.dispatch import Dispatcher
from verbenashore.loadtable import LoadTable, Position, Report
from verbenashore.loadtree import KEEPALIVE_SECONDS, LoadTree, Node, OwnLoad
from verbenashore.logs import Event
from verbenashore.messages import Member
from verbenashore.quarantine import Quarantine
from verbenashore.settings import parse_address
from verbenashore.types import Clock, MemberName
from verbenashore.usage import UsageExchange

#: Shortest time between two exchanges; changes within it are sent in one report.
MIN_INTERVAL_SECONDS = 0.02

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Report)


def node_of(name: MemberName, address: str, data_centre: str, passes_on_last: bool = False) -> Node:
    """Returns a member's node in the load tree.

    :param address: ``IP:PORT`` on which the member receives reports.
    :param passes_on_last: true for a member that other work keeps busy.
    """
    parsed = parse_address(address)
    position = Position(data_centre, passes_on_last, misc.quick_hash(name))
    return Node(name, (parsed.host, parsed.port), position)


class LoadReporter(asyncio.DatagramProtocol):
    """Sends and receives reports of load over one UDP socket.

    :param own: this member.
    :param on_report: called with another member's report after it is added to the load table, and
        with None when the reports of a member have expired.
    :param dispatcher: provides this member's waiting calls and the servers that it suspects, and
        provides and takes the rates that servers state.
    :param quarantine: provides and takes the evidence against parts of prompts.
    :param crashed_calls: provides and takes the records of requests under which servers crashed.
    :param takes_part: returns whether this member has calls of its own to report.
    :param usage_exchange: the requests of workspaces; None at a member that admits none.
    """

    def __init__(
        self,
        load_table: LoadTable,
        own: Node,
        incarnation: str,
        clock: Clock,
        on_report: Callable[[Report | None], None],
        dispatcher: Dispatcher,
        quarantine: Quarantine,
        crashed_calls: CrashedCalls,
        takes_part: Callable[[], bool] = lambda: True,
        usage_exchange: UsageExchange | None = None,
    ) -> None:
        self._load_table = load_table
        self._own = own
        # Reports are sent often and kept short: eight hex digits are enough to distinguish two
        # starts of a member.
        self._tree = LoadTree(own, f"{misc.quick_hash(incarnation):016x}"[:8], load_table)
        self._clock = clock
        self._on_report = on_report
        self._dispatcher = dispatcher
        self._quarantine = quarantine
        self._crashed_calls = crashed_calls
        self._takes_part = takes_part
        self._usage_exchange = usage_exchange
        self._loop: asyncio.AbstractEventLoop | None = None
        self._next_exchange: asyncio.TimerHandle | None = None
        self._is_change_pending = False
        self._last_exchange_at = float("-inf")
        self._failure: asyncio.Future[None] | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._parent: MemberName | None = None

    def set_members(self, members: Iterable[Member]) -> None:
        """Replaces the members that may be this one's parent."""
        members = list(members)
        self._tree.set_nodes(
            node_of(member.name, member.address, member.data_centre) for member in members
        )
        if self._usage_exchange is not None:
            self._usage_exchange.set_members(members, self._clock())

    def mark_changed(self) -> None:
        """Sends reports soon."""
        if not self._is_change_pending and self._loop is not None:
            self._is_change_pending = True
            self._schedule(max(self._loop.time(), self._last_exchange_at + MIN_INTERVAL_SECONDS))

    def connection_made(self, transport: Any) -> None:
        """Stores the transport of the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Adds a report of another member to the load table."""
        if not self._takes_part():
            return
        try:
            if data.startswith(usage.MARK):
                if self._usage_exchange is not None:
                    self._usage_exchange.receive(data, self._tree.neighbours, self._clock())
                return
            report = _decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            logs.warning(Event.REPORT_UNREADABLE, peer=str(address), error=str(error))
            return
        if self._tree.receive(report, address, self._clock()):
            is_news = self._quarantine.merge(report.evidence)
            is_news = self._crashed_calls.merge(report.crashed_calls) or is_news
            is_news = self._dispatcher.limits.merge(report.statements) or is_news
            if is_news or self._tree.children:
                self.mark_changed()
            self._on_report(report)

    def error_received(self, error: Exception) -> None:
        """Ignores that a peer's port is closed; a silent parent is replaced."""

    async def run(self) -> None:
        """Sends reports until it is cancelled; the last ones say that this member leaves."""
        self._loop = asyncio.get_running_loop()
        self._failure = self._loop.create_future()
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=self._own.address)
        assert self._transport is not None
        try:
            self._exchange_and_schedule()
            await self._failure
        finally:
            assert self._next_exchange is not None
            self._next_exchange.cancel()
            self._loop = None
            self._load_table.clear_local()
            self._leave()
            self._transport.close()

    def _schedule(self, at: float) -> None:
        """Schedules the next exchange, with one timer for changes and for the longest interval."""
        assert self._loop is not None
        if self._next_exchange is not None:
            self._next_exchange.cancel()
        self._next_exchange = self._loop.call_at(at, self._exchange_and_schedule)

    def _exchange_and_schedule(self) -> None:
        assert self._loop is not None and self._failure is not None
        self._last_exchange_at = self._loop.time()
        self._is_change_pending = False
        self._schedule(self._last_exchange_at + KEEPALIVE_SECONDS)
        try:
            self._exchange()
        except Exception as error:
            # Ends the run, and with it the process, as an error in a task does.
            if not self._failure.done():
                self._failure.set_exception(error)

    def _exchange(self) -> None:
        if not self._takes_part():
            if self._tree.parent is not None or self._tree.children:
                self._leave()
            return
        now = self._clock()
        self._dispatcher.speeds.refresh(now)
        for member in self._tree.expire(now):
            logs.info(Event.REPORTS_MISSING, member=member)
            self._on_report(None)
        own = OwnLoad(
            sorted(self._dispatcher.suspects),
            dict(self._dispatcher.waiting_by_service()),
            self._quarantine.evidence(),
            self._dispatcher.limits.statements(),
            self._crashed_calls.digest,
            self._crashed_calls.records(),
        )
        for address, report in self._tree.due_reports(own, now):
            self._send(address, report)
        self._log_parent()
        if self._usage_exchange is not None:
            assert self._transport is not None
            neighbours = self._tree.neighbours
            for address, data in self._usage_exchange.due_datagrams(neighbours, now):
                self._transport.sendto(data, address)

    def _leave(self) -> None:
        for address, report in self._tree.leave():
            self._send(address, report)

    def _log_parent(self) -> None:
        if self._tree.parent != self._parent:
            self._parent = self._tree.parent
            logs.info(
                Event.REPORTS_REROUTED, parent=self._parent or "", children=len(self._tree.children)
            )

    def _send(self, address: tuple[str, int], report: Report) -> None:
        assert self._transport is not None
        self._transport.sendto(_encoder.encode(report), address)
