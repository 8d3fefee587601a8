"""The known backend servers, from a list that lags behind."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from verbenashore.types import BackendName, ServiceName


class BackendEntry(msgspec.Struct, frozen=True, array_like=True):
    """One backend server.

    :param name: usually differs for every start of a server.
    :param slots: calls that it runs concurrently.
    :param leaving: true if it accepts no new work.
    :param born: when it started, as a Unix time in milliseconds; 0 if that isn't known.
    """

    name: BackendName
    service: ServiceName
    address: str
    data_centre: str
    slots: int
    leaving: bool
    born: int = 0


class DirectoryChange(msgspec.Struct, frozen=True):
    """The differences between two successive lists.

    A name that is listed with another address or a later start is another server.

    :param leaving: servers that are listed as leaving and were not known to leave.
    :param gone: servers that are no longer listed.
    """

    added: list[BackendEntry]
    leaving: list[BackendEntry]
    gone: list[BackendEntry]

    def __bool__(self) -> bool:
        return bool(self.added or self.leaving or self.gone)


class Directory:
    """The backend servers that are known.

    A server that was listed as leaving, or said so itself, stays leaving while it is listed with
    the same address and start: a stale copy of the list that arrives late must not make it
    available again.

    :param read_at: when the newest list was read, on this process's clock.
    :param version: increases with each change of the list.
    """

    def __init__(self) -> None:
        self.by_name: dict[BackendName, BackendEntry] = {}
        self.read_at = float("-inf")
        self.version = 0
        self._accepting_by_service: dict[ServiceName, list[BackendEntry]] = {}
        self._accepting_by_place: dict[tuple[ServiceName, str], list[BackendEntry]] = {}
        self._slots_by_service: Counter[ServiceName] = Counter()

    def install_list(self, entries: list[BackendEntry], read_at: float) -> DirectoryChange:
        """Installs a list; one that was read before the installed one is ignored."""
        if read_at < self.read_at:
            return DirectoryChange([], [], [])
        self.read_at = read_at
        before = self.by_name
        self.by_name = {entry.name: self._keep_leaving(entry) for entry in entries}
        change = DirectoryChange(
            _missing_from(before, self.by_name),
            [
                entry
                for entry in self.by_name.values()
                if entry.leaving
                and not ((previous := _same_server(before, entry)) and previous.leaving)
            ],
            _missing_from(self.by_name, before),
        )
        if self.by_name != before:
            self.version += 1
            self._index_accepting()
        return change

    def mark_leaving(self, server: BackendEntry) -> bool:
        """Marks a server as leaving because it said so itself, ahead of the list.

        Returns False if that was known, or if the server is no longer listed with its address.
        """
        entry = _same_server(self.by_name, server)
        if entry is None or entry.leaving:
            return False
        self.by_name[server.name] = msgspec.structs.replace(entry, leaving=True)
        self.version += 1
        self._index_accepting()
        return True

    @property
    def services(self) -> Iterable[ServiceName]:
        """The services of which a server accepts new work."""
        return self._accepting_by_service.keys()

    def accepting_servers(self, service: ServiceName) -> list[BackendEntry]:
        """Returns the servers of a service that accept new work; the list must not be changed."""
        return self._accepting_by_service.get(service, [])

    def accepting_in(self, service: ServiceName, data_centre: str) -> list[BackendEntry]:
        """Returns the same for one data centre."""
        return self._accepting_by_place.get((service, data_centre), [])

    def accepting_slots(self, service: ServiceName) -> int:
        """Returns the slots of all servers of a service that accept new work."""
        return self._slots_by_service[service]

    def _index_accepting(self) -> None:
        self._accepting_by_service = {}
        self._accepting_by_place = {}
        self._slots_by_service = Counter()
        for entry in self.by_name.values():
            if not entry.leaving:
                place = (entry.service, entry.data_centre)
                self._accepting_by_service.setdefault(entry.service, []).append(entry)
                self._accepting_by_place.setdefault(place, []).append(entry)
                self._slots_by_service[entry.service] += entry.slots

    def _keep_leaving(self, entry: BackendEntry) -> BackendEntry:
        previous = _same_server(self.by_name, entry)
        if previous is not None and previous.leaving:
            return msgspec.structs.replace(entry, leaving=True)
        return entry


def _same_server(
    by_name: dict[BackendName, BackendEntry], server: BackendEntry
) -> BackendEntry | None:
    """Returns the entry of a server in its present lifetime, or None if there is none.

    A restarted server may keep its name and address.  An entry without a start is taken for the
    same lifetime.
    """
    entry = by_name.get(server.name)
    if entry is None or entry.address != server.address:
        return None
    return None if entry.born and server.born and entry.born != server.born else entry


def _missing_from(
    known: dict[BackendName, BackendEntry], by_name: dict[BackendName, BackendEntry]
) -> list[BackendEntry]:
    """Returns the servers that aren't known."""
    return [entry for entry in by_name.values() if _same_server(known, entry) is None]
