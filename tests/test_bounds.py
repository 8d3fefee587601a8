"""Bounds on what is read from others: what never ends must not fill the memory."""

import asyncio
import contextlib
import json

import pytest

from tests.gateways import gateway
from tests.platforms import own_address, wire
from verbenashore import engine, events, httpclient, httpserver, logs
from verbenashore.backendcall import Call
from verbenashore.directory import BackendEntry
from verbenashore.events import EventSplitter
from verbenashore.exceptions import BackendError, OutcomeUnknownError
from verbenashore.routing import Route, RouteKind, Share

#: More than any limit on the memory of an instance allows a process to hold.
TOO_MANY_BYTES = 128 << 20
CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"


@contextlib.asynccontextmanager
async def endless_server(status=b"200 OK"):
    """Serves responses without an end; yields the address and the list of bytes that were read."""
    sent = [0]

    async def serve(reader, writer):
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %b\r\ntransfer-encoding: chunked\r\n\r\n" % status)
            while sent[0] < TOO_MANY_BYTES:
                writer.write(CHUNK)
                await writer.drain()
                sent[0] += len(CHUNK)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield f"{host}:{port}", sent


def test_a_list_of_servers_without_an_end_is_given_up_before_it_fills_the_memory():
    async def check():
        async with endless_server() as (address, sent):
            with pytest.raises(BackendError):
                await wire.list_reader(address)()
            assert sent[0] < TOO_MANY_BYTES / 4

    asyncio.run(check())


def list_page(entry, count):
    """Returns a page with an entry many times."""
    return b'{"instances": [%b], "next": null}' % b", ".join([json.dumps(entry).encode()] * count)


def read_page(monkeypatch, body):
    """Reads a list of one page; returns its entries, and how many turns other tasks had."""

    async def respond(*_arguments, **_options):
        return httpclient.Response(200, "application/json", body)

    monkeypatch.setattr(httpclient, "request", respond)
    turns = [0]

    async def take_turns():
        while True:
            turns[0] += 1
            await asyncio.sleep(0)

    async def run():
        taking = asyncio.create_task(take_turns())
        try:
            return await wire.list_reader("127.0.0.1:1")(), turns[0]
        finally:
            taking.cancel()

    return asyncio.run(run())


def test_other_tasks_get_a_turn_while_a_long_list_is_read(monkeypatch):
    """Guards against lists that stopped each process that reads them for seconds."""
    entry = {"id": "i", "service": "s", "address": "10.0.0.1:1", "zone": "z", "slots": 1}
    body = list_page(entry | {"state": "ready"}, 12_000)
    entries, turns = read_page(monkeypatch, body)
    assert len(entries) == 12_000
    assert turns > 10


def test_a_list_of_odd_entries_without_an_end_is_given_up(monkeypatch):
    """Guards against a page of 8 MB with three million entries, each of which was logged."""
    logged = []
    monkeypatch.setattr(logs, "warning", lambda event, **fields: logged.append(fields))
    with pytest.raises(BackendError):
        read_page(monkeypatch, list_page({}, 100_000))
    assert read_page(monkeypatch, list_page({}, 1_000))[0] == []
    assert [fields["skipped"] for fields in logged] == [1_000] * wire.MAX_LOGGED_ENTRIES


def test_a_response_without_an_end_is_given_up_before_it_fills_the_memory():
    async def check():
        async with endless_server() as (address, sent):
            with pytest.raises(BackendError):
                await httpclient.request(address, "GET", "/", seconds=30.0)
            assert sent[0] < TOO_MANY_BYTES / 4

    asyncio.run(check())


def test_an_error_of_an_engine_without_an_end_is_given_up_before_it_fills_the_memory():
    async def check():
        async with endless_server(b"500 Error") as (address, sent):
            with pytest.raises(BackendError):
                async for _ in engine.generate(address, engine.EngineCall("/", b"{}"), 5.0):
                    pass
            assert sent[0] < TOO_MANY_BYTES / 4

    asyncio.run(check())


class NoAnswer:
    """Stands in for the response to a caller; fails if it is begun."""

    started = False

    async def send_with_headers(self, *_arguments):
        """Fails: the answer has no end."""
        raise AssertionError("an answer without an end was relayed")


def test_an_answer_without_an_end_is_given_up_before_it_fills_the_memory():
    async def check():
        async with endless_server() as (address, sent), gateway() as entry:
            server = BackendEntry("b", "s", address, "d", 1, False)
            entry._list_updater.install([server], entry.clock())
            route = Route("r", "h", "/", RouteKind.ONCE, 30.0, 30.0, (Share("s", 1),))
            call = Call("c", "h", "GET", "/", "/", [], b"", 30.0)
            with pytest.raises(OutcomeUnknownError):
                await entry.relay(call, route, NoAnswer())
            assert sent[0] < TOO_MANY_BYTES / 4

    asyncio.run(check())


def test_an_event_without_an_end_is_given_up_before_it_fills_the_memory():
    splitter = EventSplitter()
    with pytest.raises(BackendError):
        for _ in range(1 + 2 * events.MAX_EVENT_BYTES // len(CHUNK)):
            splitter.feed(b"x" * len(CHUNK))
    assert len(splitter.partial) <= 2 * events.MAX_EVENT_BYTES


def test_a_configuration_that_is_too_large_is_refused_before_it_fills_the_memory():
    async def check():
        address, stopping = own_address(), asyncio.Event()

        async def never_called(_request, _respond):
            raise AssertionError("the request has no end")

        serving = asyncio.create_task(
            httpserver.serve(
                address, never_called, stopping, server_limits=httpserver.OPERATOR_LIMITS
            )
        )
        await asyncio.sleep(0.1)
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"PUT /config HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % TOO_MANY_BYTES
        )
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        assert head.startswith(b"HTTP/1.1 413")
        writer.close()
        stopping.set()
        await serving

    asyncio.run(check())


def test_a_configuration_of_the_planned_size_is_accepted():
    largest = json.dumps({"routes": [{"host": "h" * 40, "path_prefix": "/p" * 20}] * 20_000})
    assert len(largest) < httpserver.OPERATOR_LIMITS.limits.body_bytes
