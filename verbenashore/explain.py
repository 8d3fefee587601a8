"""Collects the log events of many processes that explain one call, item or job."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

#: Log fields that hold the id of a call, job or item.
SUBJECT_FIELDS = ("call", "job", "item")
#: Seconds before the subject's first event for which state changes are included.
LOOKBACK_SECONDS = 2.0
#: Event numbers of changes in the state of groups, configuration, backend servers and links, as
#: the process that logs them sees it.
STATE_EVENTS = range(200, 500)
#: Event numbers of the start, stop and readiness of a process.
LIFECYCLE_EVENTS = range(100, 200)
#: Log fields that aren't shown among an event's own fields.
HIDDEN_FIELDS = frozenset({"time", "level", "process", "event", "name"})


class LogEvent(msgspec.Struct, frozen=True):
    """One log event.

    :param time: seconds since 1970, on the clock of the process that wrote it.
    """

    time: float
    process: str
    number: int
    name: str
    fields: dict[str, Any]


def read_events(paths: Iterable[Path]) -> list[LogEvent]:
    """Reads the events of log files, ordered by time; skips all other lines."""
    events = [event for path in paths for text in _read_lines(path) if (event := _parse(text))]
    return sorted(events, key=lambda event: event.time)


def select_events(events: list[LogEvent], subject: str) -> list[LogEvent]:
    """Returns the events about a subject, and others of the same processes that may explain them.

    :param subject: the id of a call, item or job.
    """
    subject_events = [event for event in events if _is_about(event, subject)]
    if not subject_events:
        return []
    servers = {event.fields["server"] for event in subject_events if "server" in event.fields}
    processes = {event.process for event in subject_events}
    first, last = subject_events[0].time - LOOKBACK_SECONDS, subject_events[-1].time
    context_events = [
        event
        for event in events
        if first <= event.time <= last
        and event.process in processes
        and _is_relevant(event, servers)
    ]
    return sorted([*subject_events, *context_events], key=lambda event: event.time)


def render(events: list[LogEvent]) -> str:
    """Returns events as text, with times relative to the first one."""
    if not events:
        return "no event has this id"
    start = events[0].time
    return "\n".join(
        f"{event.time - start:9.3f} s  {event.process:24} {event.number:03d} {event.name}  "
        + " ".join(f"{key}={value}" for key, value in event.fields.items())
        for event in events
    )


def _read_lines(path: Path) -> Iterator[str]:
    with path.open(errors="replace") as stream:
        yield from stream


def _parse(text: str) -> LogEvent | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
        fields = {key: value for key, value in document.items() if key not in HIDDEN_FIELDS}
        return LogEvent(
            document["time"], document["process"], document["event"], document["name"], fields
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        # Log files may contain lines of other programs.
        return None


def _is_about(event: LogEvent, subject: str) -> bool:
    """Returns whether an event is about a call, item or job."""
    return any(event.fields.get(field) == subject for field in SUBJECT_FIELDS)


def _is_relevant(event: LogEvent, servers: set[str]) -> bool:
    """Returns whether an event may explain what happened to a subject on some servers."""
    if any(field in event.fields for field in SUBJECT_FIELDS):
        return False
    if "server" in event.fields:
        return event.fields["server"] in servers
    return event.number in STATE_EVENTS or event.number in LIFECYCLE_EVENTS
