"""A stand-in for a plain service that stores credits and counts the posts of each key."""

import argparse
import asyncio
import json
import os
from collections import Counter

from verbenashore import httpserver
from verbenashore.httpserver import Request, Responder

#: The account whose requests crash the service.
DEADLY = "deadly"


class CreditService:
    """Credits by account; each post adds to them, also a repeated one."""

    def __init__(self, delay: float) -> None:
        self._delay = delay
        self._credit_by_account: Counter[str] = Counter()
        self._posts_by_key: Counter[str] = Counter()

    async def handle_request(self, request: Request, respond: Responder) -> None:
        """Answers one request."""
        await asyncio.sleep(self._delay)
        account = request.path.rpartition("/")[2]
        if account == DEADLY:
            os._exit(1)
        if request.path == "/posts":
            await respond.send_json(200, dict(self._posts_by_key))
        elif request.method == "POST":
            amount = json.loads(request.body)["amount"]
            self._credit_by_account[account] += amount
            self._posts_by_key[request.headers.get("idempotency-key", "")] += 1
            await respond.send_json(201, {"account": account, "posted": amount})
        else:
            credit = self._credit_by_account[account]
            await respond.send_json(200, {"account": account, "credit": credit})


async def main() -> None:
    """Runs the stand-in service."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--delay", type=float, default=0.0, help="seconds for each answer")
    options = parser.parse_args()
    service = CreditService(options.delay)
    print(f"credit service at {options.listen}: started", flush=True)
    try:
        await httpserver.serve(options.listen, service.handle_request, asyncio.Event())
    finally:
        print(f"credit service at {options.listen}: ended", flush=True)


if __name__ == "__main__":
    asyncio.run(main())
