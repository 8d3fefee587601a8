"""Numbered log events on top of absl logging."""

import json
import logging as standard_logging
import sys
import time
from enum import Enum

from absl import flags, logging


class Event(Enum):
    """Every event that is logged; ``docs/events.rst`` explains each."""

    STARTED = 100
    STOPPING = 101
    STOPPED = 102
    READY = 103
    NOT_READY = 104
    RELOADED = 105
    LEADER_ELECTED = 200
    LEADER_LOST = 201
    REPLICA_JOINED = 202
    REPLICA_REMOVED = 203
    TAIL_CUT = 204
    STORAGE_FAILED = 205
    SNAPSHOT_WRITTEN = 206
    SNAPSHOT_INSTALLED = 207
    GROUP_FORMED = 208
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
    CONFIGURATION_COMMITTED = 318
    RETIREMENT_STARTED = 319
    RETIREMENT_ENDED = 320
    LIST_ENTRY_SKIPPED = 321
    PROBE_FAILED = 322
    BACKEND_READMITTED = 323
    LINK_SILENT = 400
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
    JOB_ACCEPTED = 520
    JOB_REFUSED = 521
    JOB_ENDED = 522
    JOB_UNCERTAIN = 527
    ITEM_PLACED = 523
    ITEM_YIELDED = 524
    ITEM_ENDED = 525
    ITEM_RETRIED = 526
    LINES_DROPPED = 901
    HANDLER_FAILED = 900


class EventFormatter(standard_logging.Formatter):
    """Writes one event a line.

    :param process: the name of the process.
    :param as_json: JSON if true, else text.
    """

    def __init__(self, process: str, as_json: bool) -> None:
        super().__init__()
        self.process = process
        self.as_json = as_json

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the line of one record."""
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
            return json.dumps(document, default=str)
        stamp = time.strftime("%H:%M:%S", time.gmtime(record.created))
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        number = f"{document['event']:03d}"
        return f"{stamp} {self.process} {number} {document['name']} {details}"


def set_up(process: str, form: str) -> None:
    """Sends events to standard error in the wanted form."""
    # The settings are read by argparse; absl must not wait for its own flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(EventFormatter(process, form == "json"))


def info(event: Event, **fields: object) -> None:
    """Logs an event of ordinary operation."""
    _log(standard_logging.INFO, event, fields)


def warning(event: Event, **fields: object) -> None:
    """Logs an event that an operator may have to look at."""
    _log(standard_logging.WARNING, event, fields)


def _log(level: int, event: Event, fields: dict[str, object]) -> None:
    logger = logging.get_absl_logger()
    logger.log(level, event.name, extra={"event": event, "fields": fields})
