"""Tells the other members, by datagrams, which calls this one has at each backend server.

Every report is whole and replaces the one before, so a lost datagram costs only freshness.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from verbenashore import logs, misc
from verbenashore.board import LoadBoard, Report
from verbenashore.dispatch import Dispatcher
from verbenashore.logs import Event
from verbenashore.settings import parse_address
from verbenashore.types import Clock, MemberName

#: Shortest time between two reports, in seconds; changes within it share one.
MIN_INTERVAL_SECONDS = 0.02
#: Longest time between two reports, in seconds; some of them may be lost in a row.
MAX_INTERVAL_SECONDS = 0.5

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Report)


class Gossip(asyncio.DatagramProtocol):
    """Owns the socket for reports.

    :param on_report: called with another member's report after it was taken in, and with None
        when one has expired.
    :param dispatcher: knows what waits here and whom this member suspects.
    """

    def __init__(
        self,
        board: LoadBoard,
        member: MemberName,
        incarnation: str,
        clock: Clock,
        on_report: Callable[[Report | None], None],
        dispatcher: Dispatcher,
    ) -> None:
        self._board = board
        self._member = member
        # Eight digits tell two starts apart; the report is sent often and to many.
        self._incarnation = f"{misc.quick_hash(incarnation):016x}"[:8]
        self._clock = clock
        self._on_report = on_report
        self._dispatcher = dispatcher
        self._number = 0
        self._dirty = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self.peers: set[str] = set()

    def mark_changed(self) -> None:
        """Sends a report soon."""
        self._dirty.set()

    def connection_made(self, transport: Any) -> None:
        """Notes the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Takes in a report of another member."""
        try:
            report = _decoder.decode(data)
        except msgspec.DecodeError as error:
            logs.warning(Event.REPORT_UNREADABLE, peer=str(address), error=str(error))
            return
        if report.member != self._member and self._board.take(report, self._clock()):
            self._on_report(report)

    def error_received(self, error: Exception) -> None:
        """Notes that a peer's port is closed; the heartbeats tell when it is gone."""

    async def run(self, address: str) -> None:
        """Sends reports until it is cancelled.

        :param address: ``IP:PORT`` to listen on.
        """
        place = parse_address(address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(place.host, place.port))
        assert self._transport is not None
        try:
            while True:
                try:
                    async with asyncio.timeout(MAX_INTERVAL_SECONDS):
                        await self._dirty.wait()
                except TimeoutError:
                    pass
                self._dirty.clear()
                self._send()
                for member in self._board.expire(self._clock()):
                    logs.info(Event.REPORTS_MISSING, member=member)
                    self._on_report(None)
                await asyncio.sleep(MIN_INTERVAL_SECONDS)
        finally:
            self._board.own.clear()
            self._send()
            self._transport.close()

    def _send(self) -> None:
        assert self._transport is not None
        self._number += 1
        report = Report(
            self._member,
            self._incarnation,
            self._number,
            self._board.own,
            self._dispatcher.suspects,
            self._dispatcher.waiting_by_service(),
        )
        data = _encoder.encode(report)
        for peer in self.peers:
            place = parse_address(peer)
            self._transport.sendto(data, (place.host, place.port))
