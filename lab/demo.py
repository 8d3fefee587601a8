"""The demo: plans the processes for the shell, then drives them and prints what completed."""

import json
import os
import signal
import sys
import threading
from pathlib import Path
from typing import Any

import msgspec

from lab.fleet import OPERATOR_KEY, Fleet, wait_until
from lab.traffic import collect_stream
from standins import batching
from verbenashore.remote import Client

ITEMS = 200
IMPOSSIBLE = (17, 90, 171)
ONLINE = 30
TOKENS = 30
BATCH_TOKENS = 60
MODEL = "notes-7b"
START_SECONDS = 20.0
BATCH_SECONDS = 45.0


def plan(folder: Path) -> None:
    """Writes the command of each process, for the shell to start."""
    fleet = Fleet("association.toml", spawn=lambda name, command: None)
    fleet.start_processes()
    lines = [f"{name}\t{' '.join(command)}" for name, command in fleet.command_by_name.items()]
    (folder / "commands").write_text("\n".join(lines) + "\n")
    (folder / "deployment.toml").write_text(fleet.text)
    (folder / "addresses").write_text(json.dumps(fleet.address_by_name))


class Demo:
    """Drives the processes that the shell has started."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._address_by_name = json.loads((folder / "addresses").read_text())
        self._entry = self._address_by_name["entry-1"]
        self._rows: list[tuple[str, int, int]] = []
        self._answers: list[str] = []

    def run(self) -> int:
        """Runs the demo and returns its exit code."""
        operator = Client(self._entry, OPERATOR_KEY)
        text = (self._folder / "deployment.toml").read_text()
        wait_until(lambda: operator.apply(text, 0, "demo", "demo"), START_SECONDS, "apply")
        wait_until(lambda: self._in_force(operator), START_SECONDS, "in force")
        self._wait_for_models()
        batch = self._submit()
        online = threading.Thread(target=self._stream_answers)
        online.start()
        self._kill("agent-engine-2")
        self._kill("ledger-3")
        self._post_twice()
        self._count_batch(batch)
        online.join()
        expected = batching.expected_answer("user: Where do bales from Tacoma go?", TOKENS)
        right = sum(answer == expected for answer in self._answers)
        self._rows.append(("online answers, streamed", ONLINE, right))
        return self._print()

    def _in_force(self, operator: Client) -> bool:
        status = operator.status()
        return bool(status["in_force"]) and len(status["members"]) == 10

    def _wait_for_models(self) -> None:
        for number in range(1, 7):
            engine = Client(self._address_by_name[f"engine-{number}"], "")
            wait_until(
                lambda engine=engine: engine.request_json("GET", "/state")["models"],
                START_SECONDS,
                "models loaded",
            )

    def _kill(self, name: str) -> None:
        pid_file = self._folder / f"{name}.pid"
        os.kill(int(pid_file.read_text()), signal.SIGKILL)
        Path(f"{pid_file}.killed").touch()
        print(f"killed {name}")

    def _submit(self) -> dict[str, Any]:
        lines = [_item(position) for position in range(ITEMS)]
        mills = Client(self._entry, "mills-key")
        content = "\n".join(lines).encode()
        return mills.submit(content, "manifests.jsonl", "/v1/chat/completions", "24h")

    def _stream_answers(self) -> None:
        document = {
            "model": MODEL,
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": "Where do bales from Tacoma go?"}],
        }
        for _ in range(ONLINE):
            self._answers.append(collect_stream(self._entry, "depots-key", document))

    def _post_twice(self) -> None:
        cleaners = Client(self._entry, "cleaners-key")
        for _ in range(2):
            cleaners.request_json(
                "POST",
                "/v1/services/credits/accounts/42",
                {"amount": 25},
                {"idempotency-key": "slip-1001"},
            )
        posts = [
            Client(self._address_by_name[f"credits-{number}"], "").request_json("GET", "/posts")
            for number in (1, 2, 3)
        ]
        posted = sum(count for counts in posts for count in counts.values())
        self._rows.append(("credit sent twice, posted", 1, posted))

    def _count_batch(self, batch: dict[str, Any]) -> None:
        mills = Client(self._entry, "mills-key")
        ended = mills.wait(batch["id"], BATCH_SECONDS)
        lines = mills.content(ended["output_file_id"]).splitlines()
        right = {
            document["custom_id"]
            for document in map(msgspec.json.decode, lines)
            if document["response"]["body"]["choices"][0]["message"]["content"]
            == batching.expected_answer(f"user: {document['custom_id']}", BATCH_TOKENS)
        }
        errors = mills.content(ended["error_file_id"]).splitlines()
        failed = {msgspec.json.decode(line)["custom_id"] for line in errors}
        self._rows.append(("batch items, right answers", ITEMS - len(IMPOSSIBLE), len(right)))
        self._rows.append(("batch items, lines in output", ITEMS - len(IMPOSSIBLE), len(lines)))
        self._rows.append(("impossible items, failed", len(IMPOSSIBLE), len(failed)))

    def _print(self) -> int:
        print(f"{'what':<32}{'expected':>10}{'found':>10}")
        for what, expected, found in self._rows:
            print(f"{what:<32}{expected:>10}{found:>10}")
        return 0 if all(expected == found for _, expected, found in self._rows) else 1


def _item(position: int) -> str:
    custom_id = f"manifest-{position}"
    body = {
        "model": MODEL if position not in IMPOSSIBLE else "no-such-model",
        "max_tokens": BATCH_TOKENS,
        "messages": [{"role": "user", "content": custom_id}],
    }
    line = {"custom_id": custom_id, "method": "POST", "url": "/v1/chat/completions", "body": body}
    return json.dumps(line)


def main() -> int:
    """Plans or drives; returns the exit code."""
    step, folder = sys.argv[1], Path(sys.argv[2])
    if step == "plan":
        plan(folder)
        return 0
    return Demo(folder).run()


if __name__ == "__main__":
    sys.exit(main())
