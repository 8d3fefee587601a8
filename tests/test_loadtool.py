"""The load tool: seeded, open-loop arrivals."""

import pytest

from lab.fleet import ROOT
from verbenashore import loadtool
from verbenashore.loadtool import Callers, Scenario


def arrivals(seed, **options):
    """Returns the arrivals of one group of callers."""
    callers = Callers("w", "k", "m", 50.0, **options)
    return loadtool.plan(Scenario(40.0, [callers], seed))


def test_a_seed_gives_the_same_arrivals_and_another_seed_others():
    assert arrivals(1) == arrivals(1)
    assert arrivals(1) != arrivals(2)


def test_arrivals_keep_their_rate_and_their_share_of_long_ones():
    planned = arrivals(1, long_share=0.1)
    assert len(planned) == pytest.approx(2000, rel=0.1)
    assert sum(request.is_long for request in planned) == pytest.approx(200, rel=0.3)


def test_a_burst_raises_the_rate():
    planned = arrivals(1, burst_every=4.0, burst_seconds=1.0)
    inside = sum(request.at % 4.0 < 1.0 for request in planned)
    assert inside / 10 == pytest.approx(200, rel=0.2)
    assert (len(planned) - inside) / 30 == pytest.approx(50, rel=0.2)


def test_the_example_is_a_scenario():
    assert loadtool.read_scenario(ROOT / "examples" / "load.toml").callers[0].rate == 10.0
