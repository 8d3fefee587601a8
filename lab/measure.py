"""Measures the policies ``baseline`` and ``classes`` under loads with and without disturbances."""

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
SLOTS_PER_ENGINE = 8
ENGINE_COUNT = 6
BASE_MS = 40.0
SEQUENCE_MS = 0.2
ANSWER_TOKENS = 20
SHORT_ANSWER_TOKENS = 10
SETTLE_SECONDS = 2.0
BATCH_WARMUP_SECONDS = 3.5
BATCH_ITEM_TOKENS = 60
#: Duration of one decoding step with all slots in use.
STEP_SECONDS = (BASE_MS + SEQUENCE_MS * SLOTS_PER_ENGINE) / 1000
#: Capacity of all engines together.
TOKENS_PER_SECOND = ENGINE_COUNT * SLOTS_PER_ENGINE / STEP_SECONDS
#: Requests a second that use half of the capacity.
HALF_LOAD_RATE = 0.5 * TOKENS_PER_SECOND / ANSWER_TOKENS
ENGINE_FLAGS = ("--base-ms", str(BASE_MS), "--sequence-ms", str(SEQUENCE_MS))


class Bench:
    """Runs loads on one fleet under one policy."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._job_count = 0

    @property
    def entry(self) -> str:
        """The address of the entry."""
        return self._fleet.address_by_name["entry-1"]

    async def load(self, scenario: Scenario) -> dict[str, Any]:
        """Runs a load and returns its report by group of callers."""
        report = loadtool.report(await loadtool.run(scenario, self.entry, _is_expected))
        for row in report.values():
            counted_seconds = scenario.seconds - scenario.warmup
            row["tokens_a_second"] = row["tokens_in_window"] / counted_seconds
        return report

    async def load_with_batch(self, scenario: Scenario) -> dict[str, Any]:
        """Runs a load beside a backlog of batch items, and also reports the batch throughput."""
        item_count = int(TOKENS_PER_SECOND * (scenario.seconds + 4) / BATCH_ITEM_TOKENS * 1.5)
        batch_id = await self._submit_job(item_count, BATCH_ITEM_TOKENS)
        await asyncio.sleep(BATCH_WARMUP_SECONDS)
        tokens_before = await self._batch_tokens_done()
        started = time.monotonic()
        report = await self.load(scenario)
        seconds = time.monotonic() - started
        batch_tokens = await self._batch_tokens_done() - tokens_before
        await asyncio.to_thread(self._batch_client.cancel, batch_id)
        await asyncio.sleep(1.5)
        online_tokens = sum(row["tokens"] for row in report.values())
        extrapolation = scenario.seconds / max(0.1, scenario.seconds - scenario.warmup)
        tokens_left = TOKENS_PER_SECOND * seconds - online_tokens * extrapolation
        report["batch"] = {
            "tokens_a_second": batch_tokens / seconds,
            "of_what_online_left": batch_tokens / tokens_left,
        }
        return report

    async def load_with_stragglers(self, scenario: Scenario) -> dict[str, Any]:
        """Runs a load while random engines are slowed, and also reports the extra attempts."""
        before = await self._read_counters()
        slowing = asyncio.create_task(self._slow_random_engines(scenario.seed))
        try:
            report = await self.load(scenario)
        finally:
            slowing.cancel()
        after = await self._read_counters()
        sent = sum(row["sent"] for row in report.values())
        counts = {
            name: after.get(name, 0) - before.get(name, 0)
            for name in ("hedges", "retries", "moves")
        }
        extra_attempts = counts["hedges"] + counts["retries"]
        report["spent"] = counts | {
            "share": extra_attempts / max(1, sent),
            "moved": counts["moves"] / max(1, sent),
        }
        return report

    async def _slow_random_engines(self, seed: int) -> None:
        generator = random.Random(f"slow/{seed}")
        while True:
            engine = Client(
                self._fleet.address_by_name[f"engine-{generator.randint(1, ENGINE_COUNT)}"], ""
            )
            seconds = generator.uniform(1.0, 5.0)
            document = {"factor": 8.0, "seconds": seconds}
            await asyncio.to_thread(engine.request_json, "POST", "/slow", document)
            await asyncio.sleep(seconds)

    @property
    def _batch_client(self) -> Client:
        return self._fleet.client("mills-key")

    async def _submit_job(self, item_count: int, tokens: int) -> str:
        self._job_count += 1
        lines = [
            json.dumps(
                {
                    "custom_id": f"{self._job_count}-{n}",
                    "method": "POST",
                    "url": "/v1/chat/completions",
                    "body": {
                        "model": MODEL,
                        "max_tokens": tokens,
                        "messages": [
                            {"role": "user", "content": f"job {self._job_count} item {n}"}
                        ],
                    },
                }
            )
            for n in range(item_count)
        ]
        content = "\n".join(lines).encode()
        batch = await asyncio.to_thread(
            self._batch_client.submit,
            content,
            f"{self._job_count}.jsonl",
            "/v1/chat/completions",
            "24h",
        )
        return batch["id"]

    async def _batch_tokens_done(self) -> float:
        """Returns the number of tokens of all completed batch items."""
        jobs = await asyncio.to_thread(
            self._batch_client.request_json, "GET", "/v1/batches?limit=100"
        )
        return BATCH_ITEM_TOKENS * sum(job["request_counts"]["completed"] for job in jobs["data"])

    async def _read_counters(self) -> dict[str, int]:
        page = await asyncio.to_thread(self._fleet.client("").request_json, "GET", "/metrics")
        return page["counters"]


def _is_expected(planned: PlannedRequest, text: str) -> bool:
    return text == batching.expected_answer(f"user: {planned.prompt}", planned.tokens)


def depot_callers(rate: float, tokens: int = ANSWER_TOKENS, **options: Any) -> CallerGroup:
    """Returns online callers of the workspace of the depots."""
    return CallerGroup("depots", "depots-key", MODEL, rate, tokens, **options)


def cleaner_callers(rate: float, **options: Any) -> CallerGroup:
    """Returns online callers of a second workspace."""
    return CallerGroup("cleaners", "cleaners-key", MODEL, rate, ANSWER_TOKENS, **options)


def make_scenario(seed: int, seconds: float, *callers: CallerGroup) -> Scenario:
    """Returns the load of some groups of callers."""
    return Scenario(seconds, list(callers), seed)


async def run_scenarios(bench: Bench, seed: int, seconds: float, only: list[str]) -> dict[str, Any]:
    """Runs the named scenarios on one fleet, or all, and returns their reports by name."""
    reports: dict[str, Any] = {}
    steady = make_scenario(seed, seconds, depot_callers(HALF_LOAD_RATE * 0.8))
    bursts = make_scenario(
        seed, seconds, depot_callers(HALF_LOAD_RATE * 0.3, burst_every=4.0, burst_seconds=1.0)
    )
    short_answers = make_scenario(
        seed, seconds, depot_callers(HALF_LOAD_RATE * 0.8, tokens=SHORT_ANSWER_TOKENS)
    )
    mixed_lengths = make_scenario(
        seed,
        seconds,
        depot_callers(HALF_LOAD_RATE * 0.8, tokens=SHORT_ANSWER_TOKENS, long_share=0.05),
    )
    light_load = make_scenario(seed, seconds, depot_callers(HALF_LOAD_RATE * 0.3))
    flood = make_scenario(
        seed, seconds, depot_callers(HALF_LOAD_RATE * 0.3), cleaner_callers(HALF_LOAD_RATE * 4)
    )
    overload = make_scenario(seed, seconds, depot_callers(HALF_LOAD_RATE * 4))
    runs: dict[str, tuple[Callable[[Scenario], Awaitable[dict[str, Any]]], Scenario]] = {
        "steady": (bench.load, steady),
        "steady, batch": (bench.load_with_batch, steady),
        "bursts": (bench.load, bursts),
        "bursts, batch": (bench.load_with_batch, bursts),
        "short": (bench.load, short_answers),
        "short, 5% long": (bench.load, mixed_lengths),
        "steady, stragglers": (bench.load_with_stragglers, steady),
        "overload": (bench.load, overload),
        "light": (bench.load, light_load),
        "light, flooded": (bench.load, flood),
    }
    for name, (run_load, scenario) in runs.items():
        if not only or name in only:
            reports[name] = await run_load(scenario)
            await asyncio.sleep(SETTLE_SECONDS)
    return reports


def summarize(reports: dict[str, Any]) -> dict[str, float]:
    """Returns the figures that have targets; each key states its target."""

    def ratio(group: str, metric: str, disturbed: str, undisturbed: str) -> float:
        return reports[disturbed][group][metric]["p99"] / reports[undisturbed][group][metric]["p99"]

    overload_rate = reports["overload"]["depots"]["tokens_a_second"]
    return {
        "batch throughput, of what online left (>= 0.9)": reports["steady, batch"]["batch"][
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
        "hedges and retries, share of requests (< 0.05)": reports["steady, stragglers"]["spent"][
            "share"
        ],
        "streams moved, share of requests": reports["steady, stragglers"]["spent"]["moved"],
        "overload, answered tokens of capacity (>= 0.9)": overload_rate / TOKENS_PER_SECOND,
        "flooded by another, first token p99 / alone (<= 1.15)": ratio(
            "depots", "first_token_ms", "light, flooded", "light"
        ),
        "wrong or failed answers (0)": sum(
            row.get("wrong", 0) + row.get("failed", 0)
            for report in reports.values()
            for row in report.values()
        ),
    }


def run_policy(policy: str, seed: int, seconds: float, only: list[str]) -> dict[str, Any]:
    """Measures one policy on a fleet of its own."""

    def change_limits(text: str) -> str:
        text = text.replace("slots = 16", f"slots = {SLOTS_PER_ENGINE}")
        return text.replace("online_concurrency = 256", "online_concurrency = 100000")

    with Fleet(
        "association.toml", policy=policy, engine_flags=ENGINE_FLAGS, change=change_limits
    ) as fleet:
        reports = asyncio.run(run_scenarios(Bench(fleet), seed, seconds, only))
    summary = {} if only else summarize(reports)
    return {"policy": policy, "seed": seed, "summary": summary, "runs": reports}


def _print_runs(runs: dict[str, Any]) -> None:
    for run, report in runs.items():
        for group, row in report.items():
            if "first_token_ms" not in row:
                print(f"  {run:<20}{group}: {row}")
                continue
            first_token, between_tokens, whole_answer = (
                row[name] for name in ("first_token_ms", "between_tokens_ms", "whole_ms")
            )
            print(
                f"  {run:<20}{group:<14}sent {row['sent']:<6}refused {row['refused']:<5}"
                f"failed {row['failed'] + row['wrong']:<3}"
                f"first {first_token['p50']:6.0f}{first_token['p99']:7.0f}  "
                f"between {between_tokens['p50']:5.1f}{between_tokens['p99']:6.1f}  "
                f"whole {whole_answer['p50']:6.0f}{whole_answer['p99']:7.0f} ms  "
                f"{row['tokens_a_second']:5.0f} tokens/s"
            )


def main() -> int:
    """Measures each chosen policy with each seed and writes the results to a JSON file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="*", default=[101])
    parser.add_argument("--seconds", type=float, default=14.0)
    parser.add_argument("--policies", nargs="*", default=["baseline", "classes"])
    parser.add_argument(
        "--only", nargs="*", default=[], help="names of the runs to make; leaves out the summary"
    )
    parser.add_argument("--name", default="policy")
    arguments = parser.parse_args()
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True
    ).stdout.strip()
    results = []
    for seed in arguments.seeds:
        for policy in arguments.policies:
            result = run_policy(policy, seed, arguments.seconds, arguments.only)
            results.append(result)
            print(f"{policy}, seed {seed}", flush=True)
            _print_runs(result["runs"])
            for name, value in result["summary"].items():
                print(f"  {name:<58}{value:8.3f}", flush=True)
    document = {"command": " ".join(sys.argv[1:]), "commit": commit, "results": results}
    folder = ROOT / "docs" / "measurements"
    path = Path(folder / f"{arguments.name}.json")
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=1) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
