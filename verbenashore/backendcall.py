"""One call to one backend server, and whether its answer states that the call was run."""

import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec

from verbenashore import httpclient, logs
from verbenashore.directory import BackendEntry
from verbenashore.dispatch import FailureKind
from verbenashore.exceptions import BackendBusyError, BackendError, BackendReplacedError
from verbenashore.httpclient import Exchange
from verbenashore.logs import Event

#: Timeout of a new connection; the servers accept one within a few round trips.
CONNECT_TIMEOUT_SECONDS = 0.1
#: Timeout of a status check, which waits for a slot like any call.
PROBE_TIMEOUT_SECONDS = 0.4


class Call(msgspec.Struct):
    """One call as its caller sent it.

    :param target: the path with its query.
    :param headers: those that are forwarded to the backend server, in order.
    :param path: the target without its query.
    :param timeout: the caller's timeout in seconds; None if it sent none.
    :param last_event: the number of the last event that the caller received; None if there is none.
    """

    id: str
    host: str
    method: str
    target: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    timeout: float | None = None
    last_event: int | None = None


class AnswerHead(msgspec.Struct, frozen=True):
    """The head of a backend server's answer.

    :param headers: those that are forwarded to the caller.
    :param call: the id of the call that it answers; "" if it states none.
    :param not_run: the server states that it did not run the call; believed only if it names that.
    :param replaced: another server than the expected one answered; it did not run the call.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    call: str
    not_run: bool
    replaced: bool


class Dialect(msgspec.Struct, frozen=True):
    """How calls to the backend servers are encoded, and their answers decoded.

    :param call_headers: returns the headers of a call to a server, given the remaining seconds and
        the number of the last event, if any.
    :param read_head: decodes the status and headers of an answer.
    """

    call_headers: Callable[
        [Call, BackendEntry, float | None, int | None], list[tuple[bytes, bytes]]
    ]
    read_head: Callable[[int, list[tuple[bytes, bytes]]], AnswerHead]


class OpenCall(msgspec.Struct):
    """A call whose response head was received."""

    exchange: Any
    head: AnswerHead

    def parts(self) -> AsyncIterator[bytes]:
        """Returns the parts of the body as they are received.

        :raises BackendError: while they are read, if the body is truncated or a part is late.
        """
        exchange: Exchange = self.exchange
        return exchange.parts()


async def check_status(dialect: Dialect, server: BackendEntry, path: str) -> bool:
    """Runs a server's status check; false if it fails or the server can't be reached."""
    status_call = Call("", server.address, "GET", path, path, [], b"")
    headers = dialect.call_headers(status_call, server, None, None)
    try:
        response = await httpclient.request(
            server.address, "GET", path, seconds=PROBE_TIMEOUT_SECONDS, headers=headers
        )
    except BackendError as error:
        logs.info(Event.PROBE_FAILED, server=server.name, step=error.step, error=error.message)
        return False
    return response.status == 200


def failure_kind(error: BackendError) -> FailureKind:
    """Returns the kind of failure that an error stands for."""
    if error.step == "connect":
        return FailureKind.UNREACHABLE
    return FailureKind.SILENT if error.step == "read" else FailureKind.BROKEN


@contextlib.asynccontextmanager
async def open_call(
    dialect: Dialect,
    server: BackendEntry,
    call: Call,
    *,
    remaining_seconds: float | None,
    last_event: int | None,
    progress_timeout: float,
    on_connected: Callable[[], None] = lambda: None,
) -> AsyncIterator[OpenCall]:
    """Sends a call and yields its answer; leaving the block early cancels the work at the server.

    :param remaining_seconds: remaining seconds for the whole call, sent to the server.
    :param progress_timeout: timeout in seconds for each further part of the answer.
    :param on_connected: called when the connection is established.
    :raises BackendBusyError: the server states that it did not run the call.
    :raises BackendReplacedError: another server has the address; it did not run the call.
    :raises BackendError: with ``not_run`` if nothing was sent; otherwise the call may have run.
    """
    headers = dialect.call_headers(call, server, remaining_seconds, last_event)
    async with httpclient.exchange(
        server.address,
        call.method,
        call.target,
        call.body,
        progress_timeout,
        headers,
        CONNECT_TIMEOUT_SECONDS,
        on_connected,
    ) as exchange:
        head = dialect.read_head(exchange.status, exchange.headers)
        if head.call and head.call != call.id:
            raise BackendError(
                "the response belongs to another call", step="head", peer=server.name
            )
        if (head.replaced or head.not_run) and not (head.not_run and head.call):
            # It may be an answer to another call, or one of the service itself.
            raise BackendError(
                f"status {head.status} without a statement about this call",
                step="head",
                peer=server.name,
            )
        if head.replaced:
            raise BackendReplacedError(
                "another server has this address", step="head", peer=server.name, not_run=True
            )
        if head.not_run:
            raise BackendBusyError(
                f"status {head.status}: the server did not run the call",
                step="head",
                peer=server.name,
                not_run=True,
            )
        yield OpenCall(exchange, head)
