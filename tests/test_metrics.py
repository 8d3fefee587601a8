"""Metrics: the limit on names, gauges, and the Prometheus text format."""

from verbenashore import metrics
from verbenashore.metrics import Metrics


def test_the_text_format_has_counters_and_percentiles():
    process_metrics = Metrics("p", ())
    process_metrics.count("notes.call_ended", 3)
    process_metrics.time("notes.seconds", 0.2)
    text = process_metrics.as_text()
    assert 'verbena_events_total{name="notes.call_ended"} 3' in text
    assert 'verbena_seconds_count{name="notes.seconds"} 1' in text
    assert 'quantile="0.99"' in text


def test_metrics_over_the_limit_on_names_share_one_name(monkeypatch):
    monkeypatch.setattr(metrics, "MAX_NAMES", 5)
    process_metrics = Metrics("p", ())
    for number in range(50):
        process_metrics.count(f"route-{number}")
        process_metrics.time(f"route-{number}", 0.1)
    assert len(process_metrics.report()["counters"]) == 6
    assert process_metrics.report()["counters"]["other"] == 45
    assert len(process_metrics.report()["histograms_ms"]) == 6


def test_a_gauge_shows_its_current_value():
    process_metrics = Metrics("p", ())
    waiting = [1]
    process_metrics.set_gauge("waiting", lambda: waiting[0])
    waiting[0] = 7
    assert 'verbena_value{name="waiting"} 7' in process_metrics.as_text()
    assert process_metrics.report()["gauges"] == {"waiting": 7}
