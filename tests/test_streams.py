"""One generation over several agents: each token is yielded once and in order, or it fails."""

import asyncio
import itertools

import pytest

from verbenashore import completions, placement, trials
from verbenashore.agentguard import AgentGuard
from verbenashore.crashedcalls import HOLD_SECONDS, CrashedCalls
from verbenashore.deployment import OnlinePolicy
from verbenashore.exceptions import (
    BackendError,
    BackendRefusedError,
    OverloadedError,
    RequestHeldError,
    UnavailableError,
)
from verbenashore.link import to_error, to_failure
from verbenashore.messages import AgentLoad, TokenChunk
from verbenashore.metrics import Metrics
from verbenashore.placement import Placement, Target
from verbenashore.streams import StreamRunner

LOAD = AgentLoad(0.0, 1.0)


class Agents:
    """Fake links to agents that play scripts of chunks, errors, and pauses in seconds."""

    def __init__(self, *scripts):
        self.calls = []
        self._scripts = itertools.chain(scripts, itertools.repeat([]))

    address = "script"

    def to(self, address):
        """Returns the link to an agent: this object."""
        return self

    async def stream(self, call, seconds):
        """Plays the next script."""
        self.calls.append(call)
        for action in next(self._scripts):
            if isinstance(action, Exception):
                raise action
            if isinstance(action, float):
                await asyncio.sleep(action)
            else:
                yield action


def part(position, text, finish=""):
    """Returns a part of one token."""
    return TokenChunk(position, text, 1, finish, 0, 0, LOAD)


def new_guard(clock=lambda: 1000.0):
    """Returns an entry's evidence about requests that crash backend servers."""
    return AgentGuard(CrashedCalls(clock, "entry"), Metrics("entry", ()))


def run(agents, guard=None, **options):
    """Runs a generation over three agents and returns its text."""
    guarded = (guard or new_guard()).guard_completion(
        "r", "w", "/v1/completions", b"{}", ran_before=False
    )
    placement_state = Placement()
    names = ["a", "b", "c"]
    targets = [Target(name, name, name, 8, "d", "default", frozenset({"m"}), "s") for name in names]
    placement.update_targets(placement_state, targets)
    call = completions.parse_call("/v1/completions", b'{"model": "m", "prompt": "p"}')

    async def read():
        runner = StreamRunner(agents, placement_state, asyncio.get_running_loop().time)
        policy = OnlinePolicy(**options)
        parts = runner.run("r", "w", "s", call, policy, guarded)
        return "".join([chunk.text async for chunk in parts])

    return asyncio.run(read())


def test_a_stream_resumes_from_the_text_of_a_lost_agent():
    lost = BackendError("gone", step="stream")
    agents = Agents([part(0, "x"), part(1, "y"), lost], [part(0, "z", "stop")])
    assert run(agents) == "xyz"
    assert (agents.calls[1].resume_text, agents.calls[1].resume_tokens) == ("xy", 2)


def test_a_missing_part_fails_the_attempt_even_before_the_last_part():
    agents = Agents([part(0, "x"), part(2, "z", "stop")], [part(0, "y"), part(1, "z", "stop")])
    assert run(agents) == "xyz"
    assert agents.calls[1].resume_text == "x"


def test_a_stalled_stream_is_moved_and_its_late_parts_are_dropped():
    agents = Agents([part(0, "x"), 5.0, part(1, "late", "stop")], [part(0, "y", "stop")])
    assert run(agents) == "xy"


def test_the_first_of_two_hedged_attempts_wins():
    agents = Agents([1.0, part(0, "slow", "stop")], [part(0, "fast", "stop")])
    assert run(agents, first_token_seconds=0.2) == "fast"


def test_a_refused_generation_is_retried_elsewhere_before_the_refusal_is_returned():
    full = OverloadedError("full", step="admit")
    assert run(Agents([full], [part(0, "x", "stop")])) == "x"
    with pytest.raises(OverloadedError) as refused:
        run(Agents([full], [full], [full]))
    assert refused.value.not_run


def test_a_generation_that_fails_everywhere_is_not_reported_as_not_run():
    lost = BackendError("gone", step="stream")
    with pytest.raises(UnavailableError) as failed:
        run(Agents([lost], [lost], [lost]))
    assert not failed.value.not_run


