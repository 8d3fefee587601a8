"""Answers of a process that has started but lacks the configuration, the list or the limits."""

import asyncio

import pytest
from msgspec import structs

from tests.gateways import gateway, process, relay_settings
from tests.platforms import own_address
from verbenashore import httpserver, routing, transfer
from verbenashore.backendcall import Call
from verbenashore.control import ApplyVersion
from verbenashore.directory import BackendEntry
from verbenashore.exceptions import OverloadedError, VerbenaError
from verbenashore.itemjobs import ItemSpec, SubmitItemJob
from verbenashore.jobrunner import MAX_SCHEDULING_INTERVAL_SECONDS
from verbenashore.ledgerrelay import LedgerRelay
from verbenashore.replica import ReplicaRunner
from verbenashore.replication import Timing
from verbenashore.routefinder import (
    STARTUP_RETRY_SECONDS,
    STARTUP_RETRY_SPREAD_SECONDS,
    CallOrigin,
)
from verbenashore.routing import Route, RouteKind, RouteTable, Share
from verbenashore.settings import parse_address
from verbenashore.types import CONTROL_GROUP

ROUTE = Route("r", "h", "/l/", RouteKind.REPEATABLE, 5.0, 0.5, (Share("s", 1),))


class FakeResponder:
    """Records the answer to one call."""

    started = False
    status = 0

    async def send_with_headers(self, status, _headers, body):
        """Records a whole answer."""
        self.status, self.body = status, body


def call(timeout=5.0):
    """Returns a call whose caller has a timeout in seconds."""
    return Call("c", "h", "GET", "/l/x", "/l/x", [], b"", timeout)


