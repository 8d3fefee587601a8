"""Connections made before the program that serves them has loaded."""

import asyncio
import socket

from verbenashore import httpserver
from verbenashore.listener import open_listener


async def serve_one_answer(listener, handle):
    """Serves queued connections until one answer is written."""
    stopping = asyncio.Event()

    async def answer(request, respond):
        await handle(request, respond)
        stopping.set()

    await httpserver.serve(listener, answer, stopping)


def test_a_request_sent_before_the_program_serves_is_answered():
    async def handle(_request, respond):
        await respond.send_response(200, "text/plain", b"late but whole")

    listener = open_listener("127.0.0.1:0")
    with socket.create_connection(listener.getsockname()) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
        asyncio.run(serve_one_answer(listener, handle))
        caller.settimeout(5)
        answer = b"".join(iter(lambda: caller.recv(4096), b""))
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"late but whole")
