"""How fast each backend server is at the moment, from the calls of all members; without I/O.

It is made for services whose servers differ in speed by a factor of two or more for good, and some
of which become up to five times slower for some seconds.  A server's slowness is the time that its
calls wait for data, relative to what calls of the same kind usually take, as a logarithm: 0 is the
mean of its service.

Each member observes its own calls: the time to the first event, and between events.  It adds these
up for each server over the last fraction of a second, weighted by their duration, so that a server
that has become slow counts by the time for which calls wait there, not by the few events that it
still sends.  The load reports add up the sums of all members, as they add up the calls, so the cost
for a member doesn't grow with their number.
"""

import math
from collections.abc import Callable, Iterable
from functools import partial

import msgspec

from verbenashore.directory import BackendEntry, Directory
from verbenashore.loadtable import LoadTable
from verbenashore.metrics import Metrics
from verbenashore.types import BackendName, ServiceName

#: Seconds after which an observation counts half.  The events of a server that has become five
#: times slower are about 0.1 s apart, so this covers a few of them for each call.
HALF_LIFE_SECONDS = 0.2
#: Seconds after which the usual slowness of a server has moved half-way to the present one.
USUAL_HALF_LIFE_SECONDS = 15.0
#: Seconds of observation at which the present slowness counts as much as the usual one.
PRIOR_SECONDS = 0.1
#: Largest slowness of one observation and of a server, either way; a factor of 12.
MAX_SLOWNESS_LOG = 2.5
#: Time in seconds to pass an event on above which the wait for the next one isn't observed, since
#: the caller reads slowly or this member is busy.
MAX_SEND_SECONDS = 0.02
#: Longest time in seconds for which one observation counts, since a long one may be the caller's,
#: or this member's own.
MAX_OBSERVATION_SECONDS = 0.25
#: Units in which load reports state seconds, and slowness.
OBSERVED_PER_SECOND = 100
SLOWNESS_PER_LOG = 8
#: Seconds of observation over which what calls of a kind usually take is averaged, and those that
#: it takes before this member's observations count.
KIND_SECONDS = 20.0
MIN_KIND_SECONDS = 0.3
#: Most kinds of calls that are distinguished: two for each route of a configuration.
MAX_KINDS = 600
#: How much longer a call waits at a server with all slots in use than at an idle one, as a share.
#: Assumed: servers interleave the prompts and tokens of their calls.
LOAD_SLOWDOWN = 0.5
#: Shortest time in seconds between two updates of the speeds.
REFRESH_SECONDS = 0.04
#: Factors to its service's mean at which a server is logged as slow, and as usual again.
SLOW_FACTOR = 2.5
USUAL_FACTOR = 1.6
#: Assumed time in seconds to the first event, before any was observed.
DEFAULT_FIRST_SECONDS = 0.05
#: Weight of the newest call in the moving average of a service's time to the first event.
FIRST_WEIGHT = 0.05
#: Most services whose fastest and slowest server are exported.
MAX_GAUGE_SERVICES = 20


class CallKind(msgspec.Struct, frozen=True):
    """Observations that are compared with each other.

    :param label: the route of the calls.
    :param is_first: whether they are of the time to the first event.
    """

    label: str
    is_first: bool


class KindMean(msgspec.Struct):
    """What observations of a kind usually take.

    :param log: mean of the logarithm of the seconds, at a server of mean speed without other calls.
    :param seconds: the time over which it was averaged.
    """

    log: float
    seconds: float = 0.0


class Observed(msgspec.Struct):
    """This member's recent observations of one server.

    :param seconds: their time.
    :param slowness: the sum of their slowness, weighted by time.
    """

    seconds: float = 0.0
    slowness: float = 0.0