async def answer_call(reader, writer):
    """Answers one call as a backend server does."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
    await writer.drain()
    writer.close()


def list_entries(listener):
    """Returns a list of backend servers with one entry."""
    host, port = listener.sockets[0].getsockname()
    return [BackendEntry("b", "s", f"{host}:{port}", "d", 4, False)]


async def refused_call(entry, timeout=5.0):
    """Relays a call that is refused; returns the error and the seconds until then."""
    clock = asyncio.get_running_loop().time
    started_at = clock()
    with pytest.raises(OverloadedError) as refused:
        await entry.relay(call(timeout), ROUTE, FakeResponder())
    return refused.value, clock() - started_at


def test_a_call_before_the_first_list_is_refused_with_a_retry_time_and_not_as_no_server():
    async def run():
        async with gateway() as entry:
            error, seconds = await refused_call(entry)
            assert (error.message, error.step) == ("no list is known", "place")
            assert (
                STARTUP_RETRY_SECONDS
                <= error.retry_after
                <= STARTUP_RETRY_SECONDS + STARTUP_RETRY_SPREAD_SECONDS
            )
            assert seconds < 0.2

    asyncio.run(run())


def test_a_retry_before_the_first_list_waits_for_the_list_and_is_served():
    async def run():
        listener = await asyncio.start_server(answer_call, "127.0.0.1", 0)
        async with gateway() as entry:
            entry._retry_detector.record_timeout("h", "/l/x", 5.0)
            responder = FakeResponder()
            waiting = asyncio.create_task(entry.relay(call(4.0), ROUTE, responder))
            await asyncio.sleep(0.1)
            assert not waiting.done()
            entry._list_updater.install(list_entries(listener), entry._clock())
            await waiting
            assert (responder.status, responder.body) == (200, b"ok")
        listener.close()

    asyncio.run(run())


def test_an_empty_list_ends_the_wait_with_no_server():
    async def run():
        async with gateway() as entry:
            entry._retry_detector.record_timeout("h", "/l/x", 5.0)
            waiting = asyncio.create_task(refused_call(entry, 4.0))
            await asyncio.sleep(0.1)
            entry._list_updater.install([], entry._clock())
            error, seconds = await waiting
            assert error.message == "no server" and seconds < 1.0
            assert (await refused_call(entry))[0].message == "no server"

    asyncio.run(run())


async def abandoned_items(path, commands):
    """Runs the only replica of a group and its job desk for some job checks.

    :param commands: proposed at its first start; empty for a restart from its snapshot.
    :returns: how many items of the job it has abandoned.
    """
    clock = asyncio.get_running_loop().time
    async with process() as running:
        runner = ReplicaRunner(
            CONTROL_GROUP, ("l", "127.0.0.1:1"), path, Timing(), clock, drop_packet, 1, 1, ""
        )
        assert bool(runner.applied_index) is not bool(commands), "second start must use a snapshot"
        relay = LedgerRelay(running, runner, relay_settings())
        relay._list_updater.install([BackendEntry("b", "s", "127.0.0.1:1", "d", 4, False)], clock())
        if commands:
            runner.bootstrap((runner.peer,))
        running.start_task(relay._job_runner.run())
        running.start_task(runner.run())
        async with asyncio.timeout(5):
            while not runner.serving:  # noqa: ASYNC110 - the replica notifies only its own tasks
                await asyncio.sleep(0.001)
        for command in commands:
            await runner.propose(command)
        await asyncio.sleep(5 * MAX_SCHEDULING_INTERVAL_SECONDS)
        return len(runner.state.item_jobs.job_by_id["j"].results)


def drop_packet(_peer, _packet):
    """Discards the packets of a replica that has no peers."""


def test_a_leader_restarted_from_a_snapshot_abandons_no_item(tmp_path):
    route = structs.replace(ROUTE, kind=RouteKind.BATCH)
    table = transfer.compress(routing.encode(RouteTable(1, (route,))).encode())
    items = [ItemSpec(str(n), "/l/x", [], b"", 1) for n in range(5)]
    job = SubmitItemJob("j", "r", "h", items, 18.0, 0.0, 3, 0, 60.0)
    assert asyncio.run(abandoned_items(tmp_path, [ApplyVersion(1, "o", table, b""), job])) == 0
    assert asyncio.run(abandoned_items(tmp_path, [])) == 0


async def never_answer(reader, _writer):
    """Accepts a call and never answers it."""
    await reader.read()


def test_a_retry_that_waits_for_a_configuration_does_not_outlast_its_timeout():
    timeout = 1.0
    route = Route("r", "h", "/l/", RouteKind.REPEATABLE, 5.0, 0.5, (Share("s", 1),))

    async def run():
        listener = await asyncio.start_server(never_answer, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        async with gateway() as entry:
            entry._list_updater.install(
                [BackendEntry("b", "s", f"{host}:{port}", "d", 4, False)], entry._clock()
            )
            entry._retry_detector.record_timeout("h", "/l/x", 5.0)
            started_at = entry.clock()
            finding = asyncio.create_task(
                entry.finder.find_route(CallOrigin("h", "/l/x", "c", timeout))
            )
            await asyncio.sleep(0.7)
            entry._view.deployment = RouteTable(1, (route,))
            entry._on_configuration_change()
            call = Call("c", "h", "GET", "/l/x", "/l/x", [], b"", timeout)
            with pytest.raises(VerbenaError):
                await entry.relay(call, (await finding).route, FakeResponder(), started_at)
            assert entry.clock() - started_at < timeout + 0.2

    asyncio.run(run())


def test_a_long_head_is_not_rejected_before_the_limits_are_known():
    async def run():
        async with gateway() as entry:
            address = own_address()
            parsed = parse_address(address)

            async def handle_request(_request, respond):
                await respond.send_json(503, {})

            ended = asyncio.Event()
            serving = asyncio.create_task(
                httpserver.serve(
                    address, handle_request, ended, asyncio.Event(), entry.server_limits
                )
            )
            await asyncio.sleep(0.2)
            reader, writer = await asyncio.open_connection(parsed.host, parsed.port)
            writer.write(b"GET / HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 100_000 + b"\r\n\r\n")
            status = (await reader.readuntil(b"\r\n"))[9:12]
            writer.close()
            ended.set()
            await serving
            assert status == b"503"

    asyncio.run(run())
