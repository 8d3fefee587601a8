"""Remote calls between the system's processes over ZeroMQ, on connections checked by pings."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec
import zmq
import zmq.asyncio

from verbenashore import exceptions, logs, misc, transfer
from verbenashore.exceptions import LinkSilentError, VerbenaError
from verbenashore.logs import Event
from verbenashore.messages import (
    Body,
    CancelCall,
    Envelope,
    Failure,
    Ping,
    Pong,
    ReplicaPacket,
    Sender,
)
from verbenashore.types import Clock

PING_INTERVAL_SECONDS = 0.25
#: Seconds after its last use at which a connection is closed.  Members call many ledger processes
#: once, and each of those would have to answer the pings of all members forever.  It is longer than
#: the pauses between the calls of a member that looks for a leader among those that answer pings.
IDLE_SECONDS = 3.0
#: Seconds without a message after which a connection is replaced.
SILENT_SECONDS = 1.5
SEND_QUEUE_MESSAGES = 20_000
#: Timeout of a connection attempt: one to an instance that has lost power is not refused, and would
#: otherwise wait for the longer timeout of the operating system.
CONNECT_MS = 200
#: Shortest and longest delay before a connection attempt is repeated.
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 100

#: Number of calls ended without an answer that are remembered, so that a late answer can be logged.
MAX_ABANDONED_CALLS = 100

_decoder = msgspec.msgpack.Decoder(Envelope)
_encoder = msgspec.msgpack.Encoder()

#: Sends one answer to a call; the second argument is true for the last one.
Reply = Callable[[Body, bool], None]
Handler = Callable[[Envelope, Reply], Awaitable[None]]

#: Error classes that :func:`to_error` builds with the constructor of :class:`VerbenaError`.
_PLAIN_ERROR_BY_CODE = {
    error.code: error
    for error in vars(exceptions).values()
    if isinstance(error, type)
    and issubclass(error, VerbenaError)
    and error.__init__ is VerbenaError.__init__
}


def to_failure(error: VerbenaError) -> Failure:
    """Returns the message that carries an error to the caller."""
    return Failure(
        error.code,
        error.message,
        error.step,
        error.not_run,
        getattr(error, "retry_after", 0.0),
        error.peer if error.code == "not_leader" else "",
        error.crashed,
    )


def to_error(failure: Failure, peer: str) -> VerbenaError:
    """Returns the error that a message carries.

    Its peer is the leader that the message names; otherwise, the process that sent the message.

    :param peer: the process that sent the message.
    """
    error = _new_error(failure, peer)
    error.crashed = failure.crashed
    return error


def _new_error(failure: Failure, peer: str) -> VerbenaError:
    if failure.code == exceptions.OverloadedError.code:
        return exceptions.OverloadedError(
            failure.message, step=failure.step, peer=peer, retry_after=failure.retry_after
        )
    if failure.code == exceptions.BackendRefusedError.code:
        return exceptions.BackendRefusedError(failure.message, peer)
    error_class = _PLAIN_ERROR_BY_CODE.get(failure.code, VerbenaError)
    return error_class(
        failure.message,
        step=failure.step,
        peer=failure.leader_address or peer,
        not_run=failure.not_run,
    )


def _decode(data: bytes, peer: str) -> Envelope | None:
    """Decodes a message; logs one that can't be decoded and returns None.

    Processes of another build may send types of messages that this build doesn't know.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        logs.warning(Event.MESSAGE_UNREADABLE, peer=peer, bytes=len(data), error=str(error))
        return None


def _send_nonblocking(socket: zmq.asyncio.Socket, parts: list[bytes]) -> None:
    """Sends without blocking; drops the message if the send queue is full.

    A caller notices a dropped call or answer when its timeout expires.
    """
    future = asyncio.ensure_future(socket.send_multipart(parts, zmq.NOBLOCK))
    if future.done():
        future.exception()


