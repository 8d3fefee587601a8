"""One call at one backend server, and what its answer says about whether it ran."""

import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec

from verbenashore import httpclient, logs
from verbenashore.directory import BackendEntry
from verbenashore.dispatch import Failure
from verbenashore.exceptions import BackendBusyError, BackendError, BackendReplacedError
from verbenashore.httpclient import Exchange
from verbenashore.logs import Event

#: Seconds for a new connection; the servers answer one within a few round trips.
CONNECT_SECONDS = 0.1
#: Seconds for a status check, which waits for a slot like any call.
PROBE_SECONDS = 0.4


class Call(msgspec.Struct):
    """One call as its caller sent it.

    :param target: the path with its query.
    :param headers: those that go on to the backend server, in order.
    :param patience: seconds that the caller waits; None if it didn't say.
    :param last_event: the number of the last event that the caller has; None if it has none.
    """

    id: str
    host: str
    method: str
    target: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    patience: float | None = None
    last_event: int | None = None


class AnswerHead(msgspec.Struct, frozen=True):
    """The head of a backend server's answer.

    :param headers: those that go on to the caller.
    :param call: the id of the call that it answers, or "" if it names none.
    :param not_run: the server states that it did not run the call.
    :param replaced: it is another server than the expected one.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    call: str
    not_run: bool
    replaced: bool


class Dialect(msgspec.Struct, frozen=True):
    """How calls and answers are written for the backend servers.

    :param call_headers: the headers for a call at a server, with the seconds that are left and
        the number of the last event, if any.
    :param read_head: reads the status and headers of an answer.
    """

    call_headers: Callable[
        [Call, BackendEntry, float | None, int | None], list[tuple[bytes, bytes]]
    ]
    read_head: Callable[[int, list[tuple[bytes, bytes]]], AnswerHead]


class Opened(msgspec.Struct):
    """A call whose answer has begun."""

    exchange: Any
    head: AnswerHead

    async def parts(self) -> AsyncIterator[bytes]:
        """Yields the body; one that is cut off is an error."""
        running: Exchange = self.exchange
        async for part in running.parts():
            yield part


async def probe(dialect: Dialect, server: BackendEntry, path: str) -> bool:
    """Asks a server's status check; false if it isn't well or can't be reached."""
    check = Call("", server.address, "GET", path, path, [], b"")
    headers = dialect.call_headers(check, server, None, None)
    try:
        answer = await httpclient.request(
            server.address, "GET", path, seconds=PROBE_SECONDS, headers=headers
        )
    except BackendError as error:
        logs.info(Event.PROBE_FAILED, server=server.name, step=error.step, error=error.message)
        return False
    return answer.status == 200


def failure_kind(error: BackendError) -> Failure:
    """Returns how a call failed."""
    if error.step == "connect":
        return Failure.UNREACHABLE
    return Failure.SILENT if error.step == "read" else Failure.BROKEN


@contextlib.asynccontextmanager
async def open_call(
    dialect: Dialect,
    server: BackendEntry,
    call: Call,
    *,
    left: float | None,
    last_event: int | None,
    progress: float,
    on_connected: Callable[[], None] = lambda: None,
) -> AsyncIterator[Opened]:
    """Sends a call and yields its answer; leaving the block early stops the server's work.

    :param left: seconds for the whole call.
    :param progress: seconds in which each further part of the answer must come.
    :param on_connected: called when there is a connection.
    :raises BackendBusyError: the server did not run the call.
    :raises BackendReplacedError: another server has the address, and did not run it.
    :raises BackendError: with ``not_run`` if nothing was sent; else the call may have run.
    """
    headers = dialect.call_headers(call, server, left, last_event)
    async with httpclient.exchange(
        server.address,
        call.method,
        call.target,
        call.body,
        progress,
        headers,
        CONNECT_SECONDS,
        on_connected,
    ) as running:
        head = dialect.read_head(running.status, running.headers)
        if head.call and head.call != call.id:
            raise BackendError("the answer is to another call", step="head", peer=server.name)
        if head.replaced:
            raise BackendReplacedError(
                "another server has the address", step="head", peer=server.name, not_run=True
            )
        if head.not_run:
            raise BackendBusyError(
                f"status {head.status}: not run", step="head", peer=server.name, not_run=True
            )
        yield Opened(running, head)
