"""Records traces of ledger processes under failures, with the outcomes that must follow."""

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

CHAT_PATH = "/v1/chat/completions"
POST_PATH = "/v1/services/credits/accounts/7"
TRACE_FOLDER = ROOT / "tests" / "traces"
JOB_ITEMS = 12
JOB_TIMEOUT_SECONDS = 40.0
SHARD_GROUP = 1
CONTROL_GROUP = 0

#: Causes the failure and returns the outcomes that the trace must show.
Scenario = Callable[[Fleet], dict[str, Any]]


def pause(seconds: float) -> None:
    """Blocks the thread for some time."""
    threading.Event().wait(seconds)


def submit(fleet: Fleet, name: str, tokens: int = 20) -> dict[str, Any]:
    """Submits a small job with its name in the metadata."""
    lines = [
        {
            "custom_id": f"{name}-{number}",
            "method": "POST",
            "url": CHAT_PATH,
            "body": {
                "model": "notes-7b",
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": f"{name}-{number}"}],
            },
        }
        for number in range(JOB_ITEMS)
    ]
    content = "\n".join(map(json.dumps, lines)).encode()
    client = fleet.client("mills-key")
    return client.submit(content, f"{name}.jsonl", CHAT_PATH, "24h", {"name": name})


def wait_for_end(fleet: Fleet, batch: dict[str, Any]) -> None:
    """Waits until a job has ended."""
    fleet.client("mills-key").wait(batch["id"], JOB_TIMEOUT_SECONDS)


def post_credit(fleet: Fleet, key: str) -> None:
    """Posts a credit; an error is only printed, since the trace shows the outcome."""
    try:
        fleet.client("cleaners-key").request_json(
            "POST", POST_PATH, {"amount": 5}, {"idempotency-key": key}
        )
    except VerbenaError as error:
        print(f"  {key}: {error.code}")


def workers_die(fleet: Fleet) -> dict[str, Any]:
    """Agents are killed while items are in flight."""
    batch = submit(fleet, "job", tokens=60)
    pause(0.6)
    for number in (1, 2, 3):
        fleet.kill(f"agent-engine-{number}")
    wait_for_end(fleet, batch)
    return {"items": {"job": {"completed": JOB_ITEMS}}}


def instance_lost_after_accept(fleet: Fleet) -> dict[str, Any]:
    """The shard's leader and the entry are killed right after a job was acknowledged."""
    batch = submit(fleet, "job")
    fleet.kill(fleet.leader(SHARD_GROUP))
    fleet.kill("entry-1")
    fleet.restart("entry-1")
    wait_until(
        lambda: fleet.client("mills-key").batch(batch["id"]), JOB_TIMEOUT_SECONDS, "job found"
    )
    wait_for_end(fleet, batch)
    return {"items": {"job": {"completed": JOB_ITEMS}}}


def job_resent(fleet: Fleet) -> dict[str, Any]:
    """A client resends a job while it runs and after it has ended."""
    batch = submit(fleet, "job")
    submit(fleet, "job")
    wait_for_end(fleet, batch)
    submit(fleet, "job")
    return {"items": {"job": {"completed": JOB_ITEMS}}}


def job_cancelled(fleet: Fleet) -> dict[str, Any]:
    """A job is cancelled while its items run, and agents report their answers afterwards."""
    batch = submit(fleet, "job", tokens=400)
    pause(1.0)
    fleet.client("mills-key").cancel(batch["id"])
    pause(2.0)
    return {"items": {"job": {"cancelled": JOB_ITEMS}}}


def posts_resent(fleet: Fleet) -> dict[str, Any]:
    """The same post is sent five times at once, with one idempotency key."""
    senders = [threading.Thread(target=post_credit, args=(fleet, "slip")) for _ in range(5)]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    return {"requests": {"completed": 1}, "answers": {"caller:slip": "completed 201"}}


def post_lost(fleet: Fleet) -> dict[str, Any]:
    """All agents of a service are killed while a post waits for its frozen backend server."""
    for number in (1, 2, 3):
        fleet.signal(f"credits-{number}", signal.SIGSTOP)
    sender = threading.Thread(target=post_credit, args=(fleet, "slip"))
    sender.start()
    pause(0.7)
    for number in (1, 2, 3):
        fleet.kill(f"agent-credits-{number}")
    sender.join()
    return {"requests": {"outcome_unknown": 1}, "answers": {"caller:slip": "outcome_unknown 0"}}


def operators_race(fleet: Fleet) -> dict[str, Any]:
    """Two changes are applied with the same expected revision, and the first is resent."""
    client = fleet.client(OPERATOR_KEY)

    def apply(change: str) -> None:
        try:
            client.apply(f"{fleet.text}\n# {change}\n", 1, change, "me")
        except VerbenaError as error:
            print(f"  {change}: {error.code}")

    for change in ("one", "two", "one"):
        apply(change)
    return {"revisions": ["first", "one"]}


#: Each scenario with the group whose trace is stored.
SCENARIOS: dict[str, tuple[Scenario, int]] = {
    "workers-die": (workers_die, SHARD_GROUP),
    "instance-lost-after-accept": (instance_lost_after_accept, SHARD_GROUP),
    "job-resent": (job_resent, SHARD_GROUP),
    "job-cancelled": (job_cancelled, SHARD_GROUP),
    "posts-resent": (posts_resent, SHARD_GROUP),
    "post-lost": (post_lost, SHARD_GROUP),
    "operators-race": (operators_race, CONTROL_GROUP),
}


def record_scenario(name: str) -> None:
    """Runs a scenario and stores its group's largest trace file and the expected outcomes."""
    scenario, group = SCENARIOS[name]
    print(name, flush=True)
    with Fleet("association.toml", trace=True) as fleet:
        expected = scenario(fleet)
        pause(0.5)
        trace_files = sorted(
            fleet.folder.glob(f"trace-*.{group}"), key=lambda file: file.stat().st_size
        )
        TRACE_FOLDER.mkdir(exist_ok=True)
        shutil.copy(trace_files[-1], TRACE_FOLDER / f"{name}.trace")
    Path(TRACE_FOLDER / f"{name}.json").write_text(json.dumps(expected, indent=1) + "\n")


def main() -> int:
    """Records the scenarios that the command line names, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", default=list(SCENARIOS))
    for name in parser.parse_args().names:
        record_scenario(name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
