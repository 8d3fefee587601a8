"""Slow lines on loopback: relays that share one rate, and servers behind them."""

import asyncio
import contextlib
import functools

import zmq.asyncio

from tests.platforms import free_port
from verbenashore.client import Links
from verbenashore.link import Server
from verbenashore.messages import Sender

READ_BYTES = 8 << 10


class Line:
    """The rate in bytes per second that all bytes in one direction share."""

    def __init__(self, rate):
        self._rate = rate
        self._free_at = 0.0

    async def carry(self, size):
        """Returns once some bytes have gone through."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._rate
        await asyncio.sleep(self._free_at - now)


async def _pass_on(reader, writer, line):
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(READ_BYTES):
            await line.carry(len(data))
            writer.write(data)
            await writer.drain()
    writer.close()


async def _relay(port, up, down, reader, writer):
    far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
    # A cancelled task of a stream server is logged as a fault of its callback.
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(_pass_on(reader, far_writer, up), _pass_on(far_reader, writer, down))


def sender():
    """Returns what the messages of these tests say of their process."""
    return Sender("p", "d", "r", 0)


@contextlib.asynccontextmanager
async def behind_a_slow_line(rate, *handlers):
    """Yields links, and the addresses of one server for each handler behind one slow line."""
    context = zmq.asyncio.Context()
    clock = asyncio.get_running_loop().time
    up, down = Line(rate), Line(rate)
    relays, tasks, addresses = [], [], []
    links = Links(context, sender, clock)
    try:
        for handler in handlers:
            port = free_port()
            server = Server(context, f"127.0.0.1:{port}", sender, clock, handler)
            tasks.append(asyncio.create_task(server.run()))
            relay = await asyncio.start_server(
                functools.partial(_relay, port, up, down), "127.0.0.1", 0, limit=READ_BYTES
            )
            relays.append(relay)
            addresses.append(f"127.0.0.1:{relay.sockets[0].getsockname()[1]}")
        yield links, addresses
    finally:
        await links.close()
        for relay in relays:
            relay.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        context.destroy(linger=0)
