"""Links: answers after the timeout, and messages of unknown types."""

import asyncio
import contextlib
import time

import msgspec
import pytest
import zmq
import zmq.asyncio

from tests.platforms import own_address
from verbenashore import files, link, logs
from verbenashore.exceptions import LinkSilentError
from verbenashore.link import Link, Server
from verbenashore.logs import Event
from verbenashore.messages import AskStatus, Sender


def sender():
    """Returns the description of the sending process that every message carries."""
    return Sender("here", "east", "region", 0)


def test_an_answer_to_a_call_that_timed_out_is_logged(monkeypatch):
    logged = []
    monkeypatch.setattr(logs, "info", lambda event, **fields: logged.append((event, fields)))

    async def answer_after_delay(_envelope, reply):
        await asyncio.sleep(0.2)
        reply(files.Done(), True)

    async def check():
        context = zmq.asyncio.Context()
        address = own_address()
        server = Server(context, address, sender, time.monotonic, answer_after_delay)
        serving = asyncio.create_task(server.run())
        link = Link(context, address, sender, time.monotonic)
        # The server ignores the cancellation, so that it answers a call that has timed out.
        monkeypatch.setattr(
            server, "_dispatch_message", ignoring_cancellations(server._dispatch_message)
        )
        with pytest.raises(LinkSilentError):
            await link.call(AskStatus(), 0.05)
        await asyncio.sleep(0.4)
        await link.close()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        context.destroy(linger=0)

    asyncio.run(check())
    event, fields = logged[-1]
    assert event is Event.ANSWER_LATE
    assert fields["message"] == "AskStatus" and fields["bytes"] > 0 and fields["age"] > 0.15


def ignoring_cancellations(dispatch):
    """Wraps a server's message dispatcher so that it drops cancellations of calls."""
    return lambda peer, envelope: (
        None if type(envelope.body).__name__ == "CancelCall" else dispatch(peer, envelope)
    )


def test_a_link_that_is_not_used_sends_no_pings_and_works_at_its_next_use(monkeypatch):
    monkeypatch.setattr(link, "IDLE_SECONDS", 0.3, raising=False)
    received = []

    async def check():
        context = zmq.asyncio.Context()
        address = own_address()

        async def answer(_envelope, reply):
            reply(files.Done(), True)

        server = Server(context, address, sender, time.monotonic, answer)
        serving = asyncio.create_task(server.run())
        dispatch = server._dispatch_message
        monkeypatch.setattr(
            server,
            "_dispatch_message",
            lambda peer, envelope: (received.append(envelope.body), dispatch(peer, envelope)),
        )
        used = Link(context, address, sender, time.monotonic)
        assert await used.call(AskStatus(), 1.0) == files.Done()
        await asyncio.sleep(1.0)
        before = len(received)
        await asyncio.sleep(2.0)
        pings_while_unused = len(received) - before
        silent_while_unused = used.is_quiet or used.is_silent
        assert await used.call(AskStatus(), 1.0) == files.Done()
        await asyncio.sleep(0.1)
        assert not used.is_quiet
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        await asyncio.sleep(0.2)
        # Long enough to count as silent, and short enough that the connection is not yet replaced.
        with pytest.raises(LinkSilentError):
            await used.call(AskStatus(), 0.7)
        assert used.is_silent
        await used.close()
        context.destroy(linger=0)
        assert pings_while_unused == 0
        assert not silent_while_unused

    asyncio.run(check())


def test_a_long_stream_is_not_cancelled_for_a_caller_that_only_receives(monkeypatch):
    """The caller sent no pings while answers came, so the server took it for gone."""
    monkeypatch.setattr(link, "SILENT_SECONDS", 0.4)
    answers = 150

    async def check():
        context = zmq.asyncio.Context()
        address = own_address()

        async def stream(_envelope, reply):
            for number in range(answers):
                await asyncio.sleep(0.01)
                reply(files.Done(), number == answers - 1)

        server = Server(context, address, sender, time.monotonic, stream)
        serving = asyncio.create_task(server.run())
        caller = Link(context, address, sender, time.monotonic)
        received = []
        with contextlib.suppress(LinkSilentError):
            async for answer in caller.stream(AskStatus(), 1.0):
                received.append(answer)
        await caller.close()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        context.destroy(linger=0)
        return len(received)

    assert asyncio.run(check()) == answers


def test_a_message_type_of_a_newer_build_does_not_stop_a_server():
    async def check():
        context = zmq.asyncio.Context()
        address = own_address()

        async def answer(_envelope, reply):
            reply(files.Done(), True)

        clock = asyncio.get_running_loop().time
        server = Server(context, address, sender, clock, answer)
        running = asyncio.create_task(server.run())
        socket = context.socket(zmq.DEALER)
        socket.connect(f"tcp://{address}")
        await socket.send(
            msgspec.msgpack.encode([1, True, ["p", "d", "r", 0], ["of_a_newer_build", 1]])
        )
        await asyncio.sleep(0.5)
        stopped = running.done()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        socket.close(linger=0)
        context.destroy(linger=0)
        assert not stopped

    asyncio.run(check())