class Link:
    """The caller's side of the connection to one process.

    A connection on which nothing is received for some time, not even answers to pings, is replaced.
    One that is not used is closed until its next use.

    :param address: ``IP:PORT`` of the process.
    :param sender: returns the description of this process that every message carries.
    :param backlog: time that data sent over all bulk links of this process still takes to
        transmit; None if this is not a bulk link.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        address: str,
        sender: Callable[[], Sender],
        clock: Clock,
        backlog: transfer.Backlog | None = None,
    ) -> None:
        self.address = address
        #: The peer's data centre, from its newest message; "" until one is received.
        self.data_centre = ""
        self._context = context
        self._sender = sender
        self._clock = clock
        self._call_ids = itertools.count(1)
        self._answers_by_call: dict[int, asyncio.Queue[Envelope | VerbenaError]] = {}
        self._abandoned_by_call: dict[int, tuple[str, float]] = {}
        self._socket = self._connect()
        self._received_at = self._sent_at = self._used_at = clock()
        self._used = asyncio.Event()
        self._is_connected = True
        self._backlog = backlog
        #: When the oldest unanswered ping has been transferred; None if none is unanswered.
        self._ping_transferred_at: float | None = None
        self._is_excused = False
        self._epoch = ""
        self._tasks: set[asyncio.Task[Any]] = set()
        self._receive_task = misc.spawn(self._receive(self._socket), self._tasks)
        misc.spawn(self._monitor(), self._tasks)

    @property
    def is_quiet(self) -> bool:
        """True if nothing came for more than two ping intervals: a ping was not answered."""
        return self._seconds_unanswered > 2 * PING_INTERVAL_SECONDS

    @property
    def is_silent(self) -> bool:
        """True if nothing came from the peer for more than three ping intervals."""
        return self._seconds_unanswered > 3 * PING_INTERVAL_SECONDS

    @property
    def _seconds_unanswered(self) -> float:
        """Seconds without a message on an open connection; 0 if it is closed."""
        return self._clock() - self._received_at if self._is_connected else 0.0

    async def call(self, body: Body, timeout: float) -> Body:
        """Sends a call and waits for its answer.

        :param timeout: seconds to wait for the answer.
        :raises LinkSilentError: if none came in time, the connection was replaced or the peer was
            restarted; the peer may have run the call or not.
        :raises VerbenaError: the peer's own typed error.
        """
        answers: Any = self.stream(body, timeout)
        async with contextlib.aclosing(answers):
            async for answer in answers:
                return answer
        raise LinkSilentError("the call ended without an answer", step="call", peer=self.address)

    async def call_while_heard(self, body: Body, timeout: float, extension: float) -> Body:
        """Calls as :meth:`call` does, and waits longer while the peer sends anything.

        :param timeout: seconds to wait for the answer of a peer from which nothing comes.
        :param extension: seconds to wait beyond that, as for the answers to other calls before it.
        """
        answer = asyncio.ensure_future(self.call(body, timeout + extension))
        try:
            await asyncio.wait({answer}, timeout=timeout)
            while not answer.done():
                if self.is_quiet:
                    raise LinkSilentError(
                        "the peer did not answer in time", step="call", peer=self.address
                    )
                await asyncio.wait({answer}, timeout=PING_INTERVAL_SECONDS)
            return await answer
        finally:
            await misc.cancel_and_wait(answer)

    async def stream(self, body: Body, timeout: float) -> AsyncIterator[Body]:
        """Sends a call and yields its answers.

        :param timeout: seconds to wait for each answer.
        :raises VerbenaError: as :meth:`call` does.
        """
        call_id = next(self._call_ids)
        queue: asyncio.Queue[Envelope | VerbenaError] = asyncio.Queue()
        self._answers_by_call[call_id] = queue
        complete = answer_received = False
        sent_at = self._clock()
        try:
            self._send_message(call_id, body)
            while not complete:
                timeout_error = LinkSilentError(
                    "the peer did not answer in time", step="call", peer=self.address
                )
                answer = await misc.with_timeout(timeout, queue.get(), timeout_error)
                answer_received = True
                if isinstance(answer, VerbenaError):
                    raise answer
                complete = answer.last
                if isinstance(answer.body, Failure):
                    raise to_error(answer.body, self.address)
                yield answer.body
        finally:
            del self._answers_by_call[call_id]
            if not answer_received:
                self._record_abandoned(call_id, body, sent_at)
            if not complete:
                self._send_message(call_id, CancelCall())

    def post(self, body: Body) -> None:
        """Sends a message that has no answer; it is dropped if the send queue is full."""
        self._send_message(0, body)

    async def close(self) -> None:
        """Closes the connection; messages that are not sent yet are dropped."""
        await misc.cancel_and_wait(*self._tasks)
        self._socket.close(linger=0)

    def _connect(self) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.DEALER)
        socket.set(zmq.LINGER, 0)
        socket.set(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.set(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.set(zmq.CONNECT_TIMEOUT, CONNECT_MS)
        socket.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.connect(f"tcp://{self.address}")
        return socket

    def _send_message(self, call_id: int, body: Body) -> None:
        self._sent_at = self._clock()
        if not isinstance(body, Ping):
            self._used_at = self._sent_at
            self._used.set()
            if not self._is_connected:
                self._open()
        data = _encoder.encode(Envelope(call_id, True, self._sender(), body))
        if self._backlog is not None:
            self._backlog.add(len(data))
            if isinstance(body, Ping) and self._ping_transferred_at is None:
                self._ping_transferred_at = self._backlog.busy_until
        _send_nonblocking(self._socket, [data])

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            data = await socket.recv()
            self._record_received()
            envelope = _decode(data, self.address)
            if envelope is None:
                continue
            self.data_centre = envelope.sender.data_centre
            if isinstance(envelope.body, Pong):
                self._update_epoch(envelope.body.epoch)
                continue
            queue = self._answers_by_call.get(envelope.call)
            if queue is not None:
                queue.put_nowait(envelope)
            elif envelope.call in self._abandoned_by_call:
                message, sent_at = self._abandoned_by_call.pop(envelope.call)
                age = round(self._received_at - sent_at, 4)
                logs.info(
                    Event.ANSWER_LATE,
                    peer=self.address,
                    message=message,
                    bytes=len(data),
                    age=age,
                )

    def _record_received(self) -> None:
        self._received_at = self._clock()
        self._ping_transferred_at = None
        self._is_excused = False

    def _record_abandoned(self, call_id: int, body: Body, sent_at: float) -> None:
        self._abandoned_by_call[call_id] = (type(body).__name__, sent_at)
        if len(self._abandoned_by_call) > MAX_ABANDONED_CALLS:
            del self._abandoned_by_call[next(iter(self._abandoned_by_call))]

    def _update_epoch(self, epoch: str) -> None:
        """Fails the open calls if the epoch changed: it differs for each start and connection."""
        if self._epoch and epoch != self._epoch:
            self._fail_calls("the peer was restarted or the connection replaced")
        self._epoch = epoch

    def _fail_calls(self, reason: str) -> None:
        for queue in self._answers_by_call.values():
            queue.put_nowait(LinkSilentError(reason, step="call", peer=self.address))

    async def _monitor(self) -> None:
        """Pings the peer while the connection is used; replaces it if nothing is received."""
        while True:
            if not self._answers_by_call and self._clock() - self._used_at > IDLE_SECONDS:
                await self._close_until_used()
            # The peer cancels the calls of a process that sends nothing, also while it answers one.
            if self._clock() - min(self._received_at, self._sent_at) >= PING_INTERVAL_SECONDS / 2:
                self._send_message(0, Ping())
            await asyncio.sleep(PING_INTERVAL_SECONDS)
            if self._clock() - self._received_at <= SILENT_SECONDS:
                continue
            # A ping queues behind the data that was sent before it.  Only the oldest one counts:
            # what was sent after it delays neither it nor its answer.
            transferred_at = self._ping_transferred_at
            if transferred_at is None:
                transferred_at = self._received_at
            if self._clock() - transferred_at > SILENT_SECONDS:
                await self._reconnect()
            elif not self._is_excused:
                self._is_excused = True
                logs.info(
                    Event.LINK_EXCUSED,
                    peer=self.address,
                    calls=len(self._answers_by_call),
                    silent=round(self._clock() - self._received_at, 3),
                    until=round(transferred_at + SILENT_SECONDS - self._clock(), 3),
                )

    async def _close_until_used(self) -> None:
        """Closes the connection and waits for the next message, which opens another one."""
        unused = self._socket
        self._used.clear()
        self._is_connected = False
        await misc.cancel_and_wait(self._receive_task)
        unused.close(linger=0)
        await self._used.wait()

    async def _reconnect(self) -> None:
        logs.info(Event.LINK_SILENT, peer=self.address, calls=len(self._answers_by_call))
        await misc.cancel_and_wait(self._receive_task)
        self._socket.close(linger=0)
        self._open()
        self._fail_calls("nothing was received on the connection, which was replaced")

    def _open(self) -> None:
        self._socket = self._connect()
        self._is_connected = True
        self._record_received()
        self._receive_task = misc.spawn(self._receive(self._socket), self._tasks)
        self._epoch = ""


class Server:
    """Answers calls of other processes.

    :param handler: called in a task of its own for each call.
    :param on_packet: called with each consensus message; these have no answer.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        address: str,
        sender: Callable[[], Sender],
        clock: Clock,
        handler: Handler,
        on_packet: Callable[[ReplicaPacket], None] | None = None,
    ) -> None:
        self._incarnation = misc.random_id("server")
        self._socket = context.socket(zmq.ROUTER)
        self._socket.set(zmq.LINGER, 0)
        self._socket.set(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        self._socket.bind(f"tcp://{address}")
        self._sender = sender
        self._clock = clock
        self._handler = handler
        self._on_packet = on_packet
        self._task_by_call: dict[tuple[bytes, int], asyncio.Task[None]] = {}
        self._received_at_by_peer: dict[bytes, float] = {}

    @property
    def open_calls(self) -> int:
        """The number of calls that are being answered."""
        return len(self._task_by_call)

    async def wait_idle(self) -> None:
        """Waits until no call is being answered."""
        while self._task_by_call:
            await asyncio.wait(list(self._task_by_call.values()))

    async def run(self) -> None:
        """Serves until it is cancelled."""
        cleanup_task = asyncio.create_task(self._cancel_orphaned_calls())
        try:
            while True:
                peer, data = await self._socket.recv_multipart()
                self._received_at_by_peer[peer] = self._clock()
                envelope = _decode(data, peer.hex())
                if envelope is not None:
                    self._dispatch_message(peer, envelope)
        finally:
            await misc.cancel_and_wait(cleanup_task, *self._task_by_call.values())
            self._socket.close(linger=0)

    def _dispatch_message(self, peer: bytes, envelope: Envelope) -> None:
        if isinstance(envelope.body, ReplicaPacket):
            if self._on_packet is not None:
                self._on_packet(envelope.body)
        elif isinstance(envelope.body, Ping):
            pong = Pong(f"{self._incarnation}/{peer.hex()}")
            self._send_reply(peer, envelope.call, pong, True)
        elif isinstance(envelope.body, CancelCall):
            task = self._task_by_call.get((peer, envelope.call))
            if task is not None:
                task.cancel()
        else:
            key = (peer, envelope.call)
            task = asyncio.create_task(self._run_handler(peer, envelope))
            self._task_by_call[key] = task
            task.add_done_callback(lambda _: self._task_by_call.pop(key, None))

    async def _run_handler(self, peer: bytes, envelope: Envelope) -> None:
        def reply(body: Body, last: bool) -> None:
            self._send_reply(peer, envelope.call, body, last)

        try:
            await self._handler(envelope, reply)
        except VerbenaError as error:
            reply(to_failure(error), True)
        except Exception as error:
            logs.warning(Event.HANDLER_FAILED, call=type(envelope.body).__name__, error=repr(error))
            reply(Failure("internal", repr(error), "handle", False), True)

    def _send_reply(self, peer: bytes, call: int, body: Body, last: bool) -> None:
        data = _encoder.encode(Envelope(call, last, self._sender(), body))
        _send_nonblocking(self._socket, [peer, data])

    async def _cancel_orphaned_calls(self) -> None:
        """Cancels the calls of peers from which nothing was received for ``2 * SILENT_SECONDS``."""
        while True:
            await asyncio.sleep(SILENT_SECONDS)
            cutoff = self._clock() - 2 * SILENT_SECONDS
            silent = {
                peer
                for peer, received_at in self._received_at_by_peer.items()
                if received_at < cutoff
            }
            for peer in silent:
                del self._received_at_by_peer[peer]
            for (peer, _), task in list(self._task_by_call.items()):
                if peer in silent:
                    task.cancel()
