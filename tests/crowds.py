"""Crowds of clients that exceed the limits, and what they cost the process that serves them."""

import asyncio
import contextlib
import os
import socket
import struct
import threading
from pathlib import Path

from tests.platforms import HOST

#: Seconds for which a crowd misbehaves.
CROWD_SECONDS = 3.0
#: Seconds that a client waits before it connects again after its connection was closed.
RECONNECT_SECONDS = 0.05
SAMPLE_SECONDS = 0.02
LISTENING_STATE = "0A"


class Watcher:
    """Samples the memory and the descriptors of a process while a block runs.

    :param ip: the address of the process; what waits in its connections there counts as memory.
    :param memory_bytes: the largest sum of the resident memory and the bytes that have arrived and
        aren't read yet, or are written and haven't been received.
    :param descriptors: the largest number of open descriptors.
    """

    def __init__(self, pid, ip):
        self._folder = Path("/proc") / str(pid)
        self._address = f"{struct.unpack('<I', socket.inet_aton(ip))[0]:08X}:"
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.memory_bytes = 0
        self.descriptors = 0

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        self._thread.join()

    def _run(self):
        while not self._stop.wait(SAMPLE_SECONDS):
            with contextlib.suppress(OSError):  # The process may have ended.
                resident = self._status_bytes("VmRSS") + self._queued_bytes()
                self.memory_bytes = max(self.memory_bytes, resident, self._status_bytes("VmHWM"))
                self.descriptors = max(self.descriptors, len(os.listdir(self._folder / "fd")))

    def _status_bytes(self, field):
        lines = (self._folder / "status").read_text().splitlines()
        return sum(int(line.split()[1]) << 10 for line in lines if line.startswith(field))

    def _queued_bytes(self):
        total = 0
        for line in (self._folder / "net" / "tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if local.startswith(self._address) and state != LISTENING_STATE:
                total += sum(int(size, 16) for size in queues.split(":"))
        return total


def run_crowd(*groups, seconds=CROWD_SECONDS):
    """Runs a crowd.

    :param groups: each is an ``IP:PORT``, a number of clients, and what each of them does with a
        connection: a coroutine function, which is called again with a new connection whenever its
        connection was closed.
    """

    async def run():
        ends_at = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            *(
                _run_client(address, behave, ends_at)
                for address, count, behave in groups
                for _ in range(count)
            )
        )

    asyncio.run(run())


async def _run_client(address, behave, ends_at):
    host, _, port = address.partition(":")
    loop = asyncio.get_running_loop()
    while loop.time() < ends_at:
        with contextlib.suppress(OSError, TimeoutError), socket.socket() as connection:
            connection.setblocking(False)
            async with asyncio.timeout_at(ends_at):
                await loop.sock_connect(connection, (host, int(port)))
                await behave(connection)
        await asyncio.sleep(RECONNECT_SECONDS)


def sending(head, repeated=b"", pause=0.0, *, half_closed=False):
    """Returns a behaviour: sends bytes, and then others again and again, and never reads.

    :param repeated: if empty, the connection is held open after the head.
    :param pause: seconds before each repetition.
    :param half_closed: ends the client's own side after the head.
    """

    async def behave(connection):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, head)
        if half_closed:
            connection.shutdown(socket.SHUT_WR)
        while repeated:
            await asyncio.sleep(pause)
            await loop.sock_sendall(connection, repeated)
        await asyncio.sleep(CROWD_SECONDS * 10)

    return behave


def reading_slowly(request):
    """Returns a behaviour: sends a request and reads ten bytes of the answer a second."""

    async def behave(connection):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, request)
        while True:
            if not await loop.sock_recv(connection, 1):
                return
            await asyncio.sleep(0.1)

    return behave


def request(path, fields=(), body=b"", method="POST"):
    """Returns a request with a host and some header lines.

    :param fields: header lines; the length of the body is added unless one of them states it.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *fields]
    if not any(line.lower().startswith(("content-length", "transfer")) for line in fields):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
