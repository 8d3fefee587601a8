"""Log lines: one event each, bounded, and never in the way of the work."""

import json
import logging
import os
import re
import time

from lab.fleet import ROOT
from verbenashore.logs import Event, EventFormatter, EventHandler, LineWriter


def pipe():
    """Returns a pipe whose reading end waits."""
    reader, writer = os.pipe()
    return reader, writer


def read_all(reader):
    """Returns what a pipe holds."""
    os.set_blocking(reader, False)
    data = b""
    try:
        while part := os.read(reader, 1 << 20):
            data += part
    except BlockingIOError:
        pass
    return data


def test_a_reader_that_stands_still_holds_nobody_up_and_costs_bounded_memory():
    reader, end = pipe()
    writer = LineWriter(end, most=100_000)
    started = time.monotonic()
    for number in range(50_000):
        writer.write(b"line %06d %s\n" % (number, b"x" * 80), logging.INFO)
    assert time.monotonic() - started < 5.0
    assert writer.waiting <= 100_000
    assert writer.dropped["info"] > 0
    assert writer.write(b"a refusal\n", logging.WARNING), "warnings are dropped last"
    seen = b""
    while writer.waiting:
        seen += read_all(reader)
        writer.flush()
    seen += read_all(reader)
    assert all(
        re.fullmatch(rb"line \d{6} x{80}|a refusal", line) for line in seen.split(b"\n")[:-1]
    )
    assert seen.endswith(b"a refusal\n")


def test_what_was_dropped_is_counted_in_a_line_of_its_own():
    reader, end = pipe()
    writer = LineWriter(end, most=1_000)
    handler = EventHandler(writer)
    handler.setFormatter(EventFormatter("p", as_json=True))
    logger = logging.getLogger("dropped lines")
    writer.dropped["info"] = 7
    logger.handlers[:] = [handler]
    logger.warning("x", extra={"event": Event.READY, "fields": {}})
    assert writer.dropped == {}
    assert json.loads(read_all(reader).splitlines()[-1])["event"] == Event.READY.value


def test_a_closed_reader_is_counted_and_raises_nothing():
    reader, end = pipe()
    writer = LineWriter(end)
    os.close(reader)
    writer.write(b"nobody reads\n", logging.INFO)
    assert writer.dropped["unreadable"] == 1


def test_the_catalogue_names_every_event_with_its_number():
    text = (ROOT / "docs" / "events.rst").read_text()
    listed = {(int(number), name) for number, name in re.findall(r"^(\d{3})\s+(\w+)", text, re.M)}
    assert listed == {(event.value, event.name.lower()) for event in Event}
