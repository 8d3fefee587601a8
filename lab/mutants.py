"""Mutation tests: plants one fault at a time in the code and expects the tests to fail."""

import concurrent.futures
import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TEST_TIMEOUT_SECONDS = 300
WORKER_THREADS = 3


@dataclass(frozen=True)
class Mutant:
    """One fault to plant.

    :param file: the module's file name in the package.
    :param old: the code to replace; it must occur exactly once.
    :param new: the faulty code.
    :param test: the test file in which a test must fail.
    """

    name: str
    file: str
    old: str
    new: str
    test: str


CONSENSUS = "tests/test_consensus.py"
MACHINE = "tests/test_machine.py"
STORAGE = "tests/test_storage.py"
ADMISSION = "tests/test_admission.py"
PLACEMENT = "tests/test_placement.py"

MUTANTS = (
    Mutant(
        "votes twice in a term",
        "consensus.py",
        "free = replica.hard.vote in (NOBODY, sender)",
        "free = True",
        CONSENSUS,
    ),
    Mutant(
        "forgets its vote's shelter at a restart",
        "consensus.py",
        "replica.heard_leader = now\n    replica.start",
        "replica.heard_leader = -1e9\n    replica.start",
        CONSENSUS,
    ),
    Mutant(
        "takes every restart for one of the whole group",
        "consensus.py",
        "fresh = replica.fresh and same",
        "fresh = True",
        CONSENSUS,
    ),
    Mutant(
        "grants a vote by another start's statement",
        "consensus.py",
        "all_started = replica.fresh and request.start == replica.start",
        "all_started = request.start != 0",
        CONSENSUS,
    ),
    Mutant(
        "believes one call of the roll",
        "consensus.py",
        "proved = starts == roll.proved",
        "proved = True",
        CONSENSUS,
    ),
    Mutant(
        "is satisfied with a majority in a call of the roll",
        "rollcall.py",
        "if roll.missing:",
        "if 2 * len(roll.said) < len(roll.voters):",
        CONSENSUS,
    ),
    Mutant(
        "lease longer than the shelter",
        "replication.py",
        "lease: float = 0.3",
        "lease: float = 3.0",
        CONSENSUS,
    ),
    Mutant(
        "answers under its old id",
        "consensus.py",
        "if packet.to != replica.id:",
        "if False:",
        CONSENSUS,
    ),
    Mutant(
        "keeps a conflicting entry",
        "consensus.py",
        "if known is not None and known != entry.term:",
        "if False:",
        CONSENSUS,
    ),
    Mutant(
        "adds a part of a snapshot beyond a gap",
        "consensus.py",
        "if same and request.offset == len(parts.data):",
        "if same:",
        CONSENSUS,
    ),
    Mutant(
        "mixes the parts of two leaders' snapshots",
        "consensus.py",
        "same = (parts.term, parts.base) == (request.term, request.base)",
        "same = True",
        CONSENSUS,
    ),
    Mutant(
        "sends a newer snapshot before the last one has arrived",
        "consensus.py",
        "if progress.sending is None:",
        "if progress.sending is None or progress.sending.snapshot is not replica.snapshot:",
        CONSENSUS,
    ),
    Mutant(
        "keeps no entries for a replica that gets a snapshot",
        "consensus.py",
        "end = min((at for at in reached if at >= oldest), default=index)",
        "end = index",
        CONSENSUS,
    ),
    Mutant(
        "puts any number of entries before a heartbeat",
        "consensus.py",
        "return bool(progress.flights) and (",
        "return False and (",
        CONSENSUS,
    ),
    Mutant(
        "goes back for each message after one that was lost",
        "consensus.py",
        "if reply.sent_at <= progress.rewound_at and target >= progress.rewound_to:",
        "if False:",
        CONSENSUS,
    ),
    Mutant(
        "serves before its first entry is applied",
        "consensus.py",
        "and replica.handed_out >= replica.first_index",
        "",
        CONSENSUS,
    ),
    Mutant(
        "commits with half the voters",
        "consensus.py",
        "index = matches[quorum(replica) - 1]",
        "index = matches[quorum(replica) - 2]",
        CONSENSUS,
    ),
    Mutant(
        "never replaces a lost voter",
        "repair.py",
        "return now - last > replica.timing.replace_after",
        "return False",
        CONSENSUS,
    ),
    Mutant(
        "starts a request twice",
        "requests.py",
        "if record.state is RequestState.ACCEPTED:\n        record.state = RequestState.STARTED",
        "if True:\n        record.state = RequestState.STARTED",
        MACHINE,
    ),
    Mutant(
        "the last answer wins",
        "requests.py",
        "if record.state in (RequestState.COMPLETED, RequestState.NOT_RUN):",
        "if record.state in (RequestState.NOT_RUN,):",
        MACHINE,
    ),
    Mutant(
        "retries what was started",
        "requests.py",
        "if record.state is RequestState.STARTED:\n            _end",
        "if False:\n            _end",
        MACHINE,
    ),
    Mutant(
        "ends an item twice",
        "jobs.py",
        "if item.state in _ENDED_ITEM:\n        book.late += 1",
        "if False:\n        book.late += 1",
        MACHINE,
    ),
    Mutant(
        "retries an item for ever",
        "jobs.py",
        "if item.attempt < MAX_ATTEMPTS:",
        "if True:",
        MACHINE,
    ),
    Mutant(
        "leases again after a cancel",
        "jobs.py",
        "job.waiting_by_model.clear()",
        "pass",
        MACHINE,
    ),
    Mutant(
        "forgets a lease's answer",
        "jobs.py",
        "if before is not None and before.request == command.request:",
        "if False:",
        MACHINE,
    ),
    Mutant(
        "applies a resent change again",
        "control.py",
        "if before is not None:",
        "if False:",
        MACHINE,
    ),
    Mutant(
        "lowers a fencing number",
        "control.py",
        "FencingNumber(index)",
        "FencingNumber(1)",
        MACHINE,
    ),
    Mutant(
        "takes damage for a torn tail",
        "storage.py",
        "if later >= 0 or not is_last:",
        "if False:",
        STORAGE,
    ),
    Mutant(
        "keeps the id of an emptied disk",
        "storage.py",
        'ReplicaId(random_id("replica"))',
        'ReplicaId("replica")',
        STORAGE,
    ),
    Mutant(
        "keeps stale entries after a snapshot",
        "storage.py",
        "if at_base is not None and at_base.term != base.term:",
        "if False:",
        STORAGE,
    ),
    Mutant(
        "batch work never yields",
        "admission.py",
        "return [run.piece.id for run in batch[:wanted]]",
        "return []",
        ADMISSION,
    ),
    Mutant(
        "long pieces take every slot",
        "admission.py",
        "if _long_running(state, work_class) < _long_slots(state):",
        "if True:",
        ADMISSION,
    ),
    Mutant(
        "one workspace takes every slot",
        "admission.py",
        "return max(even, state.slots - sum(others) - SPARE_SLOTS)",
        "return state.slots",
        ADMISSION,
    ),
    Mutant(
        "overdue pieces stay",
        "admission.py",
        "state.waiting.remove(piece)\n    return late",
        "pass\n    return late",
        ADMISSION,
    ),
    Mutant(
        "a slow start passes for the usual pace",
        "admission.py",
        "weight = INTERVAL_WEIGHT if interval < state.usual else USUAL_WEIGHT",
        "weight = USUAL_WEIGHT",
        ADMISSION,
    ),
    Mutant(
        "affinity goes before load",
        "placement.py",
        "return affine if _distant_load(placement, affine, now) <= bound else least",
        "return affine",
        PLACEMENT,
    ),
    Mutant(
        "slow agents are not avoided",
        "placement.py",
        "fast = [target for target in able if target.avoid_until <= now] or able",
        "fast = able",
        PLACEMENT,
    ),
    Mutant(
        "retries without a bound",
        "limits.py",
        "if budget.left < 1:",
        "if False:",
        PLACEMENT,
    ),
)


