"""The routes and services of relayed calls: their table, its validation, and route look-up."""

from collections import Counter
from enum import Enum

import msgspec

from verbenashore import misc
from verbenashore.deployment import hash_key
from verbenashore.types import ServiceName, WorkspaceId

HASH_RANGE = 1 << 64


class RouteKind(Enum):
    """How calls of a route are handled.

    REPEATABLE calls may run any number of times, ONCE calls at most once; a STREAM is answered with
    numbered events, and a BATCH route accepts jobs of many items.
    """

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


class Share(msgspec.Struct, frozen=True):
    """The part of a route's calls that a service gets.

    :param weight: relative to the other shares.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """How the calls to a host and path prefix are handled.

    :param prefix: begins and ends with a slash.
    :param timeout: seconds after which a call times out.
    :param objective: seconds within which an answer, or a stream's first event, is on time.
    :param priority: lower numbers go first in the queue.
    :param pause: longest time between events that is on time, in seconds; 0 if undeclared.
    :param max_attempts: how often a call may run, or failures that end an item of a job.
    :param resumable: true if a stream may resume at another backend server.
    :param token_cap: tokens that may be queued on a batch route; 0 means no limit.
    :param completion_objective: seconds within which all results of a job are due.
    :param give_up_after: seconds after which an item of a job may be abandoned; 0 means never.
    :param public: true if calls need no key although the table has workspaces.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    objective: float
    shares: tuple[Share, ...]
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    pause: float = 0.0
    token_cap: int = 0
    completion_objective: float = 0.0
    give_up_after: float = 0.0
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """True if a call may run again after a failure."""
        return self.kind is RouteKind.REPEATABLE or self.resumable


class Service(msgspec.Struct, frozen=True):
    """A service, as declared in the route table.

    :param max_connections: connections that a backend server accepts, from all clients together.
    :param health_path: path of the status check; "" if there is none.
    :param slots: declared number of concurrent calls of a backend server; 0 if undeclared.
        Scheduling uses the numbers in the list of backend servers instead.
    :param memory_tokens: tokens of running calls that a backend server has memory for; 0 if
        undeclared.
    """

    name: ServiceName
    max_connections: int
    health_path: str = ""
    slots: int = 0
    memory_tokens: int = 0


class Workspace(msgspec.Struct, frozen=True):
    """A workspace whose callers share the servers with those of others.

    :param key_hashes: of its API keys, as :func:`verbenashore.deployment.hash_key` returns them.
    :param priority: compared before the priority of the route; None to use that of the route.
    :param per_second: requests a second that it may send to all entries together; 0 means no limit.
    :param burst: requests that it may send beyond that at once.
    """

    name: WorkspaceId
    key_hashes: tuple[str, ...] = ()
    priority: int | None = None
    per_second: float = 0.0
    burst: float = 0.0


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of callers' requests.

    :param header_seconds: for receiving the head of a request.
    :param idle_seconds: between two requests on one connection.
    """

    header_bytes: int = 32 << 10
    body_bytes: int = 64 << 20
    header_seconds: float = 10.0
    idle_seconds: float = 75.0


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the routes, services and limits, applied as a whole.

    :param version: chosen by the operator; the highest is in force.
    :param workspaces: None if calls need no key on any route.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None


_decoder = msgspec.json.Decoder(RouteTable)


def encode(table: RouteTable) -> str:
    """Returns the text of a table, as the control group stores it."""
    return msgspec.json.encode(table).decode()


def decode(text: str) -> RouteTable:
    """Returns the table that :func:`encode` wrote; an empty text is an empty table."""
    return _decoder.decode(text.encode()) if text else RouteTable()


class FieldError(msgspec.Struct, frozen=True):
    """A field that makes a table invalid.

    :param path: of the field, such as ``routes[3].timeout``.
    :param owner: the route or workspace that has it.
    """

    path: str
    owner: str
    message: str


def validation_errors(table: RouteTable) -> list[str]:
    """Returns the validation errors of a table, one line each, with the name of the route."""
    return [f"{error.owner}: {error.message}" for error in field_errors(table)]


def field_errors(table: RouteTable) -> list[FieldError]:
    """Returns the validation errors of a table; a table without any is valid."""
    errors: list[FieldError] = []
    names = {service.name for service in table.services}
    prefix_counts = Counter((route.host, route.prefix) for route in table.routes)
    for position, route in enumerate(table.routes):
        path, owner = f"routes[{position}]", f"route {route.name!r}"
        errors += [
            FieldError(
                f"{path}.shares[{number}].service", owner, f"service {share.service!r} is unknown"
            )
            for number, share in enumerate(route.shares)
            if share.service not in names
        ]
        if prefix_counts[route.host, route.prefix] > 1:
            message = f"another route has host {route.host!r} and this prefix"
            errors.append(FieldError(f"{path}.prefix", owner, message))
        if sum(share.weight for share in route.shares) <= 0:
            errors.append(FieldError(f"{path}.shares", owner, "the weights add up to 0"))
        if min((share.weight for share in route.shares), default=0) < 0:
            errors.append(FieldError(f"{path}.shares", owner, "a weight is negative"))
        if route.timeout <= 0:
            errors.append(FieldError(f"{path}.timeout", owner, "the timeout is not positive"))
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            message = "the prefix does not begin and end with a slash"
            errors.append(FieldError(f"{path}.prefix", owner, message))
    return errors + _workspace_errors(table.workspaces or ())


def _workspace_errors(workspaces: tuple[Workspace, ...]) -> list[FieldError]:
    errors: list[FieldError] = []
    name_counts = Counter(workspace.name for workspace in workspaces)
    key_counts = Counter(key for workspace in workspaces for key in set(workspace.key_hashes))
    for position, workspace in enumerate(workspaces):
        path, owner = f"workspaces[{position}]", f"workspace {workspace.name!r}"
        if not workspace.name or name_counts[workspace.name] > 1:
            message = "the name is empty or not unique"
            errors.append(FieldError(f"{path}.name", owner, message))
        if workspace.name != workspace.name.strip() or not workspace.name.isprintable():
            # The name is sent in a header.
            message = "the name has control characters or spaces at its ends"
            errors.append(FieldError(f"{path}.name", owner, message))
        if any(key_counts[key] > 1 for key in workspace.key_hashes):
            message = "another workspace has one of its keys"
            errors.append(FieldError(f"{path}.key_hashes", owner, message))
        if min(workspace.per_second, workspace.burst) < 0:
            field = "per_second" if workspace.per_second < 0 else "burst"
            errors.append(FieldError(f"{path}.{field}", owner, "a limit is negative"))
    return errors


class RouteIndex:
    """Looks up routes by host and path, and services by name."""

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.route_by_prefix = {(route.host, route.prefix): route for route in table.routes}
        self.service_by_name = {service.name: service for service in table.services}
        self._workspace_by_key_hash = {
            key: workspace for workspace in table.workspaces or () for key in workspace.key_hashes
        }
        self.workspace_by_name = {workspace.name: workspace for workspace in table.workspaces or ()}

    def workspace_of_key(self, key: str) -> Workspace | None:
        """Returns the workspace that holds an API key, or None."""
        return self._workspace_by_key_hash.get(hash_key(key))

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix, or None."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self.route_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


def choose_service(route: Route, key: str) -> ServiceName:
    """Chooses a service by the weights of a route's shares; the same key gets the same service."""
    total = sum(share.weight for share in route.shares)
    point = misc.quick_hash(key) / HASH_RANGE * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return next(share.service for share in reversed(route.shares) if share.weight > 0)
