"""Suspicion among members: told by who found it, and never passed on."""

from tests.test_dispatch import dispatcher, servers
from verbenashore.backendcall import Dialect, failure_kind
from verbenashore.board import Report
from verbenashore.dispatch import Failure
from verbenashore.exceptions import BackendBusyError, BackendError
from verbenashore.prober import Prober
from verbenashore.routing import RouteIndex, RouteTable

DIALECT = Dialect(lambda *_: [], lambda *_: None)


def member(chosen):
    """Returns the prober of a member."""
    return Prober(DIALECT, chosen, lambda: 0.0, lambda: RouteIndex(RouteTable()), lambda: None)


def report(number, name, chosen):
    """Returns what a member tells."""
    return Report(name, "a", number, {}, chosen.suspects)


def test_rumours_do_not_go_round():
    """A run on trouble-1 had 4,666 probes: each member told on what it had heard."""
    first, second = dispatcher(servers(2)), dispatcher(servers(2))
    one, two = member(first), member(second)
    one.note_error("s0", BackendError("refused", step="connect"))
    two.take(report(1, "one", first))
    assert not second.may_use("s0", 0.0)
    assert report(1, "two", second).suspects == []
    second.note_probe("s0")
    two.take(report(2, "one", first))
    assert second.may_use("s0", 1.0), "the same suspicion counts once"
    first.note_probe("s0")
    one.take(report(2, "two", second))
    assert first.may_use("s0", 1.0)


def test_a_full_server_is_not_suspected():
    chosen = dispatcher(servers(1))
    member(chosen).note_error("s0", BackendBusyError("full", step="head", not_run=True))
    assert chosen.suspects == [] and chosen.may_use("s0", 0.1)


def test_the_step_tells_how_a_call_failed():
    assert failure_kind(BackendError("x", step="connect")) is Failure.UNREACHABLE
    assert failure_kind(BackendError("x", step="read")) is Failure.SILENT
    assert failure_kind(BackendError("x", step="body")) is Failure.BROKEN
