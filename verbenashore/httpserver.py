"""An HTTP/1.1 server over h11, with limits on what a caller may do to it."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec

from verbenashore import logs, misc
from verbenashore.exceptions import (
    BadRequestError,
    OverloadedError,
    SlowClientError,
    TooLargeError,
    VerbenaError,
)
from verbenashore.httpclient import Headers
from verbenashore.listener import BACKLOG, open_listener
from verbenashore.logs import Event
from verbenashore.routing import CallerLimits

BODY_SECONDS = 60.0
WRITE_SECONDS = 20.0
READ_BYTES = 64 << 10
#: Leaves descriptors of the 4,100 of an instance for connections to backend servers.
MAX_CONNECTIONS = 3000
NO_HEADERS: Mapping[str, str] = {}


class Tuning(msgspec.Struct):
    """What a server allows its callers; may change while it runs."""

    limits: CallerLimits = CallerLimits()


class Request(msgspec.Struct):
    """One request of a caller.

    :param target: the path with its query, as it came.
    :param headers: by lower-case name.
    :param fields: the headers in order, as they came.
    """

    method: str
    target: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    fields: list[tuple[bytes, bytes]] = msgspec.field(default_factory=list)


class Responder:
    """Writes the response to one request.

    :param closing: once set, callers are told that the connection ends with the response.
    """

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        closing: asyncio.Event,
    ) -> None:
        self._connection = connection
        self._writer = writer
        self._closing = closing
        self.started = False

    async def whole(
        self,
        status: int,
        content_type: str,
        body: bytes,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> None:
        """Writes a whole response."""
        fields = {"content-type": content_type, "content-length": str(len(body))}
        await self.relayed(status, list({**fields, **headers}.items()), body)

    async def relayed(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a whole response with just these headers."""
        await self._send(self._head(status, headers), h11.Data(body), h11.EndOfMessage())

    async def start_relayed(self, status: int, headers: Headers) -> None:
        """Starts a streamed response with just these headers."""
        await self._send(self._head(status, headers))

    async def json(
        self, status: int, document: Any, headers: Mapping[str, str] = NO_HEADERS
    ) -> None:
        """Writes a document as JSON."""
        await self.whole(status, "application/json", msgspec.json.encode(document), headers)

    async def start(self, status: int, content_type: str, headers: Mapping[str, str]) -> None:
        """Starts a streamed response."""
        fields = {"content-type": content_type, "cache-control": "no-store"}
        await self.start_relayed(status, list({**fields, **headers}.items()))

    async def chunk(self, data: bytes) -> None:
        """Writes a part of a streamed response."""
        await self._send(h11.Data(data))

    async def end(self) -> None:
        """Ends a streamed response; a caller can tell one that was not ended."""
        await self._send(h11.EndOfMessage())

    def _head(self, status: int, headers: Headers) -> h11.Response:
        self.started = True
        fields: list[Any] = list(headers)
        if self._closing.is_set():
            fields.append(("connection", "close"))
        return h11.Response(status_code=status, headers=fields)

    async def _send(self, *events: h11.Event) -> None:
        data = b"".join(self._connection.send(event) or b"" for event in events)
        self._writer.write(data)
        late = SlowClientError("the caller does not read", step="write")
        await misc.within(WRITE_SECONDS, self._writer.drain(), late)


Handle = Callable[[Request, Responder], Awaitable[Any]]


def error_document(error: VerbenaError) -> dict[str, Any]:
    """Returns the typed document of an error, in the shape that OpenAI clients expect."""
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
    """Writes an error as a response."""
    headers = {}
    if isinstance(error, OverloadedError):
        headers["retry-after"] = str(max(1, round(error.retry_after)))
    if not error.not_run:
        # The caller's library must not repeat by itself what may have run.
        headers["x-should-retry"] = "false"
    await respond.json(error.http_status, error_document(error), headers)


