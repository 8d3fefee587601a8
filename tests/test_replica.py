"""One replica on its data folder: ledger time of a new leader, and installed snapshots."""

import asyncio

import pytest

from verbenashore import control
from verbenashore.consensus import SNAPSHOT_PART_BYTES
from verbenashore.replica import JoinRequest, ReplicaRunner
from verbenashore.replication import Timing
from verbenashore.types import CONTROL_GROUP

#: The clock of an instance that has run for weeks, in seconds.
UPTIME = 3e6


def new_runner(
    path, clock, name="ledger-0", send=lambda _peer, _packet: None, voters=1, snapshot_bytes=1 << 20
):
    """Returns a replica; by default of a group of one."""
    address = (name, f"{name}:1")
    return ReplicaRunner(
        CONTROL_GROUP, address, path, Timing(), clock, send, voters, snapshot_bytes, ""
    )


async def first_command(path, first):
    """Starts a replica and proposes a command as soon as it may serve.

    Returns the time of its state before and after that command.
    """
    loop = asyncio.get_running_loop()
    runner = new_runner(path, lambda: UPTIME + loop.time())
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
        while not proposed:  # noqa: ASYNC110 - no event reports that the proposal was made
            await asyncio.sleep(0.005)
        await proposed[0]
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return before[0], runner.state.time


@pytest.mark.parametrize("restarts", [0, 1])
def test_ledger_time_continues_from_the_state_at_the_first_command_of_a_new_leader(
    tmp_path, restarts
):
    for number in range(restarts + 1):
        before, after = asyncio.run(first_command(tmp_path, first=number == 0))
    assert before <= after < before + 5.0, "ledger time did not continue from the state"


def test_a_new_replica_installs_and_stores_a_snapshot_of_many_parts(tmp_path):
    async def scenario():
        clock = asyncio.get_running_loop().time
        runners = {}

        def runner(name):
            def send(_peer, packet):
                for other in runners.values():
                    if other.peer.id == packet.to:
                        other.enqueue(packet)

            return new_runner(tmp_path / name, clock, name, send, snapshot_bytes=1 << 18)

        runners["a"] = runner("a")
        runners["a"].bootstrap((runners["a"].peer,))
        tasks = [asyncio.create_task(runners["a"].run())]
        first = runners["a"]
        async with asyncio.timeout(20):
            while not first.core.snapshot.data:  # noqa: ASYNC110 - written in a thread
                await asyncio.sleep(0.02)
                if first.serving and first.applied_index < 4:
                    ids = [
                        f"{first.applied_index}-{number}-" + 10_000 * "x" for number in range(40)
                    ]
                    await first.propose(control.RetireReplicas("x", ids))
            runners["b"] = runner("b")
            tasks.append(asyncio.create_task(runners["b"].run()))
            first.enqueue(JoinRequest(runners["b"].peer))
            await runners["b"].wait_until_applied(first.core.snapshot.base.index)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        restarted = runner("b")
        return first.core.snapshot, runners["b"].core.snapshot, restarted.core.snapshot

    sent, installed, loaded = asyncio.run(scenario())
    assert len(sent.data) > 3 * SNAPSHOT_PART_BYTES
    assert sent == installed == loaded
