"""Suspicion is reported by the member that found it, and never passed on."""

from tests.test_dispatch import make_dispatcher, make_servers
from verbenashore.backendcall import Dialect, failure_kind
from verbenashore.dispatch import FailureKind
from verbenashore.exceptions import BackendBusyError, BackendError
from verbenashore.loadtable import Report
from verbenashore.prober import Prober
from verbenashore.routing import RouteIndex, RouteTable

DIALECT = Dialect(lambda *_: [], lambda *_: None)


def make_prober(dispatcher):
    """Returns a prober for a dispatcher."""
    return Prober(DIALECT, dispatcher, lambda: 0.0, lambda: RouteIndex(RouteTable()), lambda: None)


def report(number, name, dispatcher):
    """Returns a member's report of its suspects."""
    return Report(name, "a", number, {}, dispatcher.suspects)


def test_reported_suspicion_does_not_circulate():
    """A member reports only servers that it suspects itself, not those that a peer reported.

    Otherwise members would repeat each other's suspects without end (4,666 probes in one run).
    """
    first, second = make_dispatcher(make_servers(2)), make_dispatcher(make_servers(2))
    one, two = make_prober(first), make_prober(second)
    one.record_error("s0", BackendError("refused", step="connect"))
    two.record_suspects(report(1, "one", first))
    assert not second.may_use("s0", 0.0)
    assert report(1, "two", second).suspects == []
    second.record_probe_success("s0")
    two.record_suspects(report(2, "one", first))
    assert second.may_use("s0", 1.0), "the same suspicion counts once"
    first.record_probe_success("s0")
    one.record_suspects(report(2, "two", second))
    assert first.may_use("s0", 1.0)


def test_a_full_server_is_not_suspected():
    dispatcher = make_dispatcher(make_servers(1))
    make_prober(dispatcher).record_error("s0", BackendBusyError("full", step="head", not_run=True))
    assert dispatcher.suspects == [] and dispatcher.may_use("s0", 0.1)


def test_the_failure_kind_follows_from_the_step_of_the_error():
    assert failure_kind(BackendError("x", step="connect")) is FailureKind.UNREACHABLE
    assert failure_kind(BackendError("x", step="read")) is FailureKind.SILENT
    assert failure_kind(BackendError("x", step="body")) is FailureKind.BROKEN
