"""An entry is stopped while its streams make a short pause at the only engine that is left."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

STREAMS = 6
DRAIN_SECONDS = 4.0


async def play(deployment, trouble):
    await deployment.start_all()
    if not await deployment.apply(harness.configuration(1)) or not await deployment.wait_ready():
        raise harness.CannotRun("the deployment did not start")
    leaving = deployment.engines[1]
    if trouble:
        leaving.state = "draining"
        deployment.record(f"{leaving.name} is listed as draining")
    await asyncio.sleep(DRAIN_SECONDS)
    if trouble:
        leaving.listed = False
        await leaving.stop()
        deployment.record(f"{leaving.name} has left")
    # Nothing is disturbed for longer than contact_ms.
    await asyncio.sleep(4.0)
    calls = []
    for number in range(STREAMS):
        calls.append(asyncio.ensure_future(deployment.stream(f"stream{number}", "entry-0")))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    deployment.send_signal("entry-0", signal.SIGTERM)
    answers = await asyncio.gather(*calls)
    runs = [call for engine in deployment.engines for call, _, _ in engine.runs]
    return [
        f"stream{number} was passed on to an engine, and its connection ended without a complete"
        f" answer (status {answer.status}) while the engine was at work"
        for number, answer in enumerate(answers)
        if not answer.complete and f"stream{number}" in runs
    ]


if __name__ == "__main__":
    record = HERE / "record.txt"
    harness.main(play, harness.Deployment(record, engines=2, events=40, gap=0.03, pause=0.3))
