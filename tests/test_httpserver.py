"""Requests at the moment when a server stops, broken responses, and requests beyond its limits."""

import asyncio
import errno
import json
import socket

import h11
import pytest

from verbenashore import httpserver
from verbenashore.budget import STALLED_SECONDS, Account, Budget
from verbenashore.exceptions import ClientTimeoutError
from verbenashore.httpserver import ServerLimits
from verbenashore.listener import open_listener
from verbenashore.logs import Event
from verbenashore.routing import CallerLimits

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


@pytest.fixture
def dropped(monkeypatch):
    """Returns the cause and state of each request that is logged as dropped."""
    drops = []

    def record_event(event, **fields):
        if event is Event.REQUEST_DROPPED:
            drops.append((fields["cause"].value, fields["state"].value))

    monkeypatch.setattr(httpserver.logs, "info", record_event)
    return drops


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
@pytest.mark.parametrize("turns", [0, 1])
def test_a_request_that_was_sent_before_the_stop_is_not_reset(send, turns):
    async def handle(_request, respond):
        await respond.send_response(200, "text/plain", b"whole")

    async def run():
        listener = open_listener("127.0.0.1:0")
        stopping = asyncio.Event()
        serving = asyncio.create_task(httpserver.serve(listener, handle, stopping))
        await asyncio.sleep(0.05)
        caller = await send(listener)
        if turns:
            # The event loop sees the request in the turn of the stop.
            asyncio.get_running_loop().call_soon(stopping.set)
        else:
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
def test_a_response_that_is_broken_off_is_not_complete_for_its_caller(dropped, version, error):
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
    assert dropped == [("broken_off", "running")]


async def exchange_with_limits(sent, limits, handle=None, count=1):
    """Sends bytes before it reads anything; returns what the server sent until it closed."""

    async def echo(request, respond):
        await respond.send_response(200, "text/plain", request.body)

    listener = open_listener("127.0.0.1:0")
    stopping = asyncio.Event()
    serving = asyncio.create_task(
        httpserver.serve(listener, handle or echo, stopping, server_limits=limits)
    )
    pairs = [await asyncio.open_connection(*listener.getsockname()) for _ in range(count)]
    for _, writer in pairs:
        writer.write(sent)
        await writer.drain()
    received = [await asyncio.wait_for(reader.read(), 10.0) for reader, _ in pairs]
    for _, writer in pairs:
        writer.close()
    stopping.set()
    await serving
    return received


def test_a_refused_client_that_sends_its_whole_body_first_reads_the_refusal():
    """Guards against a reset that destroys the answer before the client has read it."""
    limits = ServerLimits(CallerLimits(body_bytes=1000))
    head = b"POST / HTTP/1.1\r\nhost: h\r\n"
    declared = head + b"content-length: 3000000\r\n\r\n" + b"x" * 3_000_000
    chunked = head + b"transfer-encoding: chunked\r\n\r\n" + b"7d0\r\n" + b"x" * 2000 + b"\r\n"
    for sent in (declared, chunked * 1000):
        (answer,) = asyncio.run(exchange_with_limits(sent, limits))
        assert answer.startswith(b"HTTP/1.1 413") and b"connection: close" in answer.lower()


def test_a_request_within_the_limits_is_served_at_the_smallest_instance():
    body = b"x" * (4 << 20)
    sent = b"POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: %d\r\n\r\n" % len(
        body
    )
    limits = ServerLimits(CallerLimits(body_bytes=len(body)), Budget(memory_mb=128, max_fds=1638))
    (answer,) = asyncio.run(exchange_with_limits(sent + body, limits))
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(body)


def test_a_request_without_room_gets_503_and_does_not_run():
    async def handle(_request, _respond):
        raise AssertionError

    budget = Budget(memory_mb=128)
    budget.hold(Account(budget.add_group(), "a", lambda: None, 0.0, 15.0), 1 << 30)
    limits = ServerLimits(CallerLimits(), budget)
    for body in (b"", b"x" * 100_000):
        sent = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % len(body) + body
        (answer,) = asyncio.run(exchange_with_limits(sent, limits, handle))
        assert answer.startswith(b"HTTP/1.1 503") and b"retry-after: 1\r\n" in answer.lower()
        assert json.loads(answer.partition(b"\r\n\r\n")[2])["error"]["not_run"]


