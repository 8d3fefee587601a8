"""``verbena-ledger``: runs one replica of one or more groups on an instance with a disk."""

import argparse
import asyncio
import contextlib
import random
import sys
from collections.abc import Mapping, Sequence
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from verbenashore import (
    consensus,
    control,
    files,
    fulldisk,
    jobs,
    logs,
    machine,
    members,
    misc,
    process,
    replication,
    requests,
    settings,
    storage,
    transfer,
)
from verbenashore.client import GroupClient
from verbenashore.consensus import Role
from verbenashore.exceptions import (
    DiskFullError,
    KeyConflictError,
    NotFoundError,
    NotLeaderError,
    UnavailableError,
    VerbenaError,
)
from verbenashore.fulldisk import FullDisk, OpenedFolder, Step
from verbenashore.jobs import ItemViews
from verbenashore.ledgerrelay import LedgerRelay, RelaySettings
from verbenashore.link import Reply, Server
from verbenashore.logs import Event
from verbenashore.messages import (
    Applied,
    AskApplied,
    AskIdentity,
    AskRetirement,
    AskStatus,
    Body,
    Committed,
    Envelope,
    FilePart,
    Files,
    GroupStatus,
    Heartbeat,
    History,
    Identity,
    Jobs,
    JoinGroup,
    LedgerStatus,
    ListFiles,
    ListJobs,
    ListMembers,
    Members,
    Propose,
    ReadFile,
    ReadHistory,
    ReadItemBody,
    ReadItems,
    ReadJob,
    ReadPart,
    ReadRequest,
    ReadResults,
    ReadVersion,
    RenewSession,
    ReplicaPacket,
    Retirement,
    SessionRenewed,
    StandBy,
    StartRetirement,
)
from verbenashore.process import Process
from verbenashore.replica import JoinRequest, ReplicaRunner
from verbenashore.replicalinks import ReplicaLinks
from verbenashore.settings import Address, Setting
from verbenashore.transfer import AskPart, Document, Part, VersionCache
from verbenashore.types import (
    CONTROL_GROUP,
    GroupId,
    JobState,
    MemberName,
    ReplicaId,
)

PROGRAM = "verbena-ledger"
NO_FOLDERS: Mapping[GroupId, OpenedFolder] = {}
SESSION_TIMEOUT_SECONDS = 4.0
SWEEP_INTERVAL_SECONDS = 0.25
MEMBERSHIP_CHECK_SECONDS = 0.25
#: Mean seconds between two requests to join of a process that stands by outside the group.
STANDBY_CHECK_SECONDS = 0.75
#: Seconds without such a request after which the process no longer counts as standing by.
STANDBY_LOST_SECONDS = 2.5
#: Seconds after which it no longer counts as known, either.
STANDBY_FORGOTTEN_SECONDS = 30.0
CALL_TIMEOUT_SECONDS = 0.5
#: Seconds within which a replica must catch up with its leader to answer a read in its place.
CATCH_UP_TIMEOUT_SECONDS = 0.2
HANDOVER_TIMEOUT_SECONDS = 2.0
#: Seconds without contact with a leader after which a replica asks to join again, since it may have
#: been removed.
LEADERLESS_SECONDS = 1.5


def parse_peers(text: str) -> dict[MemberName, Address]:
    """Parses ``NAME=IP:PORT`` pairs separated by commas."""
    pairs = [part.partition("=") for part in text.split(",") if part]
    return {
        MemberName(settings.parse_name(name)): settings.parse_address(address)
        for name, _, address in pairs
    }


def parse_groups(text: str) -> tuple[GroupId, ...]:
    """Parses group numbers separated by commas."""
    groups = tuple(GroupId(int(part)) for part in text.split(",") if part)
    if not groups or min(groups) < 0:
        raise ValueError(f"{text!r} is not a list of group numbers")
    return groups


