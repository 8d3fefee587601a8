"""Measures the latency that the system adds, and the commit pause after the loss of a leader."""

import argparse
import asyncio
import json
import signal
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import zmq.asyncio

from lab.fleet import ROOT, Fleet
from lab.traffic import read_stream
from verbenashore import misc, requests
from verbenashore.client import GroupClient, LinkPool
from verbenashore.exceptions import VerbenaError
from verbenashore.messages import Sender
from verbenashore.types import GroupId

ENGINE_FLAGS = ("--base-ms", "2", "--sequence-ms", "0", "--prefill-ms", "0")
CALL_COUNT = 300
CALLS_PER_SECOND = 25.0
REPEATS_PER_LOSS = 3
SETTLE_SECONDS = 3.0
SHARD_GROUP = 1
PROPOSE_TIMEOUT_SECONDS = 8.0
WRITE_PERIOD_SECONDS = 0.02

#: Makes a leader fail; gets the name of its process.
Loss = Callable[[Fleet, str], None]


def _chat_document(number: int) -> dict[str, Any]:
    messages = [{"role": "user", "content": f"call {number}"}]
    return {"model": "notes-7b", "messages": messages, "max_tokens": 1, "stream": True}


async def measure_latencies(address: str, *, keyed: bool) -> list[float]:
    """Sends one-token calls in an open loop and returns their latencies in milliseconds.

    A latency counts from the planned time of the call.

    :param keyed: whether each call has an idempotency key.
    """
    started = time.monotonic()

    async def call(number: int) -> float:
        planned_at = started + number / CALLS_PER_SECOND
        await asyncio.sleep(max(0.0, planned_at - time.monotonic()))
        headers = {"idempotency-key": misc.random_id("call")} if keyed else {}
        await read_stream(address, "depots-key", _chat_document(number), headers)
        return (time.monotonic() - planned_at) * 1000

    return await asyncio.gather(*(call(number) for number in range(CALL_COUNT)))


async def measure_added_latency(fleet: Fleet) -> dict[str, Any]:
    """Measures calls to an engine, through the system, and through it with idempotency keys."""
    entry_address = fleet.address_by_name["entry-1"]
    engine_address = fleet.address_by_name["engine-1"]
    latencies_by_run = {
        "direct": await measure_latencies(engine_address, keyed=False),
        "through the system": await measure_latencies(entry_address, keyed=False),
        "through the system, keyed": await measure_latencies(entry_address, keyed=True),
    }
    summary_by_run = {}
    for name, latencies in latencies_by_run.items():
        ordered = sorted(latencies)
        summary_by_run[name] = {
            "median_ms": statistics.median(ordered),
            "p99_ms": ordered[int(len(ordered) * 0.99) - 1],
        }
    return summary_by_run


async def measure_commit_gap(fleet: Fleet, cause_loss: Loss) -> float:
    """Returns the longest time between two commits while a leader is lost, in seconds."""
    context = zmq.asyncio.Context()
    links = LinkPool(context, lambda: Sender("system", "dc", "r", 0), time.monotonic)
    addresses = [fleet.advertised_address(name) for name in fleet.ledger_names]
    client = GroupClient(GroupId(SHARD_GROUP), links, addresses, time.monotonic)
    commit_times = [time.monotonic()]
    stopping = asyncio.Event()

    async def write_requests() -> None:
        while not stopping.is_set():
            request_id = misc.random_id("req-1.")
            command = requests.AcceptRequest(request_id, "w", request_id, "d", "system", True, 5.0)
            try:
                await client.propose(command, PROPOSE_TIMEOUT_SECONDS)
                commit_times.append(time.monotonic())
            except VerbenaError:
                pass
            await asyncio.sleep(WRITE_PERIOD_SECONDS)

    writer = asyncio.create_task(write_requests())
    await asyncio.sleep(1.0)
    leader = await asyncio.to_thread(fleet.leader, SHARD_GROUP)
    await asyncio.to_thread(cause_loss, fleet, leader)
    await asyncio.sleep(5.0)
    stopping.set()
    await writer
    await links.close()
    context.destroy(linger=0)
    return max(
        later - earlier for earlier, later in zip(commit_times, commit_times[1:], strict=False)
    )


def kill_leader(fleet: Fleet, leader: str) -> None:
    """Kills the process of a leader."""
    fleet.kill(leader)


def freeze_leader(fleet: Fleet, leader: str) -> None:
    """Stops the process of a leader with SIGSTOP; its connections stay open."""
    fleet.signal(leader, signal.SIGSTOP)


def silence_links(fleet: Fleet, leader: str) -> None:
    """Stalls the open connections to a leader without closing them; new ones work."""
    fleet.tell_relay(leader, "silence")


LOSSES: dict[str, Loss] = {
    "killed": kill_leader,
    "frozen": freeze_leader,
    "links silent": silence_links,
}


def restore_ledgers(fleet: Fleet) -> None:
    """Resumes frozen ledger processes and restarts those that have exited."""
    for name in fleet.ledger_names:
        fleet.signal(name, signal.SIGCONT)
        if fleet.process_by_name[name].poll() is not None:
            fleet.restart(name)


def measure_gaps(loss: Loss) -> list[float]:
    """Returns the commit gaps of several losses of a leader, all on one new fleet."""
    gaps = []
    fleet = Fleet("association.toml")
    for name in fleet.ledger_names:
        fleet.start_relay(name)
    with fleet:
        for _ in range(REPEATS_PER_LOSS):
            gaps.append(asyncio.run(measure_commit_gap(fleet, loss)))
            restore_ledgers(fleet)
            threading.Event().wait(SETTLE_SECONDS)
    return gaps


def main() -> int:
    """Runs all measurements and writes the results to a JSON file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", default="system")
    parser.add_argument("--losses", nargs="*", default=list(LOSSES), choices=list(LOSSES))
    arguments = parser.parse_args()
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True
    ).stdout.strip()
    with Fleet("association.toml", engine_flags=ENGINE_FLAGS) as fleet:
        results: dict[str, Any] = {"latency": asyncio.run(measure_added_latency(fleet))}
    results["seconds without a commit, leader"] = {
        name: measure_gaps(LOSSES[name]) for name in arguments.losses
    }
    print(json.dumps(results, indent=1))
    document = {"commit": commit, "python": sys.version.split()[0], "found": results}
    path = Path(ROOT / "docs" / "measurements" / f"{arguments.name}.json")
    path.write_text(json.dumps(document, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
