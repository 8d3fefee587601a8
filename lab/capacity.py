"""Measures how the cost of each process role grows with its load, at four sizes or more."""

import argparse
import asyncio
import os
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import zmq.asyncio

from lab.fleet import OPERATOR_KEY, ROOT, Fleet
from lab.measure import depot_callers
from verbenashore import control, jobs, loadtool, machine, misc, placement, requests
from verbenashore.client import GroupClient, LinkPool
from verbenashore.exceptions import VerbenaError
from verbenashore.fetching import Fetcher
from verbenashore.loadtool import Scenario
from verbenashore.machine import GroupState
from verbenashore.messages import Heartbeat, HeartbeatReply, Member, Sender
from verbenashore.transfer import Document
from verbenashore.types import GroupId, MemberRole, MemberState

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
ENGINE_FLAGS = ("--base-ms", "10", "--sequence-ms", "0.02", "--running", "32")
HEARTBEAT_SECONDS = 0.5
MEMBER_COUNTS = (50, 100, 200, 300)
REQUEST_RATES = (10, 20, 40, 60)
TOKEN_COUNTS = (5, 20, 40, 60)
CHUNK_ITEMS = (1, 10, 100, 500)
STATE_ITEMS = (2_000, 5_000, 10_000, 20_000)
BACKEND_COUNTS = (100, 400, 1_600, 6_400)


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def fit_line(points: list[tuple[float, float]]) -> dict[str, Any]:
    """Fits a line to points; the residual is the largest one, as a share of the range of y."""
    xs, ys = [x for x, _ in points], [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = [abs(y - intercept - slope * x) for x, y in points]
    spread = max(ys) - min(ys)
    return {
        "points": points,
        "slope": slope,
        "intercept": intercept,
        "residual": max(residuals) / spread if spread else 0.0,
    }


async def _cores_used(pids: dict[str, int], work: Callable[[], Any]) -> dict[str, float]:
    """Returns the average number of cores that each process used while some work ran."""
    seconds_before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    started = time.monotonic()
    await work()
    seconds = time.monotonic() - started
    return {name: (cpu_seconds(pid) - seconds_before[name]) / seconds for name, pid in pids.items()}


async def measure_requests_and_chunks(fleet: Fleet) -> dict[str, Any]:
    """Measures the cores of each role by requests a second and by streamed chunks a second."""
    pids = {name: process.pid for name, process in fleet.process_by_name.items()}
    entry = fleet.address_by_name["entry-1"]

    async def measure_load(rate: float, tokens: int) -> dict[str, float]:
        scenario = Scenario(6.0, [depot_callers(rate, tokens)], 7, warmup=0.0)
        return await _cores_used(pids, lambda: loadtool.run(scenario, entry))

    by_rate = [(rate, await measure_load(rate, 1)) for rate in REQUEST_RATES]
    by_chunks = [(20.0 * tokens, await measure_load(20.0, tokens)) for tokens in TOKEN_COUNTS]

    def fit_role(points: list[tuple[float, dict[str, float]]], prefix: str) -> dict[str, Any]:
        return fit_line(
            [
                (x, sum(cores for n, cores in cores_by_name.items() if n.startswith(prefix)))
                for x, cores_by_name in points
            ]
        )

    return {
        f"{role} cores by {load}": fit_role(points, prefix)
        for role, prefix in (("entry", "entry"), ("agents", "agent-engine"), ("ledgers", "ledger"))
        for load, points in (("requests/s of one token", by_rate), ("chunks/s", by_chunks))
    } | {"resident_mb": {name: resident_mb(pid) for name, pid in pids.items()}}


async def measure_commits(fleet: Fleet) -> dict[str, Any]:
    """Measures how many items a second one group commits, by the number of items in a command."""
    context = zmq.asyncio.Context()
    links = LinkPool(context, lambda: Sender("capacity", "dc", "r", 0), time.monotonic)
    addresses = [fleet.address_by_name[name] for name in fleet.ledger_names]
    client = GroupClient(GroupId(1), links, addresses, time.monotonic)
    pids = {name: fleet.process_by_name[name].pid for name in fleet.ledger_names}
    points = []
    for size in CHUNK_ITEMS:
        committed = 0

        async def add_items(size: int = size) -> None:
            nonlocal committed
            job = misc.random_id("batch-1.")
            create = jobs.CreateJob(
                job, "w", job, "d", "capacity", "/v1", "f", 60.0, "", {}, 0, 60.0
            )
            await client.propose(create, 5.0)
            body = b"x" * 200
            deadline = time.monotonic() + 3.0
            next_position = 0
            while time.monotonic() < deadline:
                items = [jobs.NewItem(f"{n}", "m", body, 10) for n in range(size)]
                await client.propose(jobs.AddItems(job, next_position, items), 5.0)
                next_position += size
                committed += size

        async def run_writers() -> None:
            await asyncio.gather(*(add_items() for _ in range(8)))

        cores_by_name = await _cores_used(pids, run_writers)
        points.append(
            {
                "chunk": size,
                "items_a_second": committed / 3.0,
                "leader_cores": max(cores_by_name.values()),
            }
        )
    await client.propose(machine.ReleaseHolder("capacity"), 5.0)
    await links.close()
    context.destroy(linger=0)
    return {"items/s of one group by chunk": points}


async def measure_members(fleet: Fleet) -> dict[str, Any]:
    """Measures the control leader's load, and the time until a change is in force, by members."""
    leader = await asyncio.to_thread(fleet.leader, 0)
    pid = fleet.process_by_name[leader].pid
    cores, seconds_in_force, kilobytes = [], [], []
    status = await asyncio.to_thread(fleet.client(OPERATOR_KEY).status)
    revision = status["revision"]
    for count in MEMBER_COUNTS:
        members = _SimulatedMembers(fleet, count)
        await members.start()
        await asyncio.sleep(2.0)
        bytes_before = members.byte_count
        cores_by_name = await _cores_used({leader: pid}, lambda: asyncio.sleep(4.0))
        kilobytes.append((float(count), (members.byte_count - bytes_before) / 4.0 / count / 1000))
        cores.append((float(count), cores_by_name[leader]))
        operator = fleet.client(OPERATOR_KEY)
        text = f"{fleet.text}\n# {count}\n"
        started = time.monotonic()
        await asyncio.to_thread(operator.apply, text, revision, f"crowd-{count}", "capacity")
        revision += 1
        await asyncio.wait_for(members.wait_for_revision(revision), 10.0)
        seconds_in_force.append((float(count), time.monotonic() - started))
        await members.stop()
        await asyncio.sleep(1.0)
    return {
        "control leader cores by members": fit_line(cores),
        "seconds to be in force by members": fit_line(seconds_in_force),
        "KB/s of heartbeats a member by members": fit_line(kilobytes),
        "leader_resident_mb": resident_mb(pid),
    }


class _SimulatedMembers:
    """Members in this process that only send heartbeats and fetch documents, on separate links."""

    def __init__(self, fleet: Fleet, count: int) -> None:
        self._context = zmq.asyncio.Context()
        self._revisions = dict.fromkeys(range(count), 0)
        addresses = [fleet.address_by_name[name] for name in fleet.ledger_names]
        self._links = [
            LinkPool(self._context, lambda: Sender("crowd", "dc", "r", 0), time.monotonic)
            for _ in range(count)
        ]
        self._clients = [
            GroupClient(GroupId(0), links, addresses, time.monotonic) for links in self._links
        ]
        self._fetchers = [
            self._make_fetcher(number, client, links)
            for number, (client, links) in enumerate(zip(self._clients, self._links, strict=True))
        ]
        self._tasks: list[asyncio.Task[None]] = []
        self._changed = asyncio.Event()
        self.byte_count = 0

    def _make_fetcher(self, number: int, client: GroupClient, links: LinkPool) -> Fetcher:
        def record_configuration(_version: int, data: bytes) -> None:
            self._revisions[number] = control.decode_change(data).revision
            self._changed.set()
            self.byte_count += len(data)

        def record_members(_version: int, data: bytes) -> None:
            self.byte_count += len(data)

        fetcher = Fetcher(client, links, time.monotonic)
        fetcher.set_handler(Document.CONFIGURATION, record_configuration)
        fetcher.set_handler(Document.MEMBERS, record_members)
        return fetcher

    @property
    def lowest_revision(self) -> int:
        """The lowest revision that any member has in force."""
        return min(self._revisions.values())

    async def wait_for_revision(self, revision: int) -> None:
        """Waits until every member has a revision or a later one in force."""
        while self.lowest_revision < revision:
            self._changed.clear()
            await self._changed.wait()

    async def start(self) -> None:
        """Starts the members' heartbeats, spread evenly over one heartbeat period."""
        for number, client in enumerate(self._clients):
            self._tasks.append(asyncio.create_task(self._send_heartbeats(number, client)))
            await asyncio.sleep(HEARTBEAT_SECONDS / len(self._clients))

    async def stop(self) -> None:
        """Stops all members and closes their links."""
        await misc.cancel_and_wait(*self._tasks)
        for fetcher in self._fetchers:
            await fetcher.close()
        for links in self._links:
            await links.close()
        self._context.destroy(linger=0)

    async def _send_heartbeats(self, number: int, client: GroupClient) -> None:
        fetcher = self._fetchers[number]
        while True:
            member = Member(
                f"crowd-{number}",
                f"crowd-{number}",
                MemberRole.ENTRY,
                "127.0.0.1:1",
                "dc",
                "r",
                MemberState.SERVING,
                self._revisions[number],
            )
            heartbeat = Heartbeat(member)
            try:
                reply = await client.ask(heartbeat, 5.0)
            except VerbenaError:
                continue
            assert isinstance(reply, HeartbeatReply)
            fetcher.request_version(Document.CONFIGURATION, reply.revision)
            fetcher.request_version(Document.MEMBERS, reply.members_version)
            self.byte_count += len(msgspec.msgpack.encode(heartbeat))
            self.byte_count += len(msgspec.msgpack.encode(reply))
            await asyncio.sleep(HEARTBEAT_SECONDS)


def measure_state_sizes() -> dict[str, Any]:
    """Measures a group's memory and snapshots by records, and placement by backend servers."""
    item_points = [_measure_state(lambda state, n=n: _fill_items(state, n), n) for n in STATE_ITEMS]
    request_points = [
        _measure_state(lambda state, n=n: _fill_requests(state, n), n) for n in STATE_ITEMS
    ]
    return {
        "ledger bytes by items of 200 B": fit_line([(x, size) for x, size, _, _ in item_points]),
        "snapshot bytes by items of 200 B": fit_line([(x, size) for x, _, size, _ in item_points]),
        "snapshot seconds by items of 200 B": fit_line(
            [(x, seconds) for x, _, _, seconds in item_points]
        ),
        "ledger bytes by answered requests of 1 KB": fit_line(
            [(x, size) for x, size, _, _ in request_points]
        ),
        "entry bytes by backend servers known": fit_line(
            [(float(n), _placement_bytes(n)) for n in BACKEND_COUNTS]
        ),
        "seconds of a choice by backend servers known": fit_line(
            [(float(n), _choice_seconds(n)) for n in BACKEND_COUNTS]
        ),
    }


def _measure_state(
    fill: Callable[[GroupState], None], count: int
) -> tuple[float, float, float, float]:
    """Returns the count, the bytes in memory, the snapshot's bytes and its seconds."""
    tracemalloc.start()
    state = GroupState(GroupId(1))
    fill(state)
    memory_bytes = float(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    started = time.perf_counter()
    snapshot_bytes = float(len(machine.snapshot(state)))
    return float(count), memory_bytes, snapshot_bytes, time.perf_counter() - started


def _fill_items(state: GroupState, count: int) -> None:
    create = jobs.CreateJob("j", "w", "k", "d", "h", "/v1", "f", 60.0, "", {}, 0, 60.0)
    jobs.create_job(state.jobs, create)
    items = [jobs.NewItem(f"item-{n}", "m", b"%200d" % n, 10) for n in range(count)]
    jobs.add_items(state.jobs, jobs.AddItems("j", 0, items))
    jobs.seal_job(state.jobs, jobs.SealJob("j", count), 0.0)


def _fill_requests(state: GroupState, count: int) -> None:
    for n in range(count):
        accept = requests.AcceptRequest(f"r{n}", "w", f"k{n}", f"d{n:064}", "h", True, 60.0)
        requests.accept(state.requests, accept)
        body = b"%1000d" % n
        requests.complete(state.requests, requests.CompleteRequest(f"r{n}", 200, "t", body), 0.0)


def _make_placement(count: int) -> placement.Placement:
    state = placement.Placement()
    targets = [
        placement.Target(f"a{n}", f"b{n}", "127.0.0.1:1", 8, "d", "r", frozenset({"m"}), "s")
        for n in range(count)
    ]
    placement.update_targets(state, targets)
    return state


def _placement_bytes(count: int) -> float:
    tracemalloc.start()
    state = _make_placement(count)
    memory_bytes = float(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    assert state.target_by_name
    return memory_bytes


def _choice_seconds(count: int) -> float:
    state = _make_placement(count)
    started = time.perf_counter()
    rounds = 20
    for number in range(rounds):
        placement.choose(state, "s", "m", "w", f"prompt {number}", set(), 0.0)
    return (time.perf_counter() - started) / rounds


async def _measure_fleet(fleet: Fleet) -> dict[str, Any]:
    results = await measure_requests_and_chunks(fleet)
    results |= await measure_commits(fleet)
    return results | await measure_members(fleet)


def main() -> int:
    """Runs all measurements and writes the results to a JSON file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", default="capacity")
    arguments = parser.parse_args()
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True
    ).stdout.strip()
    results = measure_state_sizes()

    def raise_limits(text: str) -> str:
        text = text.replace("slots = 16", "slots = 32")
        return text.replace("online_concurrency = 256", "online_concurrency = 100000")

    with Fleet("association.toml", engine_flags=ENGINE_FLAGS, change=raise_limits) as fleet:
        results |= asyncio.run(_measure_fleet(fleet))
    for name, value in results.items():
        if isinstance(value, dict) and "slope" in value:
            line = f"{value['slope']:.4g} x + {value['intercept']:.4g}"
            print(f"{name:<50}{line:<30}residual {value['residual']:.2f}")
        else:
            print(f"{name:<50}{value}")
    document = {"commit": commit, "python": sys.version.split()[0], "found": results}
    path = ROOT / "docs" / "measurements" / f"{arguments.name}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=1) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
