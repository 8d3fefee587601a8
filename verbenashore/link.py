"""Calls between the system's processes over pyzmq, on links that prove that they live."""

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

PING_SECONDS = 0.25
SILENT_SECONDS = 1.5
SEND_QUEUE_MESSAGES = 20_000
#: Time for a new connection; an instance without power doesn't refuse one.
CONNECT_MS = 200
#: Shortest and longest pause before a connection is tried again.
RECONNECT_MS = 50
RECONNECT_MAX_MS = 100

#: Calls given up that are remembered, so that an answer that comes too late can be told from none.
MAX_GIVEN_UP = 100

_decoder = msgspec.msgpack.Decoder(Envelope)
_encoder = msgspec.msgpack.Encoder()

#: Sends one answer to a call; its second argument tells whether it is the last.
Reply = Callable[[Body, bool], None]
Handler = Callable[[Envelope, Reply], Awaitable[None]]

#: The errors that a message can stand for without more than the base's fields.
_PLAIN_ERROR_BY_CODE = {
    error.code: error
    for error in vars(exceptions).values()
    if isinstance(error, type)
    and issubclass(error, VerbenaError)
    and error.__init__ is VerbenaError.__init__
}


def to_failure(error: VerbenaError) -> Failure:
    """Returns an error as a message."""
    return Failure(
        error.code,
        error.message,
        error.step,
        error.not_run,
        getattr(error, "retry_after", 0.0),
        error.peer if error.code == "not_leader" else "",
    )


def to_error(failure: Failure, peer: str) -> VerbenaError:
    """Returns the error that a message stands for."""
    if failure.code == exceptions.OverloadedError.code:
        return exceptions.OverloadedError(
            failure.message, step=failure.step, peer=peer, retry_after=failure.retry_after
        )
    if failure.code == exceptions.BackendRefusedError.code:
        return exceptions.BackendRefusedError(failure.message, peer)
    kind = _PLAIN_ERROR_BY_CODE.get(failure.code, VerbenaError)
    return kind(
        failure.message, step=failure.step, peer=failure.hint or peer, not_run=failure.not_run
    )


def _read(data: bytes, peer: str) -> Envelope | None:
    """Reads a message; one of a build that knows others is logged and dropped."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        logs.warning(Event.MESSAGE_UNREADABLE, peer=peer, bytes=len(data), error=str(error))
        return None


def _send_now(socket: zmq.asyncio.Socket, parts: list[bytes]) -> None:
    """Sends without waiting; the receiver's deadline covers a message that is dropped."""
    future = asyncio.ensure_future(socket.send_multipart(parts, zmq.NOBLOCK))
    if future.done():
        future.exception()


