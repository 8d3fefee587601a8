"""Replays a recorded trace through the state machine and holds it against stated outcomes."""

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from verbenashore import machine
from verbenashore.exceptions import ReplayMismatchError
from verbenashore.machine import GroupState
from verbenashore.replication import LogEntry
from verbenashore.types import GroupId, RequestState


class Outcomes(msgspec.Struct, omit_defaults=True):
    """What a trace led to.

    :param requests: how many requests are in each state.
    :param answers: for each idempotency key, its state and the status of its answer.
    :param items: for each job, by its metadata name or id, how many items are in each state.
    :param attempts: the most attempts that any item had.
    :param late: completions that came after the first.
    :param revisions: the changes of configuration, in order.
    :param fencing: for each backend server, its newest fencing number.
    """

    requests: dict[str, int] = {}
    answers: dict[str, str] = {}
    items: dict[str, dict[str, int]] = {}
    attempts: int = 0
    late: int = 0
    revisions: list[str] = []
    fencing: dict[str, int] = {}


def run(trace: Path) -> GroupState:
    """Applies every command of a trace in order.

    A process that was restarted has written what it applied again.

    :raises ReplayMismatchError: if an index comes twice with different commands.
    """
    state = GroupState(GroupId(0))
    data_by_index: dict[int, bytes] = {}
    for line in trace.read_text().splitlines():
        entry = msgspec.json.decode(line, type=LogEntry)
        known = data_by_index.setdefault(entry.index, entry.data)
        if known != entry.data:
            raise ReplayMismatchError(f"index {entry.index} has two commands", step="replay")
        if entry.index > state.applied:
            machine.apply(state, entry.index, entry.data)
    return state


def outcomes(state: GroupState) -> Outcomes:
    """Returns what a state amounts to."""
    records = state.requests.by_id.values()
    found = Outcomes(late=state.requests.late + state.jobs.late)
    found.requests = dict(Counter(record.state.value for record in records))
    found.answers = {
        record.key: f"{record.state.value} {record.answer.status if record.answer else 0}"
        for record in records
        if record.key.startswith("caller:")
    }
    for job in state.jobs.job_by_id.values():
        name = job.announced.metadata.get("name", job.announced.job)
        found.items[name] = dict(Counter(item.state.value for item in job.items))
        found.attempts = max([found.attempts, *(item.attempt for item in job.items)])
    found.revisions = [change.change for change in state.control.history]
    found.fencing = {
        backend: lease.fencing for backend, lease in state.control.lease_by_backend.items()
    }
    return found


def check(state: GroupState, expected: Path) -> Outcomes:
    """Holds a state against a JSON file of outcomes; only what the file names is compared.

    :raises ReplayMismatchError: naming each difference.
    """
    found = outcomes(state)
    actual: dict[str, Any] = msgspec.to_builtins(found)
    wanted = msgspec.json.decode(expected.read_bytes(), type=dict[str, Any])
    defaults = msgspec.structs.asdict(Outcomes())
    faults = [
        f"{name}: expected {value}, found {actual.get(name, defaults.get(name))}"
        for name, value in wanted.items()
        if actual.get(name, defaults.get(name)) != value
    ]
    left_open = [
        record.key
        for record in state.requests.by_id.values()
        if record.state is RequestState.STARTED
    ]
    if left_open and "started" not in wanted.get("requests", {}):
        faults.append(f"requests: {left_open} were started and never ended")
    if faults:
        raise ReplayMismatchError("; ".join(faults), step="replay")
    return found
