"""Suspicion is reported by the member that found it, and never passed on."""

import asyncio

from tests.platforms import wire
from tests.test_dispatch import make_dispatcher, make_servers
from verbenashore.backendcall import Dialect, failure_kind
from verbenashore.directory import BackendEntry
from verbenashore.dispatch import SUSPECT_RETRY_SECONDS, FailureKind
from verbenashore.exceptions import BackendBusyError, BackendError, BackendReplacedError
from verbenashore.loadtable import Report
from verbenashore.prober import Prober
from verbenashore.routing import RouteIndex, RouteTable, Service

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
    assert failure_kind(BackendReplacedError("x", step="head")) is FailureKind.REPLACED


async def probed(answer):
    """Returns a dispatcher after its only server, which a member reported, was probed once."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer + b"content-length: 0\r\nconnection: close\r\n\r\n")
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server = BackendEntry("s0", "notes", f"{host}:{port}", "dc", 2, False)
    dispatcher = make_dispatcher([server])
    routes = RouteIndex(RouteTable(services=(Service("notes", 100, "/health"),)))
    prober = Prober(wire.DIALECT, dispatcher, lambda: 0.0, lambda: routes, lambda: None)
    prober.record_suspects(Report("other", "a", 1, {}, ["s0"]))
    async with listener:
        await prober._probe(server)
    return dispatcher


def test_a_status_check_that_another_server_answers_shows_that_the_server_is_replaced():
    """Guards against the readmission, or the early retry, of a server that is gone."""
    at_retry = SUSPECT_RETRY_SECONDS
    ready = asyncio.run(probed(b"HTTP/1.1 200 OK\r\nX-Verbenashore-Instance-Id: s0\r\n"))
    assert not ready.has_suspects
    for status in (b"200 OK", b"421 Other"):
        head = b"HTTP/1.1 " + status + b"\r\nX-Verbenashore-Instance-Id: s9\r\n"
        replaced = asyncio.run(probed(head))
        assert replaced.suspects == ["s0"] and not replaced.may_use("s0", at_retry)
    failing = asyncio.run(probed(b"HTTP/1.1 503 Full\r\nX-Verbenashore-Instance-Id: s0\r\n"))
    assert failing.suspects == [] and failing.may_use("s0", at_retry)
