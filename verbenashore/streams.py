"""Runs online generations: places each, moves it when it stalls, and joins its parts."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec

from verbenashore import limits, logs, misc, placement
from verbenashore.agentguard import GuardedRequest
from verbenashore.client import LinkPool
from verbenashore.completions import ModelCall
from verbenashore.deployment import OnlinePolicy
from verbenashore.exceptions import (
    BackendError,
    BackendRefusedError,
    OverloadedError,
    UnavailableError,
    VerbenaError,
)
from verbenashore.limits import RetryBudget
from verbenashore.logs import Event
from verbenashore.messages import AskLoad, PresentLoad, RunModel, TokenChunk
from verbenashore.placement import Placement, Target
from verbenashore.types import Clock, MemberName, RecordId, WorkspaceId

#: Characters at the start of a prompt that decide its cache affinity.
PREFIX_CHARACTERS = 1024
MAX_REFUSALS = 4
MAX_FAILURES = 3
#: Multiple of the typical interval after which a stream without a new token is moved.
HEDGE_INTERVAL_FACTOR = 3.0
HEDGE_FLOOR_SECONDS = 0.15
#: Multiple of the typical time to the first token after which a request is hedged.
HEDGE_FIRST_TOKEN_FACTOR = 2.0
#: Weight of a new sample in a running mean.
MEAN_WEIGHT = 0.05
#: Samples above this multiple of the mean count as that multiple.
OUTLIER_FACTOR = 4.0
#: Seconds between two polls of the avoided agents.
AVOIDED_POLL_SECONDS = 0.2
#: Retries and hedges that the budget can accumulate.
MAX_SAVED_RETRIES = 3.0
#: Moves that the budget can accumulate; many, since a slow engine stalls all its streams at once.
MAX_SAVED_MOVES = 32.0
#: Seconds to wait when all agents are full, before they are tried again.
FULL_RETRY_SECONDS = 0.1
#: Seconds to wait before a retry that the budget does not cover.
RETRY_PAUSE_SECONDS = 0.2
PACE_TIMEOUT_SECONDS = 3.0


class TypicalPace(msgspec.Struct):
    """Running means over all agents that this entry uses.

    :param first_token_seconds: seconds to the first token; 0 while unknown.
    :param interval_seconds: seconds between two chunks; 0 while unknown.
    """

    first_token_seconds: float = 0.0
    interval_seconds: float = 0.0


class AttemptFailed(msgspec.Struct):
    """The failure of an attempt, as it is put into the inbox among the parts of the attempts."""

    error: VerbenaError


class Attempt(msgspec.Struct):
    """One attempt at a generation, at one agent.

    :param number: distinguishes the attempts at one generation.
    :param base_tokens: tokens that the generation had when the attempt started.
    :param position: tokens received from this attempt.
    """

    number: int
    target: Target
    base_tokens: int
    position: int = 0
    task: asyncio.Task[None] | None = None


class StreamRunner:
    """Runs the streams of one entry and holds what they share: budgets and typical pace."""

    def __init__(self, links: LinkPool, agents: Placement, clock: Clock) -> None:
        self._links = links
        self._placement = agents
        self._clock = clock
        self.retry_budget = RetryBudget(MAX_SAVED_RETRIES, MAX_SAVED_RETRIES)
        self.move_budget = RetryBudget(MAX_SAVED_MOVES, MAX_SAVED_MOVES)
        self.typical_pace = TypicalPace()
        self.count: Callable[[str], None] = lambda name: None

    def run(
        self,
        record: RecordId,
        workspace: WorkspaceId,
        service: str,
        call: ModelCall,
        policy: OnlinePolicy,
        guarded: GuardedRequest,
    ) -> AsyncIterator[TokenChunk]:
        """Yields the parts of one answer, each token once and in order.

        :raises OverloadedError: if no agent serves the model, each that was tried refused the
            request, or backend servers crash under it; it was not run.
        :raises UnavailableError: if it failed at several agents.
        :raises VerbenaError: of the last attempt, if no agent is left to try.
        :raises BackendRefusedError: if a backend server rejected it.
        :raises BackendError: if its deadline has passed.
        """
        limits.deposit(self.retry_budget, policy.retry_share)
        limits.deposit(self.move_budget, policy.move_share)
        return _Stream(self, record, workspace, service, call, policy, guarded).parts()

    def choose_agent(
        self, service: str, workspace: WorkspaceId, call: ModelCall, excluded: set[MemberName]
    ) -> Target | None:
        """Chooses an agent for a call."""
        prefix = call.prompt[:PREFIX_CHARACTERS]
        return placement.choose(
            self._placement, service, call.model, workspace, prefix, excluded, self._clock()
        )

    async def poll_avoided_agents(self) -> None:
        """Polls avoided agents until it is cancelled; stops avoiding those that are not slow."""
        while True:
            await asyncio.sleep(AVOIDED_POLL_SECONDS)
            avoided = placement.avoided_targets(self._placement, self._clock())
            await asyncio.gather(*(self._poll_pace(target) for target in avoided))

    async def _poll_pace(self, target: Target) -> None:
        with contextlib.suppress(VerbenaError):
            reply = await self._links.to(target.address).call(AskLoad(), PACE_TIMEOUT_SECONDS)
            if isinstance(reply, PresentLoad):
                placement.record_pace_reply(target, reply.load, self._clock())

    @property
    def clock(self) -> Clock:
        """The clock of the process."""
        return self._clock

    @property
    def links(self) -> LinkPool:
        """The links of the process."""
        return self._links


class _Stream:
    """One generation; several attempts at it may run at the same time, until one yields a part."""

    def __init__(
        self,
        runner: StreamRunner,
        record: RecordId,
        workspace: WorkspaceId,
        service: str,
        call: ModelCall,
        policy: OnlinePolicy,
        guarded: GuardedRequest,
    ) -> None:
        self._runner = runner
        self._record = record
        self._workspace = workspace
        self._service = service
        self._call = call
        self._policy = policy
        self._guarded = guarded
        self._text = ""
        self._tokens = 0
        self._numbers = itertools.count()
        self._inbox: asyncio.Queue[tuple[Attempt, TokenChunk | AttemptFailed]] = asyncio.Queue()
        self._attempts: dict[int, Attempt] = {}
        self._excluded: set[MemberName] = set()
        self._refusals = 0
        self._discarded_may_have_run = False
        self._failures = 0
        self._hedged = False
        self._started_at = runner.clock()
        self._last_part_at = self._started_at

    async def parts(self) -> AsyncIterator[TokenChunk]:
        deadline = self._started_at + self._policy.deadline_seconds
        try:
            self._start_attempt_or_fail(None)
            finished = False
            while not finished:
                attempt, result = await self._next_part(deadline)
                if attempt.number not in self._attempts:
                    continue
                if isinstance(result, AttemptFailed):
                    await self._handle_failure(attempt, result.error)
                    continue
                if self._accept_part(attempt, result):
                    finished = bool(result.finish)
                    if finished:
                        self._guarded.record_answer()
                    yield result
        finally:
            await self._cancel_attempts(list(self._attempts.values()))

    async def _next_part(self, deadline: float) -> tuple[Attempt, TokenChunk | AttemptFailed]:
        """Waits for the next part; if it is late, hedges or moves the stream once."""
        hedge_delay = self._hedge_delay()
        remaining = deadline - self._runner.clock()
        deadline_error = BackendError("the deadline has passed", step="stream")
        if hedge_delay is not None and hedge_delay < remaining:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(hedge_delay):
                    return await self._inbox.get()
            self._hedge_or_move()
        return await misc.with_timeout(
            max(0.0, deadline - self._runner.clock()), self._inbox.get(), deadline_error
        )

    def _hedge_delay(self) -> float | None:
        """Returns the seconds until a hedge or move; None if there is to be none."""
        if not self._policy.hedge or self._hedged or len(self._attempts) != 1:
            return None
        if self._guarded.is_suspected and not self._tokens:
            return None
        waited = self._runner.clock() - self._last_part_at
        pace = self._runner.typical_pace
        if self._tokens:
            limit = max(HEDGE_FLOOR_SECONDS, HEDGE_INTERVAL_FACTOR * pace.interval_seconds)
        else:
            first_token_limit = min(
                self._policy.first_token_seconds,
                HEDGE_FIRST_TOKEN_FACTOR * pace.first_token_seconds,
            )
            limit = max(HEDGE_FLOOR_SECONDS, first_token_limit)
        return max(0.0, limit - waited)

    def _hedge_or_move(self) -> None:
        """Marks the agent as slow; hedges a late first token, or moves the stream if possible."""
        self._hedged = True
        current = next(iter(self._attempts.values()))
        now = self._runner.clock()
        placement.mark_slow(current.target, now)
        target = self._choose_agent(self._excluded | {current.target.name})
        if target is None or not placement.is_usable(target, now):
            return
        if not self._tokens and limits.try_withdraw(self._runner.retry_budget):
            self._runner.count("hedges")
            self._start_attempt(target)
        elif limits.try_withdraw(self._runner.move_budget):
            self._runner.count("moves")
            self._discard_attempt(current)
            self._start_attempt(target)

    def _choose_agent(self, excluded: set[MemberName]) -> Target | None:
        return self._runner.choose_agent(self._service, self._workspace, self._call, excluded)

    def _start_attempt_or_fail(self, error: VerbenaError | None) -> None:
        refusal = self._guarded.refusal()
        if refusal is not None:
            raise self._final_error(refusal)
        target = self._choose_agent(self._excluded)
        if target is not None:
            self._start_attempt(target)
        elif not self._attempts:
            no_agent = OverloadedError("no agent serves this model now", step="place")
            raise self._final_error(error or no_agent)

    def _final_error(self, error: VerbenaError) -> VerbenaError:
        """Returns an error that does not claim ``not_run`` if an earlier attempt may have run."""
        if error.not_run and self._discarded_may_have_run:
            return UnavailableError(error.message, step=error.step, peer=error.peer)
        return error

    def _start_attempt(self, target: Target) -> None:
        attempt = Attempt(next(self._numbers), target, self._tokens)
        self._attempts[attempt.number] = attempt
        self._guarded.record_start()
        placement.record_start(target, self._workspace)
        attempt.task = asyncio.create_task(self._forward_parts(attempt))

    async def _forward_parts(self, attempt: Attempt) -> None:
        """Puts the parts of one attempt, and its failure, into the inbox."""
        call = RunModel(
            self._record,
            self._workspace,
            self._call.path,
            self._call.model,
            self._call.body,
            self._call.prompt_tokens,
            self._call.max_tokens,
            self._text,
            self._tokens,
            self._remaining_wait(),
        )
        link = self._runner.links.to(attempt.target.address)
        try:
            parts: Any = link.stream(call, self._progress_seconds())
            async with contextlib.aclosing(parts):
                async for part in parts:
                    self._inbox.put_nowait((attempt, part))
            ended_early = BackendError("the stream ended early", step="stream", peer=link.address)
            self._inbox.put_nowait((attempt, AttemptFailed(ended_early)))
        except VerbenaError as error:
            self._inbox.put_nowait((attempt, AttemptFailed(error)))
        except Exception as error:
            # An unexpected exception must end the attempt too, or its caller would wait for ever.
            logs.warning(Event.HANDLER_FAILED, call="RunModel", error=repr(error))
            self._inbox.put_nowait(
                (attempt, AttemptFailed(BackendError(repr(error), step="stream")))
            )
        finally:
            placement.record_end(attempt.target, self._workspace)

    def _remaining_wait(self) -> float:
        """Returns how long this stream may wait for a slot at an agent, in seconds."""
        now = self._runner.clock()
        if self._may_have_run():
            return self._started_at + self._policy.deadline_seconds - now
        return max(0.0, self._started_at + self._policy.queue_seconds - now)

    def _progress_seconds(self) -> float:
        return self._policy.deadline_seconds

    def _accept_part(self, attempt: Attempt, part: TokenChunk) -> bool:
        """Adds a part to the answer; false if an earlier one was lost, which fails the attempt."""
        now = self._runner.clock()
        placement.record_load_report(attempt.target, part.load, now)
        if part.position != attempt.position:
            lost_part = BackendError("a part of the answer was lost", step="stream")
            self._inbox.put_nowait((attempt, AttemptFailed(lost_part)))
            return False
        attempt.position += part.tokens
        if len(self._attempts) > 1:
            others = [
                candidate for candidate in self._attempts.values() if candidate is not attempt
            ]
            for other in others:
                self._discard_attempt(other)
        self._record_pace(part, now)
        self._text += part.text
        self._tokens += part.tokens
        self._last_part_at = now
        self._hedged = False
        return True

    def _record_pace(self, part: TokenChunk, now: float) -> None:
        pace = self._runner.typical_pace
        waited = now - self._last_part_at
        if self._tokens:
            pace.interval_seconds = _updated_mean(pace.interval_seconds, waited)
        else:
            pace.first_token_seconds = _updated_mean(pace.first_token_seconds, waited)

    def _discard_attempt(self, attempt: Attempt, *, refused: bool = False) -> None:
        del self._attempts[attempt.number]
        self._discarded_may_have_run = self._discarded_may_have_run or not refused
        if attempt.task is not None:
            attempt.task.cancel()

    async def _handle_failure(self, attempt: Attempt, error: VerbenaError) -> None:
        """Removes a failed attempt; if no other one runs, retries or raises the final error.

        A request that a backend server rejected fails at once, unless another one has begun it.
        """
        refused = isinstance(error, OverloadedError)
        rejected = isinstance(error, BackendRefusedError)
        backend, begun = attempt.target.backend, bool(attempt.position)
        self._guarded.record_failure(backend, error, begun=begun)
        self._discard_attempt(attempt, refused=refused or rejected)
        if rejected and not self._tokens and not self._attempts:
            error.not_run = not self._discarded_may_have_run
            raise error
        self._excluded.add(attempt.target.name)
        self._refusals += refused
        self._failures += not refused
        if not refused:
            if not rejected:
                placement.mark_slow(attempt.target, self._runner.clock())
            logs.info(Event.REQUEST_RETRIED, peer=attempt.target.name, error=error.message)
            self._runner.count("retries")
        if self._attempts:
            return
        if refused and self._may_have_run():
            await self._wait_for_capacity()
        elif self._refusals >= MAX_REFUSALS:
            raise self._final_error(error)
        if self._failures >= MAX_FAILURES:
            raise UnavailableError(error.message, step="stream", peer=attempt.target.name)
        if not refused and not limits.try_withdraw(self._runner.retry_budget):
            # If the budget does not cover the retry, it is delayed, since the request was accepted.
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        self._start_attempt_or_fail(error)

    def _may_have_run(self) -> bool:
        """Returns whether any attempt may have run, so that a refusal doesn't mean ``not_run``."""
        return bool(self._tokens) or self._discarded_may_have_run

    async def _wait_for_capacity(self) -> None:
        """If all agents have been tried, waits a moment and allows all of them again."""
        target = self._choose_agent(self._excluded)
        if target is None:
            self._excluded.clear()
            await asyncio.sleep(FULL_RETRY_SECONDS)

    async def _cancel_attempts(self, attempts: list[Attempt]) -> None:
        tasks = [attempt.task for attempt in attempts if attempt.task is not None]
        self._attempts.clear()
        await misc.cancel_and_wait(*tasks)


def _updated_mean(mean: float, value: float) -> float:
    """Returns a running mean, on which a single outlier has little effect."""
    if not mean:
        return value
    return mean + MEAN_WEIGHT * (min(value, OUTLIER_FACTOR * mean) - mean)
