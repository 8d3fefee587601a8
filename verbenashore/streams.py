"""Runs one online generation: places it, moves it when it stalls, joins its parts."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec

from verbenashore import limits, logs, misc, placement
from verbenashore.client import Links
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

PREFIX_CHARACTERS = 1024
MAX_REFUSALS = 4
MAX_FAILURES = 3
#: A stream whose next token takes this many times the usual interval is also tried elsewhere.
HEDGE_INTERVALS = 3.0
HEDGE_FLOOR_SECONDS = 0.15
#: The first token is waited for this many times its usual time before a hedge.
HEDGE_FIRSTS = 2.0
#: How much of a new value goes into a running mean.
MEAN_WEIGHT = 0.05
OUTLIER_FACTOR = 4.0
SUSPECT_SECONDS = 0.2
#: Retries and hedges that can be saved up.
SAVED_RETRIES = 3.0
#: Moves that can be saved up: a slow engine stalls all its streams at once.
SAVED_MOVES = 32.0
ROOM_SECONDS = 0.1
RETRY_PAUSE_SECONDS = 0.2
PACE_SECONDS = 3.0


class Pace(msgspec.Struct):
    """What this entry usually sees, over all agents.

    :param first: seconds to the first token; 0 while unknown.
    :param interval: seconds between two chunks; 0 while unknown.
    """

    first: float = 0.0
    interval: float = 0.0


class Ended(msgspec.Struct):
    """An attempt that failed."""

    error: VerbenaError


class Attempt(msgspec.Struct):
    """One agent's try at a generation.

    :param base: tokens that were there when it began.
    """

    number: int
    target: Target
    base: int
    position: int = 0
    task: asyncio.Task[None] | None = None


class StreamRunner:
    """What all streams of one entry share."""

    def __init__(self, links: Links, targets: Placement, clock: Clock) -> None:
        self._links = links
        self._placement = targets
        self._clock = clock
        self.budget = RetryBudget(SAVED_RETRIES, SAVED_RETRIES)
        self.moves = RetryBudget(SAVED_MOVES, SAVED_MOVES)
        self.pace = Pace()
        self.count: Callable[[str], None] = lambda name: None

    def run(
        self,
        record: RecordId,
        workspace: WorkspaceId,
        service: str,
        call: ModelCall,
        policy: OnlinePolicy,
    ) -> AsyncIterator[TokenChunk]:
        """Yields the parts of one answer, each token once and in order.

        :raises OverloadedError: if every agent asked refused it; it was not run.
        :raises UnavailableError: if it failed at several agents.
        """
        limits.earn(self.budget, policy.retry_share)
        limits.earn(self.moves, policy.move_share)
        return _Stream(self, record, workspace, service, call, policy).parts()

    def choose(
        self, service: str, workspace: WorkspaceId, call: ModelCall, excluded: set[MemberName]
    ) -> Target | None:
        """Chooses an agent for a call."""
        prefix = call.prompt[:PREFIX_CHARACTERS]
        return placement.choose(
            self._placement, service, call.model, workspace, prefix, excluded, self._clock()
        )

    async def watch_suspects(self) -> None:
        """Asks avoided agents for their pace until it is cancelled, and lets fast ones back."""
        while True:
            await asyncio.sleep(SUSPECT_SECONDS)
            suspects = placement.suspects(self._placement, self._clock())
            await asyncio.gather(*(self._ask_pace(target) for target in suspects))

    async def _ask_pace(self, target: Target) -> None:
        with contextlib.suppress(VerbenaError):
            answer = await self._links.to(target.address).call(AskLoad(), PACE_SECONDS)
            if isinstance(answer, PresentLoad):
                placement.note_pace(target, answer.load, self._clock())

    @property
    def clock(self) -> Clock:
        """The clock of the process."""
        return self._clock

    @property
    def links(self) -> Links:
        """The links of the process."""
        return self._links


class _Stream:
    """One generation; several attempts at it may run side by side for a moment."""

    def __init__(
        self,
        runner: StreamRunner,
        record: RecordId,
        workspace: WorkspaceId,
        service: str,
        call: ModelCall,
        policy: OnlinePolicy,
    ) -> None:
        self._runner = runner
        self._record = record
        self._workspace = workspace
        self._service = service
        self._call = call
        self._policy = policy
        self._text = ""
        self._tokens = 0
        self._numbers = itertools.count()
        self._inbox: asyncio.Queue[tuple[Attempt, TokenChunk | Ended]] = asyncio.Queue()
        self._attempts: dict[int, Attempt] = {}
        self._excluded: set[MemberName] = set()
        self._refusals = 0
        self._may_have_run = False
        self._failures = 0
        self._hedged = False
        self._started = runner.clock()
        self._last_part = self._started

    async def parts(self) -> AsyncIterator[TokenChunk]:
        deadline = self._started + self._policy.deadline_seconds
        try:
            self._launch_or_fail(None)
            finished = False
            while not finished:
                attempt, item = await self._next(deadline)
                if attempt.number not in self._attempts:
                    continue
                if isinstance(item, Ended):
                    await self._on_end(attempt, item.error)
                    continue
                if self._take(attempt, item):
                    finished = bool(item.finish)
                    yield item
        finally:
            await self._cancel(list(self._attempts.values()))

    async def _next(self, deadline: float) -> tuple[Attempt, TokenChunk | Ended]:
        """Waits for the next part; when it is late, also tries another agent."""
        patience = self._patience()
        left = deadline - self._runner.clock()
        late = BackendError("the deadline has passed", step="stream")
        if patience is not None and patience < left:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(patience):
                    return await self._inbox.get()
            self._seek_faster()
        return await misc.within(max(0.0, deadline - self._runner.clock()), self._inbox.get(), late)

    def _patience(self) -> float | None:
        if not self._policy.hedge or self._hedged or len(self._attempts) != 1:
            return None
        waited = self._runner.clock() - self._last_part
        pace = self._runner.pace
        if self._tokens:
            limit = max(HEDGE_FLOOR_SECONDS, HEDGE_INTERVALS * pace.interval)
        else:
            usual = min(self._policy.first_token_seconds, HEDGE_FIRSTS * pace.first)
            limit = max(HEDGE_FLOOR_SECONDS, usual)
        return max(0.0, limit - waited)

    def _seek_faster(self) -> None:
        """Tries a late first token elsewhere too, or moves a stalled stream."""
        self._hedged = True
        running = next(iter(self._attempts.values()))
        now = self._runner.clock()
        placement.note_slow(running.target, now)
        target = self._choose(self._excluded | {running.target.name})
        if target is None or not placement.is_usable(target, now):
            return
        if not self._tokens and limits.spend(self._runner.budget):
            self._runner.count("hedges")
            self._launch(target)
        elif limits.spend(self._runner.moves):
            self._runner.count("moves")
            self._discard(running)
            self._launch(target)

    def _choose(self, excluded: set[MemberName]) -> Target | None:
        return self._runner.choose(self._service, self._workspace, self._call, excluded)

    def _launch_or_fail(self, error: VerbenaError | None) -> None:
        target = self._choose(self._excluded)
        if target is not None:
            self._launch(target)
        elif not self._attempts:
            nobody = OverloadedError("no agent serves this model now", step="place")
            raise self._final(error or nobody)

    def _final(self, error: VerbenaError) -> VerbenaError:
        """Returns the error to end with; what may have run anywhere is not called unrun."""
        if error.not_run and self._may_have_run:
            return UnavailableError(error.message, step=error.step, peer=error.peer)
        return error

    def _launch(self, target: Target) -> None:
        attempt = Attempt(next(self._numbers), target, self._tokens)
        self._attempts[attempt.number] = attempt
        placement.note_start(target, self._workspace)
        attempt.task = asyncio.create_task(self._pump(attempt))

    async def _pump(self, attempt: Attempt) -> None:
        """Feeds the parts of one attempt into the inbox."""
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
            self._wait_left(),
        )
        link = self._runner.links.to(attempt.target.address)
        try:
            answers: Any = link.stream(call, self._progress_seconds())
            async with contextlib.aclosing(answers):
                async for part in answers:
                    self._inbox.put_nowait((attempt, part))
            early = BackendError("the stream ended early", step="stream", peer=link.address)
            self._inbox.put_nowait((attempt, Ended(early)))
        except VerbenaError as error:
            self._inbox.put_nowait((attempt, Ended(error)))
        except Exception as error:
            # A fault of ours must end the attempt too, or its caller would wait for ever.
            logs.warning(Event.HANDLER_FAILED, call="RunModel", error=repr(error))
            self._inbox.put_nowait((attempt, Ended(BackendError(repr(error), step="stream"))))
        finally:
            placement.note_end(attempt.target, self._workspace)

    def _wait_left(self) -> float:
        """Returns how long an agent may let this stream wait for a slot, in seconds."""
        now = self._runner.clock()
        if self._is_begun():
            return self._started + self._policy.deadline_seconds - now
        return max(0.0, self._started + self._policy.queue_seconds - now)

    def _progress_seconds(self) -> float:
        return self._policy.deadline_seconds

    def _take(self, attempt: Attempt, part: TokenChunk) -> bool:
        """Takes in a part; false if one before it was lost, which ends the attempt."""
        now = self._runner.clock()
        placement.note_report(attempt.target, part.load, now)
        if part.position != attempt.position:
            lost = BackendError("a part was lost", step="stream")
            self._inbox.put_nowait((attempt, Ended(lost)))
            return False
        attempt.position += part.tokens
        if len(self._attempts) > 1:
            losers = [other for other in self._attempts.values() if other is not attempt]
            for loser in losers:
                self._discard(loser)
        self._note_pace(part, now)
        self._text += part.text
        self._tokens += part.tokens
        self._last_part = now
        self._hedged = False
        return True

    def _note_pace(self, part: TokenChunk, now: float) -> None:
        pace = self._runner.pace
        waited = now - self._last_part
        if self._tokens:
            pace.interval = _updated(pace.interval, waited)
        else:
            pace.first = _updated(pace.first, waited)

    def _discard(self, attempt: Attempt, *, refused: bool = False) -> None:
        del self._attempts[attempt.number]
        self._may_have_run = self._may_have_run or not refused
        if attempt.task is not None:
            attempt.task.cancel()

    async def _on_end(self, attempt: Attempt, error: VerbenaError) -> None:
        """Deals with a failed attempt: goes on elsewhere while that is worthwhile."""
        refused = isinstance(error, OverloadedError)
        self._discard(attempt, refused=refused)
        if isinstance(error, BackendRefusedError):
            raise error
        self._excluded.add(attempt.target.name)
        self._refusals += refused
        self._failures += not refused
        if not refused:
            placement.note_slow(attempt.target, self._runner.clock())
            logs.info(Event.REQUEST_RETRIED, peer=attempt.target.name, error=error.message)
            self._runner.count("retries")
        if self._attempts:
            return
        if refused and self._is_begun():
            await self._wait_for_room()
        elif self._refusals >= MAX_REFUSALS:
            raise self._final(error)
        if self._failures >= MAX_FAILURES:
            raise UnavailableError(error.message, step="stream", peer=attempt.target.name)
        if not refused and not limits.spend(self._runner.budget):
            # An accepted request is not given up for the budget's sake, only slowed down.
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        self._launch_or_fail(error)

    def _is_begun(self) -> bool:
        """Tells whether a refusal would no longer be true of this stream."""
        return bool(self._tokens) or self._may_have_run

    async def _wait_for_room(self) -> None:
        """Waits a moment with a begun stream that found every agent full."""
        target = self._choose(self._excluded)
        if target is None:
            self._excluded.clear()
            await asyncio.sleep(ROOM_SECONDS)

    async def _cancel(self, attempts: list[Attempt]) -> None:
        tasks = [attempt.task for attempt in attempts if attempt.task is not None]
        self._attempts.clear()
        await misc.cancel_and_wait(*tasks)


def _updated(mean: float, value: float) -> float:
    """Returns a running mean; a single late value moves it little."""
    if not mean:
        return value
    return mean + MEAN_WEIGHT * (min(value, OUTLIER_FACTOR * mean) - mean)
