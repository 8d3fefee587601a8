"""Parses numbered server-sent events out of a byte stream."""

import re

import msgspec

#: A line ends with CR LF, LF or CR; no other character ends one.
LINE_END = re.compile(r"\r\n|\n|\r")
EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")
NO_NUMBER = -1


class ServerEvent(msgspec.Struct, frozen=True):
    """One complete event.

    :param raw: its bytes as received, including the blank line.
    :param number: its id, or ``NO_NUMBER`` if it has no numeric id.
    :param data: the text of its data lines.
    """

    raw: bytes
    number: int
    data: str


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def partial(self) -> bytes:
        """The bytes after the last complete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Adds bytes and returns the events that are complete now."""
        self._buffer += data
        events = []
        while (end := self._event_end()) > 0:
            events.append(parse_event(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        return events

    def _event_end(self) -> int:
        ends = [
            position + len(separator)
            for separator in EVENT_SEPARATORS
            if (position := self._buffer.find(separator)) >= 0
        ]
        return min(ends, default=-1)


def parse_event(raw: bytes) -> ServerEvent:
    """Parses one complete event."""
    number = NO_NUMBER
    data = []
    for line in LINE_END.split(raw.decode("utf-8", "replace")):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id" and value.isascii() and value.isdigit():
            number = int(value)
        elif name == "data":
            data.append(value)
    return ServerEvent(raw, number, "\n".join(data))
