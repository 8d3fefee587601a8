"""Keeps calls away from backend servers that would crash under them, and finds out which do.

Joins the two kinds of evidence that an entry has: :mod:`verbenashore.crashedcalls` recognises one
request that comes again, :mod:`verbenashore.quarantine` a part that different prompts share.
"""

from collections.abc import Callable

import msgspec

from verbenashore import backendcall, fingerprints, logs
from verbenashore.backendcall import Call
from verbenashore.crashedcalls import CrashedCalls
from verbenashore.directory import BackendEntry
from verbenashore.exceptions import (
    BackendError,
    OutcomeUnknownError,
    PromptHeldError,
    RequestHeldError,
)
from verbenashore.fingerprints import Identity
from verbenashore.logs import Event
from verbenashore.metrics import Metrics
from verbenashore.quarantine import Quarantine
from verbenashore.types import BackendName, Prompt

#: The least HTTP status that says that the server failed.
SERVER_ERROR = 500


class GuardedCall(msgspec.Struct):
    """What a call is recognised by.

    :param is_trial: whether it tries a request that is held.
    :param has_crashed: whether a server has crashed under it.
    """

    id: str
    identity: Identity
    prompt: Prompt = ()
    is_trial: bool = False
    has_crashed: bool = False


class CallGuard:
    """The evidence of one entry.

    :param on_news: called when there is something to tell other members.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        crashed_calls: CrashedCalls,
        metrics: Metrics,
        on_news: Callable[[], None],
    ) -> None:
        self.quarantine = quarantine
        self.crashed_calls = crashed_calls
        self._metrics = metrics
        self._on_news = on_news

    def guard(self, call: Call, prompt: Prompt) -> GuardedCall:
        """Returns what a call is recognised by."""
        identity = Identity(
            call.method, call.host, call.target, call.workspace, call.headers, call.body
        )
        return GuardedCall(call.id, identity, prompt)

    def check(self, call: GuardedCall, runs: int) -> None:
        """Refuses a call under which a server would crash.

        :param runs: how often it may have run.
        :raises PromptHeldError: if a part of its prompt is held, and it has not run.
        :raises RequestHeldError: if it is held itself, and has not run.
        :raises OutcomeUnknownError: if it may have run.
        """
        held_part = self.quarantine.held_part(call.prompt)
        if held_part is not None:
            part, seconds = held_part
            reason = f"backend servers crash under part {part} of the prompt"
            if not runs:
                raise PromptHeldError(reason, step="place", retry_after=seconds)
            raise OutcomeUnknownError(reason, step="place")
        if call.is_trial and not runs:
            return
        held_request = self.crashed_calls.held_request(call.identity)
        if held_request is not None:
            request, seconds = held_request
            reason = f"backend servers crash under request {fingerprints.log_name(request)}"
            if not runs:
                raise RequestHeldError(reason, step="place", retry_after=seconds)
            raise OutcomeUnknownError(reason, step="place")

    def record_start(self, call: GuardedCall) -> None:
        """Records that a call is sent to a server, right after it was checked."""
        self.quarantine.record_start(call.prompt)
        if not call.is_trial and self.crashed_calls.record_start(call.identity):
            call.is_trial = True
            request = fingerprints.log_name(call.identity.fingerprint())
            logs.warning(Event.REQUEST_TRIED, request=request, call=call.id)
            self._on_news()

    def record_begun(self, call: GuardedCall) -> None:
        """Records that a server has begun to answer a call."""
        if self.quarantine.record_answer(call.prompt):
            self._on_news()

    def record_answered(self, call: GuardedCall, status: int) -> None:
        """Records that a server has answered a call in full; its own failure clears nothing."""
        if status < SERVER_ERROR and self.crashed_calls.record_answer(call.identity):
            self._on_news()

    async def check_for_crash(
        self, call: GuardedCall, server: BackendEntry, error: BackendError, *, begun: bool
    ) -> bool:
        """Records a crash of a call's server, if it was one.

        Returns whether the call must not run on a second server.

        :param begun: whether the server had begun to answer the call.
        """
        if not await backendcall.has_crashed(server, error):
            return False
        self._metrics.count("backend_crashed")
        self.crashed_calls.record_crash(
            call.identity, server.name, begun=begun, again=call.has_crashed
        )
        call.has_crashed = True
        if not begun:
            self.quarantine.record_crash(server.name, call.prompt)
        self._log_crash(call, server.name, begun)
        self._on_news()
        return not begun and self.quarantine.is_suspected(call.prompt)

    def _log_crash(self, call: GuardedCall, server: BackendName, begun: bool) -> None:
        logs.warning(
            Event.BACKEND_CRASHED,
            server=server,
            call=call.id,
            request=fingerprints.log_name(call.identity.fingerprint()),
            begun=begun,
            prompt=call.prompt,
        )
