"""Ends the calls of a stopping process before it is killed, so that each gets an answer."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from verbenashore.types import Clock

#: Seconds before the end of the grace at which a stopping process ends the open calls itself.
STOP_MARGIN_SECONDS = 0.3


class Grace:
    """The time that the calls of a process have left; without limit until it is told to stop.

    :param ends_at: when the open calls end, on the process's clock.
    :param is_late: whether callers should have gone elsewhere by now.  Calls still come on
        connections whose last answer began before the stop, and didn't announce their end.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.ends_at = float("inf")
        self.is_late = False
        self._open_timeouts: set[asyncio.Timeout] = set()

    def start(self, seconds: float) -> None:
        """Ends the open calls, and those still to come, shortly before some seconds have passed.

        :param seconds: from the stop signal until the process is killed.
        """
        seconds -= STOP_MARGIN_SECONDS
        self.ends_at = self._clock() + seconds
        ends_at = asyncio.get_running_loop().time() + seconds
        for timeout in self._open_timeouts:
            # The call of an expired timeout ends in this turn of the event loop.
            if not timeout.expired():
                due = timeout.when()
                timeout.reschedule(ends_at if due is None else min(due, ends_at))

    def may_take(self, deadline: float, *, repeatable: bool) -> bool:
        """Returns whether a call is taken that may last until a deadline.

        One that the process may have to cut is refused if it must not run again, or comes late.
        """
        return deadline <= self.ends_at or (repeatable and not self.is_late)

    @contextlib.asynccontextmanager
    async def limit(self, seconds: float) -> AsyncIterator[None]:
        """Limits a call to some seconds, or to the end of the grace if that comes first.

        :raises TimeoutError: if the call takes longer.
        """
        async with asyncio.timeout(min(seconds, self.ends_at - self._clock())) as timeout:
            self._open_timeouts.add(timeout)
            try:
                yield
            finally:
                self._open_timeouts.discard(timeout)
