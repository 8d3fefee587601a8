"""``verbena-load``: sends an open-loop load to an entry; latencies count from the planned times."""

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

#: Seconds for which each read of an answer waits for more data.
READ_TIMEOUT_SECONDS = 60.0
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)


class CallerGroup(msgspec.Struct, frozen=True):
    """One group of callers with the same load.

    :param key: the bearer key of their workspace.
    :param rate: requests a second outside bursts.
    :param tokens: the tokens requested for a short answer.
    :param long_share: the share of requests for long answers, from 0 to 1.
    :param long_factor: tokens of a long answer per token of a short one.
    :param prompts: the number of different prompts; 0 gives each request a random one.
    :param prompt_tokens: the length of a prompt in tokens.
    :param burst_every: seconds between the starts of two bursts; 0 for no bursts.
    :param burst_seconds: the duration of a burst.
    :param burst_factor: the factor on the rate during a burst.
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
    """A load to send.

    :param seconds: the duration, including the warm-up.
    :param seed: of the random arrivals and prompts.
    :param warmup: seconds at the start whose requests aren't counted.
    """

    seconds: float
    callers: list[CallerGroup]
    seed: int = 1
    warmup: float = 2.0


class PlannedRequest(msgspec.Struct, frozen=True):
    """One request of the plan.

    :param at: seconds from the start.
    :param tokens: the tokens requested for the answer.
    """

    at: float
    callers: CallerGroup
    prompt: str
    tokens: int
    is_long: bool


class Tally(msgspec.Struct):
    """Results of the short or the long requests of one group of callers.

    Only requests planned after the warm-up are counted, except in ``in_window``.

    :param tokens: the tokens requested for the requests that were answered.
    :param in_window: tokens received between the warm-up and the scenario's end, of all requests.
    :param refused: requests refused without being run.
    :param failed: requests that ended with an error or a timeout.
    :param wrong: answers that ``Verify`` rejected.
    :param first: times from the planned time to the first token.
    :param interval: times between tokens, averaged over the tokens received together.
    :param whole: times from the planned time to the end of the answer.
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


class PendingRequest(msgspec.Struct, frozen=True):
    """A request that is due or in progress; all times are of the monotonic clock.

    :param window_start: the end of the warm-up.
    :param window_end: the scenario's end.
    """

    request: PlannedRequest
    due: float
    window_start: float
    window_end: float
    tally: Tally


#: Returns whether the text is a correct answer to the planned request.
Verify = Callable[[PlannedRequest, str], bool]


def plan(scenario: Scenario) -> list[PlannedRequest]:
    """Returns the requests of a scenario by time; a seed always gives the same ones."""
    planned: list[PlannedRequest] = []
    for number, callers in enumerate(scenario.callers):
        random_source = random.Random(f"{scenario.seed}/{number}")
        at = 0.0
        while (at := _next_arrival(callers, at, random_source)) < scenario.seconds:
            is_long = random_source.random() < callers.long_share
            tokens = round(callers.tokens * (callers.long_factor if is_long else 1))
            choice = random_source.randrange(callers.prompts or 1 << 40)
            prompt = f"{callers.name} {choice} ".ljust(
                callers.prompt_tokens * completions.CHARACTERS_PER_TOKEN, "x"
            )
            planned.append(PlannedRequest(at, callers, prompt, tokens, is_long))
    return sorted(planned, key=lambda request: request.at)


async def run(
    scenario: Scenario, address: str, verify: Verify = lambda planned, text: True
) -> dict[str, Tally]:
    """Sends a scenario's load and returns tallies by group of callers.

    The long requests of a group have a tally of their own, named ``GROUP/long``.
    """
    tallies: dict[str, Tally] = {}
    started = time.monotonic()
    tasks = []
    for request in plan(scenario):
        await asyncio.sleep(max(0.0, started + request.at - time.monotonic()))
        name = request.callers.name + ("/long" if request.is_long else "")
        tally = tallies.setdefault(name, Tally())
        pending = PendingRequest(
            request,
            started + request.at,
            started + scenario.warmup,
            started + scenario.seconds,
            tally,
        )
        tasks.append(asyncio.create_task(_send_request(pending, address, verify)))
    await asyncio.gather(*tasks)
    return tallies


