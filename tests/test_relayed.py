"""Relayed calls to servers that stall or are behind a slow line: what is done and logged."""

import asyncio

import pytest

from standins.relay import Line
from tests.gateways import gateway
from tests.platforms import wire
from tests.slowlines import BYTES_PER_SECOND, start_slow_relay
from verbenashore import backendcall, logs
from verbenashore.backendcall import Call
from verbenashore.directory import BackendEntry
from verbenashore.exceptions import DeadlineError
from verbenashore.gateway import MAX_REFUSALS
from verbenashore.logs import Event
from verbenashore.routing import Route, RouteKind, Share

CALLER_TIMEOUT = 0.4


class FakeResponder:
    """Discards the answer to one call."""

    started = False

    async def start_stream_with_headers(self, _status, _headers):
        """Notes that the answer has begun."""
        self.started = True

    async def send_with_headers(self, _status, _headers, _body):
        """Discards a whole answer."""

    async def send_chunk(self, _data):
        """Discards a part of the answer."""


def stalling_server(sent):
    """Returns a backend server's handler that sends some bytes after 0.1 s and then stalls."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.write(sent)
        await writer.drain()
        await reader.read()
        writer.close()

    return answer


async def relay_unanswered_call(kind, sent, cancel_after, full=False):
    """Relays a call that gets no complete answer.

    :param kind: of the route.
    :param sent: what the backend server sends before it stalls.
    :param cancel_after: seconds after which the caller disconnects, or None.
    :param full: true if the only slot of the server is taken.
    """
    listener = await asyncio.start_server(stalling_server(sent), "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    route = Route("r", "h", "/l/", kind, 5.0, 5.0, (Share("s", 1),))
    async with gateway() as entry:
        server = BackendEntry("b", "s", f"{host}:{port}", "d", 1, False)
        entry._list_updater.install([server], entry._clock())
        if full:
            entry._load_table.add("b", online=2)
            entry._dispatcher.release(server, 0.01)
        call = Call("c", "h", "GET", "/l/x", "/l/x", [], b"", CALLER_TIMEOUT)
        relayed = asyncio.create_task(entry.relay(call, route, FakeResponder()))
        if cancel_after is not None:
            await asyncio.sleep(cancel_after)
            relayed.cancel()
        expected = asyncio.CancelledError if cancel_after is not None else DeadlineError
        with pytest.raises((expected, ConnectionResetError)):
            await relayed
    listener.close()


@pytest.fixture
def unanswered_events(monkeypatch):
    """Collects the logged events of calls that were not answered, with their fields."""
    events = []

    def record_event(event, **fields):
        if event in (Event.CALL_FAILED, Event.CALL_CANCELLED):
            events.append((event, fields))

    monkeypatch.setattr(logs, "info", record_event)
    monkeypatch.setattr(logs, "warning", record_event)
    return events


HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)


@pytest.mark.parametrize(
    ("kind", "sent", "step", "received"),
    [
        (RouteKind.ONCE, b"", "head", False),
        (RouteKind.ONCE, HEAD, "body", True),
        (RouteKind.STREAM, HEAD + CHUNK, "events", True),
    ],
    ids=["silent", "whole", "stream"],
)
def test_a_call_that_times_out_logs_its_server_and_step(
    unanswered_events, kind, sent, step, received
):
    asyncio.run(relay_unanswered_call(kind, sent, None))
    ((event, fields),) = unanswered_events
    assert (event, fields["outcome"]) == (Event.CALL_FAILED, "deadline")
    assert (fields["server"], fields["step"]) == ("b", step)
    if received:
        assert 0.1 < fields["heard_age"] < CALLER_TIMEOUT
        assert fields["step_age"] == pytest.approx(fields["heard_age"], abs=0.05)
    else:
        assert fields["heard_age"] is None and fields["step_age"] > CALLER_TIMEOUT - 0.1


def test_a_call_cancelled_in_the_queue_logs_no_server(unanswered_events):
    asyncio.run(relay_unanswered_call(RouteKind.STREAM, b"", 0.1, full=True))
    ((event, fields),) = unanswered_events
    assert event is Event.CALL_CANCELLED
    assert (fields["server"], fields["step"], fields["heard_age"]) == ("", "queued", None)


def test_a_call_cancelled_before_the_connection_is_open_logs_the_connect_step(
    unanswered_events, monkeypatch
):
    open_connection = asyncio.open_connection

    async def open_slowly(*address):
        await asyncio.sleep(1.0)
        return await open_connection(*address)

    monkeypatch.setattr(asyncio, "open_connection", open_slowly)
    monkeypatch.setattr(backendcall, "CONNECT_TIMEOUT_SECONDS", 5.0)
    asyncio.run(relay_unanswered_call(RouteKind.STREAM, b"", 0.1))
    ((event, fields),) = unanswered_events
    assert event is Event.CALL_CANCELLED
    assert (fields["server"], fields["step"]) == ("b", "connect")


async def count_servers_of_upload(size):
    """Relays a call with a body of some bytes over a slow line; returns how often it arrived."""
    heads = []

    async def answer(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        heads.append(head)
        await reader.readexactly(size)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        await writer.drain()
        writer.close()

    backend = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = backend.sockets[0].getsockname()
    relay, address = await start_slow_relay(
        f"{host}:{port}", Line(BYTES_PER_SECOND), Line(BYTES_PER_SECOND)
    )
    route = Route("r", "h", "/l/", RouteKind.REPEATABLE, 5.0, 0.5, (Share("s", 1),), max_attempts=2)
    async with gateway() as entry:
        servers = [BackendEntry(f"b{n}", "s", address, "d", 4, False) for n in range(2)]
        entry._list_updater.install(servers, entry._clock())
        call = Call("c", "h", "POST", "/l/x", "/l/x", [], b"x" * size, 5.0)
        await entry.relay(call, route, FakeResponder())
    backend.close()
    relay.close()
    return len(heads)


@pytest.mark.parametrize("size", [1_000, 400_000])
def test_a_call_with_a_long_body_is_not_moved_to_another_server_while_it_is_sent(size):
    assert asyncio.run(count_servers_of_upload(size)) == 1


async def relay_past_replaced_servers(count, kind):
    """Relays calls while the servers nearby are replaced by others; returns their answers."""
    heads = []

    def answer(head):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            heads.append(head)
            writer.write(b"HTTP/1.1 " + head + b"\r\n")
            writer.write(b"content-length: 0\r\nconnection: close\r\n\r\n")
            await writer.drain()
            writer.close()

        return serve

    other = await asyncio.start_server(
        answer(b"421 Other\r\nX-Verbenashore-Instance-Id: new"), "127.0.0.1", 0
    )
    far = await asyncio.start_server(answer(b"200 OK"), "127.0.0.1", 0)
    addresses = [":".join(map(str, one.sockets[0].getsockname())) for one in (other, far)]
    route = Route("r", "h", "/l/", kind, 5.0, 5.0, (Share("s", 1),))
    async with gateway() as entry:
        entry._dialect = wire.DIALECT
        servers = [BackendEntry(f"b{n}", "s", addresses[0], "d", 4, False) for n in range(count)]
        servers.append(BackendEntry("far", "s", addresses[1], "other", 4, False))
        entry._list_updater.install(servers, entry._clock())
        for n in range(3):
            call = Call(f"c{n}", "h", "GET", "/l/x", "/l/x", [], b"", 5.0)
            await entry.relay(call, route, FakeResponder())
    other.close()
    far.close()
    return [head.partition(b" ")[0] for head in heads]


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.REPEATABLE])
def test_a_call_passes_any_number_of_replaced_servers_and_later_ones_pass_none(kind):
    """Guards calls that got a 502 or 503 after five servers that are no longer there."""
    count = MAX_REFUSALS + 3
    answers = asyncio.run(relay_past_replaced_servers(count, kind))
    assert answers == [b"421"] * count + [b"200"] * 3
