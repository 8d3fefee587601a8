"""Telling retries from first attempts by the caller timeout."""

from verbenashore import retries
from verbenashore.retries import RetryDetector


def test_a_call_with_a_shorter_timeout_than_others_is_a_retry():
    detector = RetryDetector()
    assert not detector.record_timeout("h", "/s/a", 5.0)
    assert not detector.record_timeout("h", "/s/b", 4.95)
    assert detector.record_timeout("h", "/s/c", 4.2)
    assert detector.is_retry("h", "/s/c", 4.2)
    assert not detector.record_timeout("h", "/l/a", 1.5), "other paths have other timeouts"
    assert not detector.record_timeout("h", "/s/a", None)


def test_the_number_of_remembered_prefixes_is_bounded(monkeypatch):
    monkeypatch.setattr(retries, "MAX_PREFIXES", 3)
    detector = RetryDetector()
    for number in range(50):
        detector.record_timeout("h", f"/{number}/", 5.0)
    assert len(detector._longest_by_prefix) <= 3
