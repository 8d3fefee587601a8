"""Calls at a backend server that is silent for a while: they move on only to one that can help."""

import asyncio
import contextlib

import pytest

from tests.gateways import gateway
from tests.platforms import wire
from verbenashore.backendcall import Call
from verbenashore.directory import BackendEntry
from verbenashore.dispatch import FailureKind
from verbenashore.exceptions import DeadlineError
from verbenashore.routing import Route, RouteKind, Share

HEAD = (
    b"HTTP/1.1 200 OK\r\nx-verbenashore-request-id: c\r\ncontent-type: text/event-stream\r\n"
    b"connection: close\r\n\r\n"
)
EVENTS = [b"id: %d\ndata: x%d\n\n" % (number, number) for number in range(1, 4)]
#: Longest pause of the route; the server's pause before its second event is longer.
PAUSE_SECONDS = 0.1
SERVER_PAUSE_SECONDS = 0.6
TIMEOUT_SECONDS = 2.0


class Responder:
    """Keeps what the caller of one stream gets."""

    def __init__(self):
        self.started = self.ended = False
        self.body = b""

    async def start_stream_with_headers(self, _status, _headers):
        """Notes that the stream has begun."""
        self.started = True

    async def send_chunk(self, data):
        """Keeps a part of the stream."""
        self.body += data

    async def end_stream(self):
        """Notes that the stream is complete."""
        self.ended = True


class Servers:
    """Backend servers of one service in one process, which pause as they are told.

    :param pause_by_name: the seconds before the second event of each.
    :param runs: the servers that were called, in order.
    """

    def __init__(self, pause_by_name):
        self.pause_by_name = pause_by_name
        self.runs = []
        self._listeners = []

    async def start(self, name):
        """Starts a server and returns its entry in the list."""

        async def serve(reader, writer):
            with contextlib.closing(writer), contextlib.suppress(ConnectionError):
                request = await reader.readuntil(b"\r\n\r\n")
                self.runs.append(name)
                first = 1 if b"last-event-id: 1" in request.lower() else 0
                writer.write(HEAD)
                for number in range(first, len(EVENTS)):
                    if number == 1:
                        await asyncio.sleep(self.pause_by_name[name])
                    writer.write(EVENTS[number])
                    await writer.drain()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._listeners.append(listener)
        host, port = listener.sockets[0].getsockname()
        return BackendEntry(name, "s", f"{host}:{port}", "d", 4, False)

    def stop(self):
        """Stops all servers."""
        for listener in self._listeners:
            listener.close()


def route(kind=RouteKind.STREAM):
    """Returns a route on which a call may run three times."""
    return Route(
        "r",
        "h",
        "/",
        kind,
        TIMEOUT_SECONDS,
        TIMEOUT_SECONDS / 10,
        (Share("s", 1),),
        max_attempts=3,
        resumable=kind is RouteKind.STREAM,
        pause=PAUSE_SECONDS,
    )


async def relay(pause_by_name, prepare=lambda entry: None, late=()):
    """Relays a stream; returns what its caller got, and the servers that were called.

    :param pause_by_name: the servers, with their pauses.
    :param prepare: called with the gateway before the call.
    :param late: servers that are listed only during the pause.
    """
    servers = Servers(pause_by_name)
    entries = [await servers.start(name) for name in pause_by_name]
    responder = Responder()
    async with gateway(dialect=wire.DIALECT) as entry:
        listed = [server for server in entries if server.name not in late]
        entry._list_updater.install(listed, entry.clock())
        prepare(entry)
        call = Call("c", "h", "GET", "/x", "/x", [], b"", TIMEOUT_SECONDS)
        relaying = asyncio.create_task(entry.relay(call, route(), responder))
        if late:
            await asyncio.sleep(SERVER_PAUSE_SECONDS / 2)
            entry._list_updater.install(entries, entry.clock())
        try:
            await relaying
        finally:
            servers.stop()
    return responder, servers.runs


def test_a_stream_is_not_cut_in_a_pause_of_the_only_server():
    """Guards against streams that ended after 0.15 s of silence of a service's only server."""
    responder, runs = asyncio.run(relay({"a": SERVER_PAUSE_SECONDS}))
    assert (responder.ended, responder.body, runs) == (True, b"".join(EVENTS), ["a"])


def test_a_stream_is_not_cut_while_the_other_servers_are_suspected():
    def suspect_other(entry):
        entry._dispatcher.record_failure("b", FailureKind.UNREACHABLE, entry.clock())

    pauses = {"a": SERVER_PAUSE_SECONDS, "b": 0.0}
    responder, runs = asyncio.run(relay(pauses, suspect_other))
    assert (responder.ended, responder.body, runs) == (True, b"".join(EVENTS), ["a"])


def test_a_stream_moves_on_once_another_server_is_listed():
    pauses = {"a": 10 * SERVER_PAUSE_SECONDS, "b": 0.0}
    responder, runs = asyncio.run(relay(pauses, late=("b",)))
    assert (responder.ended, responder.body, runs) == (True, b"".join(EVENTS), ["a", "b"])


def test_a_call_at_the_only_server_ends_at_its_deadline_if_nothing_comes():
    async def check():
        async def serve(reader, writer):
            with contextlib.closing(writer):
                await reader.read()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        async with listener, gateway(dialect=wire.DIALECT) as entry:
            server = BackendEntry("a", "s", f"{host}:{port}", "d", 4, False)
            entry._list_updater.install([server], entry.clock())
            call = Call("c", "h", "GET", "/x", "/x", [], b"", TIMEOUT_SECONDS)
            started = entry.clock()
            with pytest.raises(DeadlineError):
                await entry.relay(call, route(RouteKind.REPEATABLE), Responder())
            return entry.clock() - started

    assert asyncio.run(check()) == pytest.approx(TIMEOUT_SECONDS, abs=0.5)
