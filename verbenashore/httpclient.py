"""An HTTP/1.1 client over h11 in which every wait has a timeout.

Each request opens a new connection: a connection kept open may have failed unnoticed.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

import h11
import msgspec

from verbenashore import misc
from verbenashore.exceptions import BackendError
from verbenashore.settings import parse_address

CONNECT_TIMEOUT_SECONDS = 1.0
READ_BYTES = misc.TURN_BYTES
#: Receive buffer of a connection in the kernel, which doubles the number for its own overhead.
RECEIVE_BUFFER_BYTES = 64 << 10
#: Informational responses before a response; a server sends one or two.
MAX_INFORMATIONAL_RESPONSES = 16
#: Longest body in bytes that :func:`request` reads, unless told otherwise: far above a page of
#: a list, and a small part of the 128 MB that an instance may have.
MAX_BODY_BYTES = 8 << 20
JSON_HEADERS = {"content-type": "application/json"}

#: Header names and values; a list keeps the order and repeated names.
Headers = dict[str, str] | list[tuple[str, str]] | list[tuple[bytes, bytes]]


def _lower_case(name: str | bytes) -> str:
    return (name.decode("latin-1") if isinstance(name, bytes) else name).lower()


class Response(msgspec.Struct):
    """A complete response."""

    status: int
    content_type: str
    body: bytes


class Exchange:
    """One request whose response is read as it is received.

    One timer watches all reads of a response: a stream has a read every few milliseconds, and a
    timer for each would cost more than the read.

    :param read_timeout: seconds for which each read waits for more data.
    :param keeps_waiting: asked whenever a read has had no data for that time; true to wait as long
        again.
    :param read_pause: seconds to wait before each read, so that it gets more data at once.
    :param framed: whether the end of the body is known from the head; otherwise the body ends with
        the connection.
    :param ended: whether the response was read to its end.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: str,
        read_timeout: float,
        keeps_waiting: Callable[[], bool] = lambda: False,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._peer = peer
        self._read_timeout = read_timeout
        self._keeps_waiting = keeps_waiting
        self._loop = asyncio.get_running_loop()
        self._waiting_since: float | None = None
        self._timer = self._loop.call_later(read_timeout, self._check_read)
        self._connection = h11.Connection(h11.CLIENT)
        self._turn_taker = misc.TurnTaker()
        self._method = ""
        self.status = 0
        self.content_type = ""
        self.headers: list[tuple[bytes, bytes]] = []
        self.read_pause = 0.0
        self.framed = False
        self.ended = False

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Writes the request without waiting: the peer may respond before it has read all of it."""
        self._method = method
        supplied: list[Any] = list(headers.items() if isinstance(headers, dict) else headers)
        names = {_lower_case(name) for name, _ in supplied}
        defaults = [("host", self._peer), ("content-length", str(len(body)))]
        fields: list[Any] = [pair for pair in defaults if pair[0] not in names] + supplied
        head = h11.Request(method=method, target=target, headers=fields)
        events = (head, h11.Data(body), h11.EndOfMessage())
        self._writer.write(b"".join(self._connection.send(event) or b"" for event in events))

    def set_read_timeout(self, seconds: float) -> None:
        """Changes the seconds for which each read waits for more data."""
        if seconds != self._read_timeout:
            self._read_timeout = seconds
            self._check_read()

    def close(self) -> None:
        """Stops watching the reads."""
        self._timer.cancel()

    def _check_read(self) -> None:
        """Fails the read that waits for more data if its time is over."""
        self._timer.cancel()
        now = self._loop.time()
        due = (now if self._waiting_since is None else self._waiting_since) + self._read_timeout
        if now < due:
            self._timer = self._loop.call_at(due, self._check_read)
        elif self._keeps_waiting():
            self._timer = self._loop.call_at(now + self._read_timeout, self._check_read)
        else:
            self._reader.set_exception(
                BackendError("timed out waiting for more data", step="read", peer=self._peer)
            )

    async def read_head(self) -> None:
        """Reads the status and the headers, past any informational responses."""
        for _ in range(1 + MAX_INFORMATIONAL_RESPONSES):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                break
        if isinstance(event, h11.InformationalResponse):
            raise BackendError("too many informational responses", step="head", peer=self._peer)
        if not isinstance(event, h11.Response):
            raise BackendError(
                "the connection closed before the response", step="head", peer=self._peer
            )
        self.status = event.status_code
        self.headers = list(event.headers)
        fields = dict(event.headers)
        self.framed = (
            self._method == "HEAD" or b"content-length" in fields or b"transfer-encoding" in fields
        )
        self.content_type = fields.get(b"content-type", b"").decode("latin-1")

    async def parts(self) -> AsyncIterator[bytes]:
        """Yields the body as it is received.

        :raises BackendError: if the connection closes before the end of the body.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.ended = True
                return
            else:
                raise BackendError(
                    "the connection closed before the end of the body", step="body", peer=self._peer
                )

    async def read_body(self, max_bytes: int) -> bytes:
        """Reads the body to its end.

        :param max_bytes: the longest body that is read.
        :raises BackendError: if it is longer, or the connection closes before its end.
        """
        body = bytearray()
        async for part in self.parts():
            # A list of the parts would take many times the bytes of parts that are small.
            body += part
            if len(body) > max_bytes:
                raise BackendError(
                    f"the body is longer than {max_bytes} bytes", step="body", peer=self._peer
                )
        return bytes(body)

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                raise BackendError(str(error), step="answer", peer=self._peer) from None
            if event is not h11.NEED_DATA:
                size = len(event.data) if isinstance(event, h11.Data) else 0
                await self._turn_taker.record(size)
                return event
            if self.read_pause:
                await asyncio.sleep(self.read_pause)
            self._waiting_since = self._loop.time()
            data = await self._reader.read(READ_BYTES)
            self._waiting_since = None
            self._connection.receive_data(data)


