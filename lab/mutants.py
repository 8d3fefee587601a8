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
        "may_vote_for_sender = replica.hard.vote in (NO_REPLICA, sender)",
        "may_vote_for_sender = True",
        CONSENSUS,
    ),
    Mutant(
        "grants votes right after a restart",
        "consensus.py",
        "replica.leader_contact_at = now\n    replica.start_id",
        "replica.leader_contact_at = -1e9\n    replica.start_id",
        CONSENSUS,
    ),
    Mutant(
        "takes every restart for a cold start of the whole group",
        "consensus.py",
        "just_started = replica.just_started and same_voters",
        "just_started = True",
        CONSENSUS,
    ),
    Mutant(
        "grants a vote for any start id",
        "consensus.py",
        "whole_group_started = replica.just_started and request.start_id == replica.start_id",
        "whole_group_started = request.start_id != 0",
        CONSENSUS,
    ),
    Mutant(
        "accepts one round of cold start replies as proof",
        "consensus.py",
        "proved = start_ids == check.previous_start_ids",
        "proved = True",
        CONSENSUS,
    ),
    Mutant(
        "accepts cold start replies of a majority",
        "coldstart.py",
        "if check.missing:",
        "if 2 * len(check.replies) < len(check.other_voters):",
        CONSENSUS,
    ),
    Mutant(
        "lease longer than the election timeout",
        "replication.py",
        "lease: float = 0.3",
        "lease: float = 3.0",
        CONSENSUS,
    ),
    Mutant(
        "answers messages to its former id",
        "consensus.py",
        "elif packet.to != replica.id:",
        "elif False:",
        CONSENSUS,
    ),
    Mutant(
        "keeps a conflicting entry",
        "consensus.py",
        "if local_term is not None and local_term != entry.term:",
        "if False:",
        CONSENSUS,
    ),
    Mutant(
        "adds a part of a snapshot beyond a gap",
        "consensus.py",
        "if same_snapshot and request.offset == len(incoming.data):",
        "if same_snapshot:",
        CONSENSUS,
    ),
    Mutant(
        "mixes the parts of two leaders' snapshots",
        "consensus.py",
        "same_snapshot = (incoming.term, incoming.base) == (request.term, request.base)",
        "same_snapshot = True",
        CONSENSUS,
    ),
    Mutant(
        "replaces a snapshot under way by a newer one",
        "consensus.py",
        "if progress.outgoing is None:",
        "if progress.outgoing is None or progress.outgoing.snapshot is not replica.snapshot:",
        CONSENSUS,
    ),
    Mutant(
        "retains no entries for a replica that receives a snapshot",
        "consensus.py",
        "end = min((position for position in lagging if position >= oldest), default=index)",
        "end = index",
        CONSENSUS,
    ),
    Mutant(
        "sends entries without a window",
        "consensus.py",
        "return bool(progress.unacknowledged) and (",
        "return False and (",
        CONSENSUS,
    ),
    Mutant(
        "rewinds for each refused message after a lost one",
        "consensus.py",
        "if reply.sent_at <= progress.rewound_at and target >= progress.rewound_to:",
        "if False:",
        CONSENSUS,
    ),
    Mutant(
        "serves before its first entry is applied",
        "consensus.py",
        "and replica.delivered >= replica.noop_index",
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
        "return now - last_contact > replica.timing.replace_after",
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
        "if item.state in _ENDED_ITEM_STATES:\n        table.late += 1",
        "if False:\n        table.late += 1",
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
        "leases other items to a resent request",
        "jobs.py",
        "if last_answer is not None and last_answer.request == command.request:",
        "if False:",
        MACHINE,
    ),
    Mutant(
        "applies a resent change again",
        "control.py",
        "if previous is not None:",
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
        "if next_write >= 0 or not is_last:",
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
        "if entry_at_base is not None and entry_at_base.term != base.term:",
        "if False:",
        STORAGE,
    ),
    Mutant(
        "batch work never yields",
        "admission.py",
        "return [run.unit.id for run in batch[:preempt_count]]",
        "return []",
        ADMISSION,
    ),
    Mutant(
        "long units take every slot",
        "admission.py",
        "if _running_long_count(state, work_class) < _long_slots(state):",
        "if True:",
        ADMISSION,
    ),
    Mutant(
        "one workspace takes every slot",
        "admission.py",
        "return max(even_share, state.slots - sum(others) - SPARE_SLOTS)",
        "return state.slots",
        ADMISSION,
    ),
    Mutant(
        "overdue units stay queued",
        "admission.py",
        "state.waiting.remove(unit)\n    return late",
        "pass\n    return late",
        ADMISSION,
    ),
    Mutant(
        "a slow start is taken for the typical interval",
        "admission.py",
        "weight = INTERVAL_WEIGHT if interval < state.typical_interval else TYPICAL_WEIGHT",
        "weight = TYPICAL_WEIGHT",
        ADMISSION,
    ),
    Mutant(
        "affinity overrides load",
        "placement.py",
        "return affine if _effective_load(placement, affine, now) <= max_load else least_loaded",
        "return affine",
        PLACEMENT,
    ),
    Mutant(
        "slow agents are not avoided",
        "placement.py",
        "preferred = [target for target in candidates if target.avoid_until <= now] or candidates",
        "preferred = candidates",
        PLACEMENT,
    ),
    Mutant(
        "retries are unlimited",
        "limits.py",
        "if budget.remaining < 1:",
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
