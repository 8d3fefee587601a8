"""Parses numbered server-sent events out of a byte stream."""

import re

import msgspec

from verbenashore.exceptions import BackendError

#: Longest event in bytes, with the comments before it; one holds the text of a few tokens.
MAX_EVENT_BYTES = 1 << 20
#: A line ends with CR LF, LF or CR; no other character ends one.
LINE_END = re.compile(r"\r\n|\n|\r")
#: The end of an event: that of its last line and a blank line.
EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
#: Longest match of ``EVENT_END``.
MAX_EVENT_END_BYTES = 4
NO_NUMBER = -1
#: Most digits of an event's number: more than a server counts, and fewer than fit into 64 bits.
MAX_NUMBER_DIGITS = 18
#: Names of the fields that add nothing to a stream; a comment has no name.
EMPTY_FIELDS = frozenset({"", "retry"})
EVENT_STREAM = "text/event-stream"


def is_event_stream(content_type: str) -> bool:
    """Returns whether an answer consists of events; one without a content type may."""
    return content_type.partition(";")[0].strip().lower() in {"", EVENT_STREAM}


class ServerEvent(msgspec.Struct, frozen=True):
    """One complete event.

    :param raw: its bytes as received, including the blank line.
    :param number: its id, or ``NO_NUMBER`` if it has no numeric id.
    :param data: the text of its data lines.
    :param is_empty: whether it has no content: only comments or the retry time.
    """

    raw: bytes
    number: int
    data: str
    is_empty: bool = False


def check_numbers(
    events: list[ServerEvent], last: int | None, *, resumed: bool, unnumbered: bool
) -> tuple[int | None, bool]:
    """Checks that the next events of a stream have consecutive numbers.

    Returns the number of the last event, and whether any event so far had none.

    :param last: the number of the last event before them; None if there is none.
    :param resumed: whether the stream was begun by another server; each of these events must then
        have a number, since its place in the stream is unknown without.
    :param unnumbered: whether an event before them had no number.
    :raises BackendError: if one doesn't fit; none of them is to be sent then.
    """
    for event in events:
        if event.number != NO_NUMBER:
            if last is not None and event.number != last + 1:
                raise BackendError(
                    f"event {event.number} after event {last}", step="events", peer=""
                )
            last = event.number
        elif not event.is_empty:
            if resumed:
                raise BackendError(
                    f"event without a number after event {last}", step="events", peer=""
                )
            unnumbered = True
    return last, unnumbered


class EventSplitter:
    """Buffers bytes until an event is complete.

    Only bytes that were not searched before are searched for the end of an event, however small the
    parts are in which a long event is received.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._bytes_without_content = 0

    @property
    def partial(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """True if those bytes begin an event; comment lines begin none."""
        return any(line and not line.startswith(b":") for line in self._buffer.splitlines())

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Adds bytes and returns the events that are complete now.

        :raises BackendError: if more than ``MAX_EVENT_BYTES`` were received since the last event
            that had content.
        """
        # An end may begin in the bytes that were searched before.
        position = max(0, len(self._buffer) - (MAX_EVENT_END_BYTES - 1))
        self._buffer += data
        events = []
        start = 0
        while (match := EVENT_END.search(self._buffer, position)) is not None:
            event = parse_event(bytes(self._buffer[start : match.end()]))
            events.append(event)
            if event.is_empty:
                self._bytes_without_content += len(event.raw)
            else:
                self._bytes_without_content = 0
            start = position = match.end()
        del self._buffer[:start]
        if len(self._buffer) + self._bytes_without_content > MAX_EVENT_BYTES:
            raise BackendError(f"no event within {MAX_EVENT_BYTES} bytes", step="events", peer="")
        return events


def parse_event(raw: bytes) -> ServerEvent:
    """Parses one complete event."""
    number = NO_NUMBER
    data = []
    is_empty = True
    for line in LINE_END.split(raw.decode("utf-8", "replace")):
        name, _, value = line.partition(":")
        is_empty = is_empty and name in EMPTY_FIELDS
        value = value.removeprefix(" ")
        if name == "id" and value.isascii() and value.isdigit():
            number = int(value) if len(value) <= MAX_NUMBER_DIGITS else NO_NUMBER
        elif name == "data":
            data.append(value)
    return ServerEvent(raw, number, "\n".join(data), is_empty)
