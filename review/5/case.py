"""An entry is stopped while its streams make a short pause at a service with one engine."""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

STREAMS = 6


def configuration(version, service):
    """Returns a desired state whose streams go to a service."""
    table = harness.configuration(version)
    table["services"].append(table["services"][0] | {"name": "solo"})
    table["routes"][0]["service"] = service
    return table


async def play(deployment, trouble):
    deployment.engines[2].service = "solo"
    await deployment.start_all()
    if not await deployment.apply(configuration(1, "lm")) or not await deployment.wait_ready():
        raise harness.CannotRun("the deployment did not start")
    await asyncio.sleep(2.0)
    if trouble and not await deployment.apply(configuration(2, "solo")):
        raise harness.CannotRun("the change was not acknowledged")
    # The change is in force after config_apply_ms, and nothing else is disturbed.
    await asyncio.sleep(8.0)
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
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = HERE / "record.txt"
    harness.main(
        play, harness.Deployment(record, engines=3, events=40, gap=0.03, pause=0.3), trouble
    )
