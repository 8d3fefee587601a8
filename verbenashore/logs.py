"""Numbered log events on top of absl logging."""

import json
import logging as standard_logging
import os
import stat
import sys
import time
from collections import Counter, deque
from enum import Enum

from absl import flags, logging

#: Bytes of info lines that may be buffered for a slow reader of standard output.
MAX_BUFFERED_BYTES = 1 << 20


class Event(Enum):
    """All events that are logged; ``docs/events.rst`` describes each."""

    STARTED = 100
    STOPPING = 101
    STOPPED = 102
    READY = 103
    NOT_READY = 104
    RELOADED = 105
    MEMORY_GREW = 106
    LEADER_ELECTED = 200
    LEADER_LOST = 201
    REPLICA_JOINED = 202
    REPLICA_REMOVED = 203
    TAIL_CUT = 204
    STORAGE_FAILED = 205
    SNAPSHOT_WRITTEN = 206
    SNAPSHOT_INSTALLED = 207
    GROUP_FORMED = 208
    STANDING_BY = 209
    DISK_FULL = 210
    DISK_WRITABLE = 211
    REPLICA_OPENED = 212
    ADDRESS_UNKNOWN = 213
    CONFIGURATION_INSTALLED = 300
    CONFIGURATION_REFUSED = 301
    MEMBER_LOST = 302
    BACKEND_LEASED = 303
    BACKEND_LEASE_LOST = 304
    ORDER_SENT = 305
    BACKENDS_CHANGED = 310
    LIST_LOST = 311
    LIST_REGAINED = 312
    REPORTS_MISSING = 313
    REPORT_UNREADABLE = 314
    BACKEND_AVOIDED = 315
    CONTROL_LOST = 316
    CONTROL_REGAINED = 317
    LEADER_CHANGED = 332
    NEAR_REPLICA_LOST = 324
    DOCUMENT_FETCHED = 325
    DOCUMENT_DELAYED = 326
    REPORTS_REROUTED = 327
    BACKEND_CRASHED = 328
    PROMPT_PART_HELD = 329
    PROMPT_PART_CLEARED = 330
    REQUEST_HELD = 335
    REQUEST_TRIED = 336
    REQUEST_CLEARED = 337
    CONFIGURATION_COMMITTED = 318
    RETIREMENT_STARTED = 319
    RETIREMENT_ENDED = 320
    LIST_ENTRY_SKIPPED = 321
    PROBE_FAILED = 322
    BACKEND_READMITTED = 323
    BACKEND_LEAVING = 331
    BACKEND_LIMITED = 333
    DOCUMENT_OVERDUE = 334
    WORKSPACE_LIMITED = 340
    WORKSPACE_UNLIMITED = 341
    BACKEND_SLOWED = 342
    BACKEND_RECOVERED = 343
    LINK_SILENT = 400
    ANSWER_LATE = 401
    MESSAGE_UNREADABLE = 402
    LINK_EXCUSED = 403
    REQUEST_RETRIED = 500
    REQUEST_FAILED = 501
    OUTCOME_UNKNOWN = 502
    BACKEND_FAILED = 503
    ITEM_FAILED = 505
    CALL_QUEUED = 510
    CALL_PLACED = 511
    CALL_REFUSED = 512
    CALL_MOVED = 513
    CALL_ENDED = 514
    CALL_CANCELLED = 515
    CALL_FAILED = 516
    CALL_KEPT = 517
    KEY_REFUSED = 518
    JOB_ACCEPTED = 520
    JOB_REFUSED = 521
    JOB_ENDED = 522
    JOB_UNCERTAIN = 527
    ITEM_PLACED = 523
    ITEM_YIELDED = 524
    ITEM_ENDED = 525
    ITEM_RETRIED = 526
    ITEM_SUPERSEDED = 528
    LINES_DROPPED = 901
    CLIENTS_LIMITED = 600
    REQUEST_DROPPED = 601
    HANDLER_FAILED = 900


class EventFormatter(standard_logging.Formatter):
    """Formats each event as one line.

    :param process: the name of the process.
    :param as_json: whether lines are JSON instead of text.
    """

    def __init__(self, process: str, as_json: bool) -> None:
        super().__init__()
        self.process = process
        self.as_json = as_json

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the line for one record."""
        fields = dict(getattr(record, "fields", {}))
        event = getattr(record, "event", None)
        document = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "process": self.process,
            "event": event.value if event else 0,
            "name": event.name.lower() if event else record.getMessage(),
            **fields,
        }
        if self.as_json:
            return json.dumps(document, default=_as_text)
        stamp = time.strftime("%H:%M:%S", time.gmtime(record.created))
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        number = f"{document['event']:03d}"
        return f"{stamp} {self.process} {number} {document['name']} {details}"


def _as_text(value: object) -> str:
    return str(value.value) if isinstance(value, Enum) else str(value)


class LineWriter:
    """Writes lines to a file descriptor without blocking on its reader.

    Lines that can't be written at once are buffered up to a limit; beyond it whole lines are
    dropped, info lines first.  The numbers of dropped lines are logged once the buffer is empty.

    :param max_bytes: size of the buffer; warnings may use twice as much.
    :param dropped: lines dropped since they were last logged, by level; ``unreadable`` counts
        those that were buffered when the descriptor failed.
    """

    def __init__(self, descriptor: int, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped: Counter[str] = Counter()
        kind = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(kind) or stat.S_ISSOCK(kind):
            os.set_blocking(descriptor, False)

    def write(self, line: bytes, level: int) -> bool:
        """Writes or buffers one line; returns false if it was dropped."""
        is_warning = level >= standard_logging.WARNING
        if self._buffered_bytes + len(line) > self._max_bytes * (2 if is_warning else 1):
            self.dropped["warning" if is_warning else "info"] += 1
            self.flush()
            return False
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self.flush()
        return True

    @property
    def buffered_bytes(self) -> int:
        """Bytes that are not yet written."""
        return self._buffered_bytes

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The descriptor has failed, as a rule because its reader has closed it; there is no
                # other place to log that.
                self.dropped["unreadable"] += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


class EventHandler(standard_logging.Handler):
    """Passes formatted events to a line writer."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Writes one event; if the buffer is empty, first logs the numbers of dropped lines."""
        if self.writer.dropped and not self.writer.buffered_bytes:
            counts = dict(self.writer.dropped)
            self.writer.dropped.clear()
            warning(Event.LINES_DROPPED, **counts)
        self.writer.write(self.format(record).encode() + b"\n", record.levelno)


def set_up(process: str, log_format: str) -> LineWriter:
    """Configures logging of events to standard output.

    :param log_format: ``json`` or ``text``.
    """
    # argparse reads the settings; absl must not wait for its own flags to be parsed.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    writer = LineWriter(sys.stdout.fileno())
    handler = EventHandler(writer)
    handler.setFormatter(EventFormatter(process, log_format == "json"))
    logger = logging.get_absl_logger()
    logger.handlers[:] = [handler]
    logger.propagate = False
    return writer


def info(event: Event, **fields: object) -> None:
    """Logs an event of normal operation."""
    _log(standard_logging.INFO, event, fields)


def warning(event: Event, **fields: object) -> None:
    """Logs an event that may need an operator's attention."""
    _log(standard_logging.WARNING, event, fields)


def _log(level: int, event: Event, fields: dict[str, object]) -> None:
    logger = logging.get_absl_logger()
    logger.log(level, event.name, extra={"event": event, "fields": fields})
