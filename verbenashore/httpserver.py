"""An HTTP/1.1 server over h11, with limits on connections, sizes and times of callers.

What a connection holds is bounded, and counted in the budget of the process: at most one request is
in progress, at most one read is made ahead of it, and a write waits for its reader once little is
buffered.  Bytes that wait in the kernel count as memory of the process too, so the buffers of the
listening socket are small (:mod:`verbenashore.listener`).
"""

import asyncio
import contextlib
import io
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator, Mapping
from enum import Enum
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec

from verbenashore import logs, misc
from verbenashore.budget import Account, Budget, ClientState, Group, Limit
from verbenashore.exceptions import (
    BadRequestError,
    ClientTimeoutError,
    LimitReachedError,
    OverloadedError,
    TooLargeError,
    VerbenaError,
)
from verbenashore.httpclient import Headers
from verbenashore.listener import BACKLOG, open_listener
from verbenashore.logs import Event
from verbenashore.routing import CallerLimits

#: Seconds in which a whole request body must be received.
BODY_TIMEOUT_SECONDS = 60.0
#: Seconds for which a write waits for the caller to read, once the send buffer is full; a long
#: answer may take as many for each of its parts.
WRITE_TIMEOUT_SECONDS = 20.0
READ_BYTES = misc.TURN_BYTES
#: Bytes that are written at a time, and that may be buffered before a write waits for the caller.
WRITE_BYTES = 32 << 10
#: Bytes of a body after which its connection doesn't count as stalled.  Single bytes would let a
#: client that trickles its body keep its place.
PROGRESS_BYTES = 64 << 10
#: Bytes that wait in the buffers of a connection which sends faster than it is read: 64 KiB in the
#: kernel, up to 64 KiB in the stream.
RECEIVE_BUFFER_BYTES = 128 << 10
#: The same for one that doesn't read its answer.
SEND_BUFFER_BYTES = 128 << 10
#: Bytes of memory for each field of a head, in its forms: of h11, as a list and as a dictionary.
FIELD_BYTES = 512
#: Fields of a head that aren't counted.
FREE_FIELDS = 32
#: Copies of a body that are in memory while its request runs, such as the part that a backend
#: server hasn't read yet.
BODY_COPIES = 3
#: Seconds for which a body waits for memory, reading nothing, before its request is refused, and
#: between two attempts.
MEMORY_WAIT_SECONDS = 1.0
MEMORY_POLL_SECONDS = 0.05
#: Seconds after which a request may be sent again that was refused at a limit of the process.
LIMIT_RETRY_SECONDS = 1.0
#: Seconds and bytes for which a refused connection is still read.  Closing it while bytes are
#: unread would reset it, and its caller could lose the answer.
LINGER_SECONDS = 1.0
LINGER_BYTES = 8 << 20
LINGER_PAUSE_SECONDS = 0.002
#: Seconds in which the rest of an answer must be read after the connection was closed here, in
#: general and at a stop.
FLUSH_SECONDS = 5.0
STOP_FLUSH_SECONDS = 1.0
#: Connections that are accepted at a time.
ACCEPT_COUNT = 16
#: Seconds after a stop in which requests that were on their way are still received.
LAST_REQUEST_SECONDS = 0.25
#: Seconds after that in which the rest of such a request must be received.  A process has 8 s for
#: its stop, in which requests that run must end as well.
LAST_BODY_SECONDS = 2.0
NO_HEADERS: Mapping[str, str] = {}
#: The answer to a connection that there is no room for.
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n" % LIMIT_RETRY_SECONDS
)


class DropCause(Enum):
    """Why a server closes a connection whose request it has begun to receive."""

    STOP = "stop"
    EVICTED = "evicted"
    UNREAD = "unread"
    BROKEN_OFF = "broken_off"


class ServerLimits(msgspec.Struct):
    """The limits that a server imposes on its callers; they may be replaced while it runs.

    :param budget: of the process; None for one of the server's own.
    :param is_page: whether the server has a health or metrics page, which must answer also while
        other clients use all that the process may give them.
    :param answer_bytes: of a long answer.  Each request counts as many until its answer begins,
        since it is made as a whole before it can be counted; 0 if answers are not that long.
    """

    limits: CallerLimits = CallerLimits()
    budget: Budget | None = None
    is_page: bool = False
    answer_bytes: int = 0


