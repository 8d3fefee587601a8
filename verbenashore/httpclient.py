"""An HTTP/1.1 client over h11 whose every wait has a deadline.

Each call uses a new connection: one that was kept open may have gone silent unnoticed.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import h11
import msgspec

from verbenashore import misc
from verbenashore.exceptions import BackendError
from verbenashore.settings import parse_address

CONNECT_SECONDS = 1.0
READ_BYTES = 64 << 10
JSON_HEADERS = {"content-type": "application/json"}

#: Names and values; a list keeps order and repeated names.
Headers = dict[str, str] | list[tuple[str, str]] | list[tuple[bytes, bytes]]


def _name(name: str | bytes) -> str:
    return (name.decode("latin-1") if isinstance(name, bytes) else name).lower()


class Response(msgspec.Struct):
    """A whole response."""

    status: int
    content_type: str
    body: bytes


class Exchange:
    """One request whose response is read as it comes.

    :param progress: seconds in which each further part must come.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: str, progress: float
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._peer = peer
        self._progress = progress
        self._connection = h11.Connection(h11.CLIENT)
        self.status = 0
        self.content_type = ""
        self.headers: list[tuple[bytes, bytes]] = []
        self.ended = False

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Sends the request without waiting: the peer may answer before it has read all of it."""
        given: list[Any] = list(headers.items() if isinstance(headers, dict) else headers)
        names = {_name(name) for name, _ in given}
        default = [("host", self._peer), ("content-length", str(len(body)))]
        fields: list[Any] = [pair for pair in default if pair[0] not in names] + given
        head = h11.Request(method=method, target=target, headers=fields)
        events = (head, h11.Data(body), h11.EndOfMessage())
        self._writer.write(b"".join(self._connection.send(event) or b"" for event in events))

    def set_progress(self, seconds: float) -> None:
        """Changes the time in which each further part must come."""
        self._progress = seconds

    async def read_head(self) -> None:
        """Reads the status and the headers."""
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise BackendError("the connection ended early", step="head", peer=self._peer)
        self.status = event.status_code
        self.headers = list(event.headers)
        fields = dict(event.headers)
        self.content_type = fields.get(b"content-type", b"").decode("latin-1")

    async def parts(self) -> AsyncIterator[bytes]:
        """Yields the body; one that ends before its end marker is an error."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.ended = True
                return
            else:
                raise BackendError("the body was cut off", step="body", peer=self._peer)

    async def _next_event(self) -> Any:
        late = BackendError("no progress in time", step="read", peer=self._peer)
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                raise BackendError(str(error), step="read", peer=self._peer) from None
            if event is not h11.NEED_DATA:
                return event
            data = await misc.within(self._progress, self._reader.read(READ_BYTES), late)
            self._connection.receive_data(data)


@contextlib.asynccontextmanager
async def exchange(
    address: str,
    method: str,
    target: str,
    body: bytes,
    progress: float,
    headers: Headers = JSON_HEADERS,
    connect_seconds: float = CONNECT_SECONDS,
    on_connected: Callable[[], None] = lambda: None,
) -> AsyncIterator[Exchange]:
    """Sends a request and gives its exchange; leaving the block closes the connection.

    A connection whose response has not ended is reset, so that the peer stops its work.

    :param on_connected: called when there is a connection.
    :raises BackendError: with step ``connect`` if nothing was sent at all.
    """
    place = parse_address(address)
    late = BackendError("can't connect", step="connect", peer=address, not_run=True)
    try:
        opening = asyncio.open_connection(place.host, place.port)
        reader, writer = await misc.within(connect_seconds, opening, late)
    except OSError as error:
        raise BackendError(str(error), step="connect", peer=address, not_run=True) from None
    on_connected()
    running = Exchange(reader, writer, address, progress)
    try:
        running.send(method, target, headers, body)
        await running.read_head()
        yield running
    except OSError as error:
        raise BackendError(str(error), step="exchange", peer=address) from error
    finally:
        if running.ended:
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
) -> Response:
    """Sends a request and returns the whole response.

    :raises BackendError: if there was none in time.
    """
    late = BackendError("no answer in time", step="read", peer=address)
    return await misc.within(seconds, _whole(address, method, target, body, seconds, headers), late)


async def _whole(
    address: str, method: str, target: str, body: bytes, seconds: float, headers: Headers
) -> Response:
    async with exchange(address, method, target, body, seconds, headers) as running:
        data = b"".join([part async for part in running.parts()])
        return Response(running.status, running.content_type, data)
