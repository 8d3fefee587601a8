"""Identifiers, states and type aliases shared by every module."""

from collections.abc import Callable
from enum import Enum
from typing import NewType

WorkspaceId = NewType("WorkspaceId", str)
ServiceName = NewType("ServiceName", str)
BackendName = NewType("BackendName", str)
MemberName = NewType("MemberName", str)
ReplicaId = NewType("ReplicaId", str)
GroupId = NewType("GroupId", int)
RecordId = NewType("RecordId", str)
JobId = NewType("JobId", str)
FileId = NewType("FileId", str)
ChangeId = NewType("ChangeId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Revision = NewType("Revision", int)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
FencingNumber = NewType("FencingNumber", int)

CONTROL_GROUP = GroupId(0)

#: Returns seconds that never go backwards.
Clock = Callable[[], float]


class WorkClass(Enum):
    """The two classes of work that share the fleet."""

    ONLINE = "online"
    BATCH = "batch"


class MemberRole(Enum):
    """What a process of the system does."""

    ENTRY = "entry"
    AGENT = "agent"
    LEDGER = "ledger"


class MemberState(Enum):
    """Whether a member takes new work."""

    SERVING = "serving"
    DRAINING = "draining"


class ServiceKind(Enum):
    """What stands behind a service name."""

    MODEL = "model"
    PLAIN = "plain"


class RequestState(Enum):
    """The life of one accepted online request."""

    ACCEPTED = "accepted"
    STARTED = "started"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"


class ItemState(Enum):
    """The life of one batch item."""

    WAITING = "waiting"
    LEASED = "leased"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class JobState(Enum):
    """The life of one batch job, in the words that OpenAI clients expect."""

    LOADING = "validating"
    RUNNING = "in_progress"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
