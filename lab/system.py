"""Measures what the system adds to a request, and the pause after the loss of a leader."""

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
CALLS = 300
RATE = 25.0
REPEATS = 3
SETTLE_SECONDS = 3.0
SHARD = 1
PROPOSE_SECONDS = 8.0
PERIOD_SECONDS = 0.02

Loss = Callable[[Fleet, str], None]


def _document(number: int) -> dict[str, Any]:
    messages = [{"role": "user", "content": f"call {number}"}]
    return {"model": "notes-7b", "messages": messages, "max_tokens": 1, "stream": True}


async def latencies(address: str, *, keyed: bool) -> list[float]:
    """Returns the time of each of some open-loop calls for one token, in milliseconds."""
    started = time.monotonic()

    async def call(number: int) -> float:
        due = started + number / RATE
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        headers = {"idempotency-key": misc.random_id("call")} if keyed else {}
        await read_stream(address, "depots-key", _document(number), headers)
        return (time.monotonic() - due) * 1000

    return await asyncio.gather(*(call(number) for number in range(CALLS)))


async def added(fleet: Fleet) -> dict[str, Any]:
    """Measures calls to an engine directly, through the system, and with a caller's key."""
    entry = fleet.address_by_name["entry-1"]
    engine = fleet.address_by_name["engine-1"]
    runs = {
        "direct": await latencies(engine, keyed=False),
        "through the system": await latencies(entry, keyed=False),
        "through the system, keyed": await latencies(entry, keyed=True),
    }
    found = {}
    for name, times in runs.items():
        ordered = sorted(times)
        found[name] = {
            "median_ms": statistics.median(ordered),
            "p99_ms": ordered[int(len(ordered) * 0.99) - 1],
        }
    return found


async def gap(fleet: Fleet, lose: Loss) -> float:
    """Returns the longest time between two commits round the loss of a leader, in seconds."""
    context = zmq.asyncio.Context()
    links = LinkPool(context, lambda: Sender("system", "dc", "r", 0), time.monotonic)
    addresses = [fleet.advertised_address(name) for name in fleet.ledger_names]
    client = GroupClient(GroupId(SHARD), links, addresses, time.monotonic)
    commits = [time.monotonic()]
    stopping = asyncio.Event()

    async def write() -> None:
        while not stopping.is_set():
            record = misc.random_id("req-1.")
            command = requests.AcceptRequest(record, "w", record, "d", "system", True, 5.0)
            try:
                await client.propose(command, PROPOSE_SECONDS)
                commits.append(time.monotonic())
            except VerbenaError:
                pass
            await asyncio.sleep(PERIOD_SECONDS)

    writer = asyncio.create_task(write())
    await asyncio.sleep(1.0)
    leader = await asyncio.to_thread(fleet.leader, SHARD)
    await asyncio.to_thread(lose, fleet, leader)
    await asyncio.sleep(5.0)
    stopping.set()
    await writer
    await links.close()
    context.destroy(linger=0)
    return max(later - earlier for earlier, later in zip(commits, commits[1:], strict=False))


def kill(fleet: Fleet, leader: str) -> None:
    """Kills a leader."""
    fleet.kill(leader)


def freeze(fleet: Fleet, leader: str) -> None:
    """Freezes a leader, whose connections stay open."""
    fleet.signal(leader, signal.SIGSTOP)


def silence(fleet: Fleet, leader: str) -> None:
    """Lets the open connections to a leader go silent, while new ones work."""
    fleet.tell_relay(leader, "silence")


LOSSES: dict[str, Loss] = {"killed": kill, "frozen": freeze, "links silent": silence}


def recover(fleet: Fleet) -> None:
    """Brings every ledger process back."""
    for name in fleet.ledger_names:
        fleet.signal(name, signal.SIGCONT)
        if fleet.process_by_name[name].poll() is not None:
            fleet.restart(name)


def measure_gaps(loss: Loss) -> list[float]:
    """Measures the loss of a leader a few times, each on a fleet of its own."""
    gaps = []
    fleet = Fleet("association.toml")
    for name in fleet.ledger_names:
        fleet.start_relay(name)
    with fleet:
        for _ in range(REPEATS):
            gaps.append(asyncio.run(gap(fleet, loss)))
            recover(fleet)
            threading.Event().wait(SETTLE_SECONDS)
    return gaps


def main() -> int:
    """Measures everything and writes the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", default="system")
    parser.add_argument("--losses", nargs="*", default=list(LOSSES), choices=list(LOSSES))
    given = parser.parse_args()
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True
    ).stdout.strip()
    with Fleet("association.toml", engine_flags=ENGINE_FLAGS) as fleet:
        found: dict[str, Any] = {"latency": asyncio.run(added(fleet))}
    found["seconds without a commit, leader"] = {
        name: measure_gaps(LOSSES[name]) for name in given.losses
    }
    print(json.dumps(found, indent=1))
    document = {"commit": commit, "python": sys.version.split()[0], "found": found}
    path = Path(ROOT / "docs" / "measurements" / f"{given.name}.json")
    path.write_text(json.dumps(document, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