def test_pipelined_requests_are_answered_in_order_while_little_of_them_is_kept():
    last = b"POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 4\r\n\r\nlast"
    one = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\none"
    limits = ServerLimits(CallerLimits(), Budget(memory_mb=128))
    (answer,) = asyncio.run(exchange_with_limits(one * 200 + last, limits))
    assert answer.count(b"\r\n\r\none") == 200 and answer.endswith(b"\r\n\r\nlast")


def test_connections_beyond_the_limit_are_refused_with_503():
    limits = ServerLimits(CallerLimits(idle_seconds=0.2), Budget(max_fds=0))
    room = limits.budget.add_group().descriptor_limit
    answers = asyncio.run(exchange_with_limits(b"", limits, count=room + 3))
    assert sum(answer.startswith(b"HTTP/1.1 503") for answer in answers) == 3


def test_a_connection_whose_answer_is_read_late_is_not_counted_any_longer():
    """Guards against accounts that stay after their connections, and take all descriptors."""

    async def handle(_request, respond):
        await respond.start_stream_with_headers(200, [("connection", "close")])
        while not respond._writer.transport.get_write_buffer_size():
            await respond.send_chunk(b"x" * 8192)
        await respond.end_stream()

    async def run():
        listener = open_listener("127.0.0.1:0")
        stopping = asyncio.Event()
        serving = asyncio.create_task(
            httpserver.serve(listener, handle, stopping, server_limits=limits)
        )
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect(listener.getsockname())
            caller.setblocking(False)
            await asyncio.get_running_loop().sock_sendall(caller, REQUEST)
            await asyncio.sleep(0.1)
            received = b""
            while part := await asyncio.get_running_loop().sock_recv(caller, 4096):
                received += part
        await asyncio.sleep(0.05)
        connections = limits.budget.connections
        stopping.set()
        await serving
        return received, connections

    limits = ServerLimits(CallerLimits(), Budget())
    received, connections = asyncio.run(run())
    assert received.endswith(b"0\r\n\r\n") and connections == 0


def test_a_failed_accept_at_a_stop_leaves_the_connections_accepted_before():
    """Guards against a stop that cancels all requests in progress for want of a descriptor."""

    class Listener:
        def __init__(self):
            self.results = [("caller", "address"), OSError(errno.EMFILE, "too many open files")]

        def accept(self):
            result = self.results.pop(0)
            if isinstance(result, OSError):
                raise result
            return result

    assert list(httpserver._accept_all(Listener())) == ["caller"]


def test_a_client_that_pipelines_too_much_reads_its_last_answer():
    """Guards against a reset that destroys the answer before the client has read it."""

    async def handle(_request, respond):
        await asyncio.sleep(0.1)
        await respond.send_response(200, "text/plain", b"whole")

    budget = Budget(memory_mb=128)
    other = Account(budget.add_group(), "a", lambda: None, 0.0, 15.0)
    budget.hold(other, int(budget.memory_limit * 0.9))
    limits = ServerLimits(CallerLimits(), budget)
    (answer,) = asyncio.run(exchange_with_limits(REQUEST * 50_000, limits, handle))
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"whole")
    assert answer.count(b"whole") == 1 and b"connection: close" in answer.lower()


def test_a_stop_does_not_wait_for_a_client_that_trickles_its_request(dropped, monkeypatch):
    """Guards against a stop that takes as long as a body may, and is cut off by its grace."""
    monkeypatch.setattr(httpserver, "LAST_BODY_SECONDS", 0.2)

    async def run():
        listener = open_listener("127.0.0.1:0")
        stopping = asyncio.Event()
        serving = asyncio.create_task(httpserver.serve(listener, None, stopping))
        await asyncio.sleep(0.05)
        with socket.create_connection(listener.getsockname()) as caller:
            caller.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nx")
            stopping.set()
            await asyncio.wait_for(serving, 2.0)

    asyncio.run(run())
    assert dropped == [("stop", "receiving")]


def test_a_stop_waits_for_a_request_that_runs_longer_than_a_body_may_take(monkeypatch):
    monkeypatch.setattr(httpserver, "LAST_BODY_SECONDS", 0.1)

    async def handle(_request, respond):
        await asyncio.sleep(0.8)
        await respond.send_response(200, "text/plain", b"whole")

    async def run():
        listener = open_listener("127.0.0.1:0")
        stopping = asyncio.Event()
        serving = asyncio.create_task(httpserver.serve(listener, handle, stopping))
        caller = await connect_and_send(listener)
        stopping.set()
        await serving
        return caller

    with asyncio.run(run()) as caller:
        assert caller.recv(4096).endswith(b"whole")


