"""Which workspace a call has by its API key, and whether it may go on; without I/O.

Runs once for each request of each entry, some hundred times a second: a hash of the key and two
look-ups, whatever the number of workspaces (72 are planned) and of their keys.
"""

from enum import Enum

import msgspec

from verbenashore.routing import Route, RouteIndex, RouteKind, Workspace
from verbenashore.types import NO_WORKSPACE, Rank, WorkspaceId


class KeyBounds(msgspec.Struct, frozen=True):
    """How long keys are accepted without confirmation by a leader that the version is the newest.

    :param fail_closed: false if keys are accepted for any time.
    :param max_age: seconds since the last confirmation after which calls with keys are refused.
    """

    fail_closed: bool = False
    max_age: float = 5.0


DEFAULT_BOUNDS = KeyBounds()


class Confirmation(msgspec.Struct, frozen=True):
    """What an entry knows of the age of its route table.

    :param is_current: whether the table is the newest, as far as can be known.
    :param age: seconds since a leader last confirmed which version is the newest.
    """

    is_current: bool
    age: float


class KeyVerdict(Enum):
    """Whether a call may go on; it is UNCERTAIN if a newer route table may say otherwise."""

    GRANTED = "granted"
    UNKNOWN_KEY = "unknown key"
    UNCERTAIN = "uncertain"


class KeyDecision(msgspec.Struct, frozen=True):
    """The decision on one call.

    :param workspace: whose call it is; NO_WORKSPACE if it needs no key and carries none that is
        known, and None if the route table has no workspaces.
    :param reason: why the call may not go on.
    """

    verdict: KeyVerdict
    workspace: WorkspaceId | None = None
    reason: str = ""


NO_KEYS_NEEDED = KeyDecision(KeyVerdict.GRANTED)


def decide(
    routes: RouteIndex,
    key: str,
    public: bool,
    confirmation: Confirmation,
    bounds: KeyBounds,
    names_owner: bool = False,
) -> KeyDecision:
    """Decides whether a call may go on, and whose it is.

    :param key: the API key that the call carries; "" if it has none.
    :param public: true if the call needs no key.
    :param names_owner: true if the workspace owns what the call submits, or decides what it finds:
        a key that a newer route table may know is then not the same as none.
    """
    if routes.table.workspaces is None:
        return NO_KEYS_NEEDED
    workspace = routes.workspace_of_key(key) if key else None
    is_too_old = bounds.fail_closed and confirmation.age > bounds.max_age
    is_certain = confirmation.is_current and not is_too_old
    if workspace is None and public and (is_certain or not (key and names_owner)):
        return KeyDecision(KeyVerdict.GRANTED, NO_WORKSPACE)
    if key and is_too_old:
        return KeyDecision(
            KeyVerdict.UNCERTAIN, reason="the configuration was confirmed too long ago"
        )
    if workspace is not None:
        return KeyDecision(KeyVerdict.GRANTED, workspace.name)
    if not confirmation.is_current:
        return KeyDecision(KeyVerdict.UNCERTAIN, reason="the configuration may be out of date")
    return KeyDecision(
        KeyVerdict.UNKNOWN_KEY, reason="the API key is unknown" if key else "an API key is required"
    )


def has_public_jobs(routes: RouteIndex, host: str) -> bool:
    """Returns whether jobs may be submitted to a host without a key."""
    return any(
        route.public and route.host == host and route.kind is RouteKind.BATCH
        for route in routes.table.routes
    )


def rank_of(route: Route, workspace: Workspace | None) -> Rank:
    """Returns the rank of a call in the queue: the priority of its workspace, then its route's."""
    if workspace is None or workspace.priority is None:
        return (route.priority, route.priority)
    return (workspace.priority, route.priority)