def check_places() -> None:
    """Checks that the code that each mutant replaces occurs exactly once.

    :raises ValueError: with the name of the first mutant for which it doesn't.
    """
    for mutant in MUTANTS:
        occurrences = (ROOT / "verbenashore" / mutant.file).read_text().count(mutant.old)
        if occurrences != 1:
            raise ValueError(f"{mutant.name}: the code to replace occurs {occurrences} times")


def is_noticed(mutant: Mutant) -> bool:
    """Plants a fault in a copy of the project and returns whether a test fails."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "copy"
        ignored = shutil.ignore_patterns(".git", ".venv", "*.egg-info", "__pycache__")
        shutil.copytree(ROOT, copy, ignore=ignored)
        module = copy / "verbenashore" / mutant.file
        text = module.read_text()
        module.write_text(text.replace(mutant.old, mutant.new))
        test_run = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", mutant.test],
            cwd=copy,
            capture_output=True,
            timeout=TEST_TIMEOUT_SECONDS,
            env={**os.environ, "PYTHONPATH": str(copy)},
            check=False,
        )
        return test_run.returncode == 1


def main() -> int:
    """Tests every mutant; returns 0 if all were noticed."""
    check_places()
    with concurrent.futures.ThreadPoolExecutor(WORKER_THREADS) as pool:
        outcomes = list(pool.map(is_noticed, MUTANTS))
    for mutant, noticed in zip(MUTANTS, outcomes, strict=True):
        print(f"{'noticed' if noticed else 'MISSED':<10}{mutant.file:<16}{mutant.name}")
    return 0 if all(outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
