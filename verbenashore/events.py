"""Numbered server-sent events: splits a byte stream into whole events."""

import msgspec

SEPARATORS = (b"\n\n", b"\r\n\r\n")
NO_NUMBER = -1


class ServerEvent(msgspec.Struct, frozen=True):
    """One whole event.

    :param raw: its bytes as they came, with the blank line.
    :param number: its id, or ``NO_NUMBER`` if it has none that is a number.
    :param data: the text of its data lines.
    """

    raw: bytes
    number: int
    data: str


class EventSplitter:
    """Collects bytes until an event is whole."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def partial(self) -> bytes:
        """The bytes after the last whole event."""
        return self._buffer

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Takes some bytes and returns the events that are whole now."""
        self._buffer += data
        found = []
        while (end := self._end()) > 0:
            found.append(parse(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        return found

    def _end(self) -> int:
        ends = [
            position + len(separator)
            for separator in SEPARATORS
            if (position := self._buffer.find(separator)) >= 0
        ]
        return min(ends, default=-1)


def parse(raw: bytes) -> ServerEvent:
    """Reads one whole event."""
    number = NO_NUMBER
    data = []
    for line in raw.decode("utf-8", "replace").splitlines():
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id" and value.isdigit():
            number = int(value)
        elif name == "data":
            data.append(value)
    return ServerEvent(raw, number, "\n".join(data))
