"""Replays a recorded trace through the state machine and compares it with expected outcomes."""

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
    """Outcomes of a trace.

    :param requests: the number of requests in each state.
    :param answers: for each idempotency key that starts with ``caller:``, the state of its request
        and the status of its answer.
    :param items: for each job, by its metadata name or id, the number of items in each state.
    :param attempts: the largest number of attempts of any item.
    :param late: completions of requests and results of items that were dropped, for example
        because an earlier one counts.
    :param revisions: the ids of the configuration changes, in order.
    :param fencing: the newest fencing number of each backend server.
    """

    requests: dict[str, int] = {}
    answers: dict[str, str] = {}
    items: dict[str, dict[str, int]] = {}
    attempts: int = 0
    late: int = 0
    revisions: list[str] = []
    fencing: dict[str, int] = {}


def replay_trace(trace: Path) -> GroupState:
    """Applies every command of a trace in order and returns the state.

    A trace may hold an entry more than once, as a restarted process applies entries again and
    writes them to the trace again; only the first copy is applied.

    :raises ReplayMismatchError: if an index has two different commands.
    """
    state = GroupState(GroupId(0))
    data_by_index: dict[int, bytes] = {}
    for line in trace.read_text().splitlines():
        entry = msgspec.json.decode(line, type=LogEntry)
        earlier_data = data_by_index.setdefault(entry.index, entry.data)
        if earlier_data != entry.data:
            raise ReplayMismatchError(
                f"index {entry.index} has two different commands", step="replay"
            )
        if entry.index > state.applied:
            machine.apply(state, entry.index, entry.data)
    return state


def collect_outcomes(state: GroupState) -> Outcomes:
    """Returns the outcomes that a state holds."""
    records = state.requests.by_id.values()
    outcomes = Outcomes(late=state.requests.late + state.jobs.late)
    outcomes.requests = dict(Counter(record.state.value for record in records))
    outcomes.answers = {
        record.key: f"{record.state.value} {record.answer.status if record.answer else 0}"
        for record in records
        if record.key.startswith("caller:")
    }
    for job in state.jobs.job_by_id.values():
        name = job.announced.metadata.get("name", job.announced.job)
        outcomes.items[name] = dict(Counter(item.state.value for item in job.items))
        outcomes.attempts = max([outcomes.attempts, *(item.attempt for item in job.items)])
    outcomes.revisions = [change.change for change in state.control.history]
    outcomes.fencing = {
        backend: lease.fencing for backend, lease in state.control.lease_by_backend.items()
    }
    return outcomes


def check_outcomes(state: GroupState, expectations: Path) -> Outcomes:
    """Compares a state with a JSON file of expected outcomes; ignores those that the file omits.

    Requests that started but did not end are a difference, too, unless the file states how many
    there are.

    :raises ReplayMismatchError: with each difference.
    """
    actual_outcomes = collect_outcomes(state)
    actual_by_name: dict[str, Any] = msgspec.to_builtins(actual_outcomes)
    expected_by_name = msgspec.json.decode(expectations.read_bytes(), type=dict[str, Any])
    defaults = msgspec.structs.asdict(Outcomes())
    differences = [
        f"{name}: expected {value}, found {actual_by_name.get(name, defaults.get(name))}"
        for name, value in expected_by_name.items()
        if actual_by_name.get(name, defaults.get(name)) != value
    ]
    unfinished = [
        record.key
        for record in state.requests.by_id.values()
        if record.state is RequestState.STARTED
    ]
    if unfinished and "started" not in expected_by_name.get("requests", {}):
        differences.append(f"requests: {unfinished} started but did not end")
    if differences:
        raise ReplayMismatchError("; ".join(differences), step="replay")
    return actual_outcomes
