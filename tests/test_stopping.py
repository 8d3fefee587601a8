"""Calls of an entry that has been told to stop and is killed at the end of its grace."""

import argparse
import asyncio
import contextlib
import itertools
import time

import pytest

from tests.gateways import PLAIN_DIALECT
from tests.platforms import own_address
from verbenashore.backendcall import Call
from verbenashore.directory import BackendEntry
from verbenashore.exceptions import OverloadedError, VerbenaError
from verbenashore.gateway import Gateway
from verbenashore.ledgerrelay import RelaySettings
from verbenashore.process import Process
from verbenashore.routing import Route, RouteKind, Share

#: Seconds from the stop signal until the process is killed, and in which calls are still taken.
GRACE_SECONDS = 2.0
LAME_DUCK_SECONDS = 0.8
#: Timeout of the calls: longer than the grace.
TIMEOUT_SECONDS = 6.0
SLOTS = 64
REQUEST = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n"


class StoppingEntry:
    """An entry with one backend server.

    :param reached: how many calls have reached the server.
    :param pause: seconds until the server answers.
    :param timeouts: of the calls, in seconds, in the order of their arrival.
    :param run: the task of the entry.
    """

    def __init__(self, kind, pause):
        shares, resumable = (Share("s", 1),), kind is RouteKind.STREAM
        self.route = Route("r", "h", "/", kind, TIMEOUT_SECONDS, 0.5, shares, resumable=resumable)
        self.pause = pause
        self.reached = 0
        self.timeouts = itertools.repeat(TIMEOUT_SECONDS)

    async def answer(self, reader, writer):
        """Answers a call as the server does, unless its caller leaves."""
        if self.route.kind is RouteKind.STREAM:
            await self.answer_with_events(reader, writer)
            return
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            self.reached += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.pause):
                    await reader.read()
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
            await writer.drain()
        writer.close()

    async def answer_with_events(self, reader, writer):
        """Sends an event every 0.1 s until the answer has taken the pause."""
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            self.reached += 1
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n")
            writer.write(b"transfer-encoding: chunked\r\n\r\n")
            for number in range(1, 1 + round(self.pause / 0.1)):
                event = b"id: %d\ndata: x\n\n" % number
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.sleep(0.1)
            writer.write(b"0\r\n\r\n")
        writer.close()

    async def handle(self, request, respond):
        """Relays a call as the platform's handler does."""
        call = Call("c", "h", request.method, "/x", "/x", [], b"", next(self.timeouts))
        try:
            await self.gateway.relay(call, self.route, respond)
        except VerbenaError as error:
            status = 503 if isinstance(error, OverloadedError) else error.http_status
            await respond.send_json(status, {})

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs the entry; its process is not killed at the end of the grace."""
        listener = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        process = Process(
            argparse.Namespace(
                name="e",
                data_centre="d",
                region="r",
                statsd=(),
                lame_duck=LAME_DUCK_SECONDS,
                grace=GRACE_SECONDS,
            )
        )
        entries = [BackendEntry("b", "s", f"{host}:{port}", "d", SLOTS, False)]

        async def fetch():
            return entries

        settings = RelaySettings(PLAIN_DIALECT, fetch, own_address())
        self.gateway = Gateway(process, settings, ["127.0.0.1:1"])
        self.address, self.stopping = own_address(), process.stopping
        self.run = asyncio.create_task(self.gateway.run(self.address, self.handle))
        try:
            await asyncio.sleep(0.5)
            yield
        finally:
            self.run.cancel()
            await asyncio.gather(self.run, return_exceptions=True)
            await process.close()
            listener.close()
            # The last connections close before the loop does.
            await asyncio.sleep(0.1)

    async def status(self, until):
        """Makes a call; returns the status of its answer, or None if there is none in time.

        :param until: when the caller gives up, by ``time.monotonic``.
        """
        host, _, port = self.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST)
        try:
            async with asyncio.timeout(until - time.monotonic()):
                return int((await reader.readuntil(b"\r\n"))[9:12])
        except (TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()


def occupy_loop(seconds):
    """Lets the event loop do nothing else for some time."""
    time.sleep(seconds)


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.REPEATABLE])
def test_a_call_that_outlasts_the_grace_is_answered_before_its_process_is_killed(kind):
    async def check():
        entry = StoppingEntry(kind, pause=TIMEOUT_SECONDS)
        async with entry.running():
            killed_at = time.monotonic() + 0.1 + GRACE_SECONDS
            calling = asyncio.create_task(entry.status(killed_at))
            await asyncio.sleep(0.1)
            entry.stopping.set()
            assert await calling == 504
            assert time.monotonic() > killed_at - 0.5, "the server had most of the grace"

    asyncio.run(check())


def test_a_late_call_that_may_run_once_is_refused_and_does_not_run():
    async def check():
        entry = StoppingEntry(RouteKind.ONCE, pause=TIMEOUT_SECONDS)
        async with entry.running():
            entry.stopping.set()
            await asyncio.sleep(0.1)
            assert await entry.status(time.monotonic() + 1.0) == 503
            assert entry.reached == 0

    asyncio.run(check())


def test_a_late_call_that_may_run_again_is_served():
    async def check():
        entry = StoppingEntry(RouteKind.REPEATABLE, pause=0.2)
        async with entry.running():
            entry.stopping.set()
            await asyncio.sleep(0.1)
            assert await entry.status(time.monotonic() + 1.0) == 200

    asyncio.run(check())


def test_a_stop_while_calls_time_out_does_not_end_the_process():
    async def check():
        entry = StoppingEntry(RouteKind.REPEATABLE, pause=1.0)
        entry.timeouts = iter([TIMEOUT_SECONDS, *(0.3 + 0.01 * n for n in range(30))])
        async with entry.running():
            until = time.monotonic() + GRACE_SECONDS
            calls = [asyncio.create_task(entry.status(until)) for _ in range(31)]
            await asyncio.sleep(0.4)
            entry.stopping.set()
            for _ in range(6):
                await asyncio.sleep(0)
                occupy_loop(0.02)  # Until the next call times out.
            assert (await asyncio.gather(*calls))[0] == 200
            await entry.run

    asyncio.run(check())


def test_a_call_behind_a_stream_that_outlasts_the_lame_duck_is_not_cut():
    async def check():
        entry = StoppingEntry(RouteKind.STREAM, pause=LAME_DUCK_SECONDS + 0.5)
        async with entry.running():
            host, _, port = entry.address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(REQUEST)
            await reader.readuntil(b"id: 1\n")
            entry.stopping.set()
            await reader.readuntil(b"\r\n0\r\n\r\n")
            writer.write(REQUEST)
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 503 "), answer
            assert entry.reached == 1
            writer.close()

    asyncio.run(check())
