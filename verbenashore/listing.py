"""Keeps the directory of backend servers fresh, by reading the list or by another's reading."""

from collections.abc import Awaitable, Callable

import msgspec

from verbenashore import logs
from verbenashore.directory import BackendEntry, Directory
from verbenashore.dispatch import Dispatcher
from verbenashore.exceptions import VerbenaError
from verbenashore.logs import Event
from verbenashore.types import Clock

#: Seconds between two reads of whoever reads for all.
READ_SECONDS = 0.5
#: Age in seconds at which a member that gets no fresh list from the leader reads for itself.  A
#: server that leaves must get nothing new 3 s after it is listed so.
STALE_SECONDS = 1.2

#: Reads the whole list.
Fetch = Callable[[], Awaitable[list[BackendEntry]]]


class ListKeeper:
    """Owns the directory of one process."""

    def __init__(
        self,
        directory: Directory,
        dispatcher: Dispatcher,
        fetch: Fetch,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self._directory = directory
        self._dispatcher = dispatcher
        self._fetch = fetch
        self._clock = clock
        self._on_change = on_change
        self._lost = False

    @property
    def age(self) -> float:
        """Seconds since the newest known list was read; negative if there is none."""
        return self._clock() - self._directory.read_at if self.is_known else -1.0

    @property
    def is_known(self) -> bool:
        """True once a list was read, here or elsewhere; it may be empty."""
        return self._directory.read_at > float("-inf")

    @property
    def version(self) -> int:
        """The version of the known list, under whoever read it; negative if there is none."""
        return self._directory.version if self.age >= 0 else -1

    def document(self) -> bytes:
        """Returns the list as members fetch it."""
        return msgspec.msgpack.encode(list(self._directory.by_name.values()))

    def take_document(self, data: bytes, read_at: float) -> None:
        """Takes in a list that :meth:`document` wrote."""
        self.take(msgspec.msgpack.decode(data, type=list[BackendEntry]), read_at)

    def take(self, entries: list[BackendEntry], read_at: float) -> None:
        """Takes in a list that was read here or elsewhere."""
        is_first = not self.is_known
        change = self._directory.take(entries, read_at)
        if change:
            self._dispatcher.forget([entry.name for entry in change.gone])
            logs.info(
                Event.BACKENDS_CHANGED,
                added=[entry.name for entry in change.added],
                leaving=[entry.name for entry in change.leaving],
                gone=[entry.name for entry in change.gone],
                age=round(self._clock() - read_at, 3),
            )
        if change or is_first:
            self._on_change()

    def confirm(self, read_at: float) -> None:
        """Notes that the known list is still right as of some time."""
        self._directory.read_at = max(self._directory.read_at, read_at)

    @property
    def is_stale(self) -> bool:
        """True if this process has to read for itself."""
        return not 0 <= self.age < STALE_SECONDS

    async def read(self) -> None:
        """Reads the list; a failure leaves the known one as it is."""
        started = self._clock()
        try:
            entries = await self._fetch()
        except VerbenaError as error:
            if not self._lost:
                logs.warning(Event.LIST_LOST, error=error.message, age=round(self.age, 3))
            self._lost = True
            return
        if self._lost:
            logs.info(Event.LIST_REGAINED, servers=len(entries))
        self._lost = False
        self.take(entries, started)
