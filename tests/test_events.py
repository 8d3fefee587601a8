"""Parsing of numbered events out of a byte stream."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenashore import events
from verbenashore.events import NO_NUMBER, EventSplitter, parse_event
from verbenashore.exceptions import BackendError


def test_an_incomplete_event_is_held_back_until_it_is_complete():
    splitter = EventSplitter()
    assert [event.number for event in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")] == [1]
    assert splitter.partial == b"id: 2\nda"
    assert [event.data for event in splitter.feed(b"ta: b\n\n")] == ["b"]
    assert splitter.partial == b""


def test_missing_numbers_and_several_data_lines_are_parsed():
    assert parse_event(b": comment\n\n").number == NO_NUMBER
    assert parse_event(b"id: 3\ndata: a\ndata: b\n\n").data == "a\nb"
    assert parse_event(b"id: 3\r\ndata:a\r\n\r\n").data == "a"


@settings(derandomize=True, database=None)
@given(st.lists(st.integers(1, 9), max_size=20))
def test_the_events_do_not_depend_on_how_the_stream_is_split(cuts):
    whole = b"".join(b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(12))
    splitter = EventSplitter()
    events = []
    rest = whole
    for cut in cuts:
        events += splitter.feed(rest[:cut])
        rest = rest[cut:]
    events += splitter.feed(rest)
    assert b"".join(event.raw for event in events) == whole
    assert [event.number for event in events] == list(range(12))


@pytest.mark.parametrize("character", "\x0b\x0c\x1c\x1d\x1e\x85\u2028\u2029")
def test_no_text_is_lost_after_a_character_that_ends_lines_only_outside_of_events(character):
    event = parse_event(f"id: 3\ndata: a{character}b\n\n".encode())
    assert (event.number, event.data) == (3, f"a{character}b")


def test_an_id_that_is_not_a_decimal_number_is_no_number():
    assert parse_event("id: ²\ndata: a\n\n".encode()).number == NO_NUMBER


@pytest.mark.parametrize("blank", [b"\n\n", b"\r\n\r\n", b"\n\r\n", b"\r\n\n", b"\r\r", b"\r\n\r"])
def test_an_event_ends_at_a_blank_line_whatever_its_line_ends(blank):
    splitter = EventSplitter()
    assert [event.data for event in splitter.feed(b"id: 1\r\ndata: a" + blank)] == ["a"]
    assert splitter.partial == b""


def test_a_line_end_that_arrives_in_two_parts_ends_one_line():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\r") == []
    assert [event.number for event in splitter.feed(b"\ndata: a\r\n\r")] == [1]
    assert [event.number for event in splitter.feed(b"\nid: 2\r\ndata: b\r\n\r\n")] == [2]


@pytest.mark.parametrize("digits", ["9" * 19, "9" * 5000])
def test_an_event_number_that_fits_no_message_is_none(digits):
    assert parse_event(f"id: {digits}\ndata: a\n\n".encode()).number == NO_NUMBER
    assert parse_event(b"id: 999999999999999999\ndata: a\n\n").number == 999999999999999999


class CountingPattern:
    """A pattern that counts the bytes in which it was searched."""

    def __init__(self, pattern):
        self._pattern = pattern
        self.searched_bytes = 0

    def search(self, data, position=0):
        """Searches from a position on."""
        self.searched_bytes += len(data) - position
        return self._pattern.search(data, position)


def test_an_event_in_small_parts_is_not_searched_again_with_each_part(monkeypatch):
    """Guards against an answer without end that stopped its entry for 18 s and more."""
    pattern = CountingPattern(events.EVENT_END)
    monkeypatch.setattr(events, "EVENT_END", pattern)
    splitter = EventSplitter()
    part, count = b"x" * 32, 2_000
    for _ in range(count):
        assert splitter.feed(part) == []
    assert pattern.searched_bytes < 2 * count * len(part)


def test_comments_without_an_end_are_given_up():
    """Guards against a run of an item that gets bytes, and never an event, for good."""
    splitter = EventSplitter()
    comments = b": nothing\n\n" * 1_000
    with pytest.raises(BackendError):
        for _ in range(1 + events.MAX_EVENT_BYTES // len(comments)):
            splitter.feed(comments)


def test_comments_between_events_do_not_add_up():
    splitter = EventSplitter()
    part = b": nothing\n\n" * 1_000 + b"id: 1\ndata: a\n\n"
    for _ in range(2 + 2 * events.MAX_EVENT_BYTES // len(part)):
        assert len(splitter.feed(part)) == 1_001