def report(tallies: dict[str, Tally]) -> dict[str, Any]:
    """Returns tallies as a JSON document; times are in milliseconds."""
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
    """Reads a scenario from a TOML file."""
    return msgspec.convert(tomllib.loads(path.read_text()), Scenario)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    percentiles = {f"p{p}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return percentiles | {"max": histogram.get_max_value() / 1000, "count": histogram.total_count}


def _next_arrival(callers: CallerGroup, at: float, random_source: random.Random) -> float:
    rate = callers.rate
    if callers.burst_every and at % callers.burst_every < callers.burst_seconds:
        rate *= callers.burst_factor
    return at + random_source.expovariate(rate)


async def _send_request(pending: PendingRequest, address: str, verify: Verify) -> None:
    request, tally = pending.request, pending.tally
    counted = pending.due >= pending.window_start
    tally.sent += counted
    try:
        text = await _read_answer(pending, address, tally if counted else Tally())
    except (BackendError, TimeoutError):
        tally.failed += counted
        return
    if text is None:
        tally.refused += counted
    elif counted:
        tally.answered += 1
        tally.tokens += request.tokens
        tally.wrong += not verify(request, text)
        _record_duration(tally.whole, time.monotonic() - pending.due)


async def _read_answer(pending: PendingRequest, address: str, tally: Tally) -> str | None:
    """Sends one request and reads its streamed answer; None if it was refused without being run."""
    request = pending.request
    document = {
        "model": request.callers.model,
        "messages": [{"role": "user", "content": request.prompt}],
        "max_tokens": request.tokens,
        "stream": True,
    }
    headers = httpclient.JSON_HEADERS | {"authorization": f"Bearer {request.callers.key}"}
    body = msgspec.json.encode(document)
    async with httpclient.exchange(
        address, "POST", completions.CHAT_PATH, body, READ_TIMEOUT_SECONDS, headers
    ) as exchange:
        if exchange.status != 200:
            data = b"".join([part async for part in exchange.parts()])
            if b'"not_run":true' in data:
                return None
            raise BackendError(f"status {exchange.status}", step="load", peer=address)
        return await _read_stream(exchange, pending, tally)


async def _read_stream(exchange: httpclient.Exchange, pending: PendingRequest, tally: Tally) -> str:
    text = ""
    buffer = b""
    last_at = pending.due
    async for part in exchange.parts():
        *events, buffer = (buffer + part).split(b"\n\n")
        contents = [_event_text(event) for event in events]
        new_text = "".join(contents)
        if not new_text:
            continue
        now = time.monotonic()
        tokens = max(1, len(new_text.split()))
        if pending.window_start <= now <= pending.window_end:
            pending.tally.in_window += tokens
        if text:
            _record_duration(tally.interval, (now - last_at) / tokens)
        else:
            _record_duration(tally.first, now - pending.due)
        last_at = now
        text += new_text
    return text


def _event_text(event: bytes) -> str:
    data = event.removeprefix(b"data: ")
    if not data or data == b"[DONE]":
        return ""
    choices = json.loads(data)["choices"]
    return "".join(choice["delta"].get("content") or "" for choice in choices)


def _record_duration(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(max(1, min(HIGHEST_US, int(seconds * 1e6))))


def main(arguments: Sequence[str] | None = None) -> int:
    """Sends the load of one scenario; returns 0 if no counted request failed, else 1."""
    parser = argparse.ArgumentParser(prog="verbena-load", description=__doc__)
    parser.add_argument("scenario", type=Path, help="TOML file of the scenario")
    parser.add_argument("--entry", required=True, help="IP:PORT of an entry")
    parser.add_argument("--seed", type=int, help="replaces the seed of the scenario")
    options = parser.parse_args(arguments)
    scenario = read_scenario(options.scenario)
    if options.seed is not None:
        scenario = msgspec.structs.replace(scenario, seed=options.seed)
    tallies = asyncio.run(run(scenario, options.entry))
    print(json.dumps({"seed": scenario.seed, "callers": report(tallies)}, indent=2))
    return 0 if not any(tally.failed for tally in tallies.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
