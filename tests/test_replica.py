"""A replica on its disk: what a new leader does first."""

import asyncio

import pytest

from verbenashore import control
from verbenashore.replica import ReplicaRunner
from verbenashore.replication import Timing
from verbenashore.types import CONTROL_GROUP

#: What the clock of a machine shows that has run for weeks.
UPTIME = 3e6


def runner_on(path, clock):
    """Returns a replica of a group of one."""
    own = ("ledger-0", "127.0.0.1:1")
    return ReplicaRunner(
        CONTROL_GROUP, own, path, Timing(), clock, lambda _peer, _packet: None, 1, 1 << 20, ""
    )


async def first_command(path, first):
    """Starts a replica whose first command comes the moment that it may serve.

    Returns the time of its state before and after that command.
    """
    loop = asyncio.get_running_loop()
    runner = runner_on(path, lambda: UPTIME + loop.time())
    if first:
        runner.bootstrap((runner.peer,))
    proposed = []
    before = []

    def propose():
        if runner.serving and not proposed:
            before.append(runner.state.time)
            proposed.append(asyncio.create_task(runner.propose(control.RetireReplicas("x", []))))

    runner.on_progress.append(propose)
    running = asyncio.create_task(runner.run())
    async with asyncio.timeout(5):
        while not proposed:  # noqa: ASYNC110 - the replica tells only its own tasks
            await asyncio.sleep(0.005)
        await proposed[0]
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return before[0], runner.state.time


@pytest.mark.parametrize("restarts", [0, 1])
def test_the_time_of_the_first_command_of_a_leader_goes_on_from_that_of_its_state(
    tmp_path, restarts
):
    for number in range(restarts + 1):
        before, after = asyncio.run(first_command(tmp_path, first=number == 0))
    assert before <= after < before + 5.0, "jobs and records end by this time"
