"""One call to one server: which of its answers say something about that server."""

import asyncio
import contextlib
import socket
import time

import pytest

from tests.platforms import wire
from verbenashore import backendcall, httpclient
from verbenashore.backendcall import Call
from verbenashore.directory import BackendEntry
from verbenashore.exceptions import BackendError, BackendReplacedError


async def leaving_told(answer, ask):
    """Returns the servers that are said to leave when one answers a call in a certain way."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer + b"content-length: 0\r\nconnection: close\r\n\r\n")
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    told = []
    async with listener:
        with contextlib.suppress(BackendError):
            await ask(BackendEntry("b", "s", f"{host}:{port}", "d", 4, False), told.append)
    return [server.name for server in told]


async def run_call(server, on_leaving, on_rate=backendcall.ignore_rate):
    """Makes a call."""
    call = Call("c", "h", "GET", "/x", "/x", [], b"")
    async with backendcall.open_call(
        wire.DIALECT,
        server,
        call,
        remaining_seconds=None,
        last_event=None,
        progress_timeout=5.0,
        on_leaving=on_leaving,
        on_rate=on_rate,
    ) as opened:
        assert not [part async for part in opened.parts()]


async def run_status_check(server, on_leaving, on_rate=backendcall.ignore_rate):
    """Makes a status check."""
    await backendcall.check_status(wire.DIALECT, server, "/health", on_leaving, on_rate)


@pytest.mark.parametrize("ask", [run_call, run_status_check])
@pytest.mark.parametrize(
    ("answer", "told"),
    [
        (b"HTTP/1.1 200 OK\r\n", []),
        (b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n", ["b"]),
        (b"HTTP/1.1 500 Error\r\nServer-Leaving: 1\r\n", ["b"]),
        (b"HTTP/1.1 503 Full\r\nX-Verbenashore-Not-Executed: 1\r\nServer-Leaving: 1\r\n", ["b"]),
        (b"HTTP/1.1 421 Other\r\nServer-Leaving: 1\r\n", []),
        (b"HTTP/1.1 200 OK\r\nX-Verbenashore-Instance-Id: other\r\nServer-Leaving: 1\r\n", []),
        (b"HTTP/1.1 200 OK\r\nX-Verbenashore-Instance-Id: b\r\nServer-Leaving: 1\r\n", ["b"]),
    ],
)
def test_only_answers_of_the_named_server_say_that_it_leaves(ask, answer, told):
    assert asyncio.run(leaving_told(answer, ask)) == told


OWN = b"X-Verbenashore-Request-Id: c\r\n"


@pytest.mark.parametrize(
    ("answer", "of_call", "of_check"),
    [
        (b"HTTP/1.1 200 OK\r\nServer-Limit: 2\r\n" + OWN, [2.0], [2.0]),
        (b"HTTP/1.1 500 Error\r\nServer-Limit: 2\r\n" + OWN, [2.0], [2.0]),
        (
            b"HTTP/1.1 503 Full\r\nX-Verbenashore-Not-Executed: 1\r\nServer-Limit: 2\r\n" + OWN,
            [2.0],
            [2.0],
        ),
        (b"HTTP/1.1 200 OK\r\n" + OWN, [None], [None]),
        (b"HTTP/1.1 200 OK\r\n", [], []),
        (b"HTTP/1.1 500 Error\r\n" + OWN, [], []),
        (b"HTTP/1.1 200 OK\r\nServer-Limit: nan\r\n" + OWN, [], []),
        (b"HTTP/1.1 421 Other\r\nServer-Limit: 2\r\n" + OWN, [], []),
        (b"HTTP/1.1 200 OK\r\nX-Verbenashore-Instance-Id: o\r\nServer-Limit: 2\r\n", [], []),
    ],
)
def test_a_rate_is_stated_by_any_answer_and_ended_by_a_good_one_to_the_call(
    answer, of_call, of_check
):
    for ask, expected in ((run_call, of_call), (run_status_check, of_check)):
        rates = []

        async def ask_and_record(server, on_leaving, ask=ask, rates=rates):
            await ask(server, on_leaving, lambda _server, rate: rates.append(rate))

        asyncio.run(leaving_told(answer, ask_and_record))
        assert rates == expected


def test_an_answer_to_another_call_does_not_say_who_leaves():
    answer = b"HTTP/1.1 200 OK\r\nX-Verbenashore-Request-Id: other\r\nServer-Leaving: 1\r\n"
    assert asyncio.run(leaving_told(answer, run_call)) == []


@pytest.mark.parametrize(
    ("headers", "error"),
    [
        (b"X-Verbenashore-Instance-Id: other\r\n", BackendReplacedError),
        (b"X-Verbenashore-Instance-Id: b\r\n", BackendError),
        (b"", BackendError),
    ],
)
def test_a_server_is_replaced_only_if_another_one_names_itself(headers, error):
    """Guards a server that refused a call for another reason, such as an expected version."""

    async def raised():
        errors = []

        async def ask(server, on_leaving):
            try:
                await run_call(server, on_leaving)
            except BackendError as caught:
                errors.append(caught)

        refusal = b"X-Verbenashore-Not-Executed: 1\r\nX-Verbenashore-Request-Id: c\r\n"
        await leaving_told(b"HTTP/1.1 421 Other\r\n" + refusal + headers, ask)
        return errors

    (caught,) = asyncio.run(raised())
    assert type(caught) is error and caught.not_run


HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


async def crashes(server):
    """Closes the port before the connection."""
    server.close()
    return True


async def breaks_the_connection(_server):
    """Leaves the port open."""
    return False


@pytest.mark.parametrize("sent", [b"", HEAD[:20], HEAD, HEAD + b"2\r\nab\r\n"])
@pytest.mark.parametrize("behaviour", [crashes, breaks_the_connection])
def test_a_crash_is_told_from_a_broken_connection(sent, behaviour):
    async def play():
        async def answer(reader, writer):
            with contextlib.closing(writer):
                if await reader.read(1024):
                    writer.write(sent)
                    await behaviour(server)

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        entry = BackendEntry("b", "s", f"{host}:{port}", "d", 1, False)
        with pytest.raises(BackendError) as raised:
            await httpclient.request(entry.address, "GET", "/", seconds=5.0)
        found = await backendcall.has_crashed(entry, raised.value)
        server.close()
        return raised.value.step, found

    step, found = asyncio.run(play())
    assert step in backendcall.BROKEN_STEPS
    assert found == (behaviour is crashes)


@pytest.mark.parametrize("step", ["connect", "read", "head"])
def test_other_failures_open_no_connection(step):
    entry = BackendEntry("b", "s", "127.0.0.1:1", "d", 1, False)
    error = BackendError("failed", step=step)
    assert not asyncio.run(backendcall.has_crashed(entry, error))


class TwoParts:
    """A response of two parts, which counts those that were read."""

    def __init__(self):
        self.read = 0

    async def parts(self):
        """Yields the parts."""
        for part in (b"first", b"second"):
            self.read += 1
            yield part


def test_a_part_of_an_answer_is_not_read_until_there_is_room_for_it(monkeypatch):
    """Guards against answers that fill the memory while their callers read slowly."""
    monkeypatch.setattr(backendcall, "ROOM_POLL_SECONDS", 0.0)
    exchange, asked = TwoParts(), []

    def keep(size):
        asked.append((size, exchange.read))
        return len(asked) < 3

    opened = backendcall.OpenCall(exchange, None)
    assert asyncio.run(opened.read_whole(100, keep)) == b"firstsecond"
    assert asked == [(5, 1), (0, 1), (0, 1), (6, 2)]
    with pytest.raises(BackendError):
        asyncio.run(backendcall.OpenCall(TwoParts(), None).read_whole(10, lambda _size: False))


def test_a_crash_is_recognised_by_a_process_that_has_just_stalled():
    """Guards against crashes of servers that go uncounted at a busy member."""

    async def check():
        listener = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        listener.close()
        server = BackendEntry("b", "s", f"{host}:{port}", "d", 4, False)
        error = BackendError("broken", step="exchange", peer="b")
        checking = asyncio.create_task(backendcall.has_crashed(server, error))
        stall_seconds = 2 * backendcall.CRASH_CHECK_SECONDS
        asyncio.get_running_loop().call_soon(time.sleep, stall_seconds)
        return await checking

    assert asyncio.run(check())


def test_a_crash_is_found_although_the_port_closes_after_the_connections():
    """Guards against crashes that are missed since the ended process still took a connection."""

    async def play():
        port = socket.create_server(("127.0.0.1", 0))
        entry = BackendEntry("b", "s", f"127.0.0.1:{port.getsockname()[1]}", "d", 1, False)
        asyncio.get_running_loop().call_later(0.01, port.close)
        return await backendcall.has_crashed(entry, BackendError("broken", step="answer"))

    assert asyncio.run(play())
