"""Data folders, replicas and ledger processes on disks that refuse writes for some time."""

import asyncio
import errno
import os
import shutil

import pytest

from tests.group import entry
from tests.platforms import own_address
from tests.test_replica import new_runner
from tests.test_view import ledger_settings
from verbenashore import consensus, control, fulldisk, ledger, machine, storage
from verbenashore.exceptions import DiskFullError, NotLeaderError, StorageError, UnavailableError
from verbenashore.messages import StandBy
from verbenashore.process import Process
from verbenashore.replica import SnapshotWritten
from verbenashore.replication import (
    AppendReply,
    Base,
    HandoverRequest,
    HardState,
    Snapshot,
    Timing,
    VoteReply,
)

TIMING = Timing()


class Disks:
    """Refuses operations in some folders; half of a refused write is written.

    :param full: the folders on full disks.
    :param first: how many operations there succeed nevertheless.
    """

    def __init__(self, monkeypatch, number=errno.ENOSPC):
        self.full = set()
        self.first = 0
        self.number = number
        for name in ("fsync", "fdatasync", "ftruncate", "rename", "write"):
            monkeypatch.setattr(os, name, self.checked(getattr(os, name)))

    def checked(self, operation):
        def call(file, *arguments):
            path = os.readlink(f"/proc/self/fd/{file}") if isinstance(file, int) else str(file)
            if any(f"{path}/".startswith(f"{folder}/") for folder in self.full):
                self.first -= 1
                if self.first < 0:
                    if operation.__name__ == "write":
                        operation(file, arguments[0][: len(arguments[0]) // 2])
                    raise OSError(self.number, os.strerror(self.number))
            return operation(file, *arguments)

        return call


class Group:
    """Three replicas that pass their packets to each other; ``sent`` are those of each one."""

    def __init__(self, path):
        clock = asyncio.get_running_loop().time
        self.sent = {name: [] for name in "abc"}
        self.runners = {n: new_runner(path / n, clock, n, self.sender(n), 3) for n in "abc"}
        self.runners["a"].bootstrap(tuple(runner.peer for runner in self.runners.values()))
        self.tasks = {n: asyncio.create_task(runner.run()) for n, runner in self.runners.items()}

    def sender(self, name):
        def send(_peer, packet):
            self.sent[name].append(packet.message)
            for other in self.runners.values():
                if other.peer.id == packet.to:
                    other.enqueue(packet)

        return send

    def leader(self):
        return next((name for name, runner in self.runners.items() if runner.serving), "")

    async def commit(self, text, leader=""):
        async with asyncio.timeout(2):
            runner = self.runners[leader or self.leader()]
            await runner.propose(control.RetireReplicas(text, [text]))

    def has(self, name, *texts):
        return set(texts) <= set(self.runners[name].state.control.retired_by_name)

    async def stop(self):
        for task in self.tasks.values():
            task.cancel()
        return await asyncio.gather(*self.tasks.values(), return_exceptions=True)


async def wait(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - no event reports this
            await asyncio.sleep(0.005)


def test_another_replica_leads_while_the_leaders_disk_is_full(tmp_path, monkeypatch):
    """Guards against a replica that ends, keeps its leadership or loses entries on a full disk."""
    disks = Disks(monkeypatch)

    async def scenario():
        group = Group(tmp_path)
        await wait(group.leader)
        first = group.leader()
        runner = group.runners[first]
        await group.commit("before")
        base = consensus.base_at(runner.core, runner.core.delivered)
        snapshot = Snapshot(base, machine.snapshot(runner.state))
        storage.write_snapshot(runner._folder, snapshot)
        disks.full.add(tmp_path / first)
        with pytest.raises(UnavailableError, match="leadership was lost"):
            await group.commit("refused", first)
        await wait(lambda: group.leader() not in ("", first), 2 * TIMING.election_max)
        with pytest.raises(NotLeaderError):
            await group.commit("refused", first)
        assert any(isinstance(message, HandoverRequest) for message in group.sent[first])
        await group.commit("during")
        runner._inbox.put_nowait(SnapshotWritten(snapshot))
        await wait(lambda: runner.core.snapshot == snapshot)  # Its segments don't stay on the disk.
        assert runner.disk.seconds() and not group.has(first, "during")
        disks.full.clear()
        await wait(lambda: group.has(first, "before", "during"))
        assert not runner.disk.seconds()
        await group.commit("after")
        await wait(lambda: group.has(first, "after"))
        await group.stop()
        return runner.core.entries, storage.open_folder(tmp_path / first)[1].entries

    in_memory, on_disk = asyncio.run(scenario())
    assert in_memory == on_disk


@pytest.mark.parametrize("has_entry", [True, False])
def test_a_follower_on_a_full_disk_neither_acknowledges_nor_votes(tmp_path, monkeypatch, has_entry):
    """Guards against entries and votes that count although they are stored nowhere.

    The first write that is refused is that of an entry, or else that of a vote.
    """
    disks = Disks(monkeypatch)

    async def scenario():
        group = Group(tmp_path)
        await wait(group.leader)
        leader = group.leader()
        full = next(name for name in "abc" if name != leader)
        await group.commit("before")
        await wait(lambda: group.has(full, "before"))
        disks.full.add(tmp_path / full)
        stored, count = group.runners[full].core.persisted, len(group.sent[full])
        if has_entry:
            await group.commit("during")
            await wait(lambda: group.runners[full].disk.refuses_log)
        group.tasks[leader].cancel()
        await asyncio.sleep(2 * TIMING.election_max)
        assert group.runners[full].disk.refuses_log and group.has(full, "before")
        assert not group.leader(), "elected by a vote that is stored nowhere"
        for message in group.sent[full][count:]:
            assert not (isinstance(message, AppendReply) and message.match > stored)
            if isinstance(message, VoteReply) and message.granted:
                assert message.pre_vote
        disks.full.clear()
        await wait(lambda: group.leader() and (group.has(full, "during") or not has_entry))
        await group.stop()

    asyncio.run(scenario())


def test_other_errors_of_the_disk_end_the_replica(tmp_path, monkeypatch):
    disks = Disks(monkeypatch, errno.EIO)

    async def scenario():
        group = Group(tmp_path)
        await wait(group.leader)
        leader = group.leader()
        disks.full.add(tmp_path / leader)
        with pytest.raises(TimeoutError):
            await group.commit("refused")
        return (await group.stop())["abc".index(leader)]

    error = asyncio.run(scenario())
    assert isinstance(error, StorageError) and not isinstance(error, DiskFullError)


@pytest.mark.parametrize("first", range(10))
def test_what_was_written_is_read_after_refused_operations(tmp_path, monkeypatch, first):
    """Guards against a torn record, a partial segment or a leftover file that hides what follows.

    The disk has space at the fourth attempt; a copy of the folder after each earlier one stands for
    a crash.
    """
    monkeypatch.setattr(storage, "SEGMENT_BYTES", 150)
    disks = Disks(monkeypatch)
    path = tmp_path / "disk" / "folder"

    def read():
        """Returns the term, the snapshot's index and the last index that a restart would find."""
        copy = shutil.copytree(path, tmp_path / "copy")
        opened, recovered = storage.open_folder(copy)
        storage.close(opened)
        shutil.rmtree(copy)
        base = recovered.snapshot.base.index
        return recovered.hard_state.term, base, base + len(recovered.entries)

    def repeat(operation, *arguments, acknowledged=0):
        for _ in range(3):
            disks.full, disks.first = {path.parent}, first
            try:
                return operation(*arguments)
            except DiskFullError:
                disks.full = set()
                assert not list(path.glob("*.new"))
                # A folder whose parent could not be synced must be created again.
                assert first or operation is not storage.open_folder or not path.exists()
                if (path / "identity").exists():
                    term, _, last = read()
                    assert min(term, last) >= acknowledged
        return operation(*arguments)

    folder, _ = repeat(storage.open_folder, path)
    for index in range(1, 9):
        arguments = HardState(index, "x"), [entry(index, 1)]
        repeat(storage.write, folder, *arguments, acknowledged=index - 1)
    disks.full = set()
    assert read() == (8, 0, 8)
    repeat(storage.write_snapshot, folder, Snapshot(Base(6, 1), b"state"), acknowledged=8)
    repeat(storage.remove_covered_segments, folder, 6, acknowledged=8)
    newer = Snapshot(Base(20, 2), b"state")
    arguments = HardState(20, "y"), newer, [entry(21, 2)]
    repeat(storage.reset_log, folder, *arguments, acknowledged=8)
    disks.full = set()
    assert read() == (20, 20, 21)


def test_an_installed_snapshot_is_written_once(tmp_path, monkeypatch):
    """Guards against an installation that needs space for its snapshot again at each attempt."""
    disks = Disks(monkeypatch)
    folder, _ = storage.open_folder(tmp_path)
    storage.write(folder, HardState(1, "x"), [entry(1, 1)])
    arguments = folder, HardState(2, "y"), Snapshot(Base(20, 2), b"state"), [entry(21, 2)]
    # The write and sync of the snapshot, its rename and the sync of the folder succeed.
    disks.full, disks.first = {tmp_path}, 4
    with pytest.raises(DiskFullError, match="No space"):
        storage.reset_log(*arguments)
    assert list(tmp_path.glob("snapshot-*")) and (tmp_path / "log-0000000001").exists()
    # The folder is synced again before anything else, as its first sync may have failed.
    disks.first = 0
    with pytest.raises(DiskFullError) as refused:
        storage.reset_log(*arguments)
    assert refused.value.step == "snapshot"
    disks.full = set()
    monkeypatch.setattr(storage, "_free_bytes", lambda _path: 4096)
    storage.reset_log(*arguments)
    assert not (tmp_path / "log-0000000001").exists()
    storage.close(folder)
    _, recovered = storage.open_folder(tmp_path)
    assert recovered.snapshot.data == b"state"
    assert [e.index for e in recovered.entries] == [21]


def test_a_ledger_process_waits_for_space_at_its_start_and_when_it_stands_by(tmp_path, monkeypatch):
    """Guards against a process that ends, and is started again and again, on a full disk."""
    monkeypatch.setattr(fulldisk, "LONG_RETRY_SECONDS", 0.1)
    disks = Disks(monkeypatch)

    async def scenario():
        address = own_address()
        running = Process(ledger_settings(tmp_path, address, address))
        disks.full.add(tmp_path)
        for stops in (True, False):
            opening = asyncio.create_task(ledger.open_folders(running))
            await asyncio.sleep(0.3)
            assert running.metrics.gauges()["group_0.disk_full_seconds"] and not opening.done()
            if stops:
                running.stopping.set()
                assert await opening == {}
                running.stopping.clear()
        disks.full.clear()
        opened_by_group = await opening
        process = ledger.LedgerProcess(running, None, opened_by_group)
        runner = process._runner_by_group[0]
        for disks.full in ({tmp_path}, set()):
            await process._save_peers(runner, ["1.2.3.4:5"])
            assert bool(runner.disk.seconds()) is bool(disks.full)
            assert process._peers == set(storage.read_peers(runner.path))
        assert process._peers
        await running.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("joins", [True, False])
def test_addresses_that_need_not_be_saved_any_more_are_not_refused(tmp_path, monkeypatch, joins):
    """Guards against a disk that counts as full for good, since nothing is written to it again.

    The process joins the group, or else the leader names the addresses that are saved already.
    """
    disks = Disks(monkeypatch)

    class Link:
        async def call(self, _message, _timeout):
            return StandBy([])

    async def scenario():
        address = own_address()
        running = Process(ledger_settings(tmp_path, address, address))
        process = ledger.LedgerProcess(running)
        runner = process._runner_by_group[0]
        disks.full.add(tmp_path)
        await process._save_peers(runner, ["1.2.3.4:5"])
        disks.full.clear()
        assert runner.disk.seconds()
        if joins:
            runner.bootstrap((runner.peer,))
            maintaining = asyncio.create_task(process._maintain_membership(runner))
            await asyncio.sleep(0.05)
            maintaining.cancel()
        else:
            monkeypatch.setattr(running.links, "to", lambda _address: Link())
            assert await process._ask_to_join(runner, "1.2.3.4:5")
        assert not runner.disk.seconds()
        await running.close()

    asyncio.run(scenario())


def test_a_refused_snapshot_is_repeated_and_does_not_hold_up_the_log(tmp_path, monkeypatch):
    """Guards against a log that grows for good since a snapshot was refused once."""
    monkeypatch.setattr(fulldisk, "LONG_RETRY_SECONDS", 0.1)
    monkeypatch.setattr(storage, "SNAPSHOT_SPARE_BYTES", 1 << 60)

    async def scenario():
        group = Group(tmp_path)
        await wait(group.leader)
        leader = group.runners[group.leader()]
        leader._snapshot_bytes = 1
        await group.commit("first")
        await wait(lambda: leader.disk.refused_count > 1)
        await group.commit("second")
        assert leader.serving and not leader.core.snapshot.data
        assert not list(tmp_path.glob("*/snapshot-*")), "it took what the log needs"
        monkeypatch.setattr(storage, "SNAPSHOT_SPARE_BYTES", 0)
        await wait(lambda: leader.core.snapshot.data and not leader.disk.seconds())
        await group.stop()

    asyncio.run(scenario())
