"""The data folder: what is synced lasts, torn tails are cut, damage is not papered over."""

import os

import pytest

from tests.group import entry
from verbenashore import storage
from verbenashore.exceptions import StorageError
from verbenashore.replication import Base, HardState
from verbenashore.storage import Snapshot


def reopen(path):
    """Opens a folder as after a crash."""
    folder, loaded = storage.open_folder(path)
    storage.close(folder)
    return folder, loaded


def filled(path, count=5):
    """Writes some entries and returns the newest segment."""
    folder, _ = storage.open_folder(path)
    storage.write(folder, HardState(3, "x"), [entry(n, 3) for n in range(1, count + 1)])
    storage.close(folder)
    return sorted(path.glob("log-*"))[-1]


def test_what_was_written_is_there_after_a_restart(tmp_path):
    filled(tmp_path)
    folder, loaded = reopen(tmp_path)
    assert loaded.hard == HardState(3, "x")
    assert [e.index for e in loaded.entries] == [1, 2, 3, 4, 5]
    assert not folder.fresh


def test_an_emptied_folder_gets_another_id(tmp_path):
    first, _ = reopen(tmp_path / "a")
    second, _ = reopen(tmp_path / "b")
    assert first.replica_id != second.replica_id
    assert reopen(tmp_path / "a")[0].replica_id == first.replica_id


@pytest.mark.parametrize("lost", [1, 7, 30])
def test_a_torn_tail_is_cut(tmp_path, lost):
    segment = filled(tmp_path)
    segment.write_bytes(segment.read_bytes()[:-lost])
    _, loaded = reopen(tmp_path)
    assert [e.index for e in loaded.entries] == list(range(1, len(loaded.entries) + 1))
    assert len(loaded.entries) < 5 and loaded.cut
    _, again = reopen(tmp_path)
    assert again.entries == loaded.entries and not again.cut


def test_damage_before_a_later_write_stops_the_replica(tmp_path):
    folder, _ = storage.open_folder(tmp_path)
    storage.write(folder, HardState(3, "x"), [entry(n, 3) for n in range(1, 6)])
    size = folder.size
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
def test_a_torn_write_of_several_records_is_cut_also_if_a_later_record_is_whole(tmp_path, torn):
    """After a power loss any part of what was not synced may be missing."""
    folder, _ = storage.open_folder(tmp_path)
    storage.write(folder, HardState(3, "x"), [entry(1, 3)])
    start = folder.size
    storage.write(folder, None, [entry(n, 3, b"y" * 50) for n in range(2, 6)])
    record = (folder.size - start) // 4
    storage.close(folder)
    segment = sorted(tmp_path.glob("log-*"))[-1]
    data = bytearray(segment.read_bytes())
    middle = start + torn * record + record // 2
    data[middle : middle + 10] = bytes(10)
    segment.write_bytes(data)
    _, loaded = reopen(tmp_path)
    assert [e.index for e in loaded.entries] == list(range(1, 2 + torn))
    assert reopen(tmp_path)[1].entries == loaded.entries


def test_a_lost_identity_stops_the_replica(tmp_path):
    filled(tmp_path)
    (tmp_path / "identity").unlink()
    with pytest.raises(StorageError):
        storage.open_folder(tmp_path)


def test_a_rewritten_index_cuts_off_what_followed_it(tmp_path):
    folder, _ = storage.open_folder(tmp_path)
    storage.write(folder, None, [entry(n, 1) for n in range(1, 6)])
    storage.write(folder, None, [entry(3, 2, b"new")])
    storage.close(folder)
    _, loaded = reopen(tmp_path)
    assert [(e.index, e.term) for e in loaded.entries] == [(1, 1), (2, 1), (3, 2)]


def test_a_snapshot_stands_for_the_segments_it_covers(tmp_path, monkeypatch):
    monkeypatch.setattr(storage, "SEGMENT_BYTES", 500)
    folder, _ = storage.open_folder(tmp_path)
    for n in range(1, 101):
        storage.write(folder, None, [entry(n, 1, b"x" * 50)])
    before = len(list(tmp_path.glob("log-*")))
    storage.write_snapshot(folder, Snapshot(Base(60, 1), b"state"))
    storage.drop_covered(folder, 60)
    storage.close(folder)
    assert len(list(tmp_path.glob("log-*"))) < before
    _, loaded = reopen(tmp_path)
    assert loaded.snapshot.data == b"state"
    assert [e.index for e in loaded.entries] == list(range(61, 101))


def test_a_crash_between_a_leaders_snapshot_and_the_new_log_keeps_no_stale_entry(tmp_path):
    folder, _ = storage.open_folder(tmp_path)
    storage.write(folder, None, [entry(n, 1) for n in range(1, 11)])
    storage.write_snapshot(folder, Snapshot(Base(7, 2), b"state"))
    storage.close(folder)
    _, loaded = reopen(tmp_path)
    assert loaded.entries == []


def test_a_full_disk_is_an_error(tmp_path, monkeypatch):
    folder, _ = storage.open_folder(tmp_path)

    def refuse(*_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(storage.os, "write", refuse)
    with pytest.raises(StorageError, match="No space"):
        storage.write(folder, None, [entry(1, 1)])


def test_a_new_folder_lasts_in_its_parent_before_anything_is_promised(tmp_path, monkeypatch):
    synced = []
    sync = storage._sync_directory
    monkeypatch.setattr(storage, "_sync_directory", lambda path: (synced.append(path), sync(path)))
    reopen(tmp_path / "data" / "group-0")
    assert {tmp_path, tmp_path / "data", tmp_path / "data" / "group-0"} <= set(synced)


def test_what_a_killed_process_had_written_lasts_once_it_was_read(tmp_path, monkeypatch):
    folder, _ = storage.open_folder(tmp_path)

    def killed(_descriptor):
        raise OSError("killed before the sync")

    with monkeypatch.context() as patched:
        patched.setattr(storage.os, "fdatasync", killed)
        with pytest.raises(StorageError):
            storage.write(folder, None, [entry(1, 3)])
    written = max(tmp_path.glob("log-*")).stat().st_ino
    storage.close(folder)
    synced = []
    fsync = storage.os.fsync
    monkeypatch.setattr(
        storage.os, "fsync", lambda number: (synced.append(os.fstat(number).st_ino), fsync(number))
    )
    _, loaded = storage.open_folder(tmp_path)
    assert [found.index for found in loaded.entries] == [1]
    assert written in synced
