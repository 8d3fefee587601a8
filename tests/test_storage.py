"""The data folder: synced data is durable, torn writes are truncated, damage is an error."""

import os
from pathlib import Path

import pytest

from tests.group import entry
from verbenashore import storage
from verbenashore.exceptions import StorageError
from verbenashore.replication import Base, HardState
from verbenashore.storage import Snapshot


def reopen(path):
    """Opens and closes a folder, as a restart after a crash does."""
    folder, recovered = storage.open_folder(path)
    storage.close(folder)
    return folder, recovered


def write_entries(path, count=5):
    """Writes some entries and returns the newest segment."""
    folder, _ = storage.open_folder(path)
    storage.write(folder, HardState(3, "x"), [entry(n, 3) for n in range(1, count + 1)])
    storage.close(folder)
    return sorted(path.glob("log-*"))[-1]


def test_written_data_is_read_back_after_a_restart(tmp_path):
    write_entries(tmp_path)
    folder, recovered = reopen(tmp_path)
    assert recovered.hard_state == HardState(3, "x")
    assert [e.index for e in recovered.entries] == [1, 2, 3, 4, 5]
    assert not folder.created


def test_each_new_folder_gets_its_own_id_and_keeps_it(tmp_path):
    first, _ = reopen(tmp_path / "a")
    second, _ = reopen(tmp_path / "b")
    assert first.replica_id != second.replica_id
    assert reopen(tmp_path / "a")[0].replica_id == first.replica_id


@pytest.mark.parametrize("lost", [1, 7, 30])
def test_a_torn_last_write_is_truncated(tmp_path, lost):
    segment = write_entries(tmp_path)
    segment.write_bytes(segment.read_bytes()[:-lost])
    _, recovered = reopen(tmp_path)
    assert [e.index for e in recovered.entries] == list(range(1, len(recovered.entries) + 1))
    assert len(recovered.entries) < 5 and recovered.truncated_bytes
    _, again = reopen(tmp_path)
    assert again.entries == recovered.entries and not again.truncated_bytes


