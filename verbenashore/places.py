"""Calls that wait for a place at a backend server, on top of the dispatcher."""

import asyncio

from verbenashore.dispatch import Decision, Dispatcher, Ticket, Verdict
from verbenashore.types import Clock

#: Seconds between two looks at the tickets that wait, when nothing else wakes them.
POLL_SECONDS = 0.01


class Places:
    """Owns the calls of one process that wait.

    Every granted place is either returned to its caller or given back, also when the caller
    leaves at that moment.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Clock) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._wake = asyncio.Event()
        self._future_by_ticket: dict[Ticket, asyncio.Future[Decision]] = {}

    def wake(self) -> None:
        """Looks soon whether a place is free."""
        self._wake.set()

    def ask(self, ticket: Ticket) -> Decision:
        """Decides at once, or says that the ticket has to wait."""
        return self._dispatcher.request(ticket, self._clock())

    async def wait(self, ticket: Ticket) -> Decision:
        """Waits until a waiting ticket is granted a place or refused."""
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket] = future
        self._wake.set()
        try:
            return await future
        except asyncio.CancelledError:
            self._give_back(ticket, future)
            raise
        finally:
            del self._future_by_ticket[ticket]

    async def run(self) -> None:
        """Decides about tickets that wait, until it is cancelled."""
        while True:
            if self._future_by_ticket:
                await asyncio.sleep(POLL_SECONDS)
            else:
                await self._wake.wait()
            self._wake.clear()
            self.poll()

    def poll(self) -> None:
        """Hands out what is decided now."""
        for ticket, decision in self._dispatcher.poll(self._clock()):
            future = self._future_by_ticket.get(ticket)
            if future is not None and not future.done():
                future.set_result(decision)
            elif decision.verdict is Verdict.GRANTED and decision.server is not None:
                self._dispatcher.release(decision.server, 0.0)

    def _give_back(self, ticket: Ticket, future: "asyncio.Future[Decision]") -> None:
        """Frees what a ticket holds whose caller left while it waited."""
        self._dispatcher.withdraw(ticket)
        if future.done() and not future.cancelled():
            server = future.result().server
            if server is not None:
                self._dispatcher.release(server, 0.0)
                self._wake.set()
