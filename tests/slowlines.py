"""Servers on loopback behind one line of limited bandwidth."""

import asyncio
import contextlib

import zmq.asyncio

from standins.relay import Line, Relay
from tests.platforms import own_address
from verbenashore.client import LinkPool
from verbenashore.link import Server
from verbenashore.messages import Sender
from verbenashore.settings import parse_address

#: Bytes per second of these lines: what remains of 15 Mbit/s beside the answers to callers.  It is
#: above the lowest rate that the code assumes, since relays on a busy host run late.
BYTES_PER_SECOND = 1_200_000


def sender():
    """Returns the sender that the messages of these tests carry."""
    return Sender("p", "d", "r", 0)


async def start_slow_relay(address, up, down):
    """Starts a relay to an address.

    :param up: the line to the address.
    :param down: the line back.
    :returns: the relay's server, and the address that it listens on.
    """
    listen = parse_address(own_address())
    relay = Relay(parse_address(address), up, down)
    server = await asyncio.start_server(relay.serve_connection, listen.host, listen.port)
    return server, f"{listen.host}:{listen.port}"


@contextlib.asynccontextmanager
async def servers_behind_slow_line(*handlers, rate=BYTES_PER_SECOND):
    """Starts one server per handler behind one slow line; yields links and their addresses.

    :param rate: bytes per second of the line.
    """
    context = zmq.asyncio.Context()
    clock = asyncio.get_running_loop().time
    up, down = Line(rate), Line(rate)
    relays, tasks, addresses = [], [], []
    links = LinkPool(context, sender, clock)
    try:
        for handler in handlers:
            server_address = own_address()
            server = Server(context, server_address, sender, clock, handler)
            tasks.append(asyncio.create_task(server.run()))
            relay, relay_address = await start_slow_relay(server_address, up, down)
            relays.append(relay)
            addresses.append(relay_address)
        yield links, addresses
    finally:
        await links.close()
        for relay in relays:
            relay.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        context.destroy(linger=0)
