"""Keeps the directory of backend servers up to date, from the list as read here or by a peer."""

from collections.abc import Awaitable, Callable

import msgspec

from verbenashore import logs
from verbenashore.directory import BackendEntry, Directory
from verbenashore.dispatch import Dispatcher
from verbenashore.exceptions import VerbenaError
from verbenashore.logs import Event
from verbenashore.types import Clock

#: Seconds between two reads by the leader, which reads the list for all members.
READ_INTERVAL_SECONDS = 0.5
#: Age of the list at which a member that gets no newer one from the leader reads it itself: a
#: server must get no new work later than 3 s after it is listed as leaving.
STALE_SECONDS = 1.2

#: Reads the whole list of backend servers.
Fetch = Callable[[], Awaitable[list[BackendEntry]]]


class BackendListUpdater:
    """Reads the list of backend servers and updates the directory of one process.

    :param on_change: called after the first list, and after each one that adds or removes a server
        or marks one as leaving.
    """

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
        self._read_failed = False

    @property
    def age(self) -> float:
        """Seconds since the known list was read; negative if no list is known."""
        return self._clock() - self._directory.read_at if self.is_known else -1.0

    @property
    def is_known(self) -> bool:
        """True once a list was read, by this process or a peer; it may be empty."""
        return self._directory.read_at > float("-inf")

    @property
    def version(self) -> int:
        """The version of the known list, counted by this process; negative if no list is known."""
        return self._directory.version if self.age >= 0 else -1

    def document(self) -> bytes:
        """Returns the encoded list that members fetch."""
        return msgspec.msgpack.encode(list(self._directory.by_name.values()))

    def install_document(self, data: bytes, read_at: float) -> None:
        """Installs a list that :meth:`document` encoded."""
        self.install(msgspec.msgpack.decode(data, type=list[BackendEntry]), read_at)

    def install(self, entries: list[BackendEntry], read_at: float) -> None:
        """Installs a list that was read by this process or a peer."""
        is_first = not self.is_known
        change = self._directory.install_list(entries, read_at)
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
        """Records that a newer read found the known list unchanged.

        :param read_at: when that read took place, on this process's clock.
        """
        self._directory.read_at = max(self._directory.read_at, read_at)

    @property
    def is_stale(self) -> bool:
        """True if this process must read the list itself."""
        return not 0 <= self.age < STALE_SECONDS

    async def refresh(self) -> None:
        """Reads and installs the list; if that fails, the known list stays."""
        started = self._clock()
        try:
            entries = await self._fetch()
        except VerbenaError as error:
            if not self._read_failed:
                logs.warning(Event.LIST_LOST, error=error.message, age=round(self.age, 3))
            self._read_failed = True
            return
        if self._read_failed:
            logs.info(Event.LIST_REGAINED, servers=len(entries))
        self._read_failed = False
        self.install(entries, started)
