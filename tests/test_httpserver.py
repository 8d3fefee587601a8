"""Requests that reach a server at the moment when it stops, and responses that are broken off."""

import asyncio
import socket

import pytest

from verbenashore import httpserver
from verbenashore.listener import open_listener

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


async def connect_and_send(listener):
    """Connects and sends a request before the server can accept the connection."""
    caller = socket.create_connection(listener.getsockname())
    caller.sendall(REQUEST)
    return caller


async def accepted_and_send(listener):
    """Sends a request on a connection that the server has accepted, but before it reads."""
    caller = socket.create_connection(listener.getsockname())
    await asyncio.sleep(0.05)
    caller.sendall(REQUEST)
    return caller


async def served_before_and_send(listener):
    """Sends a second request on a connection that stays open."""
    caller = socket.create_connection(listener.getsockname())
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(caller, REQUEST)
    assert (await loop.sock_recv(caller, 4096)).endswith(b"whole")
    caller.sendall(REQUEST)
    return caller


@pytest.mark.parametrize(
    "send", [connect_and_send, accepted_and_send, served_before_and_send], ids=lambda s: s.__name__
)
def test_a_request_that_was_sent_before_the_stop_is_not_reset(send):
    async def handle(_request, respond):
        await respond.send_response(200, "text/plain", b"whole")

    async def run():
        listener = open_listener("127.0.0.1:0")
        stopping = asyncio.Event()
        serving = asyncio.create_task(httpserver.serve(listener, handle, stopping))
        await asyncio.sleep(0.05)
        caller = await send(listener)
        stopping.set()
        await serving
        return caller

    with asyncio.run(run()) as caller:
        caller.settimeout(5)
        answer = b"".join(iter(lambda: caller.recv(4096), b""))
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"whole")
    assert b"connection: close" in answer.lower()


def test_a_stop_does_not_wait_long_for_an_idle_connection():
    async def run():
        listener = open_listener("127.0.0.1:0")
        stopping = asyncio.Event()
        serving = asyncio.create_task(httpserver.serve(listener, None, stopping))
        await asyncio.sleep(0.05)
        with socket.create_connection(listener.getsockname()):
            stopping.set()
            await asyncio.wait_for(serving, 1.0)

    asyncio.run(run())


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("error", [ConnectionResetError, ValueError])
def test_a_response_that_is_broken_off_is_not_complete_for_its_caller(version, error):
    async def handle(_request, respond):
        await respond.start_stream_with_headers(200, [])
        await respond.send_chunk(b"part")
        raise error

    async def run():
        listener = open_listener("127.0.0.1:0")
        stopping = asyncio.Event()
        serving = asyncio.create_task(httpserver.serve(listener, handle, stopping))
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(f"GET / HTTP/{version}\r\nhost: h\r\n\r\n".encode())
        received, reset = b"", False
        try:
            while part := await reader.read(4096):
                received += part
        except ConnectionResetError:
            reset = True
        writer.close()
        stopping.set()
        await serving
        return received, reset

    received, reset = asyncio.run(run())
    assert reset or (b"chunked" in received and not received.endswith(b"0\r\n\r\n"))
