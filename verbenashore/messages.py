"""Every message between the system's own processes."""

import msgspec

from verbenashore import control, files, itemjobs, jobs, machine, replication, requests, transfer
from verbenashore.types import (
    BackendName,
    FileId,
    GroupId,
    JobId,
    LogIndex,
    MemberName,
    MemberRole,
    MemberState,
    RecordId,
    ReplicaId,
    Revision,
    WorkspaceId,
)


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Asks whether the peer lives."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Says that the peer lives.

    :param epoch: differs for every start of the peer and every connection to it.
    """

    epoch: str


class CancelCall(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Tells the peer that nobody waits for a call any more."""


class Failure(msgspec.Struct, frozen=True, array_like=True, tag="failure"):
    """A typed error as an answer.

    :param code: the code of one of :mod:`verbenashore.exceptions`.
    :param hint: for ``not_leader`` the leader's address, if known.
    """

    code: str
    message: str
    step: str
    not_run: bool
    retry_after: float = 0.0
    hint: str = ""


class ReplicaPacket(msgspec.Struct, frozen=True, array_like=True, tag="packet"):
    """A consensus message of one group."""

    group: GroupId
    packet: replication.Packet


class AskIdentity(msgspec.Struct, frozen=True, array_like=True, tag="ask_identity"):
    """Asks a ledger process which replica it runs for a group."""

    group: GroupId


class Identity(msgspec.Struct, frozen=True, array_like=True, tag="identity"):
    """Answers :class:`AskIdentity`.

    :param formed: true if the replica knows a membership.
    """

    group: GroupId
    peer: replication.Peer
    formed: bool
    leader: str


