"""A stand-in for the platform: a lagging list of instances, and a rate-limited weight store."""

import argparse
import asyncio
import json
import time

from verbenashore import httpserver
from verbenashore.httpserver import Request, Responder


class Platform:
    """Instances and weights."""

    def __init__(self, lag: float, reads: int, read_seconds: float) -> None:
        self._lag = lag
        self._reads = asyncio.Semaphore(reads)
        self._read_seconds = read_seconds
        self._leaving_since: dict[str, float] = {}

    async def handle(self, request: Request, respond: Responder) -> None:
        """Answers one request."""
        if request.path == "/instances":
            visible = time.monotonic() - self._lag
            listed = [
                {"name": name, "leaving": since <= visible}
                for name, since in self._leaving_since.items()
            ]
            await respond.send_json(200, listed)
        elif request.path == "/leave":
            self._leaving_since[json.loads(request.body)["name"]] = time.monotonic()
            await respond.send_json(200, {})
        elif request.path.startswith("/read/") and self._reads.locked():
            await respond.send_json(429, {"error": {"message": "too many reads"}})
        elif request.path.startswith("/read/"):
            async with self._reads:
                await asyncio.sleep(self._read_seconds)
            await respond.send_json(200, {})
        else:
            await respond.send_json(404, {})


async def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--lag", type=float, default=2.0, help="seconds that the list lags")
    parser.add_argument("--reads", type=int, default=2, help="weight reads at a time")
    parser.add_argument("--read-seconds", type=float, default=0.2, help="time of one read")
    given = parser.parse_args()
    platform = Platform(given.lag, given.reads, given.read_seconds)
    await httpserver.serve(given.listen, platform.handle, asyncio.Event())


if __name__ == "__main__":
    asyncio.run(main())
