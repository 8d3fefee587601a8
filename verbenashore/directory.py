"""Which backend servers there are, as a lagging list tells it."""

import msgspec

from verbenashore.types import BackendName, ServiceName


class BackendEntry(msgspec.Struct, frozen=True, array_like=True):
    """One backend server.

    :param name: differs for every start of a server, mostly.
    :param slots: calls that it runs at once.
    :param leaving: true if it takes no new work.
    """

    name: BackendName
    service: ServiceName
    address: str
    data_centre: str
    slots: int
    leaving: bool


class Change(msgspec.Struct, frozen=True):
    """What a read of the list changed."""

    added: list[BackendEntry]
    leaving: list[BackendEntry]
    gone: list[BackendEntry]

    def __bool__(self) -> bool:
        return bool(self.added or self.leaving or self.gone)


class Directory:
    """The backend servers that are known.

    A server that was seen to leave stays so while it is listed: an older copy of the list that
    arrives late must not bring it back.

    :param read_at: when the newest list was read, on this process's clock.
    """

    def __init__(self) -> None:
        self.by_name: dict[BackendName, BackendEntry] = {}
        self.read_at = float("-inf")
        self.version = 0

    def take(self, entries: list[BackendEntry], read_at: float) -> Change:
        """Takes in a list; one that was read earlier than the newest is ignored."""
        if read_at < self.read_at:
            return Change([], [], [])
        self.read_at = read_at
        before = self.by_name
        self.by_name = {entry.name: self._as_known(entry) for entry in entries}
        change = Change(
            [entry for name, entry in self.by_name.items() if name not in before],
            [
                entry
                for name, entry in self.by_name.items()
                if entry.leaving and not (name in before and before[name].leaving)
            ],
            [entry for name, entry in before.items() if name not in self.by_name],
        )
        if self.by_name != before:
            self.version += 1
        return change

    def of_service(self, service: ServiceName) -> list[BackendEntry]:
        """Returns the servers of a service that take new work."""
        return [
            entry
            for entry in self.by_name.values()
            if entry.service == service and not entry.leaving
        ]

    def _as_known(self, entry: BackendEntry) -> BackendEntry:
        known = self.by_name.get(entry.name)
        same = known is not None and known.address == entry.address
        if known is not None and same and known.leaving:
            return msgspec.structs.replace(entry, leaving=True)
        return entry
