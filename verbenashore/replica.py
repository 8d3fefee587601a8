"""Runs one replica of a group: its inbox, its disk and its state machine."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from verbenashore import consensus, control, logs, machine, misc, repair, replication, storage
from verbenashore.consensus import Role
from verbenashore.exceptions import NotLeaderError, UnavailableError
from verbenashore.logs import Event
from verbenashore.machine import Command, Result
from verbenashore.replication import EntryKind, LogEntry, Packet, Peer, Snapshot
from verbenashore.types import Clock, GroupId, LogIndex, MemberName, Term

TICK_SECONDS = 0.02
#: Seconds between two tries of a retired leader to give its leadership away.
HAND_OVER_SECONDS = 2.0


class Proposal(msgspec.Struct):
    """A command that waits for its commit."""

    command: Command
    answer: asyncio.Future[Result]


class Pending(msgspec.Struct):
    """A proposal that is in the log."""

    term: int
    answer: asyncio.Future[Result]


class SnapshotDone(msgspec.Struct):
    """A snapshot that has been written."""

    snapshot: Snapshot


class JoinWish(msgspec.Struct):
    """A replica that wants to be a learner."""

    peer: Peer


Input = Packet | Proposal | SnapshotDone | JoinWish


class ReplicaRunner:
    """Owns one replica; everything reaches it through its inbox.

    :param send: sends a packet to a peer.
    :param size: how many voters the group should have.
    :param snapshot_bytes: bytes of log after which a snapshot is taken.
    :param trace: file to which committed commands are added; none if empty.
    """

    def __init__(
        self,
        group: GroupId,
        own: tuple[MemberName, str],
        path: Path,
        timing: replication.Timing,
        clock: Clock,
        send: Callable[[Peer, Packet], None],
        size: int,
        snapshot_bytes: int,
        trace: str,
    ) -> None:
        self.group = group
        self.size = size
        self._snapshot_bytes = snapshot_bytes
        self._clock = clock
        self._send = send
        self._trace = Path(f"{trace}.{group}") if trace else None
        self.leader_known = asyncio.Event()
        self._advanced = asyncio.Event()
        self._folder, recovered = storage.open_folder(path)
        if recovered.truncated_bytes:
            logs.warning(Event.TAIL_CUT, group=group, bytes=recovered.truncated_bytes)
        #: The last entry that the state holds.
        self.applied = recovered.snapshot.base.index
        self.state = machine.restore(recovered.snapshot.data, group)
        self.peer = Peer(self._folder.replica_id, own[0], own[1])
        self.core = consensus.new_replica(
            self.peer.id,
            timing,
            misc.quick_hash(f"{self.peer.id}/{time.time_ns()}"),
            recovered.hard_state,
            recovered.snapshot,
            recovered.entries,
            clock(),
            own[0],
        )
        self._inbox: asyncio.Queue[Input] = asyncio.Queue()
        self._pending_by_index: dict[LogIndex, Pending] = {}
        self._log_bytes = 0
        self._snapshotting = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._time_term = Term(-1)
        self._time_base = 0.0
        self._clock_base = 0.0
        self._was_serving = False
        self._was_leader = False
        self._handed_over_at = float("-inf")
        #: Called after committed commands were applied, and when leadership changes.
        self.on_progress: list[Callable[[], None]] = []

    @property
    def formed(self) -> bool:
        """True if the replica knows a membership."""
        return bool(consensus.membership(self.core).voters)

    @property
    def serving(self) -> bool:
        """True if this replica leads and may answer at this moment."""
        return consensus.may_serve(self.core, self._clock())

    @property
    def addresses(self) -> list[str]:
        """The addresses of all replicas of the group."""
        known = consensus.membership(self.core)
        return sorted({peer.address for peer in (*known.voters, *known.learners)})

    @property
    def leader_address(self) -> str:
        """The address of the leader, if it is known."""
        known = consensus.membership(self.core)
        peers = (*known.voters, *known.learners)
        return next((peer.address for peer in peers if peer.id == self.core.leader), "")

    @property
    def ledger_time(self) -> float:
        """The time that the next command would be stamped with, if this replica leads.

        It goes on from the time of the state from the first use in each term on: a command may
        come before anything else has noticed that this replica leads.
        """
        if self._time_term != self.core.hard.term:
            self._time_term = self.core.hard.term
            self._time_base = self.state.time
            self._clock_base = self._clock()
        return self._time_base + self._clock() - self._clock_base

    def check_serving(self) -> None:
        """Raises an error unless this replica may answer reads at this moment.

        :raises NotLeaderError: its peer is the leader's address, if known.
        """
        if not self.serving:
            hint = self.leader_address if self.core.role is not Role.LEADER else ""
            raise NotLeaderError("this replica does not lead", step="serve", peer=hint)

    async def reach(self, index: LogIndex) -> None:
        """Waits until the state holds all entries up to an index."""
        while self.applied < index:
            advanced = self._advanced
            await advanced.wait()

    def take(self, item: Packet | JoinWish) -> None:
        """Puts a message into the inbox."""
        self._inbox.put_nowait(item)

    async def propose(self, command: Command) -> Result:
        """Commits a command and returns its result.

        :raises NotLeaderError: if this replica doesn't lead; nothing was done.
        :raises UnavailableError: if leadership was lost meanwhile; the command may be committed.
        """
        self.check_serving()
        answer: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(Proposal(command, answer))
        return await answer

    def bootstrap(self, voters: tuple[Peer, ...]) -> None:
        """Forms a new group."""
        logs.info(Event.GROUP_FORMED, group=self.group, voters=[peer.name for peer in voters])
        consensus.bootstrap(self.core, voters, self._clock())

    def hand_over(self) -> None:
        """Gives the leadership away, before a planned stop."""
        consensus.hand_over(self.core, self._clock())
        if not self.leader_address:
            self.leader_known.clear()

    async def run(self) -> None:
        """Runs the replica until it is cancelled or its disk fails.

        :raises StorageError: if the disk refuses a write; the replica must not go on.
        """
        try:
            while True:
                batch = await self._next_batch()
                self._feed(batch)
                consensus.tick(self.core, self._clock())
                self._tend()
                await self._carry_out()
        finally:
            await misc.cancel_and_wait(*self._tasks)
            storage.close(self._folder)

    async def _next_batch(self) -> list[Input]:
        batch: list[Input] = []
        try:
            async with asyncio.timeout(TICK_SECONDS):
                batch.append(await self._inbox.get())
        except TimeoutError:
            return batch
        while not self._inbox.empty():
            batch.append(self._inbox.get_nowait())
        return batch

    def _feed(self, batch: list[Input]) -> None:
        now = self._clock()
        proposals = []
        for item in batch:
            if isinstance(item, Packet):
                consensus.receive(self.core, item, now)
            elif isinstance(item, Proposal):
                proposals.append(item)
            elif isinstance(item, SnapshotDone):
                self._finish_snapshot(item.snapshot)
            else:
                self._admit(item.peer, now)
        if proposals:
            self._propose_all(proposals, now)

    def _propose_all(self, proposals: list[Proposal], now: float) -> None:
        if not consensus.may_serve(self.core, now):
            error = NotLeaderError("leadership was lost", step="propose", peer=self.leader_address)
            for proposal in proposals:
                _fail(proposal.answer, error)
            return
        stamp = self.ledger_time
        commands = [machine.encode(proposal.command, stamp) for proposal in proposals]
        indexes = consensus.propose(self.core, commands, now)
        for index, proposal in zip(indexes, proposals, strict=True):
            self._pending_by_index[index] = Pending(self.core.hard.term, proposal.answer)

    def _admit(self, peer: Peer, now: float) -> None:
        """Takes a replica in as a learner, or notes its new address."""
        if peer.id in control.retired_replicas(self.state.control):
            return
        known = consensus.membership(self.core)
        found = next((p for p in (*known.voters, *known.learners) if p.id == peer.id), None)
        if found == peer:
            return
        if found is None:
            changed = repair.with_learner(known, peer)
        else:
            changed = replication.Membership(
                tuple(peer if voter.id == peer.id else voter for voter in known.voters),
                tuple(peer if other.id == peer.id else other for other in known.learners),
            )
        if consensus.change_membership(self.core, changed, now):
            logs.info(Event.REPLICA_JOINED, group=self.group, peer=peer.name, replica=peer.id)

    def _tend(self) -> None:
        """Notices changes of leadership, and repairs the membership."""
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
            self._tell()
        self._was_serving = serving
        self._was_leader = leading
        self._repair()

    def _tell(self) -> None:
        for tell in self.on_progress:
            tell()

    def _repair(self) -> None:
        """Starts the next change of the membership, if one is due."""
        retired = control.retired_replicas(self.state.control)
        now = self._clock()
        many = len(consensus.membership(self.core).voters) > self.size
        if self.peer.id in retired and many and now > self._handed_over_at + HAND_OVER_SECONDS:
            self._handed_over_at = now
            consensus.hand_over(self.core, now)
        change = repair.next_change(self.core, self.size, self._clock(), retired)
        if change is not None:
            names = [peer.name for peer in change.voters]
            logs.info(Event.REPLICA_REMOVED, group=self.group, voters=names)
            consensus.change_membership(self.core, change, self._clock())

    def _fail_pending(self) -> None:
        error = UnavailableError("leadership was lost before the commit", step="commit")
        for pending in self._pending_by_index.values():
            _fail(pending.answer, error)
        self._pending_by_index.clear()

    async def _carry_out(self) -> None:
        """Does what the core wants done, until it wants nothing more."""
        while True:
            output = consensus.take_output(self.core)
            if output.install is not None:
                await self._install(output.install)
            elif output.hard_state is not None or output.entries:
                await asyncio.to_thread(
                    storage.write, self._folder, output.hard_state, output.entries
                )
                self._log_bytes += sum(len(entry.data) for entry in output.entries)
            if output.entries:
                index = output.entries[-1].index
                consensus.synced(self.core, index, self._clock())
            for packet in output.packets:
                self._post(packet)
            self._apply(output.committed)
            if not (output.entries or output.committed or output.install):
                break
        self._snapshot_if_due()

    def _post(self, packet: Packet) -> None:
        known = consensus.membership(self.core)
        peers = (*known.voters, *known.learners)
        peer = next((peer for peer in peers if peer.id == packet.to), None)
        self._send(peer or Peer(packet.to, MemberName(""), ""), packet)

    def _apply(self, entries: list[LogEntry]) -> None:
        self._apply_each(entries)
        if entries:
            self._note_applied(entries[-1].index)
            self._tell()

    def _note_applied(self, index: LogIndex) -> None:
        self.applied = index
        self._advanced.set()
        self._advanced = asyncio.Event()

    def _apply_each(self, entries: list[LogEntry]) -> None:
        for entry in entries:
            result = None
            if entry.kind is EntryKind.COMMAND:
                result = machine.apply(self.state, entry.index, entry.data)
                self._record(entry)
            pending = self._pending_by_index.pop(entry.index, None)
            if pending is None or pending.answer.done():
                continue
            if pending.term == entry.term:
                pending.answer.set_result(result)
            else:
                _fail(pending.answer, UnavailableError("the entry was replaced", step="commit"))

    def _record(self, entry: LogEntry) -> None:
        if self._trace is not None:
            with self._trace.open("ab") as stream:
                stream.write(msgspec.json.encode(entry) + b"\n")

    async def _install(self, snapshot: Snapshot) -> None:
        self._folder.hard_state = self.core.hard
        await asyncio.to_thread(storage.reset_log, self._folder, snapshot, list(self.core.entries))
        self.state = machine.restore(snapshot.data, self.group)
        self._note_applied(snapshot.base.index)
        logs.info(Event.SNAPSHOT_INSTALLED, group=self.group, index=snapshot.base.index)

    def _snapshot_if_due(self) -> None:
        limit = max(self._snapshot_bytes, len(self.core.snapshot.data))
        if self._snapshotting or self._log_bytes < limit or not self.state.applied:
            return
        self._snapshotting = True
        self._log_bytes = 0
        base = consensus.base_at(self.core, self.core.handed_out)
        taken = Snapshot(base, machine.snapshot(self.state))
        misc.spawn(self._write_snapshot(taken), self._tasks)

    async def _write_snapshot(self, taken: Snapshot) -> None:
        await asyncio.to_thread(storage.write_snapshot, self._folder, taken)
        self._inbox.put_nowait(SnapshotDone(taken))

    def _finish_snapshot(self, taken: Snapshot) -> None:
        self._snapshotting = False
        if taken.base.index <= self.core.snapshot.base.index:
            return
        consensus.compact(self.core, taken.base.index, taken.data, self._clock())
        storage.remove_covered_segments(self._folder, taken.base.index)
        logs.info(Event.SNAPSHOT_WRITTEN, group=self.group, index=taken.base.index)


def _fail(answer: asyncio.Future[Result], error: Exception) -> None:
    if not answer.done():
        answer.set_exception(error)
