"""Helpers shared by many modules: hashes, random ids, tasks and timeouts."""

import asyncio
import hashlib
import secrets
from collections.abc import Awaitable, Coroutine
from typing import Any, TypeVar

import xxhash

T = TypeVar("T")


def sha256_hex(data: bytes) -> str:
    """Returns the hex SHA-256 of some bytes, for uses where collisions must not occur."""
    return hashlib.sha256(data).hexdigest()


def quick_hash(text: str) -> int:
    """Returns a 64-bit hash, not cryptographic, that is the same in every process."""
    return xxhash.xxh64_intdigest(text.encode())


def random_id(prefix: str) -> str:
    """Returns a new id that is unique among all processes."""
    return f"{prefix}-{secrets.token_hex(12)}"


def spawn(coroutine: Coroutine[Any, Any, T], tasks: set[asyncio.Task[Any]]) -> asyncio.Task[T]:
    """Starts a task and keeps a reference to it in ``tasks`` until it ends."""
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


async def cancel_and_wait(*tasks: asyncio.Task[Any]) -> None:
    """Cancels tasks and waits until each has ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def with_timeout(seconds: float, work: Awaitable[T], error: Exception) -> T:
    """Awaits some work; raises the given error if it takes longer than ``seconds``."""
    try:
        async with asyncio.timeout(seconds):
            return await work
    except TimeoutError:
        raise error from None
