"""Numbered events in a byte stream."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenashore.events import NO_NUMBER, EventSplitter, parse


def test_an_event_that_is_cut_off_stays_out():
    splitter = EventSplitter()
    assert [event.number for event in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")] == [1]
    assert splitter.partial == b"id: 2\nda"
    assert [event.data for event in splitter.feed(b"ta: b\n\n")] == ["b"]
    assert splitter.partial == b""


def test_an_event_without_a_number_and_one_with_two_lines():
    assert parse(b": comment\n\n").number == NO_NUMBER
    assert parse(b"id: 3\ndata: a\ndata: b\n\n").data == "a\nb"
    assert parse(b"id: 3\r\ndata:a\r\n\r\n").data == "a"


@settings(derandomize=True, database=None)
@given(st.lists(st.integers(1, 9), max_size=20))
def test_any_cutting_gives_the_same_events(cuts):
    whole = b"".join(b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(12))
    splitter = EventSplitter()
    found = []
    rest = whole
    for cut in cuts:
        found += splitter.feed(rest[:cut])
        rest = rest[cut:]
    found += splitter.feed(rest)
    assert b"".join(event.raw for event in found) == whole
    assert [event.number for event in found] == list(range(12))
