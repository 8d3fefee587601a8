"""Large messages over the slowest lines: an attempt must last as long as its message takes."""

import asyncio

import pytest

from tests.slowlines import behind_a_slow_line
from verbenashore.client import GroupClient
from verbenashore.exceptions import NotLeaderError
from verbenashore.gateway import JOB_ATTEMPT_SECONDS, LATE_SHARE, job_seconds
from verbenashore.itemjobs import ItemSpec, SubmitItemJob, SubmitResult
from verbenashore.messages import Committed

#: Bytes per second: half of a line of 15 Mbit/s, which answers to callers share.
RATE = 900_000
#: Seconds that callers wait for a job's acceptance (the sheet of spsc-gj-grown).
PATIENCE = 5.1


def job(size):
    """Returns a job of some bytes in all."""
    items = [ItemSpec(f"i-{n}", "/b/x", [], b"x" * (size // 10), 10) for n in range(10)]
    return SubmitItemJob("j", "r", "h", items, 18.0, 0.0, 3, 0, 60.0)


async def follow(envelope, reply):
    """Answers as a replica that knows no leader."""
    raise NotLeaderError("not the leader", step="serve")


async def submit(size):
    """Submits a job to a group of three as an entry does; returns how often it was proposed."""
    proposed = []

    async def lead(envelope, reply):
        proposed.append(envelope.call)
        reply(Committed(SubmitResult(True, False, 0)), True)

    async with behind_a_slow_line(RATE, lead, follow, follow) as (links, addresses):
        client = GroupClient(0, links, addresses, asyncio.get_running_loop().time)
        seconds = job_seconds(job(size), PATIENCE)
        result = await client.propose(job(size), seconds, JOB_ATTEMPT_SECONDS)
        assert result.accepted
        return len(proposed)


@pytest.mark.parametrize("size", [2_000, 300_000, 700_000])
def test_a_large_job_is_sent_once_and_not_given_up_on_the_way(size):
    assert asyncio.run(submit(size)) == 1


@pytest.mark.parametrize("patience", [0.5, PATIENCE])
def test_an_entry_has_given_up_on_a_job_before_its_caller_has(patience):
    assert job_seconds(job(3_000_000), patience) <= patience * LATE_SHARE
