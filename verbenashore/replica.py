"""Runs one replica of a group: its inbox, data folder and state machine."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from verbenashore import consensus, control, logs, machine, misc, repair, replication, storage
from verbenashore.consensus import Role
from verbenashore.exceptions import DiskFullError, NotLeaderError, UnavailableError
from verbenashore.fulldisk import FullDisk, OpenedFolder, Step
from verbenashore.logs import Event
from verbenashore.machine import Command, Result
from verbenashore.replication import EntryKind, LogEntry, Packet, Peer, Snapshot
from verbenashore.types import Clock, GroupId, LogIndex, MemberName, Term

#: Shortest time in seconds between two ticks without messages, and the longest for a follower.
TICK_SECONDS = 0.02
MAX_TICK_SECONDS = 0.25
#: Seconds between two attempts of a retired leader to hand over its leadership.
HANDOVER_RETRY_SECONDS = 2.0


class Proposal(msgspec.Struct):
    """A command that is to be committed."""

    command: Command
    result: asyncio.Future[Result]


class PendingResult(msgspec.Struct):
    """Receives the result of a proposal that is in the log and not applied yet.

    :param term: the term in which the proposal was appended.
    """

    term: int
    result: asyncio.Future[Result]


class SnapshotWritten(msgspec.Struct):
    """Reports that a snapshot has been written to disk."""

    snapshot: Snapshot


class JoinRequest(msgspec.Struct):
    """Asks the leader to add a replica as a learner."""

    peer: Peer


InboxMessage = Packet | Proposal | SnapshotWritten | JoinRequest


class ReplicaRunner:
    """Runs one replica, which gets packets, proposals and join requests through an inbox.

    :param name_and_address: the name of this process, and the address that peers connect to.
    :param path: the data folder.
    :param send: sends a packet to a peer.
    :param target_voters: how many voters the group should have.
    :param snapshot_bytes: bytes of log after which a snapshot is taken.
    :param trace: committed commands are appended to the file ``TRACE.GROUP``, where TRACE is this
        text; to none if it is empty.
    :param data_centre_of: returns the data centre of the process at an address.
    :param opened: the data folder, if it is open already.
    """

    def __init__(
        self,
        group: GroupId,
        name_and_address: tuple[MemberName, str],
        path: Path,
        timing: replication.Timing,
        clock: Clock,
        send: Callable[[Peer, Packet], None],
        target_voters: int,
        snapshot_bytes: int,
        trace: str,
        data_centre_of: repair.DataCentreOf = lambda _address: "",
        opened: OpenedFolder | None = None,
    ) -> None:
        self.group = group
        self.path = path
        self.target_voters = target_voters
        self._snapshot_bytes = snapshot_bytes
        self._clock = clock
        self._send = send
        self._data_centre_of = data_centre_of
        #: The leader's address as told to this replica while it is not in the group; else "".
        self.leader_hint = ""
        self._trace = Path(f"{trace}.{group}") if trace else None
        self.leader_known = asyncio.Event()
        self._applied_event = asyncio.Event()
        self.disk = FullDisk(group, clock)
        self._folder, recovered = opened or storage.open_folder(path)
        if recovered.truncated_bytes:
            logs.warning(Event.TAIL_CUT, group=group, bytes=recovered.truncated_bytes)
        #: The index of the last entry that is applied to the state.
        self.applied_index = recovered.snapshot.base.index
        self.state = machine.restore(recovered.snapshot.data, group)
        self.peer = Peer(self._folder.replica_id, name_and_address[0], name_and_address[1])
        self.core = consensus.new_replica(
            self.peer.id,
            timing,
            misc.quick_hash(f"{self.peer.id}/{time.time_ns()}"),
            recovered.hard_state,
            recovered.snapshot,
            recovered.entries,
            clock(),
            name_and_address[0],
        )
        logs.info(
            Event.REPLICA_OPENED,
            group=group,
            replica=self.peer.id,
            is_new=self._folder.created,
            term=self.core.hard.term,
            last_index=consensus.last_index(self.core),
            voters=[voter.id for voter in consensus.membership(self.core).voters],
        )
        self._inbox: asyncio.Queue[InboxMessage] = asyncio.Queue()
        self._pending_by_index: dict[LogIndex, PendingResult] = {}
        self._log_bytes = 0
        self._snapshotting = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._time_term = Term(-1)
        self._time_base = 0.0
        self._clock_base = 0.0
        self._was_serving = False
        self._was_leader = False
        self._last_handover_at = float("-inf")
        #: Called after entries were applied, and when this replica starts or stops serving.
        self.on_progress: list[Callable[[], None]] = []

    @property
    def formed(self) -> bool:
        """True if this replica knows the voters of its group."""
        return bool(consensus.membership(self.core).voters)

    @property
    def serving(self) -> bool:
        """True if this replica leads and may answer calls now."""
        return consensus.may_serve(self.core, self._clock())

    @property
    def addresses(self) -> list[str]:
        """The addresses of all replicas of the group."""
        membership = consensus.membership(self.core)
        return sorted({peer.address for peer in (*membership.voters, *membership.learners)})

    @property
    def leader_address(self) -> str:
        """The address of the leader; empty if it is unknown."""
        if self.leader_hint:
            return self.leader_hint
        membership = consensus.membership(self.core)
        peers = (*membership.voters, *membership.learners)
        return next((peer.address for peer in peers if peer.id == self.core.leader), "")

    @property
    def ledger_time(self) -> float:
        """The time that the next command is stamped with, if this replica leads.

        The first read in each term sets the ledger time to that of the state.  The election doesn't
        set it, since a command may arrive before any other code has noticed that this replica
        leads.
        """
        if self._time_term != self.core.hard.term:
            self._time_term = self.core.hard.term
            self._time_base = self.state.time
            self._clock_base = self._clock()
        return self._time_base + self._clock() - self._clock_base

    def sizes(self) -> dict[str, int]:
        """Returns what this replica keeps in memory: bytes, and numbers of messages."""
        return {
            "log_bytes": sum(len(entry.data) for entry in self.core.entries),
            "snapshot_bytes": len(self.core.snapshot.data),
            "inbox": self._inbox.qsize(),
            "proposals": len(self._pending_by_index),
        }

    def check_serving(self) -> None:
        """Raises an error unless this replica may answer calls now.

        :raises NotLeaderError: its peer is the leader's address, if known.
        """
        if not self.serving:
            hint = self.leader_address if self.core.role is not Role.LEADER else ""
            raise NotLeaderError("this replica does not lead", step="serve", peer=hint)

    async def wait_until_applied(self, index: LogIndex) -> None:
        """Waits until all entries up to an index are applied."""
        while self.applied_index < index:
            applied = self._applied_event
            await applied.wait()

    def admits(self, peer: Peer) -> bool:
        """Returns whether the group needs a replica as a learner, or has it already."""
        if peer.id in control.retired_replicas(self.state.control):
            return False
        membership = consensus.membership(self.core)
        is_member = any(p.id == peer.id for p in (*membership.voters, *membership.learners))
        return is_member or repair.is_needed(
            membership, peer, self.target_voters, self._data_centre_of
        )

    def enqueue(self, item: Packet | JoinRequest) -> None:
        """Puts a packet or a join request into the inbox."""
        self._inbox.put_nowait(item)

    async def propose(self, command: Command) -> Result:
        """Commits a command and returns its result.

        :raises NotLeaderError: if this replica doesn't lead or its disk is full; nothing was done.
        :raises UnavailableError: if leadership was lost before the commit; the command may still be
            committed.
        """
        self.check_serving()
        if self.disk.refuses_log:
            raise NotLeaderError("the disk is full", step="propose")
        result: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(Proposal(command, result))
        return await result

    def bootstrap(self, voters: tuple[Peer, ...]) -> None:
        """Forms a new group of some voters."""
        logs.info(Event.GROUP_FORMED, group=self.group, voters=[peer.name for peer in voters])
        consensus.bootstrap(self.core, voters, self._clock())

    def hand_over(self) -> None:
        """Hands over the leadership before a planned stop."""
        consensus.hand_over(self.core, self._clock())
        if not self.leader_address:
            self.leader_known.clear()

    async def run(self) -> None:
        """Runs the replica until it is cancelled or its disk fails.

        :raises StorageError: if a write fails otherwise than on a full disk; the replica must not
            continue.
        """
        try:
            while True:
                batch = await self._next_batch()
                self._process_batch(batch)
                consensus.tick(self.core, self._clock())
                self._update_leadership()
                await self._process_output()
        finally:
            await misc.cancel_and_wait(*self._tasks)
            storage.close(self._folder)

    async def _next_batch(self) -> list[InboxMessage]:
        batch: list[InboxMessage] = []
        now = self._clock()
        until_tick = consensus.next_tick(self.core, now) - now
        try:
            async with asyncio.timeout(min(MAX_TICK_SECONDS, max(TICK_SECONDS, until_tick))):
                batch.append(await self._inbox.get())
        except TimeoutError:
            return batch
        while not self._inbox.empty():
            batch.append(self._inbox.get_nowait())
        return batch

    def _process_batch(self, batch: list[InboxMessage]) -> None:
        now = self._clock()
        proposals = []
        for item in batch:
            if isinstance(item, Packet):
                consensus.receive(self.core, item, now)
            elif isinstance(item, Proposal):
                proposals.append(item)
            elif isinstance(item, SnapshotWritten):
                self._finish_snapshot(item.snapshot)
            else:
                self._add_learner(item.peer, now)
        if proposals:
            self._propose_all(proposals, now)

    def _propose_all(self, proposals: list[Proposal], now: float) -> None:
        if not consensus.may_serve(self.core, now):
            error = NotLeaderError("leadership was lost", step="propose", peer=self.leader_address)
            for proposal in proposals:
                _set_error(proposal.result, error)
            return
        stamp = self.ledger_time
        commands = [machine.encode(proposal.command, stamp) for proposal in proposals]
        indexes = consensus.propose(self.core, commands, now)
        for index, proposal in zip(indexes, proposals, strict=True):
            self._pending_by_index[index] = PendingResult(self.core.hard.term, proposal.result)

    def _add_learner(self, peer: Peer, now: float) -> None:
        """Adds a replica as a learner, or updates its name and address."""
        if not self.admits(peer):
            return
        membership = consensus.membership(self.core)
        current = next(
            (p for p in (*membership.voters, *membership.learners) if p.id == peer.id), None
        )
        if current == peer:
            return
        if current is None:
            new_membership = repair.with_learner(membership, peer)
        else:
            new_membership = replication.Membership(
                tuple(peer if voter.id == peer.id else voter for voter in membership.voters),
                tuple(peer if other.id == peer.id else other for other in membership.learners),
            )
        if consensus.change_membership(self.core, new_membership, now):
            logs.info(Event.REPLICA_JOINED, group=self.group, peer=peer.name, replica=peer.id)

    def _update_leadership(self) -> None:
        """Reports changes of leadership, and repairs the membership."""
        serving = self.serving
        leading = self.core.role is Role.LEADER
        if serving and not self._was_serving:
            logs.info(Event.LEADER_ELECTED, group=self.group, term=self.core.hard.term)
        if self._was_leader and not leading:
            logs.info(Event.LEADER_LOST, group=self.group, term=self.core.hard.term)
            self._fail_pending()
        if self.leader_address:
            self.leader_known.set()
        else:
            self.leader_known.clear()
        if serving != self._was_serving:
            self._notify_progress()
        self._was_serving = serving
        self._was_leader = leading
        self._repair_membership()

    def _notify_progress(self) -> None:
        for callback in self.on_progress:
            callback()

    def _repair_membership(self) -> None:
        """Starts the next membership change, if one is due.

        A retired leader that the group can spare hands over first, since it can't remove itself.
        """
        retired = control.retired_replicas(self.state.control)
        now = self._clock()
        has_extra_voters = len(consensus.membership(self.core).voters) > self.target_voters
        if (
            self.peer.id in retired
            and has_extra_voters
            and now > self._last_handover_at + HANDOVER_RETRY_SECONDS
        ):
            self._last_handover_at = now
            consensus.hand_over(self.core, now)
        change = repair.next_membership(
            self.core, self.target_voters, self._clock(), retired, self._data_centre_of
        )
        if change is not None:
            logs.info(
                Event.REPLICA_REMOVED,
                group=self.group,
                voters=[peer.name for peer in change.voters],
                learners=[peer.name for peer in change.learners],
                reply_ages=self._reply_ages(),
            )
            consensus.change_membership(self.core, change, self._clock())

    def _reply_ages(self) -> dict[MemberName, float]:
        """Returns the seconds since each other member last replied, or since the election."""
        now = self._clock()
        membership = consensus.membership(self.core)
        replied_at_by_name = {
            peer.name: consensus.progress_of(self.core, peer.id).last_reply_at
            for peer in (*membership.voters, *membership.learners)
            if peer.id != self.peer.id
        }
        return {
            name: round(now - max(replied_at, self.core.led_since), 3)
            for name, replied_at in replied_at_by_name.items()
        }

    def _fail_pending(self) -> None:
        error = UnavailableError("leadership was lost before the commit", step="commit")
        for pending in self._pending_by_index.values():
            _set_error(pending.result, error)
        self._pending_by_index.clear()

    async def _process_output(self) -> None:
        """Writes, sends and applies the core's output until it has no more."""
        while True:
            output = consensus.take_output(self.core)
            if output.install is not None:
                await self._install_snapshot(output.install)
            elif output.hard_state is not None or output.entries:
                write = partial(storage.write, self._folder, output.hard_state, output.entries)
                await self.disk.write(Step.LOG, write, self._wait_for_space)
                self._log_bytes += sum(len(entry.data) for entry in output.entries)
            if output.entries:
                index = output.entries[-1].index
                consensus.record_synced(self.core, index, self._clock())
            for packet in output.packets:
                self._send_packet(packet)
            self._apply_committed(output.committed)
            if not (output.entries or output.committed or output.install):
                break
        self._start_snapshot_if_due()

    def _wait_for_space(self, is_first: bool) -> None:
        """Steps aside and drops what has arrived, since a full disk has refused a write.

        The core has processed what could not be written, so it may take part again only once that
        is written; the messages that are dropped here count as lost.
        """
        if is_first:
            # The request to take over is the only packet here: it states nothing that the refused
            # write contains, and this replica no longer serves when it is sent.
            consensus.hand_over(self.core, self._clock())
            packets, self.core.output.packets = self.core.output.packets, []
            for packet in packets:
                self._send_packet(packet)
            self._update_leadership()
        while not self._inbox.empty():
            item = self._inbox.get_nowait()
            if isinstance(item, SnapshotWritten):
                # Removes segments of the log, which may be what fills the disk.
                self._finish_snapshot(item.snapshot)
            elif isinstance(item, Proposal):
                _set_error(item.result, NotLeaderError("the disk is full", step="propose"))

    def _send_packet(self, packet: Packet) -> None:
        membership = consensus.membership(self.core)
        peers = (*membership.voters, *membership.learners)
        peer = next((peer for peer in peers if peer.id == packet.to), None)
        self._send(peer or Peer(packet.to, MemberName(""), ""), packet)

    def _apply_committed(self, entries: list[LogEntry]) -> None:
        self._apply_entries(entries)
        if entries:
            self._set_applied(entries[-1].index)
            self._notify_progress()

    def _set_applied(self, index: LogIndex) -> None:
        self.applied_index = index
        self._applied_event.set()
        self._applied_event = asyncio.Event()

    def _apply_entries(self, entries: list[LogEntry]) -> None:
        for entry in entries:
            result = None
            if entry.kind is EntryKind.COMMAND:
                result = machine.apply(self.state, entry.index, entry.data)
                self._append_trace(entry)
            pending = self._pending_by_index.pop(entry.index, None)
            if pending is None or pending.result.done():
                continue
            if pending.term == entry.term:
                pending.result.set_result(result)
            else:
                _set_error(
                    pending.result,
                    UnavailableError("the entry was replaced by a new leader", step="commit"),
                )

    def _append_trace(self, entry: LogEntry) -> None:
        if self._trace is not None:
            with self._trace.open("ab") as stream:
                stream.write(msgspec.json.encode(entry) + b"\n")

    async def _install_snapshot(self, snapshot: Snapshot) -> None:
        entries = list(self.core.entries)
        write = partial(storage.reset_log, self._folder, self.core.hard, snapshot, entries)
        await self.disk.write(Step.INSTALL, write, self._wait_for_space)
        self.state = machine.restore(snapshot.data, self.group)
        self._set_applied(snapshot.base.index)
        logs.info(Event.SNAPSHOT_INSTALLED, group=self.group, index=snapshot.base.index)

    def _start_snapshot_if_due(self) -> None:
        limit = max(self._snapshot_bytes, len(self.core.snapshot.data))
        if self._snapshotting or self._log_bytes < limit or not self.state.applied:
            return
        self._snapshotting = True
        self._log_bytes = 0
        base = consensus.base_at(self.core, self.core.delivered)
        snapshot = Snapshot(base, machine.snapshot(self.state))
        misc.spawn(self._write_snapshot(snapshot), self._tasks)

    async def _write_snapshot(self, snapshot: Snapshot) -> None:
        await self.disk.write(
            Step.SNAPSHOT, partial(storage.write_snapshot, self._folder, snapshot)
        )
        self._inbox.put_nowait(SnapshotWritten(snapshot))

    def _finish_snapshot(self, snapshot: Snapshot) -> None:
        self._snapshotting = False
        if snapshot.base.index <= self.core.snapshot.base.index:
            return
        consensus.compact(self.core, snapshot.base.index, snapshot.data, self._clock())
        # What a full disk doesn't let be removed now is removed after the next snapshot.
        with contextlib.suppress(DiskFullError):
            storage.remove_covered_segments(self._folder, snapshot.base.index)
        logs.info(Event.SNAPSHOT_WRITTEN, group=self.group, index=snapshot.base.index)


def _set_error(result: asyncio.Future[Result], error: Exception) -> None:
    if not result.done():
        result.set_exception(error)
