"""What a process says while it does not know something yet."""

import asyncio

import pytest

from tests.gateways import gateway
from verbenashore.backendcall import Call
from verbenashore.directory import BackendEntry
from verbenashore.exceptions import OverloadedError
from verbenashore.gateway import START_SECONDS, START_SPREAD_SECONDS
from verbenashore.routing import Route, RouteKind, Share

ROUTE = Route("r", "h", "/l/", RouteKind.REPEATABLE, 5.0, 0.5, (Share("s", 1),))


class Answer:
    """Takes the answer to one call."""

    started = False
    status = 0

    async def relayed(self, status, _headers, body):
        """Takes a whole answer."""
        self.status, self.body = status, body


def call(patience=5.0):
    """Returns a call of a caller who waits for some seconds."""
    return Call("c", "h", "GET", "/l/x", "/l/x", [], b"", patience)


async def answer_all(reader, writer):
    """Answers one call as a backend server."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
    await writer.drain()
    writer.close()


def listed(listener):
    """Returns a list with one server."""
    host, port = listener.sockets[0].getsockname()
    return [BackendEntry("b", "s", f"{host}:{port}", "d", 4, False)]


async def refusal(entry, patience=5.0):
    """Returns how a call is refused, and after how many seconds."""
    clock = asyncio.get_running_loop().time
    came = clock()
    with pytest.raises(OverloadedError) as refused:
        await entry.relay(call(patience), ROUTE, Answer())
    return refused.value, clock() - came


def test_a_call_before_the_first_list_is_told_when_to_come_back_and_not_no_server():
    async def play():
        async with gateway() as entry:
            refused, seconds = await refusal(entry)
            assert (refused.message, refused.step) == ("no list is known", "place")
            assert START_SECONDS <= refused.retry_after <= START_SECONDS + START_SPREAD_SECONDS
            assert seconds < 0.2

    asyncio.run(play())


def test_a_caller_who_comes_back_before_the_first_list_is_held_and_served():
    async def play():
        listener = await asyncio.start_server(answer_all, "127.0.0.1", 0)
        async with gateway() as entry:
            entry._returned.note("h", "/l/x", 5.0)
            answer = Answer()
            held = asyncio.create_task(entry.relay(call(4.0), ROUTE, answer))
            await asyncio.sleep(0.1)
            assert not held.done()
            entry._list.take(listed(listener), entry._clock())
            await held
            assert (answer.status, answer.body) == (200, b"ok")
        listener.close()

    asyncio.run(play())


def test_a_list_that_was_read_and_is_empty_means_no_server():
    async def play():
        async with gateway() as entry:
            entry._returned.note("h", "/l/x", 5.0)
            held = asyncio.create_task(refusal(entry, 4.0))
            await asyncio.sleep(0.1)
            entry._list.take([], entry._clock())
            refused, seconds = await held
            assert refused.message == "no server" and seconds < 1.0
            assert (await refusal(entry))[0].message == "no server"

    asyncio.run(play())
