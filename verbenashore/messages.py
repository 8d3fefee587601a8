"""The messages between the processes of the system."""

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
    """Checks whether the peer is alive."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Answers :class:`Ping`.

    :param epoch: differs for every start of the peer and every connection to it.
    """

    epoch: str


class CancelCall(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancels a call whose caller no longer waits for it."""


class Failure(msgspec.Struct, frozen=True, array_like=True, tag="failure"):
    """Answers a call with an error.

    :param code: the code of one of :mod:`verbenashore.exceptions`.
    :param leader_address: for ``not_leader``, where the leader is, if it is known.
    :param crashed: whether the backend server crashed while it ran the call.
    """

    code: str
    message: str
    step: str
    not_run: bool
    retry_after: float = 0.0
    leader_address: str = ""
    crashed: bool = False


class ReplicaPacket(msgspec.Struct, frozen=True, array_like=True, tag="packet"):
    """A consensus message of one group.

    :param address: of the process that sends it; "" from earlier builds.
    """

    group: GroupId
    packet: replication.Packet
    address: str = ""


class AskIdentity(msgspec.Struct, frozen=True, array_like=True, tag="ask_identity"):
    """Asks a ledger process which replica it runs for a group."""

    group: GroupId


class Identity(msgspec.Struct, frozen=True, array_like=True, tag="identity"):
    """Answers :class:`AskIdentity`.

    :param formed: true if the replica knows the voters of its group, or stands by for it.
    :param leader: the address of the group's leader; empty if it is unknown.
    """

    group: GroupId
    peer: replication.Peer
    formed: bool
    leader: str


class JoinGroup(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """Asks the leader to add a replica to its group as a learner."""

    group: GroupId
    peer: replication.Peer


class StandBy(msgspec.Struct, frozen=True, array_like=True, tag="stand_by"):
    """Answers :class:`JoinGroup` if the group needs no more replicas.

    :param ledgers: the addresses of the group's replicas.
    """

    ledgers: list[str]


class Propose(msgspec.Struct, frozen=True, array_like=True, tag="propose"):
    """Asks a group's leader to commit a command; the answer is its result."""

    group: GroupId
    command: machine.Command


class Committed(msgspec.Struct, frozen=True, array_like=True, tag="committed"):
    """Carries the result of a committed command."""

    result: machine.Result


class RenewSession(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Renews a process's session, on which its leases depend, and asks which jobs no longer run.

    :param jobs: the jobs to ask about, of which the process leases items.
    """

    group: GroupId
    holder: MemberName
    jobs: list[JobId]


class SessionRenewed(msgspec.Struct, frozen=True, array_like=True, tag="renewed"):
    """Answers :class:`RenewSession`.

    :param stopped: the jobs named in the renewal that aren't running.
    :param waiting: number of items that wait for a lease in the group.
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

    :param page_bytes: size of the outcomes after which the page ends; 0 means no limit.
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
    """The stored revisions, oldest first."""

    changes: list[control.Change]


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A live process of the system.

    :param incarnation: differs for every start of the process.
    :param backend: the backend server that an agent serves.
    :param revision: the revision of the configuration that the process has in force.
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
    """Reports to the control group's leader that a member is alive."""

    member: Member


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat_reply"):
    """Answers :class:`Heartbeat` with the current versions of what the member fetches.

    :param revision: revision of the configuration in force.
    :param members_version: version of the list of live members.
    :param backends_version: version of the list of backend servers; negative if there is none.
    :param backends_age: seconds since the leader read the list; negative if it never did.
    :param ledgers: the addresses of the group's replicas.
    :param report_address: address at which the leader receives reports of load; "" if it has none.
        Read by members of earlier builds only.
    :param nearby_replica: address of a replica in the member's data centre; "" if there is none.
    """

    revision: Revision
    members_version: int
    backends_version: int = -1
    backends_age: float = -1.0
    ledgers: list[str] = msgspec.field(default_factory=list)
    report_address: str = ""
    nearby_replica: str = ""


class LiveMembers(msgspec.Struct, frozen=True, array_like=True):
    """The list of live members that members fetch.

    :param complete: false while a new leader may lack heartbeats of live members.
    """

    members: list[Member]
    complete: bool


class ReadVersion(msgspec.Struct, frozen=True, array_like=True, tag="read_version"):
    """Asks the control group's leader for the configuration that is in force."""


class ReadResults(msgspec.Struct, frozen=True, array_like=True, tag="read_results"):
    """Asks for the results of an item job from a position on.

    :param wait: seconds to wait for a result if there is none yet.
    :param nearby: true if a follower may answer too, once it has caught up with the leader.
    :param workspace: whose caller reads, as in :class:`itemjobs.EndItemJob`.
    """

    group: GroupId
    job: JobId
    first: int
    wait: float
    nearby: bool = False
    workspace: WorkspaceId | None = None


class AskApplied(msgspec.Struct, frozen=True, array_like=True, tag="ask_applied"):
    """Asks a group's leader for the index of the last entry that it has applied."""

    group: GroupId


class Applied(msgspec.Struct, frozen=True, array_like=True, tag="applied"):
    """Answers :class:`AskApplied`: the entries up to this one hold all acknowledged commands."""

    index: LogIndex


class ReadItemBody(msgspec.Struct, frozen=True, array_like=True, tag="read_item_body"):
    """Asks for the body of an item, or for a part of it.

    :param first: the position of the part's first byte.
    :param count: number of bytes; 0 means all that follow.
    :param workspace: whose caller reads, as in :class:`itemjobs.EndItemJob`.
    """

    group: GroupId
    job: JobId
    item: str
    first: int = 0
    count: int = 0
    workspace: WorkspaceId | None = None


class ItemBody(msgspec.Struct, frozen=True, array_like=True, tag="item_body"):
    """The body of an item, or the part of it that was asked for.

    :param size: bytes of the whole body; -1 from an older version, which sends the whole body.
    """

    data: bytes
    size: int = -1


class StartRetirement(msgspec.Struct, frozen=True, array_like=True, tag="start_retirement"):
    """Asks to replace a process's replicas by replicas elsewhere, so that it can be removed."""

    name: MemberName


class AskRetirement(msgspec.Struct, frozen=True, array_like=True, tag="ask_retirement"):
    """Asks whether a process can be removed."""

    name: MemberName


class Retirement(msgspec.Struct, frozen=True, array_like=True, tag="retirement"):
    """Returns whether the retirement of a process has ended."""

    ended: bool


class AskStatus(msgspec.Struct, frozen=True, array_like=True, tag="ask_status"):
    """Asks a ledger process for the status of its replicas."""


class GroupStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status of one replica of a group.

    :param late: number of answers and item results that were dropped because they came too late.
    """

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
    """The status of a ledger process."""

    name: MemberName
    groups: list[GroupStatus]


class RunModel(msgspec.Struct, frozen=True, array_like=True, tag="run_model"):
    """Asks an agent to run one online request on its engine; answered by a stream.

    :param body: the JSON body for the engine.
    :param resume_text: text that another agent had generated before it was lost.
    :param resume_tokens: number of tokens in it.
    :param due_in: seconds within which the first token is wanted.
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
    """The load of an agent, for placement.

    :param share: online work, running and waiting, as a share of its slots.
    :param slowness: recent time between tokens divided by the typical one; at least 1.
    """

    share: float
    slowness: float


class AskLoad(msgspec.Struct, frozen=True, array_like=True, tag="ask_load"):
    """Asks for the current load of an agent that was slow; an idle one first measures its pace."""


class PresentLoad(msgspec.Struct, frozen=True, array_like=True, tag="present_load"):
    """Answers :class:`AskLoad`."""

    load: AgentLoad


class TokenChunk(msgspec.Struct, frozen=True, array_like=True, tag="tokens"):
    """Some tokens of an answer.

    :param position: number of earlier tokens in this stream, by which a gap is detected.
    :param finish: why the answer ended; empty until it ends.
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

    :param status: the HTTP status; 0 if the call was not run, as it was started elsewhere before.
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
    | StandBy
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
    """The process that sends a message.

    :param revision: the revision of the configuration that it has in force.
    """

    name: MemberName
    data_centre: str
    region: str
    revision: Revision


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message on the wire.

    :param call: the number that the sender of the call gave it; 0 for messages without an answer.
    :param last: false if more answers to the same call follow.
    """

    call: int
    last: bool
    sender: Sender
    body: Body
