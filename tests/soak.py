"""A fault soak: real processes, callers and operators, and faults drawn from a seed.

``python -m tests.soak --seed 7`` runs one seed and exits with 1 if a promise was broken; the logs
and the history of the run are then kept.
"""

import argparse
import contextlib
import itertools
import json
import random
import shutil
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

from lab.fleet import OPERATOR_KEY, Fleet, wait_until
from lab.traffic import collect_stream
from tests.fleets import CHAT, batch_file, chat, expected, outcomes, right_outcomes
from verbenashore.exceptions import VerbenaError
from verbenashore.remote import RemoteError

ENTRIES = ("entry-1", "entry-2")
LEDGERS = ("ledger-1", "ledger-2", "ledger-3")
ENGINES = tuple(f"engine-{number}" for number in range(1, 7))
AGENTS = tuple(f"agent-{engine}" for engine in ENGINES)
CREDITS = ("credits-1", "credits-2", "credits-3")
CREDIT_AGENTS = tuple(f"agent-{service}" for service in CREDITS)
#: Processes of one kind that may be harmed at once, so that what the system promises can hold.
HARMED_AT_ONCE = {LEDGERS: 1, AGENTS: 2, ENGINES: 1, ENTRIES: 1, CREDITS: 2, CREDIT_AGENTS: 2}
RELAYED = ("ledger-1", "ledger-2", "ledger-3", "agent-engine-3", "agent-engine-4", "engine-5")
#: Seconds of one fault, shortest and longest, and between the starts of two.
FAULT_SECONDS = (0.3, 4.0)
FAULT_GAP_SECONDS = (0.1, 1.5)
#: Seconds in which everything has to be answered after the last fault.
RECOVERY_SECONDS = 60.0
#: Bounds on a process at the end of a run; both are those of the association's smallest instance.
MAX_RESIDENT_MB = 128
MAX_DESCRIPTORS = 4000
ITEMS = 20
#: Several, so that some call is under way at any time: the stand-ins answer at once.
POST_CALLERS = 6
POST = "/v1/services/credits/accounts/9"


class History:
    """What the callers saw, and the promises that were broken."""

    def __init__(self) -> None:
        self._started = time.monotonic()
        self._lock = threading.Lock()
        self.lines: list[str] = []
        self.broken: list[str] = []
        self.counts: Counter[str] = Counter()

    def record(self, what: str, **fields: object) -> None:
        """Records an event."""
        with self._lock:
            at = round(time.monotonic() - self._started, 3)
            self.counts[what] += 1
            self.lines.append(json.dumps({"at": at, "what": what, **fields}, default=str))

    def check(self, kept: bool, promise: str, **fields: object) -> None:
        """Records a broken promise if ``kept`` is false."""
        if not kept:
            self.record("BROKEN", promise=promise, **fields)
            self.broken.append(f"{promise}: {fields}")


