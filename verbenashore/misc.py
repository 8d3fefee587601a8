"""Helpers shared by many modules: hashes, random ids, tasks and timeouts."""

import asyncio
import hashlib
import secrets
from collections.abc import Awaitable, Coroutine
from typing import Any, TypeVar

import xxhash

T = TypeVar("T")

#: Bytes that a task parses before other tasks get a turn: a few milliseconds of work.
TURN_BYTES = 16 << 10
#: Bytes that stand for the fixed cost of one parsed piece, however small it is.
PIECE_BYTES = 256


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


class TurnTaker:
    """Gives other tasks a turn while one parses what a peer sends.

    A read of data that is already buffered doesn't wait, and one read may hold thousands of small
    pieces, so without this a peer would decide for how long the event loop serves nobody else.
    """

    def __init__(self) -> None:
        self._parsed_bytes = 0

    async def record(self, size: int) -> None:
        """Records a parsed piece of some bytes; gives way once ``TURN_BYTES`` are reached."""
        self._parsed_bytes += PIECE_BYTES + size
        if self._parsed_bytes >= TURN_BYTES:
            self._parsed_bytes = 0
            await asyncio.sleep(0)
