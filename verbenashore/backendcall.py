"""One call to one backend server, and whether its answer states that the call was run."""

import asyncio
import contextlib
import io
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec

from verbenashore import httpclient, misc
from verbenashore.deployment import Backend
from verbenashore.directory import BackendEntry
from verbenashore.dispatch import FailureKind
from verbenashore.exceptions import BackendBusyError, BackendError, BackendReplacedError
from verbenashore.httpclient import Exchange
from verbenashore.prefixes import NO_SIZE, PromptSize
from verbenashore.settings import parse_address
from verbenashore.types import Prompt, WorkspaceId

#: Timeout of a new connection; the servers accept one within a few round trips.
CONNECT_TIMEOUT_SECONDS = 0.1
#: Lowest HTTP status of an error.
ERROR_STATUS = 400
#: Timeout of a status check, which waits for a slot like any call.
PROBE_TIMEOUT_SECONDS = 0.4
#: Timeout of the connection that tells a crashed server from one that only broke a connection.  The
#: port of a crashed one is closed, and refuses within a round trip.
CRASH_CHECK_SECONDS = 0.05
#: Seconds for which such a connection stays open.  The connections of a process that ends may close
#: before its port, which then takes one more and resets it.
CRASH_LINGER_SECONDS = 0.02
#: Connections that are tried for it; one times out unheard if this process has just stalled.
CRASH_CHECKS = 2
#: Seconds between two checks whether there is room for the next part of an answer.
ROOM_POLL_SECONDS = 0.05
#: Steps of the errors of a connection that was established and then ended too early.  An answer
#: without a length ends with its connection, so only its events show that.
BROKEN_STEPS = frozenset({"answer", "body", "events", "exchange"})


class Call(msgspec.Struct):
    """One call as its caller sent it.

    :param target: the path with its query.
    :param headers: those that are forwarded to the backend server, in order.
    :param path: the target without its query.
    :param timeout: the caller's timeout in seconds; None if it sent none.
    :param last_event: the number of the last event that the caller received; None if there is none.
    :param workspace: whose call it is; None if it has no workspace.
    :param withholds_keys: true while the route table has workspaces: headers in which callers send
        a key or the name of a workspace are not forwarded.
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
    workspace: WorkspaceId | None = None
    withholds_keys: bool = False


class AnswerHead(msgspec.Struct, frozen=True):
    """The head of a backend server's answer.

    :param headers: those that are forwarded to the caller.
    :param call: the id of the call that it answers; "" if it states none.
    :param not_run: the server states that it did not run the call; believed only if it names that.
    :param misdirected: the server states that the call is not for it, and did not run it.
    :param leaving: the server that answered states that it leaves.
    :param answered_by: the name of the server that answered; "" if it states none.
    :param per_second: the rate of requests that the server takes from all members; None if it
        states none that can be read.
    :param states_rate: whether it states a rate, readable or not.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    call: str
    not_run: bool
    misdirected: bool
    leaving: bool = False
    answered_by: str = ""
    per_second: float | None = None
    states_rate: bool = False

    def is_from_other(self, server: BackendEntry) -> bool:
        """Returns whether the server that answered states another name than a server's."""
        return self.answered_by not in ("", server.name)


#: Header names and values, in order.
Headers = list[tuple[bytes, bytes]]


class Dialect(msgspec.Struct, frozen=True):
    """How calls to the backend servers are encoded, and their answers decoded.

    :param call_headers: returns the headers of a call to a server, given the remaining seconds and
        the number of the last event, if any.
    :param read_head: decodes the status and headers of an answer.
    :param read_prompt: returns the parts of a call's prompt from its headers, or none.
    :param read_size: returns the size of a call from its headers.
    """

    call_headers: Callable[
        [Call, BackendEntry, float | None, int | None], list[tuple[bytes, bytes]]
    ]
    read_head: Callable[[int, list[tuple[bytes, bytes]]], AnswerHead]
    read_prompt: Callable[[Headers], Prompt] = lambda _headers: ()
    read_size: Callable[[Headers], PromptSize] = lambda _headers: NO_SIZE


#: Is called with a server that states that it leaves.
LeavingHandler = Callable[[BackendEntry], None]
#: Is called with a server and the rate of requests that it states; None if it states none any more.
RateHandler = Callable[[BackendEntry, float | None], None]


def ignore_rate(_server: BackendEntry, _per_second: float | None) -> None:
    """Ignores the rate that a server states."""


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

    async def read_whole(self, max_bytes: int, keep: Callable[[int], bool]) -> bytes:
        """Returns the whole body.

        :param max_bytes: the longest body that is read.
        :param keep: called with the size of each part; returns whether the next one must wait, and
            is then asked again with 0.
        :raises BackendError: if the body is longer or truncated, or a part is late.
        """
        body = io.BytesIO()
        async for part in self.parts():
            body.write(part)
            if body.tell() > max_bytes:
                raise BackendError(
                    f"the answer is longer than {max_bytes} bytes", step="body", peer=""
                )
            must_wait = keep(len(part))
            while must_wait:
                await asyncio.sleep(ROOM_POLL_SECONDS)
                must_wait = keep(0)
        return body.getvalue()


