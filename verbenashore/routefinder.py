"""Finds the route and the workspace of a call; a retry waits while they are uncertain."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec

from verbenashore import keys, logs, misc
from verbenashore.exceptions import NotFoundError, OverloadedError, UnknownKeyError
from verbenashore.keys import Confirmation, KeyBounds, KeyDecision, KeyVerdict
from verbenashore.logs import Event
from verbenashore.process import Process
from verbenashore.retries import LATEST_START_SHARE, RetryDetector
from verbenashore.routing import Route, RouteIndex, RouteKind, RouteTable
from verbenashore.types import WorkspaceId
from verbenashore.view import SystemView

#: Retry-After in seconds while a starting entry has no configuration or no list yet; the second
#: part is drawn at random so that callers don't all retry at once.
STARTUP_RETRY_SECONDS = 0.8
STARTUP_RETRY_SPREAD_SECONDS = 0.8
#: Stands for the route in the metrics of requests that name a job.
JOB_REQUESTS = "job_requests"


def startup_retry_seconds(source: random.Random) -> float:
    """Returns the Retry-After in seconds of a call that a starting entry refuses."""
    return STARTUP_RETRY_SECONDS + STARTUP_RETRY_SPREAD_SECONDS * source.random()


class CallOrigin(msgspec.Struct, frozen=True):
    """What a request says of where it goes and who sent it.

    :param call: the id of the call, for the logs.
    :param caller_timeout: seconds that the caller waits; None if the request states no timeout.
    :param key: the API key; "" if there is none.  It is not logged, and kept no longer than the
        request.
    """

    host: str
    path: str
    call: str
    caller_timeout: float | None
    key: str = ""


class Admission(msgspec.Struct, frozen=True):
    """The route and workspace of a call that may go on.

    :param workspace: whose call it is; NO_WORKSPACE if it needs no key and carries none that is
        known, and None if the route table has no workspaces.
    """

    route: Route
    workspace: WorkspaceId | None


class _Finding(msgspec.Struct, frozen=True):
    """What the route table in force says of a call.

    :param uncertainty: why a newer route table may say otherwise; "" if it is certain.
    """

    route: Route | None
    decision: KeyDecision
    uncertainty: str = ""


class RouteFinder:
    """Holds the route table in force, and finds the routes and workspaces of calls.

    :param routes: the route table in force.
    """

    def __init__(
        self,
        process: Process,
        view: SystemView,
        retry_detector: RetryDetector,
        bounds: KeyBounds,
    ) -> None:
        self._process = process
        self._view = view
        self._retry_detector = retry_detector
        self._bounds = bounds
        self.routes = RouteIndex(RouteTable())
        self._changed = asyncio.Event()
        self._random = random.Random(misc.quick_hash(process.incarnation))

    @property
    def has_workspaces(self) -> bool:
        """Whether the route table has workspaces; also true while there is none that tells."""
        return not self.routes.table.version or self.routes.table.workspaces is not None

    def wake_waiters(self) -> None:
        """Wakes the calls that wait for certainty, after a confirmation or another table."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def find_route(self, origin: CallOrigin) -> Admission:
        """Returns the route and the workspace of a call.

        While they are uncertain, a retry waits for most of the caller's timeout, and a first
        attempt is refused.

        :raises OverloadedError: if the configuration that tells isn't known yet.
        :raises NotFoundError: if the configuration in force has no route for the path.
        :raises UnknownKeyError: if the route needs a key and the call has none that is known.
        """
        finding = await self._find(origin, lambda: self._look_up(origin))
        route = finding.route
        if route is None:
            fields = self._version_fields()
            logs.info(Event.CALL_REFUSED, call=origin.call, outcome="no route", **fields)
            raise NotFoundError(
                f"no route for {origin.host}{origin.path}", step="route", not_run=True
            )
        self._check_key(origin, finding)
        return Admission(route, finding.decision.workspace)

    async def find_workspace(self, origin: CallOrigin) -> WorkspaceId | None:
        """Returns the workspace of a request that names a job, as in :class:`Admission`.

        Such a request has no route. It needs no key if its host has a public batch route.

        :raises OverloadedError: if the configuration that tells isn't known yet.
        :raises UnknownKeyError: if it needs a key and has none that is known.
        """
        finding = await self._find(origin, lambda: self._look_up_job_request(origin))
        self._check_key(origin, finding)
        return finding.decision.workspace

    async def _find(self, origin: CallOrigin, look_up: Callable[[], _Finding]) -> _Finding:
        """Returns what is certain of a call; waits for that if the call is a retry.

        :raises OverloadedError: if it stays uncertain.
        """
        timeout = origin.caller_timeout
        is_retry = self._retry_detector.record_timeout(origin.host, origin.path, timeout)
        finding = look_up()
        if finding.uncertainty and is_retry and timeout is not None:
            logs.info(Event.CALL_QUEUED, call=origin.call, outcome=finding.uncertainty)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout * LATEST_START_SHARE):
                    while finding.uncertainty:
                        changed = self._changed
                        await changed.wait()
                        finding = look_up()
        if finding.uncertainty:
            retry_after = startup_retry_seconds(self._random)
            logs.warning(
                Event.CALL_REFUSED,
                call=origin.call,
                outcome=finding.uncertainty,
                retry_after=round(retry_after, 3),
                **self._version_fields(),
            )
            raise OverloadedError(finding.uncertainty, step="place", retry_after=retry_after)
        return finding

    def _look_up(self, origin: CallOrigin) -> _Finding:
        if not self.routes.table.version:
            return _Finding(None, keys.NO_KEYS_NEEDED, "no configuration is known")
        route = self.routes.find(origin.host, origin.path)
        if route is None:
            is_current = self._view.is_current()
            uncertainty = "" if is_current else "the configuration may be out of date"
            return _Finding(None, keys.NO_KEYS_NEEDED, uncertainty)
        return self._decide(origin, route, route.public)

    def _look_up_job_request(self, origin: CallOrigin) -> _Finding:
        if not self.routes.table.version:
            return _Finding(None, keys.NO_KEYS_NEEDED, "no configuration is known")
        return self._decide(origin, None, keys.has_public_jobs(self.routes, origin.host))

    def _decide(self, origin: CallOrigin, route: Route | None, public: bool) -> _Finding:
        confirmation = Confirmation(
            self._view.is_current(), self._process.clock() - self._view.confirmed_at
        )
        is_for_job = route is None or route.kind is RouteKind.BATCH
        decision = keys.decide(
            self.routes, origin.key, public, confirmation, self._bounds, names_owner=is_for_job
        )
        is_uncertain = decision.verdict is KeyVerdict.UNCERTAIN
        return _Finding(route, decision, decision.reason if is_uncertain else "")

    def _check_key(self, origin: CallOrigin, finding: _Finding) -> None:
        """Refuses a call without a key that is known, if it needs one.

        :raises UnknownKeyError: if it is refused.
        """
        decision, route = finding.decision, finding.route
        if decision.verdict is KeyVerdict.UNKNOWN_KEY:
            counted = JOB_REQUESTS if route is None else route.name
            self._process.metrics.count(f"{counted}.key_refused")
            logs.info(
                Event.KEY_REFUSED,
                call=origin.call,
                route=origin.path if route is None else route.name,
                outcome=decision.reason,
                **self._version_fields(),
            )
            raise UnknownKeyError(decision.reason, step="authorize", not_run=True)

    def _version_fields(self) -> dict[str, object]:
        return {"version": self.routes.table.version, **self._view.confirmation_fields()}
