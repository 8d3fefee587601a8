"""Reads of a response: the timeout of each read, and pauses between reads."""

import asyncio

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
        await reader.readuntil(b"\r\n\r\n")
        await answer(writer)
        writer.close()

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
