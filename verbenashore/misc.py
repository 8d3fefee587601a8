"""Small helpers without a better home."""

import asyncio
import hashlib
import secrets
from collections.abc import Awaitable, Coroutine
from typing import Any, TypeVar

import xxhash

T = TypeVar("T")


def digest(data: bytes) -> str:
    """Returns the hex SHA-256 of some bytes, for what must not collide."""
    return hashlib.sha256(data).hexdigest()


def quick_hash(text: str) -> int:
    """Returns a stable 64-bit hash that is the same in every process."""
    return xxhash.xxh64_intdigest(text.encode())


def random_id(prefix: str) -> str:
    """Returns a new id that no other process will choose."""
    return f"{prefix}-{secrets.token_hex(12)}"


def spawn(coroutine: Coroutine[Any, Any, T], tasks: set[asyncio.Task[Any]]) -> asyncio.Task[T]:
    """Starts a task and holds a reference to it until it ends."""
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


async def cancel_and_wait(*tasks: asyncio.Task[Any]) -> None:
    """Cancels tasks and waits until each has ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def within(seconds: float, work: Awaitable[T], error: Exception) -> T:
    """Waits for some work, and raises an error of the caller's choice if it is late."""
    try:
        async with asyncio.timeout(seconds):
            return await work
    except TimeoutError:
        raise error from None