async def serve(
    address: str | socket.socket,
    handle: Handle,
    stopping: asyncio.Event,
    closing: asyncio.Event | None = None,
    tuning: Tuning | None = None,
) -> None:
    """Serves until told to stop; then ends each connection after the request it is busy with.

    :param address: ``IP:PORT``, or a socket that listens already.
    :param closing: set some time before ``stopping``; from then on each response ends its
        connection, while new connections are still served.
    :raises OSError: if the address can't be bound.
    """
    listener = open_listener(address) if isinstance(address, str) else address
    shared = _Shared(handle, stopping, closing or asyncio.Event(), tuning or Tuning())
    conversations: set[_Conversation] = set()
    tasks: set[asyncio.Task[Any]] = set()

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(conversations) >= MAX_CONNECTIONS:
            writer.close()
            return
        task = asyncio.current_task()
        assert task is not None
        conversation = _Conversation(reader, writer, shared, task)
        conversations.add(conversation)
        tasks.add(task)
        try:
            await conversation.run()
        except (ConnectionError, h11.ProtocolError, SlowClientError, asyncio.CancelledError):
            # The caller is gone, or an idle connection is ended; nobody waits for this task.
            pass
        finally:
            conversations.discard(conversation)
            tasks.discard(task)
            writer.close()

    server = await asyncio.start_server(connected, sock=listener, backlog=BACKLOG)
    try:
        await stopping.wait()
        server.close()
        for conversation in list(conversations):
            if not conversation.busy:
                conversation.task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        server.close()
        await misc.cancel_and_wait(*tasks)


class _Shared(msgspec.Struct):
    """What all connections of a server share."""

    handle: Handle
    stopping: asyncio.Event
    closing: asyncio.Event
    tuning: Tuning


class _Conversation:
    """One connection of a caller."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        shared: _Shared,
        task: asyncio.Task[Any],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._shared = shared
        self.task = task
        self.busy = False
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=shared.tuning.limits.header_bytes
        )

    async def run(self) -> None:
        """Serves one request after the other."""
        while not self._shared.stopping.is_set():
            respond = Responder(self._connection, self._writer, self._shared.closing)
            try:
                request = await self._read_request()
            except VerbenaError as error:
                await self._refuse(respond, error)
                return
            if request is None:
                return
            await self._serve_one(request, respond)
            self.busy = False
            if self._connection.our_state is not h11.DONE:
                return
            if self._connection.their_state is not h11.DONE:
                return
            self._connection.start_next_cycle()

    async def _refuse(self, respond: Responder, error: VerbenaError) -> None:
        if self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await respond_error(respond, error)

    async def _serve_one(self, request: Request, respond: Responder) -> None:
        """Runs the handler, and cancels it if the caller goes away."""
        work = asyncio.ensure_future(self._guarded(request, respond))
        watch = asyncio.ensure_future(self._reader.read(READ_BYTES))
        try:
            await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done() and watch.result() == b"":
                raise ConnectionResetError("the caller went away")
            await work
        finally:
            await misc.cancel_and_wait(work, watch)
        if not watch.cancelled():
            self._connection.receive_data(watch.result())

    async def _guarded(self, request: Request, respond: Responder) -> None:
        try:
            await self._shared.handle(request, respond)
        except VerbenaError as error:
            if respond.started:
                raise ConnectionResetError from error
            await respond_error(respond, error)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception as error:
            logs.warning(Event.HANDLER_FAILED, path=request.path, error=repr(error))
            if respond.started:
                raise ConnectionResetError from error
            await respond_error(respond, VerbenaError(repr(error), step="handle"))

    async def _read_request(self) -> Request | None:
        idle = SlowClientError("no request came", step="read", not_run=True)
        slow = SlowClientError("the request came too slowly", step="read", not_run=True)
        if self._connection.trailing_data == (b"", False):
            limits = self._shared.tuning.limits
            data = await misc.within(limits.idle_seconds, self._reader.read(READ_BYTES), idle)
            self._connection.receive_data(data)
        self.busy = True
        limits = self._shared.tuning.limits
        head = await misc.within(limits.header_seconds, self._next_event(), slow)
        if not isinstance(head, h11.Request):
            return None
        body = await misc.within(BODY_SECONDS, self._read_body(head), slow)
        return _to_request(head, body)

    async def _read_body(self, head: h11.Request) -> bytes:
        most = self._shared.tuning.limits.body_bytes
        length = next((value for name, value in head.headers if name == b"content-length"), b"0")
        if int(length) > most:
            raise _too_large(most)
        if self._connection.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._connection.send(go_on) or b"")
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > most:
                    raise _too_large(most)
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise ConnectionResetError

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                kind = TooLargeError if error.error_status_hint == 431 else BadRequestError
                raise kind(str(error), step="read", field="headers", not_run=True) from None
            if event is not h11.NEED_DATA:
                return event
            self._connection.receive_data(await self._reader.read(READ_BYTES))


def _too_large(most: int) -> TooLargeError:
    return TooLargeError(f"the body is over {most} bytes", step="read", field="body", not_run=True)


def _to_request(head: h11.Request, body: bytes) -> Request:
    target = head.target.decode("ascii", "replace")
    parts = urlsplit(target)
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
