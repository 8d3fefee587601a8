"""``verbena-load``: an open-loop load on an entry, with latencies counted from the planned time."""

import argparse
import asyncio
import json
import random
import sys
import time
import tomllib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from verbenashore import completions, httpclient
from verbenashore.exceptions import BackendError

REQUEST_SECONDS = 60.0
HIGHEST_US = 600_000_000
DIGITS = 3
PERCENTILES = (50, 95, 99)


class Callers(msgspec.Struct, frozen=True):
    """One group of callers.

    :param rate: requests a second.
    :param tokens: tokens of a short answer.
    :param long_share: the share of requests that are longer.
    :param long_factor: how many times longer.
    :param prompts: how many different prompts there are; 0 makes each its own.
    :param prompt_tokens: the length of a prompt.
    :param burst_every: seconds between the starts of two bursts; 0 for none.
    :param burst_seconds: how long a burst lasts.
    :param burst_factor: by how much the rate rises in it.
    """

    name: str
    key: str
    model: str
    rate: float
    tokens: int = 20
    long_share: float = 0.0
    long_factor: float = 50.0
    prompts: int = 0
    prompt_tokens: int = 50
    burst_every: float = 0.0
    burst_seconds: float = 1.0
    burst_factor: float = 4.0


class Scenario(msgspec.Struct, frozen=True):
    """A load.

    :param warmup: seconds at the start that aren't counted.
    """

    seconds: float
    callers: list[Callers]
    seed: int = 1
    warmup: float = 2.0


class Planned(msgspec.Struct, frozen=True):
    """One request to come.

    :param at: seconds from the start.
    """

    at: float
    callers: Callers
    prompt: str
    tokens: int
    is_long: bool


class Tally(msgspec.Struct):
    """What one group of callers saw, short and long requests apart.

    :param in_window: tokens that came between the warm-up and the scenario's end.
    """

    sent: int = 0
    answered: int = 0
    tokens: int = 0
    in_window: int = 0
    refused: int = 0
    failed: int = 0
    wrong: int = 0
    first: HdrHistogram = msgspec.field(default_factory=lambda: _histogram())
    interval: HdrHistogram = msgspec.field(default_factory=lambda: _histogram())
    whole: HdrHistogram = msgspec.field(default_factory=lambda: _histogram())


class Sending(msgspec.Struct, frozen=True):
    """One request on its way; all times are of the monotonic clock."""

    request: Planned
    due: float
    window_start: float
    window_end: float
    tally: Tally


#: Tells whether the answer to a planned request is right.
Verify = Callable[[Planned, str], bool]


def plan(scenario: Scenario) -> list[Planned]:
    """Draws the arrivals of a scenario; the same seed gives the same ones."""
    planned: list[Planned] = []
    for number, callers in enumerate(scenario.callers):
        source = random.Random(f"{scenario.seed}/{number}")
        at = 0.0
        while (at := _next_arrival(callers, at, source)) < scenario.seconds:
            is_long = source.random() < callers.long_share
            tokens = round(callers.tokens * (callers.long_factor if is_long else 1))
            choice = source.randrange(callers.prompts or 1 << 40)
            prompt = f"{callers.name} {choice} ".ljust(
                callers.prompt_tokens * completions.CHARACTERS_PER_TOKEN, "x"
            )
            planned.append(Planned(at, callers, prompt, tokens, is_long))
    return sorted(planned, key=lambda request: request.at)


async def run(
    scenario: Scenario, address: str, verify: Verify = lambda planned, text: True
) -> dict[str, Tally]:
    """Sends a scenario's load and returns the tally of each group of callers."""
    tallies: dict[str, Tally] = {}
    started = time.monotonic()
    tasks = []
    for request in plan(scenario):
        await asyncio.sleep(max(0.0, started + request.at - time.monotonic()))
        name = request.callers.name + ("/long" if request.is_long else "")
        tally = tallies.setdefault(name, Tally())
        sending = Sending(
            request,
            started + request.at,
            started + scenario.warmup,
            started + scenario.seconds,
            tally,
        )
        tasks.append(asyncio.create_task(_send(sending, address, verify)))
    await asyncio.gather(*tasks)
    return tallies