SETTINGS = (
    *settings.COMMON,
    *settings.SERVER,
    Setting("data", Path, "data folder; no other process may use it"),
    Setting("groups", parse_groups, "groups to run a replica of; 0 is the control group", "0,1"),
    Setting("initial", parse_peers, "the replicas that form new groups, NAME=IP:PORT,...", ""),
    Setting(
        "seeds",
        settings.parse_addresses,
        "some ledger processes, in place of --initial; they form new groups",
        "",
    ),
    Setting(
        "bootstrap",
        settings.parse_choice("yes", "no"),
        "whether this process may form new groups; no for a replaced process or disk",
        "yes",
    ),
    Setting("replicas", settings.parse_count, "voters that a group should have", "3"),
    Setting(
        "replace-after",
        settings.parse_seconds,
        "seconds without contact after which a replica is replaced by a spare",
        "10",
    ),
    Setting(
        "election",
        settings.parse_seconds,
        "seconds without a leader after which an election may start",
        "0.4",
    ),
    Setting(
        "snapshot-bytes",
        settings.parse_count,
        "bytes of log after which a snapshot is taken",
        str(16 << 20),
    ),
    Setting("trace", str, "file to which committed commands are appended; none if empty", ""),
)


class Sessions:
    """When each process last renewed its session with this replica as leader of a group.

    A new leader doesn't know earlier renewals, so every session restarts in full with a new term.
    """

    def __init__(self) -> None:
        self.term = -1
        self.term_start = 0.0
        self.renewed_at_by_holder: dict[MemberName, float] = {}

    def renew(self, holder: MemberName, now: float) -> None:
        """Records that a process renewed its session."""
        self.renewed_at_by_holder[holder] = now

    def expired_holders(self, holders: set[MemberName], now: float) -> list[MemberName]:
        """Returns the holders whose session has expired."""
        return sorted(
            holder
            for holder in holders
            if now - max(self.renewed_at_by_holder.get(holder, 0.0), self.term_start)
            > SESSION_TIMEOUT_SECONDS
        )

    def start_term(self, term: int, now: float) -> None:
        """Restarts all sessions for a new term."""
        self.term = term
        self.term_start = now
        self.renewed_at_by_holder.clear()


class StandbyReplica(msgspec.Struct, frozen=True):
    """A replica that the control group doesn't need now.

    :param seen_at: when it last asked to join.
    """

    id: ReplicaId
    seen_at: float


async def open_folders(running: Process) -> dict[GroupId, OpenedFolder]:
    """Opens the data folder of each group; waits while a disk is full and the process not stopping.

    :raises StorageError: if a folder can't be opened for another reason.
    """
    opened_by_group = {}
    for group in running.settings.groups:
        disk = FullDisk(group, running.clock)
        _set_disk_gauges(running, group, disk)
        opened = await fulldisk.open_folder(
            _data_folder(running.settings, group), disk, running.stopping
        )
        if opened is not None:
            opened_by_group[group] = opened
    return opened_by_group


