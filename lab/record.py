"""Records traces of real processes under failures, with the outcomes that the promises state."""

import argparse
import json
import shutil
import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lab.fleet import OPERATOR_KEY, ROOT, Fleet, wait_until
from verbenashore.exceptions import VerbenaError

CHAT = "/v1/chat/completions"
POST = "/v1/services/credits/accounts/7"
TRACES = ROOT / "tests" / "traces"
ITEMS = 12
WAIT_SECONDS = 40.0
SHARD = 1
CONTROL = 0

Scenario = Callable[[Fleet], dict[str, Any]]


def pause(seconds: float) -> None:
    """Waits a moment."""
    threading.Event().wait(seconds)


def submit(fleet: Fleet, name: str, tokens: int = 20) -> dict[str, Any]:
    """Submits a small job whose metadata name it."""
    lines = [
        {
            "custom_id": f"{name}-{number}",
            "method": "POST",
            "url": CHAT,
            "body": {
                "model": "notes-7b",
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": f"{name}-{number}"}],
            },
        }
        for number in range(ITEMS)
    ]
    content = "\n".join(map(json.dumps, lines)).encode()
    mills = fleet.client("mills-key")
    return mills.submit(content, f"{name}.jsonl", CHAT, "24h", {"name": name})


def finish(fleet: Fleet, batch: dict[str, Any]) -> None:
    """Waits for the end of a job."""
    fleet.client("mills-key").wait(batch["id"], WAIT_SECONDS)


def post(fleet: Fleet, key: str) -> None:
    """Posts a credit; what is answered is told by the trace."""
    try:
        fleet.client("cleaners-key").request_json(
            "POST", POST, {"amount": 5}, {"idempotency-key": key}
        )
    except VerbenaError as error:
        print(f"  {key}: {error.code}")


def workers_die(fleet: Fleet) -> dict[str, Any]:
    """Workers die with items in flight."""
    batch = submit(fleet, "job", tokens=60)
    pause(0.6)
    for number in (1, 2, 3):
        fleet.kill(f"agent-engine-{number}")
    finish(fleet, batch)
    return {"items": {"job": {"completed": ITEMS}}}


def instance_lost_after_accept(fleet: Fleet) -> dict[str, Any]:
    """The ledger's leader and the entry are lost right after they acknowledged a job."""
    batch = submit(fleet, "job")
    fleet.kill(fleet.leader(SHARD))
    fleet.kill("entry-1")
    fleet.restart("entry-1")
    wait_until(lambda: fleet.client("mills-key").batch(batch["id"]), WAIT_SECONDS, "the job")
    finish(fleet, batch)
    return {"items": {"job": {"completed": ITEMS}}}


def job_resent(fleet: Fleet) -> dict[str, Any]:
    """A client resends a job that it has sent already."""
    batch = submit(fleet, "job")
    submit(fleet, "job")
    finish(fleet, batch)
    submit(fleet, "job")
    return {"items": {"job": {"completed": ITEMS}}}


def job_cancelled(fleet: Fleet) -> dict[str, Any]:
    """A job is cancelled while its items run, and its workers answer late."""
    batch = submit(fleet, "job", tokens=400)
    pause(1.0)
    fleet.client("mills-key").cancel(batch["id"])
    pause(2.0)
    return {"items": {"job": {"cancelled": ITEMS}}}


def posts_resent(fleet: Fleet) -> dict[str, Any]:
    """A post is resent with its key while the first is on its way."""
    senders = [threading.Thread(target=post, args=(fleet, "slip")) for _ in range(5)]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    return {"requests": {"completed": 1}, "answers": {"caller:slip": "completed 201"}}


def post_lost(fleet: Fleet) -> dict[str, Any]:
    """The agent of a post dies after it has begun."""
    for number in (1, 2, 3):
        fleet.signal(f"credits-{number}", signal.SIGSTOP)
    sender = threading.Thread(target=post, args=(fleet, "slip"))
    sender.start()
    pause(0.7)
    for number in (1, 2, 3):
        fleet.kill(f"agent-credits-{number}")
    sender.join()
    return {"requests": {"outcome_unknown": 1}, "answers": {"caller:slip": "outcome_unknown 0"}}


def operators_race(fleet: Fleet) -> dict[str, Any]:
    """Two operators race with equal numbers, and one resends."""
    operator = fleet.client(OPERATOR_KEY)

    def apply(change: str) -> None:
        try:
            operator.apply(f"{fleet.text}\n# {change}\n", 1, change, "me")
        except VerbenaError as error:
            print(f"  {change}: {error.code}")

    for change in ("one", "two", "one"):
        apply(change)
    return {"revisions": ["first", "one"]}


#: Each scenario with the group whose trace is kept.
SCENARIOS: dict[str, tuple[Scenario, int]] = {
    "workers-die": (workers_die, SHARD),
    "instance-lost-after-accept": (instance_lost_after_accept, SHARD),
    "job-resent": (job_resent, SHARD),
    "job-cancelled": (job_cancelled, SHARD),
    "posts-resent": (posts_resent, SHARD),
    "post-lost": (post_lost, SHARD),
    "operators-race": (operators_race, CONTROL),
}


def record(name: str) -> None:
    """Runs a scenario and keeps the longest trace, beside what the promises state."""
    scenario, group = SCENARIOS[name]
    print(name, flush=True)
    with Fleet("association.toml", trace=True) as fleet:
        expected = scenario(fleet)
        pause(0.5)
        traces = sorted(fleet.folder.glob(f"trace-*.{group}"), key=lambda file: file.stat().st_size)
        TRACES.mkdir(exist_ok=True)
        shutil.copy(traces[-1], TRACES / f"{name}.trace")
    Path(TRACES / f"{name}.json").write_text(json.dumps(expected, indent=1) + "\n")


def main() -> int:
    """Records the wanted scenarios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", default=list(SCENARIOS))
    for name in parser.parse_args().names:
        record(name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
