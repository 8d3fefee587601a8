"""Pauses work at a backend server after failures, with exponential backoff."""

import msgspec

#: Seconds without work after the first failure; doubled with each further one.
FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 8.0


class Health(msgspec.Struct):
    """The recent failures of one backend server.

    :param failures: how many in a row.
    :param paused_until: a time on the agent's clock.
    """

    failures: int = 0
    paused_until: float = float("-inf")


def is_paused(health: Health, now: float) -> bool:
    """Returns whether the backend server is to get no work."""
    return now < health.paused_until


def record_failure(health: Health, now: float) -> None:
    """Records a failure and starts a pause; failures during a pause don't count."""
    if is_paused(health, now):
        return
    pause = min(MAX_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2**health.failures)
    health.failures += 1
    health.paused_until = now + pause


def record_success(health: Health) -> None:
    """Records a success, which ends the pause."""
    health.failures = 0
    health.paused_until = float("-inf")
