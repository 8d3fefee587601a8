"""A replica on its disk: what a new leader does first."""

import asyncio

import pytest

from verbenashore import control
from verbenashore.consensus import SNAPSHOT_PART_BYTES
from verbenashore.replica import JoinWish, ReplicaRunner
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


def test_a_new_replica_installs_a_snapshot_of_many_parts_and_has_it_on_its_disk(tmp_path):
    async def scenario():
        clock = asyncio.get_running_loop().time
        runners = {}

        def runner(name):
            def send(_peer, packet):
                for other in runners.values():
                    if other.peer.id == packet.to:
                        other.take(packet)

            own = (name, f"{name}:1")
            return ReplicaRunner(
                CONTROL_GROUP, own, tmp_path / name, Timing(), clock, send, 1, 1 << 18, ""
            )

        runners["a"] = runner("a")
        runners["a"].bootstrap((runners["a"].peer,))
        tasks = [asyncio.create_task(runners["a"].run())]
        first = runners["a"]
        async with asyncio.timeout(20):
            while not first.core.snapshot.data:  # noqa: ASYNC110 - written in a thread
                await asyncio.sleep(0.02)
                if first.serving and first.applied < 4:
                    ids = [f"{first.applied}-{number}-" + 10_000 * "x" for number in range(40)]
                    await first.propose(control.RetireReplicas("x", ids))
            runners["b"] = runner("b")
            tasks.append(asyncio.create_task(runners["b"].run()))
            first.take(JoinWish(runners["b"].peer))
            await runners["b"].reach(first.core.snapshot.base.index)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        again = runner("b")
        return first.core.snapshot, runners["b"].core.snapshot, again.core.snapshot

    sent, installed, loaded = asyncio.run(scenario())
    assert len(sent.data) > 3 * SNAPSHOT_PART_BYTES
    assert sent == installed == loaded