async def check_status(
    dialect: Dialect,
    server: BackendEntry,
    path: str,
    on_leaving: LeavingHandler,
    on_rate: RateHandler = ignore_rate,
) -> None:
    """Runs a server's status check.

    :param on_leaving: called if the server states that it leaves.
    :param on_rate: called if the server states a rate of requests.
    :raises BackendReplacedError: another server has the address.
    :raises BackendError: the check fails, or the server can't be reached.
    """
    timeout_error = BackendError("no response in time", step="read", peer=server.address)
    asking = _ask_status(dialect, server, path, on_leaving, on_rate)
    await misc.with_timeout(PROBE_TIMEOUT_SECONDS, asking, timeout_error)


async def _ask_status(
    dialect: Dialect,
    server: BackendEntry,
    path: str,
    on_leaving: LeavingHandler,
    on_rate: RateHandler,
) -> None:
    status_call = Call("", server.address, "GET", path, path, [], b"")
    headers = dialect.call_headers(status_call, server, None, None)
    async with httpclient.exchange(
        server.address, "GET", path, b"", PROBE_TIMEOUT_SECONDS, headers
    ) as exchange:
        head = dialect.read_head(exchange.status, exchange.headers)
        _report_state(head, server, on_leaving, on_rate)
        _check_misdirected(head, server)
        async for _ in exchange.parts():
            pass
    if head.is_from_other(server):
        raise _replaced_error(head, server)
    if head.status != 200:
        raise BackendError(f"status {head.status}", step="head", peer=server.name, not_run=True)


def _report_state(
    head: AnswerHead, server: BackendEntry, on_leaving: LeavingHandler, on_rate: RateHandler
) -> None:
    """Reports what a server states about itself, if it is the one that answered."""
    if head.misdirected or head.is_from_other(server):
        return
    if head.leaving:
        on_leaving(server)
    if head.per_second is not None:
        on_rate(server, head.per_second)
    elif not head.states_rate and head.call and head.status < ERROR_STATUS:
        # Errors and answers to status checks need not state the rate.
        on_rate(server, None)


def _check_misdirected(head: AnswerHead, server: BackendEntry) -> None:
    """Checks that a server took a call for its own.

    :raises BackendReplacedError: another server refused the call.
    :raises BackendError: a server that doesn't name itself, or the expected one, refused it as not
        meant for it.
    """
    if not head.misdirected:
        return
    if head.is_from_other(server):
        raise _replaced_error(head, server)
    # The expected server may refuse a call for another reason, such as a version that the caller
    # expects.
    raise BackendError(
        f"status {head.status}: the call is not meant for the server",
        step="head",
        peer=server.name,
        not_run=True,
    )


def _replaced_error(head: AnswerHead, server: BackendEntry) -> BackendReplacedError:
    return BackendReplacedError(
        f"{head.answered_by} has the server's address", step="head", peer=server.name, not_run=True
    )


async def has_crashed(server: BackendEntry | Backend, error: BackendError) -> bool:
    """Returns whether a call failed because its server crashed.

    Such a server has broken the call's connection, and refuses new ones.
    """
    if error.not_run or error.step not in BROKEN_STEPS:
        return False
    endpoint = parse_address(server.address)
    for _ in range(CRASH_CHECKS):
        try:
            async with asyncio.timeout(CRASH_CHECK_SECONDS):
                reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        except ConnectionRefusedError:
            return True
        except TimeoutError:
            continue
        except OSError:
            return False
        if not await _is_closed_soon(reader, writer):
            return False
    return False


async def _is_closed_soon(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Returns whether the peer ends a connection, as a process does whose port closes last."""
    try:
        async with asyncio.timeout(CRASH_LINGER_SECONDS):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except OSError:
        return True
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def marking_crashes(server: Backend) -> AsyncIterator[None]:
    """Marks an error of the block as a crash of its server, if it was one."""
    try:
        yield
    except BackendError as error:
        error.crashed = await has_crashed(server, error)
        raise


def failure_kind(error: BackendError) -> FailureKind:
    """Returns the kind of failure that an error stands for."""
    if isinstance(error, BackendReplacedError):
        return FailureKind.REPLACED
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
    on_leaving: LeavingHandler,
    on_rate: RateHandler = ignore_rate,
    on_connected: Callable[[], None] = lambda: None,
    keeps_waiting: Callable[[], bool] = lambda: False,
) -> AsyncIterator[OpenCall]:
    """Sends a call and yields its answer; leaving the block early cancels the work at the server.

    :param remaining_seconds: remaining seconds for the whole call, sent to the server.
    :param progress_timeout: timeout in seconds for each further part of the answer.
    :param on_leaving: called if the server states that it leaves, whether or not it ran the call.
    :param on_rate: called with the rate of requests that the server states.
    :param on_connected: called when the connection is established.
    :param keeps_waiting: asked when a part has timed out; true to wait as long again.
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
        keeps_waiting,
    ) as exchange:
        head = dialect.read_head(exchange.status, exchange.headers)
        if head.call and head.call != call.id:
            raise BackendError(
                "the response belongs to another call", step="head", peer=server.name
            )
        _report_state(head, server, on_leaving, on_rate)
        if (head.misdirected or head.not_run) and not (head.not_run and head.call):
            # It may be an answer to another call, or one of the service itself.
            raise BackendError(
                f"status {head.status} without a statement about this call",
                step="head",
                peer=server.name,
            )
        _check_misdirected(head, server)
        if head.not_run:
            raise BackendBusyError(
                f"status {head.status}: the server did not run the call",
                step="head",
                peer=server.name,
                not_run=True,
            )
        yield OpenCall(exchange, head)
