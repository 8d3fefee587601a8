"""The queue of calls that wait for a slot at a backend server, on top of the dispatcher."""

import asyncio

from verbenashore.dispatch import Decision, Dispatcher, Ticket, Verdict
from verbenashore.types import Clock

#: Seconds between two polls of the queue while calls wait in it.
POLL_SECONDS = 0.01


class CallQueue:
    """The queued calls of one process.

    Every granted slot is either handed to the call that waits for it or released, also if the
    caller leaves at that moment.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Clock) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._wake = asyncio.Event()
        self._future_by_ticket: dict[Ticket, asyncio.Future[Decision]] = {}

    def wake(self) -> None:
        """Polls the queue soon."""
        self._wake.set()

    def request(self, ticket: Ticket) -> Decision:
        """Grants, queues or refuses a ticket; the caller of a queued one must call :meth:`wait`."""
        return self._dispatcher.request(ticket, self._clock())

    async def wait(self, ticket: Ticket) -> Decision:
        """Waits until a queued ticket is granted a slot or refused."""
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket] = future
        self._wake.set()
        try:
            return await future
        except asyncio.CancelledError:
            self._release_abandoned(ticket, future)
            raise
        finally:
            del self._future_by_ticket[ticket]

    async def run(self) -> None:
        """Polls the queue until it is cancelled."""
        while True:
            if self._future_by_ticket:
                await asyncio.sleep(POLL_SECONDS)
            else:
                await self._wake.wait()
            self._wake.clear()
            self.poll()

    def poll(self) -> None:
        """Makes the decisions that are possible now, and wakes the callers that wait for them."""
        for ticket, decision in self._dispatcher.poll(self._clock()):
            future = self._future_by_ticket.get(ticket)
            if future is not None and not future.done():
                future.set_result(decision)
            elif decision.verdict is Verdict.GRANTED and decision.server is not None:
                self._dispatcher.release(decision.server, 0.0, ticket)

    def _release_abandoned(self, ticket: Ticket, future: "asyncio.Future[Decision]") -> None:
        """Withdraws the ticket of a caller who left, and releases its slot if it got one."""
        self._dispatcher.withdraw(ticket)
        if future.done() and not future.cancelled():
            server = future.result().server
            if server is not None:
                self._dispatcher.release(server, 0.0, ticket)
                self._wake.set()
