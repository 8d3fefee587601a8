"""Whether a backend server can be given work, judged by how its last pieces ended."""

import msgspec

#: Seconds for which a backend server is left alone after its first failure; doubled each time.
FIRST_PAUSE_SECONDS = 0.25
LONGEST_PAUSE_SECONDS = 8.0


class Health(msgspec.Struct):
    """The recent failures of one backend server.

    :param failures: how many came in a row.
    :param paused_until: on the agent's clock.
    """

    failures: int = 0
    paused_until: float = float("-inf")


def is_paused(health: Health, now: float) -> bool:
    """Tells whether the backend server is to be left alone."""
    return now < health.paused_until


def note_failure(health: Health, now: float) -> None:
    """Notes a failure; several during one pause count once."""
    if is_paused(health, now):
        return
    pause = min(LONGEST_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2**health.failures)
    health.failures += 1
    health.paused_until = now + pause


def note_success(health: Health) -> None:
    """Notes that the backend server works."""
    health.failures = 0
    health.paused_until = float("-inf")
