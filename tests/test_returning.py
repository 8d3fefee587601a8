"""First attempts and callers who come back."""

from verbenashore import returning
from verbenashore.returning import ReturningCallers


def test_a_caller_with_less_time_than_others_has_come_back():
    callers = ReturningCallers()
    assert not callers.note("h", "/s/a", 5.0)
    assert not callers.note("h", "/s/b", 4.95)
    assert callers.note("h", "/s/c", 4.2)
    assert callers.has_returned("h", "/s/c", 4.2)
    assert not callers.note("h", "/l/a", 1.5), "other routes have another patience"
    assert not callers.note("h", "/s/a", None)


def test_memory_is_bounded(monkeypatch):
    monkeypatch.setattr(returning, "MAX_PLACES", 3)
    callers = ReturningCallers()
    for number in range(50):
        callers.note("h", f"/{number}/", 5.0)
    assert len(callers._longest_by_place) <= 3