#: Limits on operators' requests: a configuration of 20,000 routes has 6 MB, and a ledger process
#: needs some copies of it.
OPERATOR_LIMITS = ServerLimits(CallerLimits(body_bytes=8 << 20), answer_bytes=1 << 20)
#: Limits on requests for health and metrics pages, which have no body.
PAGE_LIMITS = ServerLimits(CallerLimits(header_bytes=16 << 10, body_bytes=16 << 10), is_page=True)


class Request(msgspec.Struct):
    """One request of a caller.

    :param target: the path with its query, as received.
    :param headers: values by lower-case name; the last one of a repeated name.
    :param raw_headers: lower-case names and values of the headers, in the order received.
    """

    method: str
    target: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    raw_headers: list[tuple[bytes, bytes]] = msgspec.field(default_factory=list)


class Responder:
    """Writes the response to one request.

    :param closing: once set, each response carries ``connection: close``.
    :param started: whether the head of the response was created.
    :param closes: whether this response carries ``connection: close`` in any case.
    :param on_start: called when the head of the response is created.
    :param body_bytes: of a long response.
    """

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        closing: asyncio.Event,
        budget: Budget,
        account: Account,
    ) -> None:
        self._connection = connection
        self._writer = writer
        self._closing = closing
        self._budget = budget
        self._account = account
        self.started = False
        self.closes = False
        self.on_start: Callable[[], None] = lambda: None
        self.body_bytes = 0

    async def send_response(
        self,
        status: int,
        content_type: str,
        body: bytes,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> None:
        """Writes a complete response with content type and length."""
        fields = {"content-type": content_type, "content-length": str(len(body))}
        await self.send_with_headers(status, list({**fields, **headers}.items()), body)

    async def send_with_headers(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a complete response with the given headers; adds no content type or length."""
        head = self._response_head(status, headers)
        if len(body) <= WRITE_BYTES:
            await self._send_events(head, h11.Data(body), h11.EndOfMessage())
            return
        self.body_bytes = len(body)
        # Released with the request.
        self._budget.hold(self._account, len(body))
        await self._send_in_parts(head, body)

    async def _send_in_parts(self, head: h11.Response, body: bytes) -> None:
        """Writes a long response without a copy of all of it in the buffer of the connection."""
        await self._send_events(head, h11.Data(body[:WRITE_BYTES]))
        for start in range(WRITE_BYTES, len(body), WRITE_BYTES):
            await self._send_events(h11.Data(body[start : start + WRITE_BYTES]))
        await self._send_events(h11.EndOfMessage())

    async def start_stream_with_headers(self, status: int, headers: Headers) -> None:
        """Starts a streamed response with the given headers; adds no content type."""
        await self._send_events(self._response_head(status, headers))

    async def send_json(
        self, status: int, document: Any, headers: Mapping[str, str] = NO_HEADERS
    ) -> None:
        """Writes a complete response with a document as JSON."""
        await self.send_response(status, "application/json", msgspec.json.encode(document), headers)

    async def start_stream(
        self, status: int, content_type: str, headers: Mapping[str, str]
    ) -> None:
        """Starts a streamed response that must not be cached."""
        fields = {"content-type": content_type, "cache-control": "no-store"}
        await self.start_stream_with_headers(status, list({**fields, **headers}.items()))

    async def send_chunk(self, data: bytes) -> None:
        """Writes a part of a streamed response."""
        await self._send_events(h11.Data(data))

    async def end_stream(self) -> None:
        """Ends a streamed response; one that has not been ended is incomplete for its caller."""
        await self._send_events(h11.EndOfMessage())

    def _response_head(self, status: int, headers: Headers) -> h11.Response:
        self.started = True
        self.on_start()
        fields: list[Any] = list(headers)
        if self.closes or self._closing.is_set():
            fields.append(("connection", "close"))
        return h11.Response(status_code=status, headers=fields)

    async def _send_events(self, *events: h11.Event) -> None:
        data = b"".join(self._connection.send(event) or b"" for event in events)
        self._writer.write(data)
        transport = self._writer.transport
        if not transport.get_write_buffer_size() and not transport.is_closing():
            # All of it is in the kernel: a timer for each event of a stream would cost more than
            # the write.
            return
        state = self._account.state
        self._budget.set_state(self._account, ClientState.SENDING)
        self._budget.hold(self._account, SEND_BUFFER_BYTES)
        try:
            await misc.with_timeout(WRITE_TIMEOUT_SECONDS, self._writer.drain(), _unread_error())
        finally:
            self._budget.release(self._account, SEND_BUFFER_BYTES)
            self._budget.set_state(self._account, state)


def _unread_error() -> ClientTimeoutError:
    return ClientTimeoutError("the caller did not read the response in time", step="write")


RequestHandler = Callable[[Request, Responder], Awaitable[Any]]


def error_document(error: VerbenaError) -> dict[str, Any]:
    """Returns the JSON document of an error, in the format that OpenAI clients expect."""
    return {
        "error": {
            "code": error.code,
            "type": error.code,
            "message": error.message,
            "step": error.step,
            "param": error.field or None,
            "not_run": error.not_run,
        }
    }


async def respond_error(respond: Responder, error: VerbenaError) -> None:
    """Writes an error as a complete response."""
    headers = {}
    if isinstance(error, OverloadedError):
        headers["retry-after"] = str(max(1, round(error.retry_after)))
    if not error.not_run:
        # Stops client libraries from retrying a request that may have run.
        headers["x-should-retry"] = "false"
    await respond.send_json(error.http_status, error_document(error), headers)


async def serve(
    address: str | socket.socket,
    handle: RequestHandler,
    stopping: asyncio.Event,
    closing: asyncio.Event | None = None,
    server_limits: ServerLimits | None = None,
) -> None:
    """Serves until ``stopping`` is set, then closes each connection after its current request.

    Connections that the kernel has queued by then are served as well: closing the listening socket
    would reset them, although their callers may have sent a request.

    :param address: ``IP:PORT``, or a socket that already listens.
    :param closing: set some time before ``stopping``; from then on the connection is closed after
        each response, while new connections are still accepted.
    :raises OSError: if the address can't be bound.
    """
    listener = open_listener(address) if isinstance(address, str) else address
    closing = closing or asyncio.Event()
    server_limits = server_limits or ServerLimits()
    budget = server_limits.budget or Budget()
    group = budget.add_group(is_page=server_limits.is_page)
    state = _ServerState(
        handle, stopping, closing, server_limits, budget, group, server_limits.answer_bytes
    )
    connections: set[_CallerConnection] = set()
    tasks: set[asyncio.Task[Any]] = set()

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        connection = _CallerConnection(reader, writer, state, task)
        connections.add(connection)
        tasks.add(task)
        try:
            if budget.open(connection.account):
                await connection.run()
            else:
                await connection.refuse()
        except (ConnectionError, h11.ProtocolError, ClientTimeoutError, asyncio.CancelledError):
            # The caller disconnected or was too slow, or the connection was closed at a stop or for
            # another one; nothing uses the result of this task.
            connection.log_dropped_request()
            if connection.was_evicted_unused:
                task.uncancel()  # Else the end of the timeout in it would be a cancellation.
                with contextlib.suppress(OSError, asyncio.CancelledError):
                    await connection.refuse()
        finally:
            connections.discard(connection)
            try:
                if connection.broke_off_unframed:
                    _reset(writer)
                writer.close()
                if writer.transport.get_write_buffer_size():
                    seconds = STOP_FLUSH_SECONDS if stopping.is_set() else FLUSH_SECONDS
                    await _flush(writer, seconds)
            finally:
                budget.close(connection.account)
                tasks.discard(task)

    async def serve_queued(caller: socket.socket) -> None:
        await serve_connection(*await asyncio.open_connection(sock=caller, limit=READ_BYTES))

    # Keeps the queue of new connections when the server closes its own descriptor.
    queue = listener.dup()
    # asyncio accepts as many connections at once as the queue may hold, so that they would exceed
    # the limit on descriptors before the first is counted.
    server = await asyncio.start_server(
        serve_connection, sock=listener, backlog=ACCEPT_COUNT, limit=READ_BYTES
    )
    queue.listen(BACKLOG)
    try:
        await stopping.wait()
        closing.set()
        # Closing the server would drop connections that were accepted in the last turn.
        asyncio.get_running_loop().remove_reader(server.sockets[0].fileno())
        await asyncio.sleep(0)
        server.close()
        for caller in _accept_all(queue):
            misc.spawn(serve_queued(caller), tasks)
        queue.close()
        await asyncio.sleep(LAST_REQUEST_SECONDS)
        for connection in list(connections):
            if not connection.busy:
                connection.task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=LAST_BODY_SECONDS)
        for connection in list(connections):
            # Nothing has run for them.
            if connection.account.state is ClientState.RECEIVING:
                connection.end(DropCause.STOP)
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        queue.close()
        server.close()
        await misc.cancel_and_wait(*tasks)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset, so that its caller doesn't take the close for the end."""
    no_linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):  # The caller may have closed it.
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


async def _flush(writer: asyncio.StreamWriter, seconds: float) -> None:
    """Waits until the caller has read what is buffered, and breaks the connection if it doesn't."""
    try:
        async with asyncio.timeout(seconds):
            await writer.wait_closed()
    except (TimeoutError, asyncio.CancelledError) as error:
        # A transport that has closed after sending all can't be aborted.
        if writer.transport.get_write_buffer_size():
            writer.transport.abort()
        if isinstance(error, asyncio.CancelledError):
            raise
    except OSError:
        pass  # The caller has closed it.


def _accept_all(listener: socket.socket) -> Iterator[socket.socket]:
    """Yields the connections that the kernel has queued for a non-blocking listening socket."""
    # Without a descriptor, say, the rest is lost, but not the requests that are in progress.
    with contextlib.suppress(OSError):
        while True:
            yield listener.accept()[0]


class _ServerState(msgspec.Struct):
    """State that all connections of a server share.

    :param answer_bytes: as in the limits, or of the longest body or answer that it has had since.
    """

    handle: RequestHandler
    stopping: asyncio.Event
    closing: asyncio.Event
    server_limits: ServerLimits
    budget: Budget
    group: Group
    answer_bytes: int


class _CallerConnection:
    """One connection of a caller.

    :param busy: whether a request is being received or handled.
    :param account: what the connection holds.
    :param was_evicted_unused: whether it was closed for another one before any request was read.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server_state: _ServerState,
        task: asyncio.Task[Any],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._server_state = server_state
        self._budget = server_state.budget
        self.task = task
        self.busy = False
        limits = server_state.server_limits.limits
        self._connection = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self._turn_taker = misc.TurnTaker()
        peer = writer.get_extra_info("peername")
        self.account = Account(
            server_state.group,
            peer[0] if peer else "",
            self._evict,
            self._budget.clock(),
            limits.idle_seconds,
        )
        self._pipelines_too_much = False
        self.was_evicted_unused = False
        self._path = ""
        self._drop_cause: DropCause | None = None
        self._drop_state = ClientState.IDLE
        writer.transport.set_write_buffer_limits(WRITE_BYTES)

    @property
    def broke_off_unframed(self) -> bool:
        """True if the response is not complete and ends with the connection, as in HTTP/1.0."""
        is_open = self._connection.our_state in (h11.SEND_BODY, h11.ERROR)
        return is_open and self._connection.their_http_version == b"1.0"

    def _evict(self) -> None:
        """Closes the connection for another one; what its caller hasn't read is dropped."""
        if self._writer.transport.get_write_buffer_size():
            self._writer.transport.abort()
        # Its first request may be in the socket, unread.
        is_idle = self.account.state is ClientState.IDLE
        self.was_evicted_unused = is_idle and not self.account.requests
        self.end(DropCause.EVICTED)

    def end(self, cause: DropCause) -> None:
        """Closes the connection, whatever its request has come to."""
        self._record_drop(cause)
        self.task.cancel()

    def _record_drop(self, cause: DropCause) -> None:
        if self._drop_cause is None:
            self._drop_cause, self._drop_state = cause, self.account.state

    def log_dropped_request(self) -> None:
        """Logs that a request has no complete answer because the connection was closed here."""
        if self._drop_cause is not None and self._drop_state is not ClientState.IDLE:
            logs.info(
                Event.REQUEST_DROPPED,
                cause=self._drop_cause,
                state=self._drop_state,
                path=self._path,
                peer=self.account.peer,
            )

    async def run(self) -> None:
        """Serves the requests of the connection one by one."""
        while True:
            respond = Responder(
                self._connection,
                self._writer,
                self._server_state.closing,
                self._budget,
                self.account,
            )
            try:
                request = await self._read_request()
                if request is None:
                    return
                self._path = request.path
                await self._start_request(request, respond)
            except VerbenaError as error:
                await self._refuse_request(respond, error)
                return
            try:
                await self._serve_request(request, respond)
            finally:
                if 0 < self._server_state.answer_bytes < respond.body_bytes:
                    self._server_state.answer_bytes = respond.body_bytes
                self._budget.end_request(self.account)
                self._budget.release(self.account)
            self.busy = False
            our_state = self._connection.our_state
            # An answer with "connection: close" ends in MUST_CLOSE.
            if self._pipelines_too_much and our_state in (h11.DONE, h11.MUST_CLOSE):
                await self._linger()
                return
            if our_state is not h11.DONE or self._connection.their_state is not h11.DONE:
                return
            self._connection.start_next_cycle()

    async def refuse(self) -> None:
        """Refuses a connection that there is no room for, before it has sent a request."""
        self._writer.write(REFUSAL)
        await self._linger()

    async def _start_request(self, request: Request, respond: Responder) -> None:
        """Counts a request that is to run, and the answer that it may get.

        :raises LimitReachedError: if there is no room for it.
        """
        state, budget, account = self._server_state, self._budget, self.account
        if state.answer_bytes:
            state.answer_bytes = max(state.answer_bytes, len(request.body))
            # What a body takes is free again when its answer is made.
            expected = state.answer_bytes - account.held
            if expected > 0:
                await self._hold(expected)
                respond.on_start = lambda: budget.release(account, expected)
        if not budget.start_request(account):
            raise _limit_reached("memory or descriptors")

    async def _refuse_request(self, respond: Responder, error: VerbenaError) -> None:
        """Answers a request that is not handled; the connection is to be closed."""
        if self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            respond.closes = True
            await respond_error(respond, error)
            if not isinstance(error, ClientTimeoutError):
                await self._linger()

    async def _linger(self) -> None:
        """Reads what the caller still sends, for a short time, so that it can read the answer."""
        self._budget.release(self.account)
        if not self._budget.start_linger():
            return
        try:
            self._writer.write_eof()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LINGER_SECONDS):
                    remaining = LINGER_BYTES
                    while remaining > 0 and (data := await self._reader.read(READ_BYTES)):
                        remaining -= len(data)
                        await asyncio.sleep(LINGER_PAUSE_SECONDS)
        finally:
            self._budget.end_linger()

    async def _serve_request(self, request: Request, respond: Responder) -> None:
        """Runs the handler, and cancels it if the caller closes the connection.

        A caller that has sent more data, the start of its next request, is no longer watched, and
        nothing more is read until the answer is sent.
        """
        handling = asyncio.ensure_future(self._handle_request(request, respond))
        if waiting := self._connection.trailing_data[0]:
            self._count_pipelining(respond)
        if len(waiting) >= READ_BYTES:
            try:
                await handling
            finally:
                await misc.cancel_and_wait(handling)
            return
        reading = asyncio.ensure_future(self._reader.read(READ_BYTES))
        try:
            await asyncio.wait({handling, reading}, return_when=asyncio.FIRST_COMPLETED)
            if not handling.done():
                if reading.result() == b"":
                    raise ConnectionResetError("the caller closed the connection")
                if not waiting:
                    self._count_pipelining(respond)
            await handling
        finally:
            await misc.cancel_and_wait(handling, reading)
        if not reading.cancelled():
            # The start of the next request, or empty at the end of the connection.
            self._connection.receive_data(reading.result())

    def _count_pipelining(self, respond: Responder) -> None:
        """Counts what waits in the buffers; without room, this request is the last one served."""
        if not self._budget.try_hold(self.account, RECEIVE_BUFFER_BYTES):
            self._budget.hold(self.account, RECEIVE_BUFFER_BYTES)
            self._budget.report(Limit.PIPELINING_CLOSED)
            self._pipelines_too_much = respond.closes = True

    async def _handle_request(self, request: Request, respond: Responder) -> None:
        """Runs the handler; answers its error, or drops the connection after a started response."""
        try:
            await self._server_state.handle(request, respond)
        except VerbenaError as error:
            if respond.started:
                raise self._broken_off(error) from error
            await respond_error(respond, error)
        except ConnectionError as error:
            if respond.started:
                raise self._broken_off(error) from error
            raise
        except asyncio.CancelledError:
            raise
        except Exception as error:
            logs.warning(Event.HANDLER_FAILED, path=request.path, error=repr(error))
            if respond.started:
                raise self._broken_off(error) from error
            await respond_error(respond, VerbenaError(repr(error), step="handle"))

    def _broken_off(self, error: Exception) -> ConnectionResetError:
        is_unread = isinstance(error, ClientTimeoutError)
        self._record_drop(DropCause.UNREAD if is_unread else DropCause.BROKEN_OFF)
        return ConnectionResetError()

    async def _read_request(self) -> Request | None:
        """Reads the next request; None if the caller closed the connection or the server stops."""
        idle_error = ClientTimeoutError("idle connection timed out", step="read", not_run=True)
        slow_error = ClientTimeoutError("reading the request timed out", step="read", not_run=True)
        # The idle timeout applies until the first bytes of the request are received.
        if self._connection.trailing_data == (b"", False):
            self._budget.set_state(self.account, ClientState.IDLE)
            stopping = self._server_state.stopping.is_set()
            limits = self._server_state.server_limits.limits
            self.account.idle_seconds = limits.idle_seconds
            seconds = LAST_REQUEST_SECONDS if stopping else limits.idle_seconds
            try:
                data = await misc.with_timeout(seconds, self._reader.read(READ_BYTES), idle_error)
            except ClientTimeoutError:
                if stopping:
                    return None
                raise
            self._connection.receive_data(data)
        self.busy = True
        self._budget.set_state(self.account, ClientState.RECEIVING)
        limits = self._server_state.server_limits.limits
        head = await misc.with_timeout(limits.header_seconds, self._next_event(), slow_error)
        if not isinstance(head, h11.Request):
            return None
        body = await misc.with_timeout(BODY_TIMEOUT_SECONDS, self._read_body(head), slow_error)
        return _to_request(head, body)

    async def _read_body(self, head: h11.Request) -> bytes:
        max_bytes = self._server_state.server_limits.limits.body_bytes
        length = next((value for name, value in head.headers if name == b"content-length"), b"0")
        if int(length) > max_bytes:
            raise _too_large(max_bytes)
        field_count = len(head.headers)
        if field_count > FREE_FIELDS:
            await self._hold(field_count * FIELD_BYTES)
        if self._connection.they_are_waiting_for_100_continue:
            interim_response = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._connection.send(interim_response) or b"")
        # Its value is the buffer itself, where bytes made of a bytearray would be one more copy.
        body = io.BytesIO()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                size = len(event.data)
                was_long = body.tell() > READ_BYTES
                if body.tell() + size > max_bytes:
                    raise _too_large(max_bytes)
                await self._hold(size * BODY_COPIES)
                body.write(event.data)
                if body.tell() // PROGRESS_BYTES > (body.tell() - size) // PROGRESS_BYTES:
                    self._budget.set_state(self.account, ClientState.RECEIVING)
                if body.tell() > READ_BYTES and not was_long:
                    await self._hold(RECEIVE_BUFFER_BYTES)
                await self._turn_taker.record(size)
            elif isinstance(event, h11.EndOfMessage):
                if body.tell() > READ_BYTES:
                    self._budget.release(self.account, RECEIVE_BUFFER_BYTES)
                return body.getvalue()
            else:
                raise ConnectionResetError

    async def _hold(self, size: int) -> None:
        """Counts bytes of the request that is being received; waits a while if there is no room.

        :raises LimitReachedError: if there is none.
        """
        if not self._budget.try_hold(self.account, size):
            await self._wait_for_memory(size)

    async def _wait_for_memory(self, size: int) -> None:
        budget = self._budget
        if budget.start_wait():
            try:
                for _ in range(round(MEMORY_WAIT_SECONDS / MEMORY_POLL_SECONDS)):
                    budget.make_room(self.account)
                    if budget.try_hold(self.account, size):
                        return
                    await asyncio.sleep(MEMORY_POLL_SECONDS)
            finally:
                budget.end_wait()
        budget.report(Limit.MEMORY)
        raise _limit_reached("memory")

    async def _next_event(self) -> Any:
        incomplete_bytes = 0
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                error_class = TooLargeError if error.error_status_hint == 431 else BadRequestError
                raise error_class(str(error), step="read", field="headers", not_run=True) from None
            if event is not h11.NEED_DATA:
                return event
            data = await self._reader.read(READ_BYTES)
            incomplete_bytes += len(data)
            if incomplete_bytes > READ_BYTES:
                await self._hold(len(data))
            self._connection.receive_data(data)


def _limit_reached(what: str) -> LimitReachedError:
    return LimitReachedError(
        f"the clients of this process use all of its {what}",
        step="read",
        retry_after=LIMIT_RETRY_SECONDS,
    )


def _too_large(max_bytes: int) -> TooLargeError:
    return TooLargeError(
        f"the body is larger than {max_bytes} bytes", step="read", field="body", not_run=True
    )


def _to_request(head: h11.Request, body: bytes) -> Request:
    target = head.target.decode("ascii", "replace")
    try:
        parts = urlsplit(target)
    except ValueError as error:
        raise BadRequestError(str(error), step="read", field="target", not_run=True) from None
    headers = {name.decode("ascii"): value.decode("latin-1") for name, value in head.headers}
    return Request(
        head.method.decode("ascii"),
        target,
        unquote(parts.path),
        dict(parse_qsl(parts.query)),
        headers,
        body,
        list(head.headers),
    )
