"""A stand-in for the platform: a lagging list of instances, and a weight store of few readers."""

import argparse
import asyncio
import json
import time

from verbenashore import httpserver
from verbenashore.httpserver import Request, Responder


class Platform:
    """The list of instances and the weight store.

    :param lag: seconds until the list shows that an instance leaves.
    :param reads: weight reads at a time; further ones are refused.
    :param read_seconds: time of one read.
    """

    def __init__(self, lag: float, reads: int, read_seconds: float) -> None:
        self._list_lag = lag
        self._read_slots = asyncio.Semaphore(reads)
        self._read_seconds = read_seconds
        self._leaving_since: dict[str, float] = {}

    async def handle_request(self, request: Request, respond: Responder) -> None:
        """Answers one request."""
        if request.path == "/instances":
            newest_visible = time.monotonic() - self._list_lag
            listed = [
                {"name": name, "leaving": since <= newest_visible}
                for name, since in self._leaving_since.items()
            ]
            await respond.send_json(200, listed)
        elif request.path == "/leave":
            self._leaving_since[json.loads(request.body)["name"]] = time.monotonic()
            await respond.send_json(200, {})
        elif request.path.startswith("/read/") and self._read_slots.locked():
            await respond.send_json(429, {"error": {"message": "too many reads"}})
        elif request.path.startswith("/read/"):
            async with self._read_slots:
                await asyncio.sleep(self._read_seconds)
            await respond.send_json(200, {})
        else:
            await respond.send_json(404, {})


async def main() -> None:
    """Runs the stand-in platform."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--lag", type=float, default=2.0, help="seconds that the list lags")
    parser.add_argument("--reads", type=int, default=2, help="weight reads at a time")
    parser.add_argument("--read-seconds", type=float, default=0.2, help="time of one read")
    options = parser.parse_args()
    platform = Platform(options.lag, options.reads, options.read_seconds)
    await httpserver.serve(options.listen, platform.handle_request, asyncio.Event())


if __name__ == "__main__":
    asyncio.run(main())
