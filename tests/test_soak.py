"""A short run of the fault soak, and faults in the system that it has to find."""

from tests import soak

SHORT_SECONDS = 10.0
SEED = 1


def test_the_promises_hold_in_a_short_soak():
    history = soak.run(SEED, SHORT_SECONDS)
    assert not history.broken
    assert history.counts["fault"] >= 3 and history.counts["stream"] >= 5
    assert history.counts["post"] >= 5 and history.counts["applied"] >= 2