class Speeds:
    """The speeds of the servers, as one member knows them.

    :param factor_by_name: how much slower a server is than the mean of its service; servers of mean
        speed may be missing.
    :param version: increases when the factors change.
    :param on_change: called with a server and its factor when it becomes slow, or usual again.
    """

    def __init__(
        self,
        directory: Directory,
        load_table: LoadTable,
        on_change: Callable[[BackendName, float], None] = lambda _name, _factor: None,
    ) -> None:
        self.factor_by_name: dict[BackendName, float] = {}
        self.first_by_service: dict[ServiceName, float] = {}
        self.on_change = on_change
        self._directory = directory
        self._load_table = load_table
        self._mean_by_kind: dict[CallKind, KindMean] = {}
        self._own_by_name: dict[BackendName, Observed] = {}
        self._usual_by_name: dict[BackendName, float] = {}
        self._slow: set[BackendName] = set()
        self.version = 0
        self._refreshed_at = float("-inf")

    def factor(self, name: BackendName) -> float:
        """Returns how much slower a server is than the mean of its service."""
        return self.factor_by_name.get(name, 1.0)

    def first_seconds(self, service: ServiceName) -> float:
        """Returns the time to the first event at an idle server of mean speed."""
        return self.first_by_service.get(service, DEFAULT_FIRST_SECONDS)

    def record(self, server: BackendEntry, kind: CallKind, seconds: float, count: int = 1) -> None:
        """Records for how long a call waited for data of a server.

        :param count: how many events it then got, one after the other.
        """
        if seconds <= 0 or server.slots <= 0:
            return
        load = self._load_table.total(server.name)
        # The reports of other members may add up to a negative number of calls.
        share = max(0.0, min(1.0, (load.online + load.batch) / server.slots))
        slowdown = 1 + LOAD_SLOWDOWN * share
        factor = self.factor(server.name)
        log = math.log(seconds / count / slowdown)
        weight = min(seconds, MAX_OBSERVATION_SECONDS)
        if kind.is_first:
            usual = seconds / slowdown / factor
            mean_first = self.first_by_service.get(server.service, usual)
            usual = min(usual, 4 * mean_first)
            self.first_by_service[server.service] = mean_first + FIRST_WEIGHT * (usual - mean_first)
        mean = self._mean_by_kind.get(kind)
        if mean is None:
            if len(self._mean_by_kind) >= MAX_KINDS:
                self._mean_by_kind.clear()
            mean = self._mean_by_kind[kind] = KindMean(log - math.log(factor))
        slowness = max(-MAX_SLOWNESS_LOG, min(MAX_SLOWNESS_LOG, log - mean.log))
        mean.seconds = min(KIND_SECONDS, mean.seconds + weight)
        mean.log += (slowness - math.log(factor)) * weight / mean.seconds
        if mean.seconds < MIN_KIND_SECONDS:
            return
        own = self._own_by_name.setdefault(server.name, Observed())
        own.seconds += weight
        own.slowness += weight * slowness

    def refresh(self, now: float) -> None:
        """Updates this member's sums in the load table, and the factors of all servers."""
        elapsed = now - self._refreshed_at
        if elapsed < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        self.version += 1
        self._publish(0.5 ** (elapsed / HALF_LIFE_SECONDS))
        usual_weight = 1 - 0.5 ** (min(elapsed, 1.0) / USUAL_HALF_LIFE_SECONDS)
        for service in self._directory.services:
            self._update_factors(self._directory.accepting_servers(service), usual_weight)

    def forget(self, names: Iterable[BackendName]) -> None:
        """Drops servers that are no longer listed."""
        for name in names:
            self.factor_by_name.pop(name, None)
            self._usual_by_name.pop(name, None)
            self._slow.discard(name)
            if self._own_by_name.pop(name, None) is not None:
                self._set_published(name, 0, 0)

    def range_of(self, service: ServiceName) -> tuple[float, float]:
        """Returns the factors of the fastest and the slowest server of a service."""
        servers = self._directory.accepting_servers(service)
        factors = [self.factor(server.name) for server in servers]
        return (min(factors), max(factors)) if factors else (1.0, 1.0)

    def set_gauges(self, metrics: Metrics) -> None:
        """Exports the factors of the fastest and slowest server of the known services."""
        for service in sorted(self._directory.services)[:MAX_GAUGE_SERVICES]:
            metrics.set_gauge(f"{service}.fastest_factor", partial(self._range_end, service, 0))
            metrics.set_gauge(f"{service}.slowest_factor", partial(self._range_end, service, 1))

    def _range_end(self, service: ServiceName, position: int) -> float:
        return self.range_of(service)[position]

    def _publish(self, decay: float) -> None:
        """Ages this member's sums, and copies them to the load table in whole units."""
        for name, own in list(self._own_by_name.items()):
            own.seconds *= decay
            own.slowness *= decay
            observed = round(own.seconds * OBSERVED_PER_SECOND)
            slowness = round(own.slowness * OBSERVED_PER_SECOND * SLOWNESS_PER_LOG)
            # Rounding may take the sum out of the bounds of a report.
            bound = int(observed * SLOWNESS_PER_LOG * MAX_SLOWNESS_LOG)
            self._set_published(name, observed, max(-bound, min(bound, slowness)))
            if not observed:
                del self._own_by_name[name]

    def _set_published(self, name: BackendName, observed: int, slowness: int) -> None:
        before = self._load_table.local(name)
        if (before.observed, before.slowness) != (observed, slowness):
            self._load_table.add(
                name, observed=observed - before.observed, slowness=slowness - before.slowness
            )

    def _update_factors(self, servers: list[BackendEntry], usual_weight: float) -> None:
        usual_by_name = self._usual_by_name
        present = []
        for server in servers:
            load = self._load_table.total(server.name)
            usual = usual_by_name.get(server.name, 0.0)
            if load.observed > 0:
                seconds = load.observed / OBSERVED_PER_SECOND
                mean = load.slowness / load.observed / SLOWNESS_PER_LOG
                mean = max(-MAX_SLOWNESS_LOG, min(MAX_SLOWNESS_LOG, mean))
                trust = seconds / (seconds + PRIOR_SECONDS)
                present.append(usual + trust * (mean - usual))
                usual += usual_weight * trust * (mean - usual)
                usual_by_name[server.name] = usual
            else:
                # A server that no call has tried lately may have recovered.
                if usual:
                    usual_by_name[server.name] = usual * (1 - usual_weight)
                present.append(usual)
        if not usual_by_name:
            return
        centre = sum(usual_by_name.get(server.name, 0.0) for server in servers) / len(servers)
        for server, slowness in zip(servers, present, strict=True):
            bounded = max(-MAX_SLOWNESS_LOG, min(MAX_SLOWNESS_LOG, slowness - centre))
            factor = math.exp(bounded)
            self.factor_by_name[server.name] = factor
            if (factor >= SLOW_FACTOR) != (server.name in self._slow):
                self._log_change(server.name, factor)

    def _log_change(self, name: BackendName, factor: float) -> None:
        if factor >= SLOW_FACTOR:
            self._slow.add(name)
        elif factor > USUAL_FACTOR:
            return
        else:
            self._slow.discard(name)
        self.on_change(name, factor)


class CallTimer:
    """Observes one call at a server, from the time it is sent.

    :param label: the route of the call.
    :param is_resumed: whether its events so far came from another server, so that its first one
        compares with no others.
    """

    def __init__(
        self,
        speeds: Speeds,
        server: BackendEntry,
        label: str,
        sent_at: float,
        is_resumed: bool = False,
    ) -> None:
        self._speeds = speeds
        self._server = server
        self._first = CallKind(label, True)
        self._between = CallKind(label, False)
        self._since = sent_at
        self._begun = False
        self._skips = is_resumed

    def record_events(self, count: int, now: float) -> None:
        """Records that some events, or a whole answer, have come from the server."""
        if not count:
            return
        if not self._skips:
            kind = self._between if self._begun else self._first
            count = count if self._begun else 1
            self._speeds.record(self._server, kind, now - self._since, count)
        self._begun, self._skips, self._since = True, False, now

    def record_sent(self, now: float) -> None:
        """Records that the events were passed on."""
        self._skips = now - self._since > MAX_SEND_SECONDS
