"""Exchanges reports of load with the other members by datagrams.

Each report is complete: it holds the member's calls at each backend server, its waiting online
calls, and the servers that it found unreachable.  It replaces that member's previous report, so a
lost datagram only delays an update.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from verbenashore import logs, misc
from verbenashore.dispatch import Dispatcher
from verbenashore.loadtable import LoadTable, Report
from verbenashore.logs import Event
from verbenashore.settings import parse_address
from verbenashore.types import Clock, MemberName

#: Shortest time between two reports; changes within it are sent in one report.
MIN_INTERVAL_SECONDS = 0.02
#: Longest time between two reports: several may be lost in a row before a member's load expires.
MAX_INTERVAL_SECONDS = 0.5

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Report)


class LoadReporter(asyncio.DatagramProtocol):
    """Sends and receives reports of load over one UDP socket.

    :param on_report: called with another member's report after it is added to the load table, and
        with None when the reports of a member have expired.
    :param dispatcher: provides this member's waiting calls and the servers that it suspects.
    """

    def __init__(
        self,
        load_table: LoadTable,
        member: MemberName,
        incarnation: str,
        clock: Clock,
        on_report: Callable[[Report | None], None],
        dispatcher: Dispatcher,
    ) -> None:
        self._load_table = load_table
        self._member = member
        # Reports are sent often and kept short: eight hex digits are enough to distinguish two
        # starts of a member.
        self._incarnation = f"{misc.quick_hash(incarnation):016x}"[:8]
        self._clock = clock
        self._on_report = on_report
        self._dispatcher = dispatcher
        self._report_number = 0
        self._changed = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self.peers: set[str] = set()

    def mark_changed(self) -> None:
        """Sends a report soon."""
        self._changed.set()

    def connection_made(self, transport: Any) -> None:
        """Stores the transport of the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Adds a report of another member to the load table."""
        try:
            report = _decoder.decode(data)
        except msgspec.DecodeError as error:
            logs.warning(Event.REPORT_UNREADABLE, peer=str(address), error=str(error))
            return
        if report.member != self._member and self._load_table.record_report(report, self._clock()):
            self._on_report(report)

    def error_received(self, error: Exception) -> None:
        """Ignores that a peer's port is closed; heartbeats detect the loss of a member."""

    async def run(self, address: str) -> None:
        """Sends reports until it is cancelled; the last one states that this member has no calls.

        :param address: ``IP:PORT`` to listen on.
        """
        local_address = parse_address(address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(local_address.host, local_address.port)
        )
        assert self._transport is not None
        try:
            while True:
                try:
                    async with asyncio.timeout(MAX_INTERVAL_SECONDS):
                        await self._changed.wait()
                except TimeoutError:
                    pass
                self._changed.clear()
                self._send_report()
                for member in self._load_table.expire(self._clock()):
                    logs.info(Event.REPORTS_MISSING, member=member)
                    self._on_report(None)
                await asyncio.sleep(MIN_INTERVAL_SECONDS)
        finally:
            self._load_table.local_by_backend.clear()
            self._send_report()
            self._transport.close()

    def _send_report(self) -> None:
        assert self._transport is not None
        self._report_number += 1
        report = Report(
            self._member,
            self._incarnation,
            self._report_number,
            self._load_table.local_by_backend,
            self._dispatcher.suspects,
            self._dispatcher.waiting_by_service(),
        )
        data = _encoder.encode(report)
        for peer in self.peers:
            peer_address = parse_address(peer)
            self._transport.sendto(data, (peer_address.host, peer_address.port))
