"""Metrics: bounded names, and the text that monitoring reads."""

from verbenashore import metrics
from verbenashore.metrics import Metrics


def test_the_text_has_counters_and_latencies():
    kept = Metrics("p", ())
    kept.count("notes.call_ended", 3)
    kept.time("notes.seconds", 0.2)
    text = kept.as_text()
    assert 'verbena_events_total{name="notes.call_ended"} 3' in text
    assert 'verbena_seconds_count{name="notes.seconds"} 1' in text
    assert 'quantile="0.99"' in text


def test_names_are_bounded(monkeypatch):
    monkeypatch.setattr(metrics, "MAX_NAMES", 5)
    kept = Metrics("p", ())
    for number in range(50):
        kept.count(f"route-{number}")
        kept.time(f"route-{number}", 0.1)
    assert len(kept.report()["counters"]) == 6
    assert kept.report()["counters"]["other"] == 45
    assert len(kept.report()["histograms_ms"]) == 6
