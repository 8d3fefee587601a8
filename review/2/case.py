"""One engine answers one request with bytes without end."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

TIMEOUT_SECONDS = 3.0
#: The rule asks for an answer so long after the route's timeout.
SLACK_SECONDS = 0.5
REQUESTS, PAUSE_SECONDS = 50, 0.05


async def play(deployment, trouble):
    table = harness.configuration(1, timeout_ms=int(TIMEOUT_SECONDS * 1000))
    await deployment.start_all()
    if not await deployment.apply(table) or not await deployment.wait_ready():
        raise harness.CannotRun("the deployment did not start")
    await asyncio.sleep(4.0)
    if trouble:
        for engine in deployment.engines:
            engine.endless_answers = 1
    first = asyncio.ensure_future(deployment.stream("first", "entry-0"))
    while trouble and sum(engine.endless_answers for engine in deployment.engines) == len(
        deployment.engines
    ):
        await asyncio.sleep(0.005)
    for engine in deployment.engines:
        engine.endless_answers = 0
    seconds = {}

    async def send(number):
        began = time.time()
        name = f"entry-{number % 2}"
        answer = await deployment.stream(f"stream{number}", name)
        late = time.time() - began > TIMEOUT_SECONDS + SLACK_SECONDS
        seconds[number] = (name, time.time() - began, late or not answer.status)

    sending = []
    for number in range(REQUESTS):
        sending.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(PAUSE_SECONDS)
    watched = time.time()
    while not await deployment.is_ready("entry-0") and time.time() - watched < 60.0:
        pass
    deployment.record(f"entry-0 answers the platform again after {time.time() - watched:.1f} s")
    await asyncio.gather(first, *sending)
    due = [number for number, (_, taken, _) in seconds.items() if taken >= TIMEOUT_SECONDS]
    late = [number for number in due if seconds[number][2]]
    deployment.record(f"{len(due)} unanswered at the timeout, {len(late)} of them 0.5 s later")
    if len(late) >= 8 and 2 * len(late) > len(due):
        return [
            f"{len(due)} of {REQUESTS} requests had no answer at their route's timeout of"
            f" {TIMEOUT_SECONDS} s, and {len(late)} of these none {SLACK_SECONDS} s later"
        ]
    return []


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = HERE / "record.txt"
    harness.main(play, harness.Deployment(record, engines=4, events=20, gap=0.03), trouble)
