"""What every long-running program shares: its identity, its links, its signals, its health page."""

import argparse
import asyncio
import gc
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import zmq.asyncio

from verbenashore import httpserver, logs, metrics, misc
from verbenashore.client import Links
from verbenashore.exceptions import NotFoundError, StorageError, VerbenaError
from verbenashore.httpserver import Request, Responder
from verbenashore.logs import Event, LineWriter
from verbenashore.messages import Sender
from verbenashore.types import Clock, MemberName, Revision
from verbenashore.version import __version__

EXIT_FAILED = 1
#: Seconds between two tries to write lines that wait.
FLUSH_SECONDS = 0.25


class Process:
    """The running program: what its parts share.

    :param incarnation: differs for every start.
    """

    def __init__(self, settings: argparse.Namespace, clock: Clock = time.monotonic) -> None:
        self.settings = settings
        self.clock = clock
        self.name = MemberName(settings.name)
        self.incarnation = misc.random_id(settings.name)
        self.revision = Revision(0)
        self.ready = False
        self.stopping = asyncio.Event()
        self.context = zmq.asyncio.Context()
        self.links = Links(self.context, self.sender, clock)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.metrics = metrics.Metrics(settings.name, settings.statsd)
        self._failure: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

    def sender(self) -> Sender:
        """Returns what every message says of this process."""
        settings = self.settings
        return Sender(self.name, settings.data_centre, settings.region, self.revision)

    def start(self, work: Awaitable[None]) -> None:
        """Runs a part of the program; its failure ends the program."""
        task = misc.spawn(_as_coroutine(work), self.tasks)
        task.add_done_callback(self._note_failure)

    async def wait_for_stop(self) -> None:
        """Waits for a signal to stop, or for the failure of a part.

        :raises VerbenaError: the failure.
        """
        stop: asyncio.Future[Any] = asyncio.ensure_future(self.stopping.wait())
        await asyncio.wait({stop, self._failure}, return_when=asyncio.FIRST_COMPLETED)
        stop.cancel()
        if self._failure.done():
            self._failure.result()

    async def close(self) -> None:
        """Ends all parts."""
        await misc.cancel_and_wait(*self.tasks)
        await self.links.close()
        self.context.destroy(linger=0)

    def _note_failure(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None and not self._failure.done():
            self._failure.set_exception(error)


async def _as_coroutine(work: Awaitable[None]) -> None:
    await work


async def serve_health(process: Process, address: str) -> None:
    """Serves ``/livez``, ``/readyz`` and ``/metrics`` for a program without callers."""

    async def handle(request: Request, respond: Responder) -> None:
        await answer_health(process, request, respond)

    await httpserver.serve(address, handle, asyncio.Event())


async def serve_metrics(process: Process, address: str) -> None:
    """Serves the metrics as text, in the format that Prometheus reads, under ``/metrics``."""

    async def handle(request: Request, respond: Responder) -> None:
        if request.path != "/metrics":
            raise NotFoundError(f"there is no {request.path}", step="route", field="path")
        await respond.whole(200, "text/plain; version=0.0.4", process.metrics.as_text().encode())

    await httpserver.serve(address, handle, asyncio.Event())


async def answer_health(process: Process, request: Request, respond: Responder) -> bool:
    """Answers a health page; false if the path is none."""
    if request.path == "/livez":
        await respond.json(200, {"alive": True, "name": process.name})
    elif request.path == "/readyz":
        await respond.json(200 if process.ready else 503, {"ready": process.ready})
    elif request.path == "/metrics":
        await respond.json(200, process.metrics.report())
    else:
        return False
    return True


def run(settings: argparse.Namespace, program: Callable[[Process], Awaitable[None]]) -> int:
    """Runs a program until it is told to stop; returns its exit code."""
    writer = logs.set_up(settings.name, settings.log_format)
    try:
        asyncio.run(_run(settings, program, writer))
    except VerbenaError as error:
        details = {"code": error.code, "step": error.step, "peer": error.peer}
        failed_disk = isinstance(error, StorageError)
        event = Event.STORAGE_FAILED if failed_disk else Event.STOPPED
        logs.warning(event, error=error.message, **details)
        print(f"{settings.name}: {error.code}: {error.message}", file=sys.stderr)
        return EXIT_FAILED
    return 0


async def _flush_logs(writer: LineWriter) -> None:
    """Writes the lines that standard output did not take when they were logged."""
    while True:
        await asyncio.sleep(FLUSH_SECONDS)
        writer.flush()


async def _run(
    settings: argparse.Namespace,
    program: Callable[[Process], Awaitable[None]],
    writer: LineWriter,
) -> None:
    # Long-lived state makes full collections slow, and they would delay heartbeats.
    gc.freeze()
    process = Process(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.stopping.set)
    process.start(_flush_logs(writer))
    logs.info(Event.STARTED, incarnation=process.incarnation, version=__version__)
    try:
        await program(process)
        logs.info(Event.STOPPED)
    finally:
        await process.close()
