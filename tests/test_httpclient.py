"""Reads of a response: the timeout of each read, and pauses between reads."""

import asyncio
import contextlib
import socket
import struct
import time
import tracemalloc
from collections import Counter

import pytest

from verbenashore import httpclient
from verbenashore.exceptions import BackendError

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
PAUSE_SECONDS = 0.05


def read_parts(answer, read_timeout=1.0, read_pause=0.0, shorter=None):
    """Reads the response of a server; returns its parts and the seconds that it took.

    :param answer: writes the response.
    :param shorter: the read timeout from the first part on, if it changes.
    """

    async def serve(reader, writer):
        with contextlib.closing(writer):
            await reader.readuntil(b"\r\n\r\n")
            await answer(writer)

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        clock = asyncio.get_running_loop().time
        parts = []
        async with (
            server,
            httpclient.exchange(f"{host}:{port}", "GET", "/", b"", read_timeout) as exchange,
        ):
            exchange.read_pause = read_pause
            started = clock()
            try:
                async for part in exchange.parts():
                    parts.append(part)
                    if shorter is not None:
                        exchange.set_read_timeout(shorter)
            except BackendError as error:
                return parts, clock() - started, error
            return parts, clock() - started, None

    return asyncio.run(run())


async def many_chunks(writer):
    """Writes forty chunks at once, and the end."""
    writer.write(HEAD + b"2\r\nab\r\n" * 40 + b"0\r\n\r\n")
    await writer.drain()


async def slow_chunks(writer):
    """Writes a chunk every 0.1 s, and the end."""
    writer.write(HEAD)
    for _ in range(6):
        await asyncio.sleep(0.1)
        writer.write(b"2\r\nab\r\n")
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def no_end(writer):
    """Writes one chunk and then nothing more."""
    writer.write(HEAD + b"2\r\nab\r\n")
    await asyncio.sleep(5.0)


def test_a_pause_between_reads_does_not_delay_each_event_that_was_read():
    """Guards against items of 197 events that took 10 s, as each event waited for the pause."""
    parts, seconds, _ = read_parts(many_chunks, read_pause=PAUSE_SECONDS)
    assert b"".join(parts) == b"ab" * 40
    assert seconds < 10 * PAUSE_SECONDS


def test_the_timeout_counts_from_each_read():
    parts, seconds, error = read_parts(slow_chunks, read_timeout=0.4)
    assert error is None and b"".join(parts) == b"ab" * 6
    assert seconds >= 0.4


@pytest.mark.parametrize("shorter", [None, 0.3])
def test_a_silent_server_times_out_in_the_read_that_waits(shorter):
    parts, seconds, error = read_parts(no_end, read_timeout=0.6, shorter=shorter)
    assert parts == [b"ab"] and error.step == "read"
    assert (shorter or 0.6) - 0.05 <= seconds < 1.5


WHOLE_HEAD = b"HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-type: text/event-stream\r\n\r\n"
INTERIM_HEAD = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"


def close(writer):
    """Ends a connection in order."""
    writer.close()


def reset(writer):
    """Makes the kernel end a connection with a reset."""
    no_linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


async def responses_to(sent, end):
    """Sends a request for each of some byte strings, which the server sends before it ends.

    Returns the status of each response or the step of its error.
    """
    waiting = list(sent)

    async def serve(reader, writer):
        with contextlib.closing(writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(waiting.pop(0))
            await writer.drain()
            end(writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    results = []
    async with server:
        for _ in sent:
            try:
                response = await httpclient.request(f"{host}:{port}", "GET", "/", seconds=5.0)
                results.append(response.status)
            except BackendError as error:
                assert not error.not_run
                results.append(error.step)
    return results


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("before", [b"", INTERIM_HEAD], ids=["first", "after an interim head"])
@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"], ids=["crlf", "lf"])
def test_a_head_that_ends_early_is_no_response(end, before, line_end):
    head = WHOLE_HEAD.replace(b"\r\n", line_end)
    cuts = [before + head[:size] for size in range(len(head))]
    started = time.process_time()
    results = asyncio.run(responses_to(cuts, end))
    assert set(results) <= {"answer", "exchange"}
    assert time.process_time() - started < 2.0
    assert asyncio.run(responses_to([before + head], close)) == [200]


@pytest.mark.parametrize("body", [b"", b"part"])
def test_a_body_without_a_length_is_whole_if_it_is_closed_and_not_if_it_is_reset(body):
    sent = [WHOLE_HEAD + body]
    assert asyncio.run(responses_to(sent, close)) == [200]
    assert asyncio.run(responses_to(sent, reset)) == ["exchange"]


def test_bytes_after_a_response_belong_to_no_request():
    first = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
    refusal = b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n"
    assert asyncio.run(responses_to([first + refusal, first], close)) == [200, 200]


async def tiny_chunks(writer):
    """Writes chunks of one byte, as many as several reads hold."""
    writer.write(HEAD + b"1\r\na\r\n" * 30_000 + b"0\r\n\r\n")
    await writer.drain()


def test_other_tasks_get_a_turn_while_a_response_in_tiny_chunks_is_read():
    """Guards against an entry that answered nobody while it read one answer without end."""

    async def run():
        async def serve(reader, writer):
            with contextlib.closing(writer):
                await reader.readuntil(b"\r\n\r\n")
                await tiny_chunks(writer)

        turns = [0]

        async def take_turns():
            while True:
                turns[0] += 1
                await asyncio.sleep(0)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        taking = asyncio.create_task(take_turns())
        parts_by_turn = Counter()
        async with (
            server,
            httpclient.exchange(f"{host}:{port}", "GET", "/", b"", 5.0) as exchange,
        ):
            async for _ in exchange.parts():
                parts_by_turn[turns[0]] += 1
        taking.cancel()
        return parts_by_turn

    parts_by_turn = asyncio.run(run())
    assert parts_by_turn.total() == 30_000
    assert max(parts_by_turn.values()) <= 100


def test_informational_responses_without_an_end_are_given_up():
    async def informational_responses(writer):
        with contextlib.suppress(ConnectionError):
            for _ in range(1_000):
                writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" * 100)
                await writer.drain()

    with pytest.raises(BackendError) as raised:
        read_parts(informational_responses)
    assert raised.value.step == "head"


def test_a_body_in_tiny_parts_takes_no_more_memory_than_its_bytes():
    """Guards against a list of the parts, which took twenty times the bytes of the body."""
    size = 400_000

    class Parts:
        """Stands in for an exchange whose body comes in parts of two bytes."""

        @staticmethod
        async def parts():
            for number in range(size // 2):
                yield number.to_bytes(3, "big")[1:]

    tracemalloc.start()
    try:
        body = asyncio.run(httpclient.Exchange.read_body(Parts(), size))
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert len(body) == size
    assert peak_bytes < 4 * size
