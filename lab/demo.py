"""The demo: writes commands for a shell script to start, then sends requests and checks results."""

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

BATCH_ITEMS = 200
#: Positions of the batch items that ask for a model that no engine has.
UNKNOWN_MODEL_POSITIONS = (17, 90, 171)
ONLINE_REQUESTS = 30
ONLINE_TOKENS = 30
BATCH_TOKENS = 60
MODEL = "notes-7b"
START_SECONDS = 20.0
BATCH_TIMEOUT_SECONDS = 45.0


def plan(folder: Path) -> None:
    """Writes the command of each process, the deployment file and the addresses to a folder."""
    fleet = Fleet("association.toml", launch=lambda name, command: None)
    fleet.start_processes()
    lines = [f"{name}\t{' '.join(command)}" for name, command in fleet.command_by_name.items()]
    (folder / "commands").write_text("\n".join(lines) + "\n")
    (folder / "deployment.toml").write_text(fleet.text)
    (folder / "addresses").write_text(json.dumps(fleet.address_by_name))


class Demo:
    """Sends requests to the processes that the shell script has started, and kills some of them."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._address_by_name = json.loads((folder / "addresses").read_text())
        self._entry = self._address_by_name["entry-1"]
        self._results: list[tuple[str, int, int]] = []
        self._answers: list[str] = []

    def run(self) -> int:
        """Runs the demo and returns its exit code."""
        operator = Client(self._entry, OPERATOR_KEY)
        deployment_text = (self._folder / "deployment.toml").read_text()
        wait_until(
            lambda: operator.apply(deployment_text, 0, "demo", "demo"),
            START_SECONDS,
            "configuration applied",
        )
        wait_until(lambda: self._in_force(operator), START_SECONDS, "configuration in force")
        self._wait_for_models()
        batch = self._submit_batch()
        online = threading.Thread(target=self._stream_answers)
        online.start()
        self._kill_process("agent-engine-2")
        self._kill_process("ledger-3")
        self._post_credit_twice()
        self._check_batch(batch)
        online.join()
        expected = batching.expected_answer("user: Where do bales from Tacoma go?", ONLINE_TOKENS)
        correct = sum(answer == expected for answer in self._answers)
        self._results.append(("online answers, streamed", ONLINE_REQUESTS, correct))
        return self._print_results()

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

    def _kill_process(self, name: str) -> None:
        pid_file = self._folder / f"{name}.pid"
        os.kill(int(pid_file.read_text()), signal.SIGKILL)
        Path(f"{pid_file}.killed").touch()
        print(f"killed {name}")

    def _submit_batch(self) -> dict[str, Any]:
        lines = [_batch_line(position) for position in range(BATCH_ITEMS)]
        client = Client(self._entry, "mills-key")
        content = "\n".join(lines).encode()
        return client.submit(content, "manifests.jsonl", "/v1/chat/completions", "24h")

    def _stream_answers(self) -> None:
        document = {
            "model": MODEL,
            "stream": True,
            "max_tokens": ONLINE_TOKENS,
            "messages": [{"role": "user", "content": "Where do bales from Tacoma go?"}],
        }
        for _ in range(ONLINE_REQUESTS):
            self._answers.append(collect_stream(self._entry, "depots-key", document))

    def _post_credit_twice(self) -> None:
        client = Client(self._entry, "cleaners-key")
        for _ in range(2):
            client.request_json(
                "POST",
                "/v1/services/credits/accounts/42",
                {"amount": 25},
                {"idempotency-key": "slip-1001"},
            )
        post_counts = [
            Client(self._address_by_name[f"credits-{number}"], "").request_json("GET", "/posts")
            for number in (1, 2, 3)
        ]
        posted = sum(count for counts in post_counts for count in counts.values())
        self._results.append(("credit sent twice, posted", 1, posted))

    def _check_batch(self, batch: dict[str, Any]) -> None:
        client = Client(self._entry, "mills-key")
        ended_batch = client.wait(batch["id"], BATCH_TIMEOUT_SECONDS)
        output_lines = client.content(ended_batch["output_file_id"]).splitlines()
        correct_ids = {
            document["custom_id"]
            for document in map(msgspec.json.decode, output_lines)
            if document["response"]["body"]["choices"][0]["message"]["content"]
            == batching.expected_answer(f"user: {document['custom_id']}", BATCH_TOKENS)
        }
        error_lines = client.content(ended_batch["error_file_id"]).splitlines()
        failed_ids = {msgspec.json.decode(line)["custom_id"] for line in error_lines}
        self._results.append(
            (
                "batch items, right answers",
                BATCH_ITEMS - len(UNKNOWN_MODEL_POSITIONS),
                len(correct_ids),
            )
        )
        self._results.append(
            (
                "batch items, lines in output",
                BATCH_ITEMS - len(UNKNOWN_MODEL_POSITIONS),
                len(output_lines),
            )
        )
        self._results.append(
            ("impossible items, failed", len(UNKNOWN_MODEL_POSITIONS), len(failed_ids))
        )

    def _print_results(self) -> int:
        print(f"{'what':<32}{'expected':>10}{'found':>10}")
        for description, expected, actual in self._results:
            print(f"{description:<32}{expected:>10}{actual:>10}")
        return 0 if all(expected == actual for _, expected, actual in self._results) else 1


def _batch_line(position: int) -> str:
    custom_id = f"manifest-{position}"
    body = {
        "model": MODEL if position not in UNKNOWN_MODEL_POSITIONS else "no-such-model",
        "max_tokens": BATCH_TOKENS,
        "messages": [{"role": "user", "content": custom_id}],
    }
    line = {"custom_id": custom_id, "method": "POST", "url": "/v1/chat/completions", "body": body}
    return json.dumps(line)


def main() -> int:
    """Runs the step that the command line names, and returns the exit code."""
    step, folder = sys.argv[1], Path(sys.argv[2])
    if step == "plan":
        plan(folder)
        return 0
    return Demo(folder).run()


if __name__ == "__main__":
    sys.exit(main())