class LedgerProcess:
    """The replicas of one process, and the calls that it answers with them.

    :param opened_by_group: the data folders that are open already.
    """

    def __init__(
        self,
        running: Process,
        relay: RelaySettings | None = None,
        opened_by_group: Mapping[GroupId, OpenedFolder] = NO_FOLDERS,
    ) -> None:
        self._process = running
        self._settings = running.settings
        self._clock = running.clock
        self.seeds = {str(address) for address in self._settings.seeds}
        self.known_seeds = set(self.seeds)
        self._data_centre_by_address = {
            settings.advertised_address(self._settings): str(self._settings.data_centre)
        }
        self._standby_by_name: dict[MemberName, StandbyReplica] = {}
        self._members = members.MemberTable()
        self._members_term = -1
        self._version_cache_by_document = {document: VersionCache() for document in Document}
        name_and_address = (running.name, settings.advertised_address(self._settings))
        self._replica_links = ReplicaLinks(running.links, name_and_address[1])
        timing = replication.scaled_timing(self._settings.election, self._settings.replace_after)
        self._runner_by_group = {
            group: ReplicaRunner(
                group,
                name_and_address,
                _data_folder(self._settings, group),
                timing,
                running.clock,
                self._replica_links.sender_for(group),
                self._settings.replicas,
                self._settings.snapshot_bytes,
                self._settings.trace,
                self._data_centre_of,
                opened_by_group.get(group),
            )
            for group in self._settings.groups
        }
        self._sessions_by_group = {group: Sessions() for group in self._settings.groups}
        self.control = GroupClient(
            CONTROL_GROUP,
            running.links,
            [name_and_address[1]],
            running.clock,
            transfer.LEDGER_BYTES_PER_SECOND,
        )
        self._random = random.Random(misc.quick_hash(running.incarnation))
        self._peers = {
            address
            for runner in self._runner_by_group.values()
            for address in storage.read_peers(runner.path)
        }
        self._ledger_relay: LedgerRelay | None = None
        if relay is not None:
            self._ledger_relay = LedgerRelay(running, self._runner_by_group[CONTROL_GROUP], relay)

    async def run(self) -> None:
        """Serves until the process is to stop, then hands over its leaderships."""
        server = Server(
            self._process.context,
            str(self._settings.listen),
            self._process.make_sender,
            self._clock,
            self.answer_call,
            self.on_packet,
        )
        self._process.start_task(server.run())
        self._set_gauges(server)
        for address in self._settings.health:
            self._process.start_task(process.serve_health(self._process, str(address)))
        for group, runner in self._runner_by_group.items():
            self._process.start_task(runner.run())
            self._process.start_task(self._maintain_membership(runner))
            self._process.start_task(self._sweep(group, runner))
        if self._ledger_relay is not None:
            self._ledger_relay.start(self._process)
        self._process.ready = True
        logs.info(Event.READY, listen=self._settings.listen)
        await self._process.wait_for_stop()
        logs.info(Event.STOPPING)
        await self._hand_over()

    def _set_gauges(self, server: Server) -> None:
        gauges = self._process.metrics
        gauges.set_gauge("open_calls", lambda: server.open_calls)
        for group, runner in self._runner_by_group.items():
            for name in runner.sizes():
                gauges.set_gauge(f"group_{group}.{name}", partial(_size_of, runner, name))
            _set_disk_gauges(self._process, group, runner.disk)

    def add_seeds(self, seeds: list[str]) -> None:
        """Adds addresses of ledger processes that may know the group."""
        self.known_seeds |= set(seeds)

    def on_packet(self, message: ReplicaPacket) -> None:
        """Passes a consensus message to its replica."""
        if message.address:
            self._replica_links.record_address(message.packet.sender, message.address)
        runner = self._runner_by_group.get(message.group)
        if runner is not None:
            runner.enqueue(message.packet)

    async def answer_call(self, envelope: Envelope, reply: Reply) -> None:
        """Handles a call and sends its result as the only reply."""
        reply(await self._dispatch(envelope), True)

    async def _dispatch(self, envelope: Envelope) -> Body:
        body = envelope.body
        if isinstance(body, AskStatus):
            return self._status()
        if isinstance(body, Heartbeat):
            return self._on_heartbeat(body)
        if isinstance(body, AskPart):
            return self._document_part(body)
        if isinstance(body, ListMembers):
            self._serving_runner(CONTROL_GROUP)
            return Members(list(self._members.by_name.values()))
        if isinstance(body, ReadHistory):
            runner = self._serving_runner(CONTROL_GROUP)
            return History(runner.state.control.history)
        if isinstance(body, ReadVersion):
            return control.current_change(self._serving_runner(CONTROL_GROUP).state.control)
        if isinstance(body, StartRetirement | AskRetirement):
            return await self._on_retirement(body)
        group = GroupId(getattr(body, "group", -1))
        if group not in self._runner_by_group:
            raise NotFoundError(f"no replica of group {group} here", step="route", not_run=True)
        if isinstance(body, AskIdentity):
            return self._identity(group)
        if isinstance(body, AskApplied):
            return Applied(self._serving_runner(group).applied_index)
        if isinstance(body, JoinGroup):
            return self._on_join(body, envelope.sender.data_centre)
        if isinstance(body, Propose):
            return await self._on_propose(body)
        if isinstance(body, RenewSession):
            return self._on_renew(body)
        if isinstance(body, ReadResults | ReadItemBody):
            return await self._read_item_job(body)
        return self._read_record(self._serving_runner(group).state, body)

    async def _read_item_job(self, body: ReadResults | ReadItemBody) -> Body:
        if self._ledger_relay is None:
            raise NotFoundError("this process relays no jobs", step="route")
        runner = self._runner_by_group[body.group]
        if isinstance(body, ReadResults) and body.nearby and not runner.serving:
            await self._catch_up(runner)
            return await self._ledger_relay.read_results(body, lambda: None)
        runner.check_serving()
        if isinstance(body, ReadResults):
            return await self._ledger_relay.read_results(body, runner.check_serving)
        return self._ledger_relay.read_body(body)

    async def _catch_up(self, runner: ReplicaRunner) -> None:
        """Waits until this replica has applied all that its leader has acknowledged by now.

        :raises NotLeaderError: if no leader is known.
        :raises UnavailableError: if this takes longer than the timeout.
        """
        leader = runner.leader_address
        if not leader:
            raise NotLeaderError("no leader is known", step="catch-up")
        answer: Any = await self._process.links.to(leader).call(
            AskApplied(runner.group), CATCH_UP_TIMEOUT_SECONDS
        )
        timed_out = UnavailableError(
            "this replica did not catch up with its leader", step="catch-up", not_run=True
        )
        await misc.with_timeout(
            CATCH_UP_TIMEOUT_SECONDS, runner.wait_until_applied(answer.index), timed_out
        )

    async def _on_retirement(self, body: StartRetirement | AskRetirement) -> Retirement:
        """Starts the retirement of a process, or returns whether it has ended."""
        runner = self._serving_runner(CONTROL_GROUP)
        membership = consensus.membership(runner.core)
        peers = [*membership.voters, *membership.learners]
        retired_ids = runner.state.control.retired_by_name.get(body.name, [])
        if isinstance(body, StartRetirement) and not retired_ids:
            standby = self._standby_replicas()
            replicas = [peer.id for peer in peers if peer.name == body.name]
            if not replicas and body.name in standby:
                replicas = [standby[body.name]]
            if not replicas and self._may_stand_by(body.name, runner.core.led_since):
                raise UnavailableError(
                    "not all ledger processes are known yet", step="retire", not_run=True
                )
            if not replicas:
                raise NotFoundError(f"no replica of {body.name!r}", step="retire", field="name")
            retired = control.retired_replicas(runner.state.control)
            remaining = {p.name for p in peers if p.id not in retired} | {
                name for name, replica in standby.items() if replica not in retired
            }
            if len(remaining - {body.name}) < runner.target_voters:
                raise KeyConflictError("too few ledger processes would be left", step="retire")
            logs.info(Event.RETIREMENT_STARTED, member=body.name, replicas=replicas)
            await runner.propose(control.RetireReplicas(body.name, replicas))
            return Retirement(False)
        if not retired_ids:
            raise NotFoundError(f"{body.name!r} was not retired", step="retire", field="name")
        settled = len(
            membership.voters
        ) <= runner.target_voters and not consensus.change_is_pending(runner.core)
        ended = settled and not any(peer.id in retired_ids for peer in peers)
        if ended:
            logs.info(Event.RETIREMENT_ENDED, member=body.name)
        return Retirement(ended)

    def _may_stand_by(self, name: MemberName, led_since: float) -> bool:
        """Returns whether a process may stand by although it has not asked to join lately.

        :param led_since: when this process became the leader.
        """
        now = self._clock()
        known = self._standby_by_name.get(name)
        is_late = known is not None and now - known.seen_at < STANDBY_FORGOTTEN_SECONDS
        return is_late or now - led_since < STANDBY_LOST_SECONDS

    def _standby_replicas(self) -> dict[MemberName, ReplicaId]:
        """Returns the replicas by process that asked to join lately and are not needed."""
        cutoff = self._clock() - STANDBY_LOST_SECONDS
        return {
            name: replica.id
            for name, replica in self._standby_by_name.items()
            if replica.seen_at >= cutoff
        }

    def _serving_runner(self, group: GroupId) -> ReplicaRunner:
        runner = self._runner_by_group.get(group)
        if runner is None:
            raise NotLeaderError(f"no replica of group {group} here", step="route")
        runner.check_serving()
        return runner

    async def _on_propose(self, body: Propose) -> Committed:
        runner = self._serving_runner(body.group)
        holder = getattr(body.command, "holder", None)
        if holder and not isinstance(body.command, machine.ExpireHolder):
            self._current_sessions(body.group).renew(holder, self._clock())
        return Committed(await runner.propose(body.command))

    def _on_renew(self, body: RenewSession) -> SessionRenewed:
        runner = self._serving_runner(body.group)
        self._current_sessions(body.group).renew(body.holder, self._clock())
        table = runner.state.jobs
        return SessionRenewed(jobs.stopped_jobs(table, body.jobs), jobs.waiting_count(table))

    def _current_sessions(self, group: GroupId) -> Sessions:
        sessions = self._sessions_by_group[group]
        term = self._runner_by_group[group].core.hard.term
        if sessions.term != term:
            sessions.start_term(term, self._clock())
        return sessions

    def _on_heartbeat(self, body: Heartbeat) -> Body:
        runner = self._serving_runner(CONTROL_GROUP)
        now = self._clock()
        table = self._member_table(runner)
        self._current_sessions(CONTROL_GROUP).renew(MemberName(body.member.incarnation), now)
        change = control.current_change(runner.state.control)
        reply = members.record_heartbeat(table, body, change, now)
        if self._ledger_relay is None:
            return reply
        self._ledger_relay.set_members(table)
        return self._ledger_relay.complete_heartbeat_reply(reply, body)

    def _member_table(self, runner: ReplicaRunner) -> members.MemberTable:
        """Returns the members of the leader's term; a new term starts with a new table."""
        if self._members_term != runner.core.hard.term:
            self._members_term = runner.core.hard.term
            self._members = members.new_table(self._members_term, self._clock())
        return self._members

    def _document_part(self, ask: AskPart) -> Part:
        """Returns a part of a document that members fetch.

        :raises UnavailableError: if this replica does not have the requested configuration yet, or
            there is no list of backend servers.
        :raises NotLeaderError: if only the leader has the document and this replica doesn't lead,
            or no replica of the control group runs here.
        """
        cache = self._version_cache_by_document[ask.document]
        if ask.document is Document.CONFIGURATION:
            runner = self._runner_by_group.get(CONTROL_GROUP)
            if runner is None:
                raise NotLeaderError("no replica of the control group here", step="route")
            change = control.current_change(runner.state.control)
            if change.revision < ask.version:
                raise UnavailableError(
                    "this replica has an older configuration", step="fetch", not_run=True
                )
            return transfer.requested_part(
                cache, ask, change.revision, lambda: control.encode_change(change)
            )
        serving = self._serving_runner(CONTROL_GROUP)
        if ask.document is Document.MEMBERS:
            table = self._member_table(serving)
            return transfer.requested_part(
                cache, ask, table.version, lambda: members.encode_members(table)
            )
        if self._ledger_relay is None or self._ledger_relay.backends_version < 0:
            raise UnavailableError(
                "there is no list of backend servers", step="fetch", not_run=True
            )
        relay = self._ledger_relay
        return transfer.requested_part(cache, ask, relay.backends_version, relay.backends_document)

    def _on_join(self, body: JoinGroup, data_centre: str) -> Body:
        runner = self._serving_runner(body.group)
        self._data_centre_by_address[body.peer.address] = data_centre
        if runner.admits(body.peer):
            runner.enqueue(JoinRequest(body.peer))
            return files.Done()
        if body.group == CONTROL_GROUP:
            self._standby_by_name[body.peer.name] = StandbyReplica(body.peer.id, self._clock())
        return StandBy(runner.addresses)

    def _data_centre_of(self, address: str) -> str:
        known = self._data_centre_by_address.get(address)
        return known or self._process.links.to(address).data_centre

    def _read_record(self, state: machine.GroupState, body: Body) -> Body:
        if isinstance(body, ReadRequest):
            record = state.requests.by_id.get(body.record)
            if record is None or record.workspace != body.workspace:
                raise NotFoundError("no such request", step="read", field="id")
            return requests.request_view(record)
        if isinstance(body, ReadJob | ReadItems):
            job = state.jobs.job_by_id.get(body.job)
            if job is None or job.announced.workspace != body.workspace:
                raise NotFoundError("no such batch", step="read", field="id")
            return self._read_job(job, body)
        if isinstance(body, ListJobs):
            return Jobs(_jobs_of(state, body.workspace))
        if isinstance(body, ReadFile | ReadPart):
            file_record = state.files.file_by_id.get(body.file)
            if (
                file_record is None
                or not file_record.sealed
                or file_record.announced.workspace != body.workspace
            ):
                raise NotFoundError("no such file", step="read", field="id")
            if isinstance(body, ReadFile):
                return files.file_view(file_record)
            return FilePart(file_record.data_by_part.get(body.part, b""))
        if isinstance(body, ListFiles):
            return Files(_files_of(state, body.workspace))
        raise VerbenaError(f"unexpected call {type(body).__name__}", step="read")

    def _read_job(self, job: jobs.Job, body: ReadJob | ReadItems) -> Body:
        if isinstance(body, ReadJob):
            return jobs.job_view(job)
        views: ItemViews = jobs.item_views(job, body.first, body.count, body.page_bytes)
        return views

    def _identity(self, group: GroupId) -> Identity:
        runner = self._runner_by_group[group]
        formed = runner.formed or bool(runner.leader_hint)
        return Identity(group, runner.peer, formed, runner.leader_address)

    def _status(self) -> LedgerStatus:
        return LedgerStatus(
            self._process.name,
            [_group_status(group, runner) for group, runner in self._runner_by_group.items()],
        )

    async def _maintain_membership(self, runner: ReplicaRunner) -> None:
        """Forms or joins the group, and rejoins it if the replica loses contact with its leader."""
        while True:
            membership = consensus.membership(runner.core)
            is_member = runner.peer in (*membership.voters, *membership.learners)
            leaderless = self._clock() - runner.core.leader_contact_at > LEADERLESS_SECONDS
            if is_member and (not leaderless or runner.core.role is Role.LEADER):
                runner.leader_hint = ""
                # Only a process that stands by saves the addresses.
                runner.disk.drop_refused(Step.PEERS)
                if runner.group == CONTROL_GROUP:
                    self.control.set_addresses(runner.addresses)
            elif runner.disk.refuses_log:
                # It hears of no leader meanwhile, and could not store the log of a group either.
                pass
            elif not (runner.leader_hint and await self._ask_to_join(runner, runner.leader_hint)):
                await self._join_or_bootstrap(runner)
            if runner.leader_hint:
                await asyncio.sleep(STANDBY_CHECK_SECONDS * self._random.uniform(0.7, 1.3))
            else:
                await asyncio.sleep(MEMBERSHIP_CHECK_SECONDS)

    async def _join_or_bootstrap(self, runner: ReplicaRunner) -> None:
        addresses = {str(address) for address in self._settings.initial.values()}
        addresses |= self.known_seeds | self._peers
        membership = consensus.membership(runner.core)
        addresses |= {peer.address for peer in (*membership.voters, *membership.learners)}
        addresses.discard(settings.advertised_address(self._settings))
        replies = await asyncio.gather(
            *(self._ask_identity(runner.group, address) for address in sorted(addresses))
        )
        identities = [identity for identity in replies if identity is not None]
        for identity in identities:
            self._replica_links.record_address(identity.peer.id, identity.peer.address)
        formed = [identity for identity in identities if identity.formed]
        if formed:
            leaders = {identity.leader for identity in formed if identity.leader}
            await asyncio.gather(*(self._ask_to_join(runner, leader) for leader in sorted(leaders)))
        elif not runner.formed and self._settings.bootstrap == "yes":
            self._bootstrap_if_first(runner, identities)

    def _bootstrap_if_first(self, runner: ReplicaRunner, identities: list[Identity]) -> None:
        """Forms the group if all initial replicas have answered and this one's name sorts first.

        To be called only if none of the replicas that answered is in a group.
        """
        if self.seeds:
            self._bootstrap_if_first_seed(runner, identities)
            return
        initial = self._settings.initial
        peers = {identity.peer.name: identity.peer for identity in identities}
        peers[self._process.name] = runner.peer
        if set(initial) <= set(peers) and self._process.name == min(initial):
            runner.bootstrap(tuple(peers[name] for name in sorted(initial)))

    def _bootstrap_if_first_seed(self, runner: ReplicaRunner, identities: list[Identity]) -> None:
        """Forms the group if all seeds have answered and this one's address sorts first."""
        peers = {identity.peer.address: identity.peer for identity in identities}
        peers[runner.peer.address] = runner.peer
        if self.seeds <= set(peers) and runner.peer.address == min(self.seeds):
            runner.bootstrap(tuple(peers[address] for address in sorted(self.seeds)))

    async def _ask_identity(self, group: GroupId, address: str) -> Identity | None:
        with contextlib.suppress(VerbenaError):
            answer = await self._process.links.to(address).call(
                AskIdentity(group), CALL_TIMEOUT_SECONDS
            )
            if isinstance(answer, Identity):
                return answer
        return None

    async def _ask_to_join(self, runner: ReplicaRunner, leader: str) -> bool:
        """Asks a leader to be taken in; returns whether it answered that nobody is needed now."""
        try:
            answer = await self._process.links.to(leader).call(
                JoinGroup(runner.group, runner.peer), CALL_TIMEOUT_SECONDS
            )
        except VerbenaError:
            runner.leader_hint = ""
            return False
        if not isinstance(answer, StandBy):
            runner.leader_hint = ""
            return False
        if not runner.leader_hint:
            logs.info(Event.STANDING_BY, group=runner.group, leader=leader)
        runner.leader_hint = leader
        if runner.group == CONTROL_GROUP:
            self.control.set_addresses(answer.ledgers)
            if self._peers != set(answer.ledgers):
                await self._save_peers(runner, answer.ledgers)
            else:
                runner.disk.drop_refused(Step.PEERS)
        return True

    async def _save_peers(self, runner: ReplicaRunner, addresses: list[str]) -> None:
        """Saves the addresses of the group; a full disk is tried again at the next answer."""
        try:
            await asyncio.to_thread(storage.save_peers, runner.path, addresses)
        except DiskFullError as error:
            runner.disk.record_refused(Step.PEERS, error)
        else:
            self._peers = set(addresses)
            runner.disk.record_written(Step.PEERS)

    async def _sweep(self, group: GroupId, runner: ReplicaRunner) -> None:
        """Ends expired sessions, records and members while this replica leads."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            if not runner.serving:
                continue
            now = self._clock()
            sessions = self._current_sessions(group)
            with contextlib.suppress(VerbenaError):
                for holder in sessions.expired_holders(machine.all_holders(runner.state), now):
                    logs.info(Event.MEMBER_LOST, group=group, holder=holder)
                    await runner.propose(machine.ExpireHolder(holder))
                if machine.has_expired(runner.state, runner.ledger_time):
                    await runner.propose(machine.Advance())
            if group == CONTROL_GROUP:
                for member in members.drop_lost(self._members, now):
                    logs.info(Event.MEMBER_LOST, group=group, member=member.name)

    async def _hand_over(self) -> None:
        """Hands over all leaderships and waits until new leaders are known."""
        led_runners = [r for r in self._runner_by_group.values() if r.core.role is Role.LEADER]
        for runner in led_runners:
            runner.hand_over()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANDOVER_TIMEOUT_SECONDS):
                await asyncio.gather(*(runner.leader_known.wait() for runner in led_runners))


def _data_folder(process_settings: argparse.Namespace, group: GroupId) -> Path:
    path: Path = process_settings.data / f"group-{group}"
    return path


def _set_disk_gauges(running: Process, group: GroupId, disk: FullDisk) -> None:
    running.metrics.set_gauge(f"group_{group}.disk_full_seconds", disk.seconds)
    running.metrics.set_gauge(f"group_{group}.writes_refused", lambda: disk.refused_count)


def _size_of(runner: ReplicaRunner, name: str) -> float:
    return runner.sizes()[name]


def _group_status(group: GroupId, runner: ReplicaRunner) -> GroupStatus:
    membership = consensus.membership(runner.core)
    return GroupStatus(
        group,
        runner.peer.id,
        "leader" if runner.serving else runner.core.role.value,
        runner.core.hard.term,
        runner.core.commit,
        consensus.last_index(runner.core),
        [peer.name for peer in membership.voters],
        [peer.name for peer in membership.learners],
        runner.state.requests.late + runner.state.jobs.late,
    )


def _jobs_of(state: machine.GroupState, workspace: str) -> list[jobs.JobView]:
    return [
        jobs.job_view(job)
        for job in state.jobs.job_by_id.values()
        if job.announced.workspace == workspace and job.state is not JobState.LOADING
    ]


def _files_of(state: machine.GroupState, workspace: str) -> list[files.FileView]:
    return [
        files.file_view(record)
        for record in state.files.file_by_id.values()
        if record.sealed and record.announced.workspace == workspace
    ]


async def _program(running: Process) -> None:
    opened_by_group = await open_folders(running)
    if not running.stopping.is_set():
        await LedgerProcess(running, None, opened_by_group).run()


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program; returns its exit code."""
    values: argparse.Namespace = settings.read_or_exit(
        PROGRAM, "Runs one replica of one or more groups.", SETTINGS, arguments
    )
    if not (values.initial or values.seeds):
        print(f"{PROGRAM}: --initial or --seeds is required", file=sys.stderr)
        return settings.EXIT_BAD_SETTINGS
    return process.run(values, _program)


if __name__ == "__main__":
    sys.exit(main())
