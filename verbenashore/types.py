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
#: A chain of runs of one item, each of which goes on where the one before it ended.
ChainId = NewType("ChainId", str)
#: The id of one part of a prompt; prompts that begin alike share their first parts.
PromptPart = NewType("PromptPart", str)
#: The parts of one prompt in order; the last one is its own, or that of its session.
Prompt = tuple[PromptPart, ...]

#: The place of a call in the queue: the priority of its workspace, then that of its route; the
#: lowest goes first.
Rank = tuple[float, int]

CONTROL_GROUP = GroupId(0)
#: Stands for the callers without a workspace while the route table has workspaces.
NO_WORKSPACE = WorkspaceId("")

#: Returns the time in seconds since some moment; it never goes back.
Clock = Callable[[], float]
#: Returns the time of day as Unix time in seconds.
UnixClock = Callable[[], float]


class WorkClass(Enum):
    """The two classes of work that share the fleet."""

    ONLINE = "online"
    BATCH = "batch"


class MemberRole(Enum):
    """The role of a process."""

    ENTRY = "entry"
    AGENT = "agent"
    LEDGER = "ledger"


class MemberState(Enum):
    """Whether a member takes new work."""

    SERVING = "serving"
    DRAINING = "draining"


class ServiceKind(Enum):
    """Whether a service's backend servers run models."""

    MODEL = "model"
    PLAIN = "plain"


class RequestState(Enum):
    """The state of an accepted online request."""

    ACCEPTED = "accepted"
    STARTED = "started"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"


class ItemState(Enum):
    """The state of a batch item."""

    WAITING = "waiting"
    LEASED = "leased"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class JobState(Enum):
    """The state of a batch job, with the values that OpenAI clients expect."""

    LOADING = "validating"
    RUNNING = "in_progress"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
