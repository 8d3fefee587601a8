"""Orders to retire a ledger process that the leader knows, but has not heard of lately."""

import asyncio

import pytest

from tests.platforms import own_address
from tests.test_view import ledger_settings
from verbenashore import ledger
from verbenashore.exceptions import NotFoundError, UnavailableError
from verbenashore.messages import Retirement, StartRetirement
from verbenashore.process import Process
from verbenashore.types import CONTROL_GROUP

LOST_SECONDS = 0.2


async def order(folder, seen_seconds_ago):
    """Orders a leader to retire a process that stands by.

    :param seen_seconds_ago: when the process last asked to join; None if it never did.
    """
    address = own_address()
    running = Process(ledger_settings(folder, address, address))
    process = ledger.LedgerProcess(running)
    running.start_task(process.run())
    try:
        async with asyncio.timeout(5):
            while not process._runner_by_group[CONTROL_GROUP].serving:  # noqa: ASYNC110 - no event
                await asyncio.sleep(0.05)
        await asyncio.sleep(2 * LOST_SECONDS)
        if seen_seconds_ago is not None:
            seen_at = running.clock() - seen_seconds_ago
            process._standby_by_name["other"] = ledger.StandbyReplica("replica-other", seen_at)
        return await process._on_retirement(StartRetirement("other"))
    finally:
        await running.close()


@pytest.fixture(autouse=True)
def short_time(monkeypatch):
    """Shortens the time after which a process no longer counts as standing by."""
    monkeypatch.setattr(ledger, "STANDBY_LOST_SECONDS", LOST_SECONDS)


def test_a_process_that_stands_by_is_retired(tmp_path):
    assert asyncio.run(order(tmp_path, 0.0)) == Retirement(False)


def test_a_process_that_has_not_asked_lately_is_not_called_unknown(tmp_path):
    """Guards against a 404 for a process that stands by on a busy machine."""
    with pytest.raises(UnavailableError):
        asyncio.run(order(tmp_path, 5 * LOST_SECONDS))


@pytest.mark.parametrize("seen_seconds_ago", [None, 1000.0])
def test_a_process_that_is_unknown_or_long_gone_is_called_so(tmp_path, seen_seconds_ago):
    with pytest.raises(NotFoundError):
        asyncio.run(order(tmp_path, seen_seconds_ago))
