"""Parsing of numbered events out of a byte stream."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenashore.events import NO_NUMBER, EventSplitter, parse_event


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
