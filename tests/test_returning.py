"""Telling retries from first attempts by the caller timeout."""

from verbenashore import returning
from verbenashore.returning import RetryDetector


def test_a_call_with_a_shorter_timeout_than_others_is_a_retry():
    detector = RetryDetector()
    assert not detector.note("h", "/s/a", 5.0)
    assert not detector.note("h", "/s/b", 4.95)
    assert detector.note("h", "/s/c", 4.2)
    assert detector.is_retry("h", "/s/c", 4.2)
    assert not detector.note("h", "/l/a", 1.5), "other paths have other timeouts"
    assert not detector.note("h", "/s/a", None)


def test_the_number_of_remembered_prefixes_is_bounded(monkeypatch):
    monkeypatch.setattr(returning, "MAX_PREFIXES", 3)
    detector = RetryDetector()
    for number in range(50):
        detector.note("h", f"/{number}/", 5.0)
    assert len(detector._longest_by_prefix) <= 3
