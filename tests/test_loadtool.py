"""The load tool: seeded arrivals, their rate and bursts."""

import pytest

from lab.fleet import ROOT
from verbenashore import loadtool
from verbenashore.loadtool import CallerGroup, Scenario


def plan_arrivals(seed, **options):
    """Returns 40 s of arrivals of one group of callers at 50 requests a second."""
    callers = CallerGroup("w", "k", "m", 50.0, **options)
    return loadtool.plan(Scenario(40.0, [callers], seed))


def test_one_seed_gives_the_same_arrivals_and_another_gives_others():
    assert plan_arrivals(1) == plan_arrivals(1)
    assert plan_arrivals(1) != plan_arrivals(2)


def test_arrivals_have_the_rate_and_share_of_long_requests():
    planned = plan_arrivals(1, long_share=0.1)
    assert len(planned) == pytest.approx(2000, rel=0.1)
    assert sum(request.is_long for request in planned) == pytest.approx(200, rel=0.3)


def test_a_burst_raises_the_rate_by_its_factor():
    planned = plan_arrivals(1, burst_every=4.0, burst_seconds=1.0)
    in_bursts = sum(request.at % 4.0 < 1.0 for request in planned)
    assert in_bursts / 10 == pytest.approx(200, rel=0.2)
    assert (len(planned) - in_bursts) / 30 == pytest.approx(50, rel=0.2)


def test_the_example_file_is_a_valid_scenario():
    assert loadtool.read_scenario(ROOT / "examples" / "load.toml").callers[0].rate == 10.0