class SlowWriter:
    """A writer whose reader takes some time for each part, and all are buffered until then.

    :param written: the bytes so far.
    """

    def __init__(self, seconds):
        self.transport = self
        self.written = b""
        self._seconds = seconds

    def get_write_buffer_size(self):
        return 1

    def write(self, data):
        self.written += data

    async def drain(self):
        await asyncio.sleep(self._seconds)


@pytest.mark.parametrize("seconds", [0.05, 0.5])
def test_a_long_answer_that_is_read_steadily_is_sent_as_a_whole(monkeypatch, seconds):
    """Guards against an answer broken off by a time for all of it; one not read still is."""
    monkeypatch.setattr(httpserver, "WRITE_TIMEOUT_SECONDS", 0.2)
    budget = Budget()
    account = Account(budget.add_group(), "a", lambda: None, 0.0, 15.0)
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(REQUEST)
    connection.next_event()
    writer = SlowWriter(seconds)
    body = b"x" * (8 * httpserver.WRITE_BYTES)

    async def run():
        respond = httpserver.Responder(connection, writer, asyncio.Event(), budget, account)
        await respond.send_response(200, "text/plain", body)

    if seconds > httpserver.WRITE_TIMEOUT_SECONDS:
        with pytest.raises(ClientTimeoutError):
            asyncio.run(run())
    else:
        asyncio.run(run())
        assert writer.written.endswith(body)


def test_a_slow_but_steady_upload_is_not_closed_for_want_of_room():
    """Guards against a body that counts as stalled since its head was received."""
    now = 0.0
    budget = Budget(clock=lambda: now)
    newcomer = Account(budget.add_group(), "a", lambda: None, 0.0, 15.0)
    body = b"x" * 300_000

    async def handle(request, respond):
        await respond.send_response(200, "text/plain", str(len(request.body)).encode())

    async def run():
        nonlocal now
        listener = open_listener("127.0.0.1:0")
        stopping = asyncio.Event()
        limits = ServerLimits(CallerLimits(), budget)
        serving = asyncio.create_task(
            httpserver.serve(listener, handle, stopping, server_limits=limits)
        )
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 300000\r\n\r\n")
        for start in range(0, len(body), 100_000):
            writer.write(body[start : start + 100_000])
            await writer.drain()
            await asyncio.sleep(0.1)
            now += STALLED_SECONDS * 0.9
            budget.make_room(newcomer)
        stopping.set()
        answer = await reader.read()
        writer.close()
        await serving
        return answer

    assert asyncio.run(run()).endswith(b"300000")


class RecordingBudget(Budget):
    """A budget that records the last connection it was asked to open."""

    def open(self, account):
        self.opened = account
        return super().open(account)


@pytest.mark.parametrize("sent", [REQUEST, b""])
def test_a_connection_closed_for_another_at_its_late_first_request_gets_a_status(sent):
    """Guards against a reset, which doesn't tell the client that its request has not run."""
    budget = RecordingBudget()

    async def run():
        listener = open_listener("127.0.0.1:0")
        stopping = asyncio.Event()
        limits = ServerLimits(CallerLimits(), budget)
        serving = asyncio.create_task(
            httpserver.serve(listener, None, stopping, server_limits=limits)
        )
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        await asyncio.sleep(0.05)
        writer.write(sent)
        budget.close(budget.opened)
        budget.opened.close()
        answer = await reader.read()
        # Its end is awaited for a limited time.
        await asyncio.sleep(httpserver.LINGER_SECONDS + 0.2)
        stopping.set()
        await serving
        writer.close()
        return answer

    answer = asyncio.run(run())
    assert answer == httpserver.REFUSAL
    assert budget.connections == 0 and budget.start_linger()


def test_a_request_with_an_invalid_target_gets_400():
    """Guards against a target that ends the connection without an answer."""
    sent = b"GET //[ HTTP/1.1\r\nhost: h\r\n\r\n"
    (answer,) = asyncio.run(exchange_with_limits(sent, ServerLimits()))
    assert answer.startswith(b"HTTP/1.1 400")
    assert json.loads(answer.partition(b"\r\n\r\n")[2])["error"]["not_run"]