def test_damage_before_a_later_write_is_an_error(tmp_path):
    folder, _ = storage.open_folder(tmp_path)
    storage.write(folder, HardState(3, "x"), [entry(n, 3) for n in range(1, 6)])
    size = folder.segment_size
    storage.write(folder, None, [entry(6, 3)])
    storage.close(folder)
    segment = sorted(tmp_path.glob("log-*"))[-1]
    for position in (size // 2, size - 1):
        data = bytearray(segment.read_bytes())
        data[position] ^= 0xFF
        segment.write_bytes(data)
        with pytest.raises(StorageError):
            storage.open_folder(tmp_path)
        data[position] ^= 0xFF
        segment.write_bytes(data)


@pytest.mark.parametrize("torn", [0, 1, 2, 3])
def test_a_torn_write_is_truncated_even_if_its_later_records_are_intact(tmp_path, torn):
    """A power loss may lose any part of what was not synced, not only its end."""
    folder, _ = storage.open_folder(tmp_path)
    storage.write(folder, HardState(3, "x"), [entry(1, 3)])
    start = folder.segment_size
    storage.write(folder, None, [entry(n, 3, b"y" * 50) for n in range(2, 6)])
    record = (folder.segment_size - start) // 4
    storage.close(folder)
    segment = sorted(tmp_path.glob("log-*"))[-1]
    data = bytearray(segment.read_bytes())
    middle = start + torn * record + record // 2
    data[middle : middle + 10] = bytes(10)
    segment.write_bytes(data)
    _, recovered = reopen(tmp_path)
    assert [e.index for e in recovered.entries] == list(range(1, 2 + torn))
    assert reopen(tmp_path)[1].entries == recovered.entries


def test_a_write_torn_after_the_magic_of_its_first_record_is_truncated(tmp_path):
    """The zeros that follow have the length and the checksum of an empty record."""
    segment = write_entries(tmp_path)
    segment.write_bytes(segment.read_bytes() + storage.FIRST_MAGIC + bytes(40))
    _, recovered = reopen(tmp_path)
    assert [e.index for e in recovered.entries] == [1, 2, 3, 4, 5]
    assert recovered.truncated_bytes == 44


def test_a_missing_identity_file_is_an_error(tmp_path):
    write_entries(tmp_path)
    (tmp_path / "identity").unlink()
    with pytest.raises(StorageError):
        storage.open_folder(tmp_path)


def test_a_rewritten_index_removes_the_entries_after_it(tmp_path):
    folder, _ = storage.open_folder(tmp_path)
    storage.write(folder, None, [entry(n, 1) for n in range(1, 6)])
    storage.write(folder, None, [entry(3, 2, b"new")])
    storage.close(folder)
    _, recovered = reopen(tmp_path)
    assert [(e.index, e.term) for e in recovered.entries] == [(1, 1), (2, 1), (3, 2)]


def test_segments_covered_by_a_snapshot_are_removed(tmp_path, monkeypatch):
    monkeypatch.setattr(storage, "SEGMENT_BYTES", 500)
    folder, _ = storage.open_folder(tmp_path)
    for n in range(1, 101):
        storage.write(folder, None, [entry(n, 1, b"x" * 50)])
    before = len(list(tmp_path.glob("log-*")))
    storage.write_snapshot(folder, Snapshot(Base(60, 1), b"state"))
    storage.remove_covered_segments(folder, 60)
    storage.close(folder)
    assert len(list(tmp_path.glob("log-*"))) < before
    _, recovered = reopen(tmp_path)
    assert recovered.snapshot.data == b"state"
    assert [e.index for e in recovered.entries] == list(range(61, 101))


def test_a_crash_before_a_snapshot_replaces_the_log_leaves_no_stale_entry(tmp_path):
    folder, _ = storage.open_folder(tmp_path)
    storage.write(folder, None, [entry(n, 1) for n in range(1, 11)])
    storage.write_snapshot(folder, Snapshot(Base(7, 2), b"state"))
    storage.close(folder)
    _, recovered = reopen(tmp_path)
    assert recovered.entries == []


def test_entries_stored_after_an_interrupted_install_are_not_lost_with_its_stale_log(tmp_path):
    folder, _ = storage.open_folder(tmp_path)
    storage.write(folder, None, [entry(n, 1) for n in range(1, 11)])
    storage.write_snapshot(folder, Snapshot(Base(7, 2), b"state"))
    storage.close(folder)
    folder, _ = storage.open_folder(tmp_path)
    storage.write(folder, HardState(2, "x"), [entry(8, 2), entry(9, 2)])
    storage.close(folder)
    _, recovered = reopen(tmp_path)
    assert [(e.index, e.term) for e in recovered.entries] == [(8, 2), (9, 2)]


def test_a_snapshot_under_way_survives_the_installation_of_a_newer_one(tmp_path, monkeypatch):
    folder, _ = storage.open_folder(tmp_path)
    rename = Path.rename

    def rename_after_installation(path, target):
        monkeypatch.setattr(Path, "rename", rename)
        storage.reset_log(folder, HardState(1, "x"), Snapshot(Base(9, 1), b"newer"), [])
        rename(path, target)

    monkeypatch.setattr(Path, "rename", rename_after_installation)
    storage.write_snapshot(folder, Snapshot(Base(5, 1), b"older"))
    storage.close(folder)
    assert reopen(tmp_path)[1].snapshot.data == b"newer"


def test_a_snapshot_that_a_crash_left_unfinished_is_removed(tmp_path):
    write_entries(tmp_path)
    unfinished = tmp_path / "snapshot-00000000000000000009.new"
    unfinished.write_bytes(b"part")
    reopen(tmp_path)
    assert not unfinished.exists()


def test_a_full_disk_raises_an_error(tmp_path, monkeypatch):
    folder, _ = storage.open_folder(tmp_path)

    def fail_write(*_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(storage.os, "write", fail_write)
    with pytest.raises(StorageError, match="No space"):
        storage.write(folder, None, [entry(1, 1)])


def test_the_parents_of_a_new_folder_are_synced(tmp_path, monkeypatch):
    synced = []
    sync = storage._sync_directory
    monkeypatch.setattr(storage, "_sync_directory", lambda path: (synced.append(path), sync(path)))
    reopen(tmp_path / "data" / "group-0")
    assert {tmp_path, tmp_path / "data", tmp_path / "data" / "group-0"} <= set(synced)


def test_entries_that_a_killed_process_did_not_sync_are_synced_when_read(tmp_path, monkeypatch):
    folder, _ = storage.open_folder(tmp_path)

    def fail_sync(_descriptor):
        raise OSError("killed before the sync")

    with monkeypatch.context() as patched:
        patched.setattr(storage.os, "fdatasync", fail_sync)
        with pytest.raises(StorageError):
            storage.write(folder, None, [entry(1, 3)])
    written = max(tmp_path.glob("log-*")).stat().st_ino
    storage.close(folder)
    synced = []
    fsync = storage.os.fsync
    monkeypatch.setattr(
        storage.os, "fsync", lambda number: (synced.append(os.fstat(number).st_ino), fsync(number))
    )
    _, recovered = storage.open_folder(tmp_path)
    assert [e.index for e in recovered.entries] == [1]
    assert written in synced