def report(tallies: dict[str, Tally]) -> dict[str, Any]:
    """Returns tallies as a document; times are in milliseconds."""
    return {
        name: {
            "sent": tally.sent,
            "answered": tally.answered,
            "tokens": tally.tokens,
            "tokens_in_window": tally.in_window,
            "refused": tally.refused,
            "failed": tally.failed,
            "wrong": tally.wrong,
            "first_token_ms": _percentiles(tally.first),
            "between_tokens_ms": _percentiles(tally.interval),
            "whole_ms": _percentiles(tally.whole),
        }
        for name, tally in tallies.items()
    }


def read_scenario(path: Path) -> Scenario:
    """Reads a scenario file."""
    return msgspec.convert(tomllib.loads(path.read_text()), Scenario)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, HIGHEST_US, DIGITS)


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    found = {f"p{p}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return found | {"max": histogram.get_max_value() / 1000, "count": histogram.total_count}


def _next_arrival(callers: Callers, at: float, source: random.Random) -> float:
    rate = callers.rate
    if callers.burst_every and at % callers.burst_every < callers.burst_seconds:
        rate *= callers.burst_factor
    return at + source.expovariate(rate)


async def _send(sending: Sending, address: str, verify: Verify) -> None:
    request, tally = sending.request, sending.tally
    counted = sending.due >= sending.window_start
    tally.sent += counted
    try:
        text = await _read(sending, address, tally if counted else Tally())
    except (BackendError, TimeoutError):
        tally.failed += counted
        return
    if text is None:
        tally.refused += counted
    elif counted:
        tally.answered += 1
        tally.tokens += request.tokens
        tally.wrong += not verify(request, text)
        _record(tally.whole, time.monotonic() - sending.due)


async def _read(sending: Sending, address: str, tally: Tally) -> str | None:
    """Reads one streamed answer; None if it was refused as not run."""
    request = sending.request
    document = {
        "model": request.callers.model,
        "messages": [{"role": "user", "content": request.prompt}],
        "max_tokens": request.tokens,
        "stream": True,
    }
    headers = httpclient.JSON_HEADERS | {"authorization": f"Bearer {request.callers.key}"}
    body = msgspec.json.encode(document)
    async with httpclient.exchange(
        address, "POST", completions.CHAT_PATH, body, REQUEST_SECONDS, headers
    ) as running:
        if running.status != 200:
            data = b"".join([part async for part in running.parts()])
            if b'"not_run":true' in data:
                return None
            raise BackendError(f"status {running.status}", step="load", peer=address)
        return await _read_parts(running, sending, tally)


async def _read_parts(running: httpclient.Exchange, sending: Sending, tally: Tally) -> str:
    text = ""
    buffer = b""
    last = sending.due
    async for part in running.parts():
        *events, buffer = (buffer + part).split(b"\n\n")
        contents = [_content(event) for event in events]
        new = "".join(contents)
        if not new:
            continue
        now = time.monotonic()
        tokens = max(1, len(new.split()))
        if sending.window_start <= now <= sending.window_end:
            sending.tally.in_window += tokens
        if text:
            _record(tally.interval, (now - last) / tokens)
        else:
            _record(tally.first, now - sending.due)
        last = now
        text += new
    return text


def _content(event: bytes) -> str:
    data = event.removeprefix(b"data: ")
    if not data or data == b"[DONE]":
        return ""
    choices = json.loads(data)["choices"]
    return "".join(choice["delta"].get("content") or "" for choice in choices)


def _record(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(max(1, min(HIGHEST_US, int(seconds * 1e6))))


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one scenario; returns 0 if no answer failed."""
    parser = argparse.ArgumentParser(prog="verbena-load", description=__doc__)
    parser.add_argument("scenario", type=Path, help="TOML file")
    parser.add_argument("--entry", required=True, help="IP:PORT of an entry")
    parser.add_argument("--seed", type=int, help="instead of the scenario's")
    given = parser.parse_args(arguments)
    scenario = read_scenario(given.scenario)
    if given.seed is not None:
        scenario = msgspec.structs.replace(scenario, seed=given.seed)
    tallies = asyncio.run(run(scenario, given.entry))
    print(json.dumps({"seed": scenario.seed, "callers": report(tallies)}, indent=2))
    return 0 if not any(tally.failed for tally in tallies.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
