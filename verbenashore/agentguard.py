"""Keeps requests that crash backend servers from one agent after the other; without I/O.

The load is that of :mod:`verbenashore.crashedcalls`, on the calls that an entry sends to agents,
which state in their errors whether the backend server crashed.  Each entry learns for itself.
"""

from verbenashore import fingerprints, logs
from verbenashore.crashedcalls import CrashedCalls
from verbenashore.exceptions import RequestHeldError, UnavailableError, VerbenaError
from verbenashore.fingerprints import Identity
from verbenashore.logs import Event
from verbenashore.messages import RunCall
from verbenashore.metrics import Metrics
from verbenashore.types import BackendName, RecordId, WorkspaceId


class GuardedRequest:
    """One request, which may run at several agents.

    :param ran_before: whether an earlier request with its key may have run it.
    """

    def __init__(
        self,
        record: RecordId,
        identity: Identity,
        ran_before: bool,
        crashed_calls: CrashedCalls,
        metrics: Metrics,
    ) -> None:
        self._record = record
        self._identity = identity
        self._ran_before = ran_before
        self._crashed_calls = crashed_calls
        self._metrics = metrics
        self._is_trial = False
        self._has_crashed = False

    @property
    def is_suspected(self) -> bool:
        """Whether servers crashed under it, so that it must not run at two agents at once."""
        return self._crashed_calls.is_suspected(self._identity)

    def refusal(self) -> RequestHeldError | UnavailableError | None:
        """Returns why no agent may run it now; None if one may.

        The error doesn't tell whether an agent has run it since this object was made.
        """
        held = None if self._is_trial else self._crashed_calls.held_request(self._identity)
        if held is None:
            return None
        request, seconds = held
        reason = f"backend servers crash under request {fingerprints.log_name(request)}"
        if self._ran_before:
            return UnavailableError(reason, step="place")
        return RequestHeldError(reason, step="place", retry_after=seconds)

    def record_start(self) -> None:
        """Records that it is sent to an agent."""
        if not self._is_trial and self._crashed_calls.record_start(self._identity):
            self._is_trial = True
            logs.warning(Event.REQUEST_TRIED, request=self._log_name(), call=self._record)

    def record_failure(self, server: BackendName, error: VerbenaError, *, begun: bool) -> None:
        """Records that it failed at an agent.

        :param begun: whether a part of its answer was received from there.
        """
        self._is_trial = self._is_trial and error.not_run
        if not error.crashed:
            return
        self._crashed_calls.record_crash(
            self._identity, server, begun=begun, again=self._has_crashed
        )
        self._has_crashed = True
        self._metrics.count("backend_crashed")
        logs.warning(
            Event.BACKEND_CRASHED,
            server=server,
            call=self._record,
            request=self._log_name(),
            begun=begun,
            prompt=(),
        )

    def record_answer(self) -> None:
        """Records that it was answered in full."""
        self._crashed_calls.record_answer(self._identity)

    def _log_name(self) -> str:
        return fingerprints.log_name(self._identity.fingerprint())


class AgentGuard:
    """The evidence of one entry."""

    def __init__(self, crashed_calls: CrashedCalls, metrics: Metrics) -> None:
        self._crashed_calls = crashed_calls
        self._metrics = metrics

    def guard_completion(
        self,
        record: RecordId,
        workspace: WorkspaceId,
        path: str,
        content: bytes,
        *,
        ran_before: bool,
    ) -> GuardedRequest:
        """Returns what a completion is recognised by.

        :param content: its body in canonical form.
        :param ran_before: as in :class:`GuardedRequest`.
        """
        identity = Identity("POST", "", path, workspace, (), content)
        return GuardedRequest(record, identity, ran_before, self._crashed_calls, self._metrics)

    def guard_call(self, call: RunCall, *, ran_before: bool) -> GuardedRequest:
        """Returns what a call of a plain service is recognised by.

        :param ran_before: as in :class:`GuardedRequest`.
        """
        target = call.service + call.target
        identity = Identity(call.method, "", target, call.workspace, (), call.body)
        return GuardedRequest(call.record, identity, ran_before, self._crashed_calls, self._metrics)
