"""Sends streamed chat requests as a caller does."""

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
    """Sends a chat request and returns the text of its complete streamed answer.

    :param seconds: the longest time without progress of the response.
    :raises AssertionError: if the status isn't 200 or the final marker is missing.
    :raises BackendError: if the connection failed or the stream broke off.
    """
    default_headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    body = msgspec.json.encode(document)
    path = "/v1/chat/completions"
    async with httpclient.exchange(
        address, "POST", path, body, seconds, default_headers | (headers or {})
    ) as exchange:
        payload = b"".join([part async for part in exchange.parts()])
    if exchange.status != 200:
        raise AssertionError(f"status {exchange.status}: {payload.decode()}")
    events = [event.removeprefix(b"data: ") for event in payload.split(b"\n\n") if event]
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
    """Runs ``read_stream`` for a caller without an event loop."""
    return asyncio.run(read_stream(address, key, document, headers, seconds))