@contextlib.asynccontextmanager
async def exchange(
    address: str,
    method: str,
    target: str,
    body: bytes,
    read_timeout: float,
    headers: Headers = JSON_HEADERS,
    connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    on_connected: Callable[[], None] = lambda: None,
    keeps_waiting: Callable[[], bool] = lambda: False,
) -> AsyncIterator[Exchange]:
    """Sends a request and yields its exchange; leaving the block closes the connection.

    A connection whose response was not read to its end is reset, so that the peer stops its work.

    :param read_timeout: seconds for which each read waits for more data.
    :param connect_seconds: timeout of the connection attempt.
    :param on_connected: called once the connection is open.
    :param keeps_waiting: as in :class:`Exchange`.
    :raises BackendError: if connecting fails (the step is ``connect`` and nothing was sent), no
        response starts, or the connection fails later.
    """
    endpoint = parse_address(address)
    timeout_error = BackendError("connecting timed out", step="connect", peer=address, not_run=True)
    try:
        opening = asyncio.open_connection(endpoint.host, endpoint.port)
        reader, writer = await misc.with_timeout(connect_seconds, opening, timeout_error)
    except OSError as error:
        raise BackendError(str(error), step="connect", peer=address, not_run=True) from None
    # Bytes that wait here for a caller who reads slowly count as memory of the process, and the
    # kernel would let the buffer grow to megabytes.
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    on_connected()
    opened = Exchange(reader, writer, address, read_timeout, keeps_waiting)
    try:
        opened.send(method, target, headers, body)
        await opened.read_head()
        yield opened
    except OSError as error:
        raise BackendError(str(error), step="exchange", peer=address) from error
    finally:
        opened.close()
        if opened.ended:
            writer.close()
        else:
            writer.transport.abort()


async def request(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    *,
    seconds: float,
    headers: Headers = JSON_HEADERS,
    max_bytes: int = MAX_BODY_BYTES,
) -> Response:
    """Sends a request and returns the complete response.

    :param seconds: timeout of the whole request, and of each read once connected.
    :param max_bytes: the longest body that is read.
    :raises BackendError: if no complete response was received in time.
    """
    timeout_error = BackendError("no response in time", step="read", peer=address)
    return await misc.with_timeout(
        seconds,
        _request(address, method, target, body, seconds, headers, max_bytes),
        timeout_error,
    )


async def _request(
    address: str,
    method: str,
    target: str,
    body: bytes,
    seconds: float,
    headers: Headers,
    max_bytes: int,
) -> Response:
    async with exchange(address, method, target, body, seconds, headers) as opened:
        data = await opened.read_body(max_bytes)
        return Response(opened.status, opened.content_type, data)
