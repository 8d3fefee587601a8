"""A client ends a job just after its items were taken over by a new leader."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

ROUNDS = 8
ITEMS = 56
#: Results after which the client ends the job.
ENOUGH = 12


async def play(deployment, trouble):
    await deployment.start_all()
    if not await deployment.apply(harness.configuration(1)) or not await deployment.wait_ready():
        raise harness.CannotRun("the deployment did not start")
    broken = []
    for number in range(ROUNDS):
        broken += await play_round(deployment, trouble, number)
    return broken


async def play_round(deployment, trouble, number):
    """Plays one job; returns its completed results that aren't the whole output."""
    job = f"job{number}"
    names = [f"{job}x{n}" for n in range(ITEMS)]
    if await deployment.submit(job, [harness.item(name) for name in names]) != 202:
        raise harness.CannotRun("a job was not accepted")
    await asyncio.sleep(1.6)
    leader = deployment.leader()
    if trouble:
        await deployment.kill(leader)
        await deployment.start(leader)
    # The client ends the job once it has as many results as it needs.
    await asyncio.sleep(1.0)
    read = 0
    while read < ENOUGH:
        answer = await deployment.results(job, read, wait=1000, timeout=2.5)
        if answer.status == 200 and answer.complete:
            read = answer.document()["next"]
        else:
            await asyncio.sleep(0.05)
    for _ in range(10):
        if await deployment.end_job(job) == 200:
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.5)
    read = await deployment.all_results(job)
    if read is None:
        raise harness.CannotRun("the results could not be read")
    listed, total = read
    completed = [result for result in listed if result["state"] == "completed"]
    deployment.record(f"job {job}: {total} items, {len(listed)} listed, {len(completed)} completed")
    broken = []
    for result in completed:
        whole = deployment.engines[0].text(result["id"])
        if result["text"] != whole:
            events = result["text"].split("\n")
            broken.append(
                f"item {result['id']} is completed with {len(events)} events of"
                f" {deployment.engines[0].events}, from {events[0]!r} to {events[-1]!r}"
            )
    for line in broken:
        deployment.record(line)
    await asyncio.sleep(1.0)
    return broken


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = HERE / "record.txt"
    harness.main(
        play,
        harness.Deployment(record, engines=8, events=40, gap=0.06, spread=0.03, prefill=0.1),
        trouble,
    )