class Soak:
    """One run: the fleet, its callers, and the faults of one seed."""

    def __init__(self, fleet: Fleet, seed: int, history: History) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._history = history
        self._stop = threading.Event()
        self._harmed: set[str] = set()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._outcomes_by_post: dict[str, str] = {}
        self._batches: dict[str, str] = {}
        self._acknowledged_revision = 0

    def run(self, seconds: float) -> None:
        """Runs callers and faults for some time, then checks what must hold at the end."""
        callers = [self._stream, self._post, self._submit, self._apply]
        for number, caller in enumerate((*callers, self._stream, *[self._post] * POST_CALLERS)):
            self._start(self._repeat, caller, f"c{number}", ENTRIES[number % 2])
        faults: list[threading.Thread] = []
        deadline = time.monotonic() + seconds
        try:
            while time.monotonic() < deadline:
                self._stop.wait(self._random.uniform(*FAULT_GAP_SECONDS))
                fault = self._draw_fault()
                if fault is not None:
                    faults.append(fault)
            for thread in faults:
                thread.join()
        finally:
            # Also ends the callers of a run that is interrupted.
            self._stop.set()
            for thread in self._threads:
                thread.join()
        self._check_end()

    def _start(self, target: Callable[..., None], *arguments: object) -> threading.Thread:
        thread = threading.Thread(target=target, args=arguments)
        thread.start()
        self._threads.append(thread)
        return thread

    def _repeat(self, caller: Callable[[str, str], None], name: str, entry: str) -> None:
        for number in itertools.count():
            if self._stop.is_set():
                return
            try:
                caller(f"{name}-{number}", entry)
            except (VerbenaError, OSError, AssertionError) as error:
                # Callers may be refused or cut off by a fault; what they must not see is checked.
                self._history.record("failed", call=f"{name}-{number}", error=repr(error)[:200])
                self._stop.wait(0.2)

    def _stream(self, name: str, entry: str) -> None:
        """Asks for a stream twice with the same key; both answers must be the same whole one."""
        prompt = f"{name} asks"
        for _ in range(2):
            text = collect_stream(
                self._fleet.address_by_name[entry],
                "depots-key",
                chat(prompt, 30, stream=True),
                {"idempotency-key": name},
            )
            self._history.check(text == expected(prompt, 30), "a stream is whole", text=text)
            self._history.record("stream")

    def _post(self, name: str, entry: str) -> None:
        """Sends a call that may run at most once."""
        headers = {"idempotency-key": name}
        self._outcomes_by_post[name] = "unknown"
        client = self._fleet.client("cleaners-key", entry)
        try:
            client.request_json("POST", POST, {"amount": 1}, headers)
            self._outcomes_by_post[name] = "answered"
        except RemoteError as error:
            if error.not_run:
                self._outcomes_by_post[name] = "not run"
            raise
        finally:
            self._history.record("post", key=name, outcome=self._outcomes_by_post[name])
            self._stop.wait(0.1)

    def _submit(self, name: str, entry: str) -> None:
        """Submits a batch; once it is acknowledged, it has to end with the right answers."""
        content = batch_file(ITEMS, tokens=10, prefix=name)
        batch = self._fleet.client("mills-key", entry).submit(content, "b.jsonl", CHAT, "24h")
        self._batches[batch["id"]] = name
        self._history.record("batch", id=batch["id"])
        self._stop.wait(1.0)

    def _apply(self, name: str, entry: str) -> None:
        """Applies a change; a later read must not return an older revision."""
        client = self._fleet.client(OPERATOR_KEY, entry)
        acknowledged = self._acknowledged_revision
        newest = client.history()["changes"][-1]["revision"]
        self._history.check(
            newest >= acknowledged, "a configuration never goes back", read=newest, ack=acknowledged
        )
        text = f"{self._fleet.text}\n# {name}\n"
        self._acknowledged_revision = client.apply(text, newest, name, "soak")["revision"]
        self._history.record("applied", revision=self._acknowledged_revision)
        self._stop.wait(0.5)

    def _draw_fault(self) -> threading.Thread | None:
        """Starts a fault that may happen now, if the one drawn may; returns its thread."""
        kind = self._random.choice(list(HARMED_AT_ONCE))
        name = self._random.choice(kind)
        seconds = self._random.uniform(*FAULT_SECONDS)
        ways = ["kill", "freeze"] if kind is not CREDITS else ["freeze"]
        if kind in (AGENTS, CREDIT_AGENTS, LEDGERS, ENTRIES):
            ways.append("terminate")
        if name in RELAYED:
            ways += ["silence", "block", "cut", "reset", "delay"]
        way = self._random.choice(ways)
        with self._lock:
            if len(self._harmed.intersection(kind)) >= HARMED_AT_ONCE[kind] or name in self._harmed:
                return None
            self._harmed.add(name)
        return self._start(self._inflict, name, way, seconds)

    def _inflict(self, name: str, way: str, seconds: float) -> None:
        self._history.record("fault", process=name, way=way, seconds=round(seconds, 2))
        fleet = self._fleet
        try:
            if way == "kill":
                fleet.kill(name)
                threading.Event().wait(seconds / 4)
                fleet.restart(name)
            elif way == "freeze":
                fleet.signal(name, signal.SIGSTOP)
                threading.Event().wait(seconds)
                fleet.signal(name, signal.SIGCONT)
            elif way == "terminate":
                code = fleet.terminate(name)
                self._history.check(code == 0, "a planned stop ends well", process=name, code=code)
                fleet.restart(name)
            else:
                fleet.tell_relay(name, "delay 0.05" if way == "delay" else way)
                threading.Event().wait(seconds)
                fleet.tell_relay(name, "delay 0" if way == "delay" else "unblock")
                if way == "block":
                    fleet.tell_relay(name, "reset")
            # A restarted process counts as harmed until it can take part again.
            threading.Event().wait(2.0)
        except AssertionError as error:
            self._history.check(False, "no process ends by itself", error=str(error))
        finally:
            with self._lock:
                self._harmed.discard(name)

    def _check_end(self) -> None:
        """Checks, with all processes running, what was acknowledged during the faults."""
        fleet, history = self._fleet, self._history
        history.record("calm")
        with self._promise("the system recovers"):
            wait_until(
                lambda: fleet.client(OPERATOR_KEY).status()["in_force"], RECOVERY_SECONDS, "status"
            )
            newest = fleet.client(OPERATOR_KEY).history()["changes"][-1]["revision"]
            history.check(
                newest >= self._acknowledged_revision, "an acknowledged configuration is kept"
            )
        mills = fleet.client("mills-key")
        for batch, prefix in self._batches.items():
            with self._promise("an accepted batch ends with the right answers", batch=batch):
                ended = wait_until(
                    lambda batch=batch: mills.wait(batch, RECOVERY_SECONDS), RECOVERY_SECONDS, batch
                )
                assert outcomes(mills, ended) == right_outcomes(ITEMS, 10, prefix)
        with self._promise("calls run at most once"):
            self._check_posts()
        with self._promise("calls are served after the last fault"):
            for entry in ENTRIES:
                wait_until(
                    lambda entry=entry: collect_stream(
                        fleet.address_by_name[entry], "depots-key", chat(entry, 5, stream=True)
                    ),
                    RECOVERY_SECONDS,
                    "a stream",
                )
        self._check_resources()

    def _check_posts(self) -> None:
        ran: Counter[str] = Counter()
        for name in CREDITS:
            ran.update(self._fleet.engine_state_of(name, "/posts"))
        for key, outcome in self._outcomes_by_post.items():
            runs = ran[key]
            self._history.check(runs <= 1, "a call runs at most once", key=key, runs=runs)
            if outcome == "answered":
                self._history.check(runs == 1, "an answered call has run", key=key)
            if outcome == "not run":
                self._history.check(runs == 0, "a call said not to have run has not", key=key)

    def _check_resources(self) -> None:
        for name, process in self._fleet.process_by_name.items():
            folder = Path(f"/proc/{process.pid}")
            with contextlib.suppress(OSError):
                descriptors = len(list((folder / "fd").iterdir()))
                resident = int((folder / "statm").read_text().split()[1]) * 4096 / 1e6
                self._history.check(
                    descriptors <= MAX_DESCRIPTORS and resident <= MAX_RESIDENT_MB,
                    "memory and descriptors are bounded",
                    process=name,
                    descriptors=descriptors,
                    resident=resident,
                )

    @contextlib.contextmanager
    def _promise(self, promise: str, **fields: object) -> Iterator[None]:
        """Records a failure inside the block as a broken promise."""
        try:
            yield
        except (VerbenaError, OSError, AssertionError) as error:
            self._history.check(False, promise, error=repr(error)[:500], **fields)


def run(seed: int, seconds: float) -> History:
    """Runs one seed; the folder of the fleet is kept if a promise was broken."""
    history = History()
    fleet = Fleet("association.toml", entries=len(ENTRIES))
    for name in RELAYED:
        if name in ENGINES:
            fleet.relay_before_backend(name)
        else:
            fleet.start_relay(name)
    with fleet:
        Soak(fleet, seed, history).run(seconds)
    (fleet.folder / "history.jsonl").write_text("\n".join(history.lines))
    if not history.broken:
        shutil.rmtree(fleet.folder)
    else:
        print(f"seed {seed}: logs and history are in {fleet.folder}")
    return history


def main() -> int:
    """Runs the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds, one after another")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of the faults")
    options = parser.parse_args()
    broken = 0
    for seed in range(options.seed, options.seed + options.count):
        history = run(seed, options.seconds)
        broken += bool(history.broken)
        print(f"seed {seed}: {dict(history.counts)}", flush=True)
        for line in history.broken:
            print(f"  BROKEN {line}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