class Link:
    """A caller's way to one process; a silent connection is replaced by a new one.

    :param address: ``IP:PORT`` of the process.
    :param sender: returns what every message says of this process.
    :param backlog: what the process has sent over all its links for long messages; None if this
        is none of them.
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
        #: Where the peer runs, by its newest message; "" while it has sent none.
        self.data_centre = ""
        self._context = context
        self._sender = sender
        self._clock = clock
        self._numbers = itertools.count(1)
        self._answers_by_call: dict[int, asyncio.Queue[Envelope | VerbenaError]] = {}
        self._given_up_by_call: dict[int, tuple[str, float]] = {}
        self._socket = self._connect()
        self._heard = clock()
        self._backlog = backlog
        self._epoch = ""
        self._tasks: set[asyncio.Task[Any]] = set()
        self._receiver = misc.spawn(self._receive(self._socket), self._tasks)
        misc.spawn(self._watch(), self._tasks)

    @property
    def is_quiet(self) -> bool:
        """True if a ping has gone unanswered."""
        return self._clock() - self._heard > 2 * PING_SECONDS

    @property
    def is_silent(self) -> bool:
        """True if nothing came from the peer for longer than a few pings."""
        return self._clock() - self._heard > 3 * PING_SECONDS

    async def call(self, body: Body, seconds: float) -> Body:
        """Sends a call and waits for its answer.

        :raises LinkSilentError: if none came in time; whether the peer took the call is unknown.
        :raises VerbenaError: the peer's own typed error.
        """
        answers: Any = self.stream(body, seconds)
        async with contextlib.aclosing(answers):
            async for answer in answers:
                return answer
        raise LinkSilentError("the answer was empty", step="call", peer=self.address)

    async def stream(self, body: Body, seconds: float) -> AsyncIterator[Body]:
        """Sends a call and yields its answers; each must come within some seconds."""
        number = next(self._numbers)
        queue: asyncio.Queue[Envelope | VerbenaError] = asyncio.Queue()
        self._answers_by_call[number] = queue
        ended = answered = False
        sent_at = self._clock()
        try:
            self._send(number, body)
            while not ended:
                late = LinkSilentError("no answer in time", step="call", peer=self.address)
                answer = await misc.within(seconds, queue.get(), late)
                answered = True
                if isinstance(answer, VerbenaError):
                    raise answer
                ended = answer.last
                if isinstance(answer.body, Failure):
                    raise to_error(answer.body, self.address)
                yield answer.body
        finally:
            del self._answers_by_call[number]
            if not answered:
                self._note_given_up(number, body, sent_at)
            if not ended:
                self._send(number, CancelCall())

    def post(self, body: Body) -> None:
        """Sends a message that has no answer; one that doesn't fit into the queue is dropped."""
        self._send(0, body)

    async def close(self) -> None:
        """Closes the link."""
        await misc.cancel_and_wait(*self._tasks)
        self._socket.close(linger=0)

    def _connect(self) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.DEALER)
        socket.set(zmq.LINGER, 0)
        socket.set(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.set(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.set(zmq.CONNECT_TIMEOUT, CONNECT_MS)
        socket.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.connect(f"tcp://{self.address}")
        return socket

    def _send(self, number: int, body: Body) -> None:
        data = _encoder.encode(Envelope(number, True, self._sender(), body))
        if self._backlog is not None:
            self._backlog.add(len(data))
        _send_now(self._socket, [data])

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            data = await socket.recv()
            self._heard = self._clock()
            envelope = _read(data, self.address)
            if envelope is None:
                continue
            self.data_centre = envelope.sender.data_centre
            if isinstance(envelope.body, Pong):
                self._note_epoch(envelope.body.epoch)
                continue
            queue = self._answers_by_call.get(envelope.call)
            if queue is not None:
                queue.put_nowait(envelope)
            elif envelope.call in self._given_up_by_call:
                message, sent_at = self._given_up_by_call.pop(envelope.call)
                age = round(self._heard - sent_at, 4)
                logs.info(
                    Event.ANSWER_LATE,
                    peer=self.address,
                    message=message,
                    bytes=len(data),
                    age=age,
                )

    def _note_given_up(self, number: int, body: Body, sent_at: float) -> None:
        self._given_up_by_call[number] = (type(body).__name__, sent_at)
        if len(self._given_up_by_call) > MAX_GIVEN_UP:
            del self._given_up_by_call[next(iter(self._given_up_by_call))]

    def _note_epoch(self, epoch: str) -> None:
        """Fails the calls that went to a process or over a connection that is no more."""
        if self._epoch and epoch != self._epoch:
            self._fail_calls("the peer or its connection was replaced")
        self._epoch = epoch

    def _fail_calls(self, reason: str) -> None:
        for queue in self._answers_by_call.values():
            queue.put_nowait(LinkSilentError(reason, step="call", peer=self.address))

    async def _watch(self) -> None:
        """Pings the peer, and replaces a connection on which nothing comes back."""
        while True:
            self._send(0, Ping())
            await asyncio.sleep(PING_SECONDS)
            limit = SILENT_SECONDS
            if self._backlog is not None:
                # A ping waits behind what was sent before it.
                limit += self._backlog.seconds()
            if self._clock() - self._heard > limit:
                await self._replace()

    async def _replace(self) -> None:
        logs.info(Event.LINK_SILENT, peer=self.address, calls=len(self._answers_by_call))
        await misc.cancel_and_wait(self._receiver)
        self._socket.close(linger=0)
        self._socket = self._connect()
        self._heard = self._clock()
        self._receiver = misc.spawn(self._receive(self._socket), self._tasks)
        self._epoch = ""
        self._fail_calls("the connection went silent")


class Server:
    """Answers calls of other processes.

    :param handler: called in a task of its own for each call.
    :param on_packet: takes consensus messages, which have no answer.
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
        self._heard_by_peer: dict[bytes, float] = {}

    async def wait_idle(self) -> None:
        """Waits until no call is being answered."""
        while self._task_by_call:
            await asyncio.wait(list(self._task_by_call.values()))

    async def run(self) -> None:
        """Serves until it is cancelled."""
        sweeper = asyncio.create_task(self._sweep())
        try:
            while True:
                peer, data = await self._socket.recv_multipart()
                self._heard_by_peer[peer] = self._clock()
                envelope = _read(data, peer.hex())
                if envelope is not None:
                    self._take(peer, envelope)
        finally:
            await misc.cancel_and_wait(sweeper, *self._task_by_call.values())
            self._socket.close(linger=0)

    def _take(self, peer: bytes, envelope: Envelope) -> None:
        if isinstance(envelope.body, ReplicaPacket):
            if self._on_packet is not None:
                self._on_packet(envelope.body)
        elif isinstance(envelope.body, Ping):
            pong = Pong(f"{self._incarnation}/{peer.hex()}")
            self._reply(peer, envelope.call, pong, True)
        elif isinstance(envelope.body, CancelCall):
            task = self._task_by_call.get((peer, envelope.call))
            if task is not None:
                task.cancel()
        else:
            key = (peer, envelope.call)
            task = asyncio.create_task(self._answer(peer, envelope))
            self._task_by_call[key] = task
            task.add_done_callback(lambda _: self._task_by_call.pop(key, None))

    async def _answer(self, peer: bytes, envelope: Envelope) -> None:
        def reply(body: Body, last: bool) -> None:
            self._reply(peer, envelope.call, body, last)

        try:
            await self._handler(envelope, reply)
        except VerbenaError as error:
            reply(to_failure(error), True)
        except Exception as error:
            logs.warning(Event.HANDLER_FAILED, call=type(envelope.body).__name__, error=repr(error))
            reply(Failure("internal", repr(error), "handle", False), True)

    def _reply(self, peer: bytes, call: int, body: Body, last: bool) -> None:
        data = _encoder.encode(Envelope(call, last, self._sender(), body))
        _send_now(self._socket, [peer, data])

    async def _sweep(self) -> None:
        """Cancels the calls of peers that went silent."""
        while True:
            await asyncio.sleep(SILENT_SECONDS)
            limit = self._clock() - 2 * SILENT_SECONDS
            silent = {peer for peer, heard in self._heard_by_peer.items() if heard < limit}
            for peer in silent:
                del self._heard_by_peer[peer]
            for (peer, _), task in list(self._task_by_call.items()):
                if peer in silent:
                    task.cancel()
