"""A stand-in model engine: continuous batching behind OpenAI's streaming interface."""

import argparse
import asyncio
import contextlib
import json
import os
import time
from typing import Any

import msgspec

from standins import batching
from standins.batching import Batch, Parameters, Sequence
from verbenashore import httpclient, httpserver
from verbenashore.exceptions import BackendError
from verbenashore.httpserver import Request, Responder

LOAD_LAG_SECONDS = 2.0
WEIGHTS_RETRY_SECONDS = 0.1
#: The end of the prompts that crash the engine.
DEADLY = "deadly"


class Engine:
    """One engine: a batch, its loaded models, and slowdowns on demand."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        parameters = Parameters(
            options.base_ms, options.sequence_ms, options.prefill_ms, options.running
        )
        self._batch = Batch(parameters)
        self._wake = asyncio.Event()
        self._queue_by_sequence: dict[int, asyncio.Queue[Sequence]] = {}
        self._slow_until = 0.0
        self._slow_factor = 1.0
        self._models: dict[str, dict[str, Any]] = {
            name: {"name": name, "version": "1", "adapters": []} for name in options.models
        }
        self._loading: dict[str, dict[str, Any]] = {}
        self._fencing = 0
        self._orders: list[dict[str, Any]] = []
        self._served = 0
        self._cancelled = 0
        self._reported = (0, 0)
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run_batch(self) -> None:
        """Runs batch steps for ever; waits while there is no work."""
        step_ends_at = time.monotonic()
        while True:
            batching.admit(self._batch)
            if not self._batch.running:
                self._wake.clear()
                await self._wake.wait()
                step_ends_at = time.monotonic()
                continue
            seconds = batching.step_seconds(self._batch)
            step_ends_at = max(step_ends_at, time.monotonic() - seconds)
            step_ends_at += seconds * self._current_slow_factor()
            await asyncio.sleep(max(0.0, step_ends_at - time.monotonic()))
            for sequence in batching.advance(self._batch):
                queue = self._queue_by_sequence.get(id(sequence))
                if queue is not None:
                    queue.put_nowait(sequence)

    async def report_load(self) -> None:
        """Refreshes the published load at intervals, so that it lags as a real engine's does."""
        while True:
            self._reported = (len(self._batch.running), len(self._batch.waiting))
            await asyncio.sleep(LOAD_LAG_SECONDS)

    def _current_slow_factor(self) -> float:
        return self._slow_factor if time.monotonic() < self._slow_until else 1.0

    async def handle_request(self, request: Request, respond: Responder) -> None:
        """Answers one request."""
        match request.method, request.path:
            case "POST", ("/v1/chat/completions" | "/v1/completions"):
                await self._generate(request, respond)
            case "GET", "/state":
                running, waiting = self._reported
                await respond.send_json(
                    200,
                    {
                        "models": list(self._models.values()),
                        "loading": list(self._loading.values()),
                        "running": running,
                        "waiting": waiting,
                        "served": self._served,
                        "cancelled": self._cancelled,
                        "now_running": len(self._batch.running),
                        "orders": self._orders,
                    },
                )
            case "POST", "/orders":
                await self._handle_order(json.loads(request.body), respond)
            case "POST", "/slow":
                document = json.loads(request.body)
                self._slow_factor = document["factor"]
                self._slow_until = time.monotonic() + document["seconds"]
                await respond.send_json(200, {})
            case _:
                await respond.send_json(404, {"error": {"message": "no such path"}})

    async def _generate(self, request: Request, respond: Responder) -> None:
        document = json.loads(request.body)
        prompt = _prompt_text(document)
        if prompt.endswith(DEADLY):
            os._exit(1)
        sequence = Sequence(
            prompt,
            document.get("max_completion_tokens") or document.get("max_tokens") or 256,
            document.get("resume_tokens", 0),
        )
        if document.get("model") not in self._models:
            await respond.send_json(404, {"error": {"message": "the model is not loaded"}})
            return
        if sequence.prompt_tokens + sequence.max_tokens > self._batch.parameters.context:
            await respond.send_json(400, {"error": {"message": "the context is too long"}})
            return
        queue: asyncio.Queue[Sequence] = asyncio.Queue()
        self._queue_by_sequence[id(sequence)] = queue
        self._batch.waiting.append(sequence)
        self._wake.set()
        try:
            await respond.start_stream(200, "text/event-stream", {})
            await self._stream(request.path, sequence, queue, respond)
            self._served += 1
        finally:
            self._cancelled += not sequence.done
            sequence.cancelled = True
            del self._queue_by_sequence[id(sequence)]

    async def _stream(
        self,
        path: str,
        sequence: Sequence,
        queue: "asyncio.Queue[Sequence]",
        respond: Responder,
    ) -> None:
        position = sequence.produced
        while position < sequence.max_tokens:
            await queue.get()
            text = batching.token_text(sequence.prompt, position)
            position += 1
            finish_reason = "length" if position == sequence.max_tokens else None
            await respond.send_chunk(_event(path, text, finish_reason))
        usage = {
            "prompt_tokens": sequence.prompt_tokens,
            "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
        }
        usage_event = b"data: " + msgspec.json.encode({"choices": [], "usage": usage}) + b"\n\n"
        await respond.send_chunk(usage_event + b"data: [DONE]\n\n")
        await respond.end_stream()

    async def _handle_order(self, order: dict[str, Any], respond: Responder) -> None:
        self._orders.append(order)
        if self._options.checks_fencing and order["fencing"] < self._fencing:
            await respond.send_json(409, {"error": {"message": "old fencing number"}})
            return
        self._fencing = max(self._fencing, order["fencing"])
        if order["action"] == "unload":
            self._models.pop(order["model"], None)
        else:
            model = {"name": order["model"], "version": order["version"]}
            self._loading[order["model"]] = model | {"adapters": order["adapters"]}
            task = asyncio.create_task(self._load(order["model"]))
            self._tasks.add(task)
        await respond.send_json(200, {})

    async def _load(self, name: str) -> None:
        while self._options.weights:
            with contextlib.suppress(BackendError):
                response = await httpclient.request(
                    self._options.weights, "POST", f"/read/{name}", seconds=30.0
                )
                if response.status == 200:
                    break
            await asyncio.sleep(WEIGHTS_RETRY_SECONDS)
        self._models[name] = self._loading.pop(name)


def _prompt_text(document: dict[str, Any]) -> str:
    if "messages" in document:
        return "\n".join(f"{m['role']}: {m['content']}" for m in document["messages"])
    return document["prompt"]


def _event(path: str, text: str, finish_reason: str | None) -> bytes:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if path.endswith("/chat/completions"):
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    return b"data: " + msgspec.json.encode({"choices": [choice]}) + b"\n\n"


async def main() -> None:
    """Runs the stand-in engine."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--models", nargs="*", default=[])
    parser.add_argument("--weights", default="")
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--base-ms", type=float, default=20.0)
    parser.add_argument("--sequence-ms", type=float, default=0.2)
    parser.add_argument("--prefill-ms", type=float, default=0.05)
    parser.add_argument("--running", type=int, default=16)
    engine = Engine(parser.parse_args())
    await asyncio.gather(
        engine.run_batch(),
        engine.report_load(),
        httpserver.serve(engine._options.listen, engine.handle_request, asyncio.Event()),
    )


if __name__ == "__main__":
    asyncio.run(main())