class JoinGroup(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """Asks the leader to take a replica in as a learner."""

    group: GroupId
    peer: replication.Peer


class Propose(msgspec.Struct, frozen=True, array_like=True, tag="propose"):
    """Asks a group's leader to commit a command; the answer is its result."""

    group: GroupId
    command: machine.Command


class Committed(msgspec.Struct, frozen=True, array_like=True, tag="committed"):
    """Carries the result of a committed command."""

    result: machine.Result


class RenewSession(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Keeps a process's leases alive, and asks which of its jobs were stopped."""

    group: GroupId
    holder: MemberName
    jobs: list[JobId]


class SessionRenewed(msgspec.Struct, frozen=True, array_like=True, tag="renewed"):
    """Answers :class:`RenewSession`.

    :param stopped: those of the asked jobs that no longer run.
    :param waiting: how many items wait in the group.
    """

    stopped: list[JobId]
    waiting: int


class ReadRequest(msgspec.Struct, frozen=True, array_like=True, tag="read_request"):
    """Asks for an online request."""

    group: GroupId
    workspace: WorkspaceId
    record: RecordId


class ReadJob(msgspec.Struct, frozen=True, array_like=True, tag="read_job"):
    """Asks for a job."""

    group: GroupId
    workspace: WorkspaceId
    job: JobId


class ListJobs(msgspec.Struct, frozen=True, array_like=True, tag="list_jobs"):
    """Asks for the jobs of a workspace."""

    group: GroupId
    workspace: WorkspaceId


class Jobs(msgspec.Struct, frozen=True, array_like=True, tag="jobs"):
    """The jobs of a workspace, oldest first."""

    jobs: list[jobs.JobView]


class ReadItems(msgspec.Struct, frozen=True, array_like=True, tag="read_items"):
    """Asks for a page of a job's outcomes.

    :param page_bytes: bytes of outcomes after which the page ends; 0 means no limit.
    """

    group: GroupId
    workspace: WorkspaceId
    job: JobId
    first: int
    count: int
    page_bytes: int = 0


class ReadFile(msgspec.Struct, frozen=True, array_like=True, tag="read_file"):
    """Asks for a file."""

    group: GroupId
    workspace: WorkspaceId
    file: FileId


class ReadPart(msgspec.Struct, frozen=True, array_like=True, tag="read_part"):
    """Asks for one part of a file."""

    group: GroupId
    workspace: WorkspaceId
    file: FileId
    part: int


class FilePart(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """One part of a file."""

    data: bytes


class ListFiles(msgspec.Struct, frozen=True, array_like=True, tag="list_files"):
    """Asks for the files of a workspace."""

    group: GroupId
    workspace: WorkspaceId


class Files(msgspec.Struct, frozen=True, array_like=True, tag="files"):
    """The files of a workspace."""

    files: list[files.FileView]


class ReadHistory(msgspec.Struct, frozen=True, array_like=True, tag="read_history"):
    """Asks for the revisions of the configuration."""


class History(msgspec.Struct, frozen=True, array_like=True, tag="history"):
    """The revisions that are kept, oldest first."""

    changes: list[control.Change]


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A live process of the system.

    :param incarnation: differs for every start of the process.
    :param backend: the backend server it is the way to, for an agent.
    :param revision: the configuration it has in force.
    """

    name: MemberName
    incarnation: str
    role: MemberRole
    address: str
    data_centre: str
    region: str
    state: MemberState
    revision: Revision
    backend: BackendName = BackendName("")


class ListMembers(msgspec.Struct, frozen=True, array_like=True, tag="list_members"):
    """Asks for all live members, with the revision that each has in force."""


class Members(msgspec.Struct, frozen=True, array_like=True, tag="members"):
    """The live members."""

    members: list[Member]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """Tells the control group's leader that a member lives."""

    member: Member


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat_reply"):
    """Answers :class:`Heartbeat`; what the member is behind with, it fetches on its own.

    :param revision: the configuration that is in force.
    :param members_version: the list of the live members.
    :param backends_version: the list of backend servers; negative if there is none.
    :param backends_age: seconds since the leader read the list; negative if it never did.
    :param ledgers: the addresses of the group's replicas.
    :param reports_to: where the leader takes reports of load; "" if it takes none.
    :param near: the address of a replica in the member's data centre; "" if there is none.
    """

    revision: Revision
    members_version: int
    backends_version: int = -1
    backends_age: float = -1.0
    ledgers: list[str] = msgspec.field(default_factory=list)
    reports_to: str = ""
    near: str = ""


class LiveMembers(msgspec.Struct, frozen=True, array_like=True):
    """The list of members that members fetch.

    :param complete: false while a new leader has not heard everybody yet.
    """

    members: list[Member]
    complete: bool


class ReadVersion(msgspec.Struct, frozen=True, array_like=True, tag="read_version"):
    """Asks the control group's leader for the configuration that is in force."""


class ReadResults(msgspec.Struct, frozen=True, array_like=True, tag="read_results"):
    """Asks for the results of an item job from a position on.

    :param wait: seconds to wait for one if there is none yet.
    :param nearby: a replica that doesn't lead may answer, too, once it has caught up.
    """

    group: GroupId
    job: JobId
    first: int
    wait: float
    nearby: bool = False


class AskApplied(msgspec.Struct, frozen=True, array_like=True, tag="ask_applied"):
    """Asks a group's leader how far its state is."""

    group: GroupId


class Applied(msgspec.Struct, frozen=True, array_like=True, tag="applied"):
    """Answers :class:`AskApplied`: all that was acknowledged before stands up to this entry."""

    index: LogIndex


class ReadItemBody(msgspec.Struct, frozen=True, array_like=True, tag="read_item_body"):
    """Asks for the body of an item, or for a part of it.

    :param first: the position of the part's first byte.
    :param count: how many bytes; 0 means all that follow.
    """

    group: GroupId
    job: JobId
    item: str
    first: int = 0
    count: int = 0


class ItemBody(msgspec.Struct, frozen=True, array_like=True, tag="item_body"):
    """The body of an item, or the part of it that was asked for.

    :param size: bytes of the whole body; -1 from a version that sends bodies whole.
    """

    data: bytes
    size: int = -1


class StartRetirement(msgspec.Struct, frozen=True, array_like=True, tag="start_retirement"):
    """Asks that a process's replicas be replaced by others, so that it can be taken away."""

    name: MemberName


class AskRetirement(msgspec.Struct, frozen=True, array_like=True, tag="ask_retirement"):
    """Asks whether a process may be taken away."""

    name: MemberName


class Retirement(msgspec.Struct, frozen=True, array_like=True, tag="retirement"):
    """Answers how far the retirement of a process is."""

    ended: bool


class AskStatus(msgspec.Struct, frozen=True, array_like=True, tag="ask_status"):
    """Asks a ledger process how its groups do."""


class GroupStatus(msgspec.Struct, frozen=True, array_like=True):
    """How one replica of a group does."""

    group: GroupId
    replica: ReplicaId
    role: str
    term: int
    commit: int
    last: int
    voters: list[str]
    learners: list[str]
    late: int


class LedgerStatus(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """How a ledger process does."""

    name: MemberName
    groups: list[GroupStatus]


class RunModel(msgspec.Struct, frozen=True, array_like=True, tag="run_model"):
    """Asks an agent to run one online request on its engine; answered by a stream.

    :param body: the JSON body for the engine.
    :param resume_text: what another agent had produced before it was lost.
    :param resume_tokens: how many tokens that is.
    :param due_in: seconds in which the first token is wanted.
    """

    record: RecordId
    workspace: WorkspaceId
    path: str
    model: str
    body: bytes
    prompt_tokens: int
    max_tokens: int
    resume_text: str
    resume_tokens: int
    due_in: float


class AgentLoad(msgspec.Struct, frozen=True, array_like=True):
    """How busy an agent is, for placement.

    :param share: online work, running and waiting, as a share of its slots.
    :param slowness: how much slower than usual its recent pace is.
    """

    share: float
    slowness: float


class AskLoad(msgspec.Struct, frozen=True, array_like=True, tag="ask_load"):
    """Asks an agent that was slow for its present pace; an idle one measures it first."""


class PresentLoad(msgspec.Struct, frozen=True, array_like=True, tag="present_load"):
    """Answers :class:`AskLoad`."""

    load: AgentLoad


class TokenChunk(msgspec.Struct, frozen=True, array_like=True, tag="tokens"):
    """Some tokens of an answer.

    :param position: how many tokens of this stream came before these, so that a gap shows.
    :param finish: why the answer ended; empty while it goes on.
    """

    position: int
    text: str
    tokens: int
    finish: str
    prompt_tokens: int
    cached_tokens: int
    load: AgentLoad


class RunCall(msgspec.Struct, frozen=True, array_like=True, tag="run_call"):
    """Asks an agent to make one call to its plain service."""

    record: RecordId
    group: GroupId
    workspace: WorkspaceId
    service: str
    method: str
    target: str
    content_type: str
    body: bytes
    repeatable: bool
    key: str
    due_in: float


class CallAnswer(msgspec.Struct, frozen=True, array_like=True, tag="call_answer"):
    """The answer of a plain service.

    :param status: the HTTP status; 0 if the call was started before, elsewhere.
    """

    status: int
    content_type: str
    body: bytes
    load: AgentLoad


Body = (
    Ping
    | Pong
    | CancelCall
    | Failure
    | ReplicaPacket
    | AskIdentity
    | Identity
    | JoinGroup
    | Propose
    | Committed
    | RenewSession
    | SessionRenewed
    | ReadRequest
    | ReadJob
    | ListJobs
    | Jobs
    | ReadItems
    | jobs.ItemViews
    | ReadFile
    | ReadPart
    | FilePart
    | ListFiles
    | Files
    | ReadHistory
    | History
    | ListMembers
    | Members
    | Heartbeat
    | HeartbeatReply
    | ReadVersion
    | control.Change
    | transfer.AskPart
    | transfer.Part
    | ReadResults
    | itemjobs.ResultsPage
    | ReadItemBody
    | AskApplied
    | Applied
    | ItemBody
    | StartRetirement
    | AskRetirement
    | Retirement
    | AskStatus
    | LedgerStatus
    | AskLoad
    | PresentLoad
    | RunModel
    | TokenChunk
    | RunCall
    | CallAnswer
    | requests.RequestView
    | jobs.JobView
    | files.FileView
    | files.Done
)


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """Who sends, and which configuration it has in force."""

    name: MemberName
    data_centre: str
    region: str
    revision: Revision


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message on the wire.

    :param call: the caller's number for the exchange; 0 expects no answer.
    :param last: false if more answers to the same call follow.
    """

    call: int
    last: bool
    sender: Sender
    body: Body
