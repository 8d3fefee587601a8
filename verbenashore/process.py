"""Common parts of every long-running program: identity, links, signals, health pages."""

import argparse
import asyncio
import gc
import resource
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import zmq.asyncio

from verbenashore import budget, fingerprints, httpserver, logs, metrics, misc
from verbenashore.budget import Budget, Limit
from verbenashore.client import LinkPool
from verbenashore.crashedcalls import CallRecord, CrashedCalls
from verbenashore.exceptions import NotFoundError, StorageError, VerbenaError
from verbenashore.fingerprints import Fingerprint
from verbenashore.httpserver import Request, Responder
from verbenashore.loadtable import LoadTable
from verbenashore.logs import Event, LineWriter
from verbenashore.messages import Sender
from verbenashore.quarantine import Hold, Quarantine
from verbenashore.ratelimits import RateLimits
from verbenashore.speeds import SLOW_FACTOR
from verbenashore.types import BackendName, Clock, MemberName, PromptPart, Revision, UnixClock
from verbenashore.version import __version__

EXIT_FAILED = 1
#: Seconds between attempts to write buffered log lines.
LOG_FLUSH_SECONDS = 0.25
#: The largest memory of a process so far is logged when it first exceeds these bytes, and then with
#: each growth by this factor.  The smallest limit that an instance sets is 128 MB.
MEMORY_LOG_BYTES = 48 << 20
MEMORY_LOG_FACTOR = 1.25


