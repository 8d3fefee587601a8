"""The routes and services of relayed calls: their table, its checks, and the look-up of a route."""

from collections import Counter
from enum import Enum

import msgspec

from verbenashore import misc
from verbenashore.types import ServiceName

HASH_RANGE = 1 << 64


class RouteKind(Enum):
    """What may be done with a call of a route.

    REPEATABLE calls may run any number of times, ONCE calls at most once; a STREAM is answered by
    numbered events, and a BATCH route takes whole jobs.
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
    """One route.

    :param prefix: begins and ends with a slash.
    :param timeout: seconds after which a call is ended.
    :param objective: seconds in which an answer, or a stream's first event, is on time.
    :param pause: longest time between events that is on time, in seconds; 0 if none is declared.
    :param max_attempts: backend servers that one call, or failures that one item, may use up.
    :param resumable: a stream may go on at another backend server.
    :param token_cap: tokens that may wait on a batch route; 0 means no limit.
    :param completion_objective: seconds in which all results of a job are due.
    :param give_up_after: seconds after which an item of a job may be given up; 0 means never.
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

    @property
    def repeatable(self) -> bool:
        """True if a call may run again after a failure."""
        return self.kind is RouteKind.REPEATABLE or self.resumable


class Service(msgspec.Struct, frozen=True):
    """One service.

    :param max_connections: connections that a backend server takes from all callers together.
    :param slots: calls that a backend server runs at once; 0 if that isn't declared here.
    """

    name: ServiceName
    max_connections: int
    health_path: str = ""
    slots: int = 0


class CallerLimits(msgspec.Struct, frozen=True):
    """What callers may send, and how long they may take.

    :param header_seconds: for the head of a request.
    :param idle_seconds: between two requests on one connection.
    """

    header_bytes: int = 32 << 10
    body_bytes: int = 64 << 20
    header_seconds: float = 10.0
    idle_seconds: float = 75.0


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the routes, services and limits, applied as a whole.

    :param version: chosen by the operator; the highest is in force.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = CallerLimits()


_decoder = msgspec.json.Decoder(RouteTable)


def encode(table: RouteTable) -> str:
    """Returns a table as the control group keeps it."""
    return msgspec.json.encode(table).decode()


def decode(text: str) -> RouteTable:
    """Returns the table that :func:`encode` wrote; an empty text is an empty table."""
    return _decoder.decode(text.encode()) if text else RouteTable()


def faults(table: RouteTable) -> list[str]:
    """Returns what is wrong with a table, one line for each fault, with the field's name."""
    found = []
    names = {service.name for service in table.services}
    places = Counter((route.host, route.prefix) for route in table.routes)
    for route in table.routes:
        where = f"route {route.name!r}"
        found += [
            f"{where}: service {share.service!r} is unknown"
            for share in route.shares
            if share.service not in names
        ]
        if places[route.host, route.prefix] > 1:
            found.append(f"{where}: another route has host {route.host!r} and this prefix")
        if sum(share.weight for share in route.shares) <= 0:
            found.append(f"{where}: the weights add up to 0")
        if min((share.weight for share in route.shares), default=0) < 0:
            found.append(f"{where}: a weight is negative")
        if route.timeout <= 0:
            found.append(f"{where}: the timeout is not positive")
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            found.append(f"{where}: the prefix does not begin and end with a slash")
    return found


class RouteIndex:
    """Finds the route of a call, and the service of a route."""

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.route_by_place = {(route.host, route.prefix): route for route in table.routes}
        self.service_by_name = {service.name: service for service in table.services}

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self.route_by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


def choose_service(route: Route, key: str) -> ServiceName:
    """Chooses among a route's shares by weight; the same key gets the same service."""
    total = sum(share.weight for share in route.shares)
    point = misc.quick_hash(key) / HASH_RANGE * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return next(share.service for share in reversed(route.shares) if share.weight > 0)
