"""Relayed calls at servers that stand still or are far: what is done, and what the log says."""

import asyncio

import pytest

from standins.relay import Line
from tests.gateways import gateway
from tests.slowlines import RATE, slow_relay
from verbenashore import backendcall, logs
from verbenashore.backendcall import Call
from verbenashore.directory import BackendEntry
from verbenashore.exceptions import DeadlineError
from verbenashore.logs import Event
from verbenashore.routing import Route, RouteKind, Share

PATIENCE = 0.4


class Answer:
    """Takes the answer to one call."""

    started = False

    async def start_stream_with_headers(self, _status, _headers):
        """Takes the head."""
        self.started = True

    async def send_with_headers(self, _status, _headers, _body):
        """Takes a whole answer."""

    async def send_chunk(self, _data):
        """Takes a part."""


def backend(sent):
    """Returns a backend server that sends something after 0.1 s and then goes silent."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.write(sent)
        await writer.drain()
        await reader.read()
        writer.close()

    return answer


async def play(kind, sent, leave_after, full=False):
    """Relays a call that gets no whole answer.

    :param leave_after: seconds after which its caller leaves, or None.
    :param full: the only slot is taken.
    """
    listener = await asyncio.start_server(backend(sent), "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    route = Route("r", "h", "/l/", kind, 5.0, 5.0, (Share("s", 1),))
    async with gateway() as entry:
        server = BackendEntry("b", "s", f"{host}:{port}", "d", 1, False)
        entry._list_updater.install([server], entry._clock())
        if full:
            entry._load_table.add("b", online=2)
            entry._dispatcher.release(server, 0.01)
        call = Call("c", "h", "GET", "/l/x", "/l/x", [], b"", PATIENCE)
        relayed = asyncio.create_task(entry.relay(call, route, Answer()))
        if leave_after is not None:
            await asyncio.sleep(leave_after)
            relayed.cancel()
        expected = asyncio.CancelledError if leave_after is not None else DeadlineError
        with pytest.raises((expected, ConnectionResetError)):
            await relayed
    listener.close()


@pytest.fixture
def ends(monkeypatch):
    """Collects the lines of calls that were not answered."""
    lines = []

    def write(event, **fields):
        if event in (Event.CALL_FAILED, Event.CALL_CANCELLED):
            lines.append((event, fields))

    monkeypatch.setattr(logs, "info", write)
    monkeypatch.setattr(logs, "warning", write)
    return lines


HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"
PART = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)


@pytest.mark.parametrize(
    ("kind", "sent", "step", "heard"),
    [
        (RouteKind.ONCE, b"", "head", False),
        (RouteKind.ONCE, HEAD, "body", True),
        (RouteKind.STREAM, HEAD + PART, "events", True),
    ],
    ids=["silent", "whole", "stream"],
)
def test_a_call_whose_time_is_over_tells_its_server_and_where_it_stood(
    ends, kind, sent, step, heard
):
    asyncio.run(play(kind, sent, None))
    ((event, fields),) = ends
    assert (event, fields["outcome"]) == (Event.CALL_FAILED, "deadline")
    assert (fields["server"], fields["step"]) == ("b", step)
    if heard:
        assert 0.1 < fields["heard_age"] < PATIENCE
        assert fields["step_age"] == pytest.approx(fields["heard_age"], abs=0.05)
    else:
        assert fields["heard_age"] is None and fields["step_age"] > PATIENCE - 0.1


def test_a_caller_who_leaves_the_queue_stood_at_no_server(ends):
    asyncio.run(play(RouteKind.STREAM, b"", 0.1, full=True))
    ((event, fields),) = ends
    assert event is Event.CALL_CANCELLED
    assert (fields["server"], fields["step"], fields["heard_age"]) == ("", "queued", None)


def test_a_caller_who_leaves_before_there_is_a_connection(ends, monkeypatch):
    start = asyncio.open_connection

    async def slow(*place):
        await asyncio.sleep(1.0)
        return await start(*place)

    monkeypatch.setattr(asyncio, "open_connection", slow)
    monkeypatch.setattr(backendcall, "CONNECT_TIMEOUT_SECONDS", 5.0)
    asyncio.run(play(RouteKind.STREAM, b"", 0.1))
    ((event, fields),) = ends
    assert event is Event.CALL_CANCELLED
    assert (fields["server"], fields["step"]) == ("b", "connect")


async def upload(size):
    """Relays a call with a long body over a slow line; returns how many servers got it."""
    seen = []

    async def answer(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        seen.append(head)
        await reader.readexactly(size)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        await writer.drain()
        writer.close()

    near = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = near.sockets[0].getsockname()
    far, address = await slow_relay(f"{host}:{port}", Line(RATE), Line(RATE))
    route = Route("r", "h", "/l/", RouteKind.REPEATABLE, 5.0, 0.5, (Share("s", 1),), max_attempts=2)
    async with gateway() as entry:
        servers = [BackendEntry(f"b{n}", "s", address, "d", 4, False) for n in range(2)]
        entry._list_updater.install(servers, entry._clock())
        call = Call("c", "h", "POST", "/l/x", "/l/x", [], b"x" * size, 5.0)
        await entry.relay(call, route, Answer())
    near.close()
    far.close()
    return len(seen)


@pytest.mark.parametrize("size", [1_000, 400_000])
def test_a_call_with_a_long_body_is_not_moved_while_it_is_sent(size):
    assert asyncio.run(upload(size)) == 1