def elapsed_time() -> float:
    """Returns the seconds since the machine was started, with those in which it was suspended.

    ``time.monotonic`` leaves these out, so that leases and confirmations would outlive them.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Process:
    """A running program and the state that its parts share.

    :param incarnation: a random id, different for each start of the program.
    :param revision: the configuration revision that messages from this process report.
    :param ready: whether ``/readyz`` reports the process as ready.
    :param stopping: set by SIGTERM or SIGINT.
    :param unix_clock: returns the time of day.
    """

    def __init__(
        self,
        settings: argparse.Namespace,
        clock: Clock = elapsed_time,
        unix_clock: UnixClock = time.time,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.unix_clock = unix_clock
        self.name = MemberName(settings.name)
        self.incarnation = misc.random_id(settings.name)
        self.revision = Revision(0)
        self.ready = False
        self.stopping = asyncio.Event()
        self.context = zmq.asyncio.Context()
        self.links = LinkPool(self.context, self.make_sender, clock)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.metrics = metrics.Metrics(settings.name, settings.statsd)
        self.metrics.set_gauge("memory_peak_bytes", peak_memory)
        self.budget = self._make_budget()
        self._failure: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

    def _make_budget(self) -> Budget:
        """Returns the budget for clients, with its gauges, and log lines for its limits."""

        def on_limit(limit: Limit, count: int) -> None:
            self.metrics.count(f"clients_limited.{limit.value}", count)
            logs.warning(
                Event.CLIENTS_LIMITED,
                limit=limit.value,
                count=count,
                connections=made.connections,
                held_bytes=made.held_bytes,
            )

        memory_mb = getattr(self.settings, "memory_mb", budget.DEFAULT_MEMORY_MB)
        max_fds = min(
            getattr(self.settings, "max_fds", budget.DEFAULT_MAX_FDS),
            resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        )
        made = Budget(memory_mb, max_fds, self.clock, on_limit)
        self.metrics.set_gauge("client_connections", lambda: made.connections)
        self.metrics.set_gauge("client_descriptors", lambda: made.descriptors)
        self.metrics.set_gauge("client_descriptor_limit", lambda: made.descriptor_limit)
        self.metrics.set_gauge("client_memory_bytes", lambda: made.held_bytes)
        self.metrics.set_gauge("client_memory_limit_bytes", lambda: made.memory_limit)
        return made

    def make_sender(self) -> Sender:
        """Returns the sender to put into each message from this process."""
        settings = self.settings
        return Sender(self.name, settings.data_centre, settings.region, self.revision)

    def start_task(self, work: Awaitable[None]) -> None:
        """Runs a part of the program as a task, whose error :meth:`wait_for_stop` raises."""
        task = misc.spawn(_as_coroutine(work), self.tasks)
        task.add_done_callback(self._record_failure)

    async def wait_for_stop(self) -> None:
        """Waits for a stop signal, or for a part of the program to fail.

        :raises Exception: the error of the part that failed.
        """
        stop: asyncio.Future[Any] = asyncio.ensure_future(self.stopping.wait())
        await asyncio.wait({stop, self._failure}, return_when=asyncio.FIRST_COMPLETED)
        stop.cancel()
        if self._failure.done():
            self._failure.result()

    async def close(self) -> None:
        """Cancels all tasks and closes the links."""
        await misc.cancel_and_wait(*self.tasks)
        await self.links.close()
        self.context.destroy(linger=0)

    def _record_failure(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None and not self._failure.done():
            self._failure.set_exception(error)


async def _as_coroutine(work: Awaitable[None]) -> None:
    await work


def new_quarantine(running: Process) -> Quarantine:
    """Returns a quarantine that logs and counts the parts it holds."""

    def on_change(part: PromptPart, hold: Hold | None) -> None:
        if hold is None:
            logs.info(Event.PROMPT_PART_CLEARED, part=part)
            return
        running.metrics.count("prompt_part_held")
        logs.warning(
            Event.PROMPT_PART_HELD,
            part=part,
            seconds=round(hold.until - running.unix_clock(), 3),
            number=hold.number,
        )

    return Quarantine(running.unix_clock, running.name, on_change)


def new_crashed_calls(running: Process) -> CrashedCalls:
    """Returns the records of requests that crash servers, with a log line for each change."""

    def on_change(request: Fingerprint, record: CallRecord | None) -> None:
        name = fingerprints.log_name(request)
        if record is None:
            logs.info(Event.REQUEST_CLEARED, request=name)
            return
        running.metrics.count("request_held")
        logs.warning(
            Event.REQUEST_HELD,
            request=name,
            seconds=round(record.held_until - running.unix_clock(), 3),
            crashes=len(record.crashes),
            trials=record.trials,
        )

    return CrashedCalls(running.unix_clock, running.name, on_change)


def log_speed(server: BackendName, factor: float) -> None:
    """Logs that a backend server has become much slower than the mean, or usual again."""
    event = Event.BACKEND_SLOWED if factor >= SLOW_FACTOR else Event.BACKEND_RECOVERED
    logs.info(event, server=server, factor=round(factor, 2))


def new_rate_limits(running: Process, load_table: LoadTable) -> RateLimits:
    """Returns the rates that servers state, with a log line for each change."""

    def on_change(server: BackendName, per_second: float | None) -> None:
        logs.info(Event.BACKEND_LIMITED, server=server, per_second=per_second)

    seed = misc.quick_hash(running.incarnation)
    return RateLimits(load_table, running.clock, running.unix_clock, seed, on_change)


async def serve_health(process: Process, address: str) -> None:
    """Serves ``/livez``, ``/readyz`` and ``/metrics`` for programs with no other HTTP service."""

    async def handle(request: Request, respond: Responder) -> None:
        await answer_health(process, request, respond)

    await serve_pages(process, address, handle)


async def serve_metrics(process: Process, address: str) -> None:
    """Serves ``/metrics`` in the Prometheus text format."""

    async def handle(request: Request, respond: Responder) -> None:
        if request.path != "/metrics":
            raise NotFoundError(f"unknown path {request.path}", step="route", field="path")
        await respond.send_response(
            200, "text/plain; version=0.0.4", process.metrics.as_text().encode()
        )

    await serve_pages(process, address, handle)


async def serve_pages(process: Process, address: str, handle: httpserver.RequestHandler) -> None:
    """Serves health or metrics pages for as long as the process runs."""
    limits = msgspec.structs.replace(httpserver.PAGE_LIMITS, budget=process.budget)
    await httpserver.serve(address, handle, asyncio.Event(), server_limits=limits)


async def answer_health(process: Process, request: Request, respond: Responder) -> bool:
    """Answers a request for a health or metrics page; returns false for other paths."""
    if request.path == "/livez":
        await respond.send_json(200, {"alive": True, "name": process.name})
    elif request.path == "/readyz":
        await respond.send_json(200 if process.ready else 503, {"ready": process.ready})
    elif request.path == "/metrics":
        await respond.send_json(200, process.metrics.report())
    else:
        return False
    return True


def run(settings: argparse.Namespace, program: Callable[[Process], Awaitable[None]]) -> int:
    """Runs a program until it stops; returns its exit code."""
    writer = logs.set_up(settings.name, settings.log_format)
    try:
        asyncio.run(_run_program(settings, program, writer))
    except VerbenaError as error:
        details = {"code": error.code, "step": error.step, "peer": error.peer}
        is_storage_error = isinstance(error, StorageError)
        event = Event.STORAGE_FAILED if is_storage_error else Event.STOPPED
        logs.warning(event, error=error.message, **details)
        print(f"{settings.name}: {error.code}: {error.message}", file=sys.stderr)
        return EXIT_FAILED
    except Exception as error:
        logs.warning(Event.STOPPED, error=repr(error), code="internal", step="run")
        raise
    return 0


def peak_memory() -> float:
    """Returns the largest resident memory of this process so far, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024.0


async def _flush_logs(process: Process, writer: LineWriter) -> None:
    """Keeps writing the log lines that standard output did not accept when they were logged.

    Also logs that the memory of the process has grown, with what the process keeps.
    """
    logged_bytes = MEMORY_LOG_BYTES / MEMORY_LOG_FACTOR
    while True:
        await asyncio.sleep(LOG_FLUSH_SECONDS)
        if peak_memory() >= logged_bytes * MEMORY_LOG_FACTOR:
            logged_bytes = peak_memory()
            logs.warning(Event.MEMORY_GREW, **process.metrics.gauges())
        writer.flush()


async def _run_program(
    settings: argparse.Namespace,
    program: Callable[[Process], Awaitable[None]],
    writer: LineWriter,
) -> None:
    # Keeps the objects that exist now out of garbage collection: full collections over long-lived
    # objects are slow and would delay heartbeats.
    gc.freeze()
    process = Process(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, process.stopping.set)
    process.start_task(_flush_logs(process, writer))
    logs.info(Event.STARTED, incarnation=process.incarnation, version=__version__)
    try:
        await program(process)
        logs.info(Event.STOPPED)
    finally:
        await process.close()
