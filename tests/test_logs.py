"""Log lines: formatting, buffering without blocking, and the event catalogue."""

import json
import logging
import os
import re
import time

from lab.fleet import ROOT
from verbenashore.logs import Event, EventFormatter, EventHandler, LineWriter


def pipe():
    """Returns the reading and the writing end of a pipe."""
    reader, writer = os.pipe()
    return reader, writer


def read_all(reader):
    """Returns the data in a pipe without waiting for more."""
    os.set_blocking(reader, False)
    data = b""
    try:
        while part := os.read(reader, 1 << 20):
            data += part
    except BlockingIOError:
        pass
    return data


def test_a_stalled_reader_does_not_block_writes_and_the_buffer_stays_bounded():
    reader, end = pipe()
    writer = LineWriter(end, max_bytes=100_000)
    started = time.monotonic()
    for number in range(50_000):
        writer.write(b"line %06d %s\n" % (number, b"x" * 80), logging.INFO)
    assert time.monotonic() - started < 5.0
    assert writer.buffered_bytes <= 100_000
    assert writer.dropped["info"] > 0
    assert writer.write(b"a refusal\n", logging.WARNING), "warnings are dropped last"
    received = b""
    while writer.buffered_bytes:
        received += read_all(reader)
        writer.flush()
    received += read_all(reader)
    assert all(
        re.fullmatch(rb"line \d{6} x{80}|a refusal", line) for line in received.split(b"\n")[:-1]
    )
    assert received.endswith(b"a refusal\n")


def test_the_numbers_of_dropped_lines_are_reset_once_logged():
    reader, end = pipe()
    writer = LineWriter(end, max_bytes=1_000)
    handler = EventHandler(writer)
    handler.setFormatter(EventFormatter("p", as_json=True))
    logger = logging.getLogger("dropped lines")
    writer.dropped["info"] = 7
    logger.handlers[:] = [handler]
    logger.warning("x", extra={"event": Event.READY, "fields": {}})
    assert writer.dropped == {}
    assert json.loads(read_all(reader).splitlines()[-1])["event"] == Event.READY.value


def test_lines_for_a_closed_reader_are_counted_without_an_error():
    reader, end = pipe()
    writer = LineWriter(end)
    os.close(reader)
    writer.write(b"nobody reads\n", logging.INFO)
    assert writer.dropped["unreadable"] == 1


def test_the_event_catalogue_lists_every_event_with_its_number():
    text = (ROOT / "docs" / "events.rst").read_text()
    listed = {(int(number), name) for number, name in re.findall(r"^(\d{3})\s+(\w+)", text, re.M)}
    assert listed == {(event.value, event.name.lower()) for event in Event}
