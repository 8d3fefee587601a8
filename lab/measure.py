"""Measures the policy: the baseline and the classes, each with and without its trouble."""

import argparse
import asyncio
import json
import random
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

from lab.fleet import ROOT, Fleet
from standins import batching
from verbenashore import loadtool
from verbenashore.loadtool import CallerGroup, PlannedRequest, Scenario
from verbenashore.remote import Client

MODEL = "notes-7b"
SLOTS = 8
ENGINES = 6
BASE_MS = 40.0
SEQUENCE_MS = 0.2
TOKENS = 20
SHORT_TOKENS = 10
SETTLE_SECONDS = 2.0
BATCH_WARMUP_SECONDS = 3.5
BATCH_TOKENS = 60
STEP_SECONDS = (BASE_MS + SEQUENCE_MS * SLOTS) / 1000
CAPACITY = ENGINES * SLOTS / STEP_SECONDS
HALF = 0.5 * CAPACITY / TOKENS
ENGINE_FLAGS = ("--base-ms", str(BASE_MS), "--sequence-ms", str(SEQUENCE_MS))


class Bench:
    """One fleet under one policy."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._jobs = 0

    @property
    def entry(self) -> str:
        """The address of the entry."""
        return self._fleet.address_by_name["entry-1"]

    async def load(self, scenario: Scenario) -> dict[str, Any]:
        """Runs a load and returns its report."""
        found = loadtool.report(await loadtool.run(scenario, self.entry, _is_right))
        for row in found.values():
            counted = scenario.seconds - scenario.warmup
            row["tokens_a_second"] = row["tokens_in_window"] / counted
        return found

    async def load_with_batch(self, scenario: Scenario) -> dict[str, Any]:
        """Runs a load with a backlog of batch items, and counts what they got."""
        items = int(CAPACITY * (scenario.seconds + 4) / BATCH_TOKENS * 1.5)
        batch = await self._submit(items, BATCH_TOKENS)
        await asyncio.sleep(BATCH_WARMUP_SECONDS)
        first = await self._tokens_done()
        started = time.monotonic()
        found = await self.load(scenario)
        seconds = time.monotonic() - started
        done = await self._tokens_done() - first
        await asyncio.to_thread(self._mills.cancel, batch)
        await asyncio.sleep(1.5)
        online = sum(row["tokens"] for row in found.values())
        share = scenario.seconds / max(0.1, scenario.seconds - scenario.warmup)
        left = CAPACITY * seconds - online * share
        found["batch"] = {
            "tokens_a_second": done / seconds,
            "of_what_online_left": done / left,
        }
        return found

    async def load_with_stragglers(self, scenario: Scenario) -> dict[str, Any]:
        """Runs a load while one engine after the other is slowed for a moment."""
        before = await self._counters()
        slowing = asyncio.create_task(self._slow_for_ever(scenario.seed))
        try:
            found = await self.load(scenario)
        finally:
            slowing.cancel()
        after = await self._counters()
        sent = sum(row["sent"] for row in found.values())
        spent = {
            name: after.get(name, 0) - before.get(name, 0)
            for name in ("hedges", "retries", "moves")
        }
        hedged = spent["hedges"] + spent["retries"]
        found["spent"] = spent | {
            "share": hedged / max(1, sent),
            "moved": spent["moves"] / max(1, sent),
        }
        return found

    async def _slow_for_ever(self, seed: int) -> None:
        source = random.Random(f"slow/{seed}")
        while True:
            engine = Client(self._fleet.address_by_name[f"engine-{source.randint(1, ENGINES)}"], "")
            seconds = source.uniform(1.0, 5.0)
            document = {"factor": 8.0, "seconds": seconds}
            await asyncio.to_thread(engine.request_json, "POST", "/slow", document)
            await asyncio.sleep(seconds)

    @property
    def _mills(self) -> Client:
        return self._fleet.client("mills-key")

    async def _submit(self, count: int, tokens: int) -> str:
        self._jobs += 1
        lines = [
            json.dumps(
                {
                    "custom_id": f"{self._jobs}-{n}",
                    "method": "POST",
                    "url": "/v1/chat/completions",
                    "body": {
                        "model": MODEL,
                        "max_tokens": tokens,
                        "messages": [{"role": "user", "content": f"job {self._jobs} item {n}"}],
                    },
                }
            )
            for n in range(count)
        ]
        content = "\n".join(lines).encode()
        batch = await asyncio.to_thread(
            self._mills.submit, content, f"{self._jobs}.jsonl", "/v1/chat/completions", "24h"
        )
        return batch["id"]

    async def _tokens_done(self) -> float:
        """Returns the tokens that all engines have produced for items that have ended."""
        jobs = await asyncio.to_thread(self._mills.request_json, "GET", "/v1/batches?limit=100")
        return BATCH_TOKENS * sum(job["request_counts"]["completed"] for job in jobs["data"])

    async def _counters(self) -> dict[str, int]:
        page = await asyncio.to_thread(self._fleet.client("").request_json, "GET", "/metrics")
        return page["counters"]


def _is_right(planned: PlannedRequest, text: str) -> bool:
    return text == batching.expected_answer(f"user: {planned.prompt}", planned.tokens)


def depots(rate: float, tokens: int = TOKENS, **options: Any) -> CallerGroup:
    """Returns the clerks at the scales."""
    return CallerGroup("depots", "depots-key", MODEL, rate, tokens, **options)


def cleaners(rate: float, **options: Any) -> CallerGroup:
    """Returns another workspace."""
    return CallerGroup("cleaners", "cleaners-key", MODEL, rate, TOKENS, **options)


def scenario(seed: int, seconds: float, *callers: CallerGroup) -> Scenario:
    """Returns a load."""
    return Scenario(seconds, list(callers), seed)


async def measure(bench: Bench, seed: int, seconds: float, only: list[str]) -> dict[str, Any]:
    """Runs all measures on one fleet."""
    found: dict[str, Any] = {}
    steady = scenario(seed, seconds, depots(HALF * 0.8))
    bursts = scenario(seed, seconds, depots(HALF * 0.3, burst_every=4.0, burst_seconds=1.0))
    short = scenario(seed, seconds, depots(HALF * 0.8, tokens=SHORT_TOKENS))
    mixed = scenario(seed, seconds, depots(HALF * 0.8, tokens=SHORT_TOKENS, long_share=0.05))
    light = scenario(seed, seconds, depots(HALF * 0.3))
    flood = scenario(seed, seconds, depots(HALF * 0.3), cleaners(HALF * 4))
    overload = scenario(seed, seconds, depots(HALF * 4))
    runs: dict[str, tuple[Callable[[Scenario], Awaitable[dict[str, Any]]], Scenario]] = {
        "steady": (bench.load, steady),
        "steady, batch": (bench.load_with_batch, steady),
        "bursts": (bench.load, bursts),
        "bursts, batch": (bench.load_with_batch, bursts),
        "short": (bench.load, short),
        "short, 5% long": (bench.load, mixed),
        "steady, stragglers": (bench.load_with_stragglers, steady),
        "overload": (bench.load, overload),
        "light": (bench.load, light),
        "light, flooded": (bench.load, flood),
    }
    for name, (run, load) in runs.items():
        if not only or name in only:
            found[name] = await run(load)
            await asyncio.sleep(SETTLE_SECONDS)
    return found


def summary(found: dict[str, Any]) -> dict[str, float]:
    """Returns the ratios that the targets are about."""

    def ratio(what: str, metric: str, with_: str, without: str) -> float:
        return found[with_][what][metric]["p99"] / found[without][what][metric]["p99"]

    overload = found["overload"]["depots"]["tokens_a_second"]
    return {
        "batch throughput, of what online left (>= 0.9)": found["steady, batch"]["batch"][
            "of_what_online_left"
        ],
        "first token p99, batch / none (<= 1.15)": ratio(
            "depots", "first_token_ms", "steady, batch", "steady"
        ),
        "between tokens p99, batch / none (<= 1.15)": ratio(
            "depots", "between_tokens_ms", "steady, batch", "steady"
        ),
        "bursts, first token p99, batch / none (<= 1.15)": ratio(
            "depots", "first_token_ms", "bursts, batch", "bursts"
        ),
        "bursts, between tokens p99, batch / none (<= 1.15)": ratio(
            "depots", "between_tokens_ms", "bursts, batch", "bursts"
        ),
        "short work, first token p99, 5% long / alone (<= 1.5)": ratio(
            "depots", "first_token_ms", "short, 5% long", "short"
        ),
        "stragglers, first token p99 / none (<= 1.5)": ratio(
            "depots", "first_token_ms", "steady, stragglers", "steady"
        ),
        "stragglers, whole answer p99 / none (<= 1.5)": ratio(
            "depots", "whole_ms", "steady, stragglers", "steady"
        ),
        "hedges and retries, share of requests (< 0.05)": found["steady, stragglers"]["spent"][
            "share"
        ],
        "streams moved, share of requests": found["steady, stragglers"]["spent"]["moved"],
        "overload, answered tokens of capacity (>= 0.9)": overload / CAPACITY,
        "flooded by another, first token p99 / alone (<= 1.15)": ratio(
            "depots", "first_token_ms", "light, flooded", "light"
        ),
        "wrong or failed answers (0)": sum(
            row.get("wrong", 0) + row.get("failed", 0)
            for part in found.values()
            for row in part.values()
        ),
    }


def run_policy(policy: str, seed: int, seconds: float, only: list[str]) -> dict[str, Any]:
    """Measures one policy on a fleet of its own."""

    def smaller(text: str) -> str:
        text = text.replace("slots = 16", f"slots = {SLOTS}")
        return text.replace("online_concurrency = 256", "online_concurrency = 100000")

    with Fleet(
        "association.toml", policy=policy, engine_flags=ENGINE_FLAGS, change=smaller
    ) as fleet:
        found = asyncio.run(measure(Bench(fleet), seed, seconds, only))
    ratios = {} if only else summary(found)
    return {"policy": policy, "seed": seed, "summary": ratios, "runs": found}


def _print_runs(runs: dict[str, Any]) -> None:
    for run, rows in runs.items():
        for who, row in rows.items():
            if "first_token_ms" not in row:
                print(f"  {run:<20}{who}: {row}")
                continue
            first, between, whole = (
                row[name] for name in ("first_token_ms", "between_tokens_ms", "whole_ms")
            )
            print(
                f"  {run:<20}{who:<14}sent {row['sent']:<6}refused {row['refused']:<5}"
                f"failed {row['failed'] + row['wrong']:<3}"
                f"first {first['p50']:6.0f}{first['p99']:7.0f}  "
                f"between {between['p50']:5.1f}{between['p99']:6.1f}  "
                f"whole {whole['p50']:6.0f}{whole['p99']:7.0f} ms  "
                f"{row['tokens_a_second']:5.0f} tokens/s"
            )


def main() -> int:
    """Measures the wanted policies and seeds and writes the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="*", default=[101])
    parser.add_argument("--seconds", type=float, default=14.0)
    parser.add_argument("--policies", nargs="*", default=["baseline", "classes"])
    parser.add_argument("--only", nargs="*", default=[], help="names of runs; no summary then")
    parser.add_argument("--name", default="policy")
    given = parser.parse_args()
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True
    ).stdout.strip()
    results = []
    for seed in given.seeds:
        for policy in given.policies:
            result = run_policy(policy, seed, given.seconds, given.only)
            results.append(result)
            print(f"{policy}, seed {seed}", flush=True)
            _print_runs(result["runs"])
            for name, value in result["summary"].items():
                print(f"  {name:<58}{value:8.3f}", flush=True)
    document = {"command": " ".join(sys.argv[1:]), "commit": commit, "results": results}
    folder = ROOT / "docs" / "measurements"
    path = Path(folder / f"{given.name}.json")
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=1) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
