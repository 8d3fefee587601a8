"""Whether a failed call means that its backend server has crashed."""

import asyncio
import contextlib

import pytest

from verbenashore import backendcall, httpclient
from verbenashore.directory import BackendEntry
from verbenashore.exceptions import BackendError

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


async def crashes(server):
    """Closes the port before the connection."""
    server.close()
    return True


async def breaks_the_connection(_server):
    """Leaves the port open."""
    return False


@pytest.mark.parametrize("sent", [b"", HEAD[:20], HEAD, HEAD + b"2\r\nab\r\n"])
@pytest.mark.parametrize("behaviour", [crashes, breaks_the_connection])
def test_a_crash_is_told_from_a_broken_connection(sent, behaviour):
    async def play():
        async def answer(reader, writer):
            with contextlib.closing(writer):
                if await reader.read(1024):
                    writer.write(sent)
                    await behaviour(server)

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        entry = BackendEntry("b", "s", f"{host}:{port}", "d", 1, False)
        with pytest.raises(BackendError) as raised:
            await httpclient.request(entry.address, "GET", "/", seconds=5.0)
        found = await backendcall.has_crashed(entry, raised.value)
        server.close()
        return raised.value.step, found

    step, found = asyncio.run(play())
    assert step in backendcall.BROKEN_STEPS
    assert found == (behaviour is crashes)


@pytest.mark.parametrize("step", ["connect", "read", "head"])
def test_other_failures_open_no_connection(step):
    entry = BackendEntry("b", "s", "127.0.0.1:1", "d", 1, False)
    error = BackendError("failed", step=step)
    assert not asyncio.run(backendcall.has_crashed(entry, error))
