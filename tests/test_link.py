"""Links: answers after the timeout, and messages of unknown types."""

import asyncio
import contextlib
import itertools
import time

import msgspec
import pytest
import zmq
import zmq.asyncio

from standins.relay import Relay
from tests.platforms import own_address
from verbenashore import files, link, logs, transfer
from verbenashore.exceptions import LinkSilentError
from verbenashore.link import Link, Server
from verbenashore.logs import Event
from verbenashore.messages import AskStatus, Sender
from verbenashore.settings import parse_address
from verbenashore.transfer import Backlog


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


async def seconds_until_answered(messages, pause, first=()):
    """Stalls the connection of a bulk link for good; returns when a call is answered again.

    :param messages: what is sent again and again, one call after the other.
    :param pause: seconds between two calls, each of which waits as long for its answer.
    :param first: messages that are sent just after the connection has stalled.
    """

    async def answer(_envelope, reply):
        reply(files.Done(), True)

    context = zmq.asyncio.Context()
    target, address = own_address(), own_address()
    server = Server(context, target, sender, time.monotonic, answer)
    serving = asyncio.create_task(server.run())
    relay = Relay(parse_address(target))
    endpoint = parse_address(address)
    listening = await asyncio.start_server(relay.serve_connection, endpoint.host, endpoint.port)
    bulk = Link(context, address, sender, time.monotonic, Backlog(time.monotonic))
    assert await bulk.call(AskStatus(), 2.0) == files.Done()
    relay.stall_connections()
    stalled_at = time.monotonic()
    for message in first:
        bulk.post(message)
    answered_at = None
    for message in itertools.cycle(messages):
        with contextlib.suppress(LinkSilentError):
            await bulk.call(message, pause)
            answered_at = time.monotonic()
        if answered_at is not None or time.monotonic() > stalled_at + 8.0:
            break
    await bulk.close()
    serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)
    listening.close()
    context.destroy(linger=0)
    return None if answered_at is None else answered_at - stalled_at


def long_message(size):
    """Returns a message of about some bytes."""
    return transfer.Part(1, 0, size, b"x" * size)


@pytest.mark.parametrize(
    ("message", "pause"),
    [(AskStatus(), 1.0), (AskStatus(), 0.2), (long_message(400_000), 0.2)],
    ids=["small", "small-often", "long-often"],
)
def test_a_dead_bulk_link_is_replaced_whatever_is_sent_on_it(message, pause):
    """Guards against entries that routed by an old version for good: their requests for the newer
    one went to a connection that was dead, and each counted as a reason to wait longer.
    """
    seconds = asyncio.run(seconds_until_answered([message], pause))
    assert seconds is not None
    assert seconds < link.SILENT_SECONDS + 2 * link.PING_INTERVAL_SECONDS + 2 * pause + 0.5


def test_a_bulk_link_has_the_time_of_what_was_sent_before_its_ping():
    size = int(2.0 * transfer.LOWEST_BYTES_PER_SECOND)
    seconds = asyncio.run(seconds_until_answered([AskStatus()], 0.2, [long_message(size)]))
    assert seconds is not None
    assert 2.0 + link.SILENT_SECONDS - 0.2 < seconds < 2.0 + link.SILENT_SECONDS + 1.4


def test_a_link_that_is_excused_for_its_backlog_is_logged(monkeypatch):
    logged = []
    monkeypatch.setattr(logs, "info", lambda event, **fields: logged.append((event, fields)))
    size = int(2.0 * transfer.LOWEST_BYTES_PER_SECOND)
    asyncio.run(seconds_until_answered([AskStatus()], 0.2, [long_message(size)]))
    excused = [fields for event, fields in logged if event is Event.LINK_EXCUSED]
    assert len(excused) == 1 and excused[0]["silent"] > link.SILENT_SECONDS
