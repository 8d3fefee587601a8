"""Reads streamed answers as a caller does."""

import asyncio
from typing import Any

import msgspec

from verbenashore import httpclient

STREAM_SECONDS = 30.0


async def read_stream(
    address: str,
    key: str,
    document: dict[str, Any],
    headers: dict[str, str] | None = None,
    seconds: float = STREAM_SECONDS,
) -> str:
    """Returns the text of a streamed chat answer; only one that came whole counts.

    :param seconds: in which each further part must come.
    :raises BackendError: if it broke off.
    """
    fields = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    body = msgspec.json.encode(document)
    path = "/v1/chat/completions"
    async with httpclient.exchange(
        address, "POST", path, body, seconds, fields | (headers or {})
    ) as running:
        data = b"".join([part async for part in running.parts()])
    if running.status != 200:
        raise AssertionError(f"status {running.status}: {data.decode()}")
    events = [event.removeprefix(b"data: ") for event in data.split(b"\n\n") if event]
    if events[-1] != b"[DONE]":
        raise AssertionError("the stream has no final marker")
    choices = [choice for event in events[:-1] for choice in msgspec.json.decode(event)["choices"]]
    return "".join(choice["delta"].get("content", "") for choice in choices)


def collect_stream(
    address: str,
    key: str,
    document: dict[str, Any],
    headers: dict[str, str] | None = None,
    seconds: float = STREAM_SECONDS,
) -> str:
    """Returns the text of a streamed chat answer, for callers without a loop."""
    return asyncio.run(read_stream(address, key, document, headers, seconds))
