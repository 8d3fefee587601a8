"""Tells the story of one call, item or job from the logs of many processes."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

#: Log fields that name what an event is about.
SUBJECT_FIELDS = ("call", "job", "item")
#: Seconds before the first event of a story within which changes of belief may explain it.
BEFORE_SECONDS = 2.0
#: Event numbers of changes of belief.
BELIEFS = range(200, 500)
LIFE_OF_PROCESS = range(100, 200)
HIDDEN_FIELDS = frozenset({"time", "level", "process", "event", "name"})


class Line(msgspec.Struct, frozen=True):
    """One log event.

    :param time: seconds since 1970, on the clock of the process that wrote it.
    """

    time: float
    process: str
    number: int
    name: str
    fields: dict[str, Any]


def read(paths: Iterable[Path]) -> list[Line]:
    """Reads the events of some log files, in order of time; other lines are passed over."""
    lines = [line for path in paths for text in _texts(path) if (line := _parse(text))]
    return sorted(lines, key=lambda line: line.time)


def story(lines: list[Line], subject: str) -> list[Line]:
    """Returns what the processes that saw a subject decided about it, and believed meanwhile."""
    about = [line for line in lines if _is_about(line, subject)]
    if not about:
        return []
    servers = {line.fields["server"] for line in about if "server" in line.fields}
    processes = {line.process for line in about}
    first, last = about[0].time - BEFORE_SECONDS, about[-1].time
    around = [
        line
        for line in lines
        if first <= line.time <= last and line.process in processes and _may_matter(line, servers)
    ]
    return sorted([*about, *around], key=lambda line: line.time)


def render(lines: list[Line]) -> str:
    """Returns a story as text, with times from its first event."""
    if not lines:
        return "no event names it"
    start = lines[0].time
    return "\n".join(
        f"{line.time - start:9.3f} s  {line.process:24} {line.number:03d} {line.name}  "
        + " ".join(f"{key}={value}" for key, value in line.fields.items())
        for line in lines
    )


def _texts(path: Path) -> Iterator[str]:
    with path.open(errors="replace") as stream:
        yield from stream


def _parse(text: str) -> Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
        fields = {key: value for key, value in document.items() if key not in HIDDEN_FIELDS}
        return Line(
            document["time"], document["process"], document["event"], document["name"], fields
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        # The files may hold other programs' lines as well.
        return None


def _is_about(line: Line, subject: str) -> bool:
    return any(line.fields.get(field) == subject for field in SUBJECT_FIELDS)


def _may_matter(line: Line, servers: set[str]) -> bool:
    if any(field in line.fields for field in SUBJECT_FIELDS):
        return False
    if "server" in line.fields:
        return line.fields["server"] in servers
    return line.number in BELIEFS or line.number in LIFE_OF_PROCESS
