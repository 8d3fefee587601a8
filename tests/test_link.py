"""Links between processes whose peers or lines are slow."""

import asyncio
import time

import msgspec
import pytest
import zmq
import zmq.asyncio

from tests.platforms import own_address
from verbenashore import files, logs
from verbenashore.exceptions import LinkSilentError
from verbenashore.link import Link, Server
from verbenashore.logs import Event
from verbenashore.messages import AskStatus, Sender


def sender():
    """Returns what a message says of the process of these tests."""
    return Sender("here", "east", "region", 0)


def test_an_answer_that_comes_after_its_call_was_given_up_is_logged(monkeypatch):
    logged = []
    monkeypatch.setattr(logs, "info", lambda event, **fields: logged.append((event, fields)))

    async def answer_late(_envelope, reply):
        await asyncio.sleep(0.2)
        reply(files.Done(), True)

    async def check():
        context = zmq.asyncio.Context()
        address = own_address()
        server = Server(context, address, sender, time.monotonic, answer_late)
        serving = asyncio.create_task(server.run())
        link = Link(context, address, sender, time.monotonic)
        # The server gets no word that the call is given up before it has answered.
        monkeypatch.setattr(server, "_take", ignoring_cancels(server._take))
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


def ignoring_cancels(take):
    """Returns a server's handler of messages that misses those that cancel a call."""
    return lambda peer, envelope: (
        None if type(envelope.body).__name__ == "CancelCall" else take(peer, envelope)
    )


def test_a_message_of_a_newer_build_does_not_end_a_server():
    async def play():
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
        ended = running.done()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        socket.close(linger=0)
        context.destroy(linger=0)
        assert not ended

    asyncio.run(play())