def test_a_refusal_after_a_failed_attempt_is_not_reported_as_not_run():
    lost, full = BackendError("gone", step="stream"), OverloadedError("full", step="admit")
    with pytest.raises(UnavailableError) as failed:
        run(Agents([lost], [full], [full]))
    assert not failed.value.not_run


def test_a_generation_that_lost_its_agent_waits_while_the_others_are_full():
    lost = BackendError("gone", step="stream")
    full = OverloadedError("full", step="admit")
    agents = Agents([lost], *([full] for _ in range(7)), [part(0, "x", "stop")])
    assert run(agents, hedge=False) == "x"
    assert agents.calls[0].due_in < 3 < agents.calls[1].due_in


def test_a_generation_waits_for_a_free_agent_until_its_deadline_only():
    lost = BackendError("gone", step="stream")
    full = OverloadedError("full", step="admit")
    agents = Agents([lost], *([full] for _ in range(100)))
    with pytest.raises(BackendError) as failed:
        run(agents, hedge=False, deadline_seconds=0.5)
    assert not failed.value.not_run


def test_an_attempt_that_ends_without_its_last_part_counts_as_failed():
    full = OverloadedError("full", step="admit")
    with pytest.raises(UnavailableError) as failed:
        run(Agents([0.4], [full], [full]), first_token_seconds=0.2)
    assert not failed.value.not_run


@pytest.mark.parametrize(
    ("begun", "error"),
    [([part(0, "x")], UnavailableError), ([], BackendRefusedError)],
    ids=["begun", "no token"],
)
def test_a_rejection_after_a_failed_attempt_is_not_reported_as_not_run(begun, error):
    lost = BackendError("gone", step="stream")
    rejected = BackendRefusedError("too long", "b")
    with pytest.raises(error) as failed:
        run(Agents([*begun, lost], [rejected], [rejected]), hedge=False)
    assert not failed.value.not_run


def test_a_stream_that_one_agent_rejects_in_the_middle_resumes_at_another():
    lost = BackendError("gone", step="stream")
    rejected = BackendRefusedError("too long", "b")
    agents = Agents([part(0, "x"), lost], [rejected], [part(0, "y", "stop")])
    assert run(agents, hedge=False) == "xy"


def test_a_rejection_does_not_end_an_attempt_that_runs_at_another_agent():
    rejected = BackendRefusedError("too long", "b")
    agents = Agents([0.6, part(0, "x", "stop")], [rejected])
    assert run(agents, first_token_seconds=0.2) == "x"


def test_a_first_rejection_is_returned_at_once_and_was_not_run():
    with pytest.raises(BackendRefusedError) as failed:
        run(Agents([BackendRefusedError("too long", "b")]))
    assert failed.value.not_run


def crash():
    """Returns the error that reaches an entry when an engine crashed."""
    error = BackendError("gone", step="answer")
    error.crashed = True
    return to_error(to_failure(error), "agent")


def test_a_generation_that_crashed_two_engines_is_not_sent_to_a_third_or_hedged():
    """Guards against a trial, or a resend, that takes more than one engine."""
    now = [1000.0]
    guard = new_guard(lambda: now[0])
    agents = Agents([crash()], [crash()])
    with pytest.raises(UnavailableError):
        run(agents, guard)
    with pytest.raises(RequestHeldError):
        run(agents, guard)
    assert len(agents.calls) == 2
    now[0] += HOLD_SECONDS[0] + trials.WIDENING_SECONDS
    slow = Agents([0.4, crash()], [part(0, "z", "stop")])
    with pytest.raises(UnavailableError):
        run(slow, guard, first_token_seconds=0.2)
    assert len(slow.calls) == 1
    with pytest.raises(RequestHeldError):
        run(slow, guard)


def test_a_generation_that_is_answered_between_two_crashes_is_not_held():
    guard = new_guard()
    for _ in range(3):
        assert run(Agents([crash()], [part(0, "z", "stop")]), guard) == "z"


def test_a_generation_that_was_interrupted_twice_by_crashes_goes_on():
    agents = Agents([part(0, "x"), crash()], [part(0, "y"), crash()], [part(0, "z", "stop")])
    assert run(agents) == "xyz"
