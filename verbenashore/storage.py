"""The data folder of one replica: its id, its log in checksummed segments, its snapshots."""

import os
import struct
from pathlib import Path

import msgspec
from crc32c import crc32c

from verbenashore.exceptions import StorageError
from verbenashore.misc import random_id
from verbenashore.replication import HardState, LogEntry, Snapshot
from verbenashore.types import ReplicaId

#: Marks the first record of a write, and the others; a write is synced before the next one begins.
FIRST = b"\xf1VR1"
NEXT = b"\xf1VR2"
HEADER = struct.Struct("<4sII")
SEGMENT_BYTES = 8 << 20


class EntryRecord(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A log entry on disk."""

    entry: LogEntry


class HardRecord(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A hard state on disk; the newest counts."""

    hard: HardState


Record = EntryRecord | HardRecord
_decoder = msgspec.msgpack.Decoder(Record)


class Loaded(msgspec.Struct):
    """What a data folder held at the start.

    :param cut: how many bytes of a torn tail were cut off.
    """

    hard: HardState
    snapshot: Snapshot
    entries: list[LogEntry]
    cut: int


class Folder(msgspec.Struct):
    """An open data folder; it belongs to one replica.

    :param fresh: true if the folder was made by this start.
    :param last_index_by_segment: the highest entry index that each segment holds.
    """

    path: Path
    replica_id: ReplicaId
    fresh: bool
    number: int = 0
    descriptor: int = -1
    size: int = 0
    hard: HardState = HardState()
    last_index_by_segment: dict[int, int] = msgspec.field(default_factory=dict)


def open_folder(path: Path) -> tuple[Folder, Loaded]:
    """Opens or makes a data folder and reads what it holds.

    :raises StorageError: if data in the middle is damaged, or the disk fails.
    """
    try:
        _make_folders(path)
        folder = _identify(path)
        snapshot = _read_snapshot(path)
        loaded = Loaded(HardState(), snapshot, [], 0)
        _read_segments(folder, loaded)
        _sync_last_segment(path)
        folder.hard = loaded.hard
        _start_segment(folder)
    except OSError as error:
        raise StorageError(str(error), step="open", peer=str(path)) from error
    return folder, loaded


def write(folder: Folder, hard: HardState | None, entries: list[LogEntry]) -> None:
    """Appends records and syncs them; they last once this returns.

    :raises StorageError: if the disk refuses; the replica must stop then.
    """
    records: list[Record] = [EntryRecord(entry) for entry in entries]
    if hard is not None:
        folder.hard = hard
        records.insert(0, HardRecord(hard))
    if not records:
        return
    data = b"".join(
        _frame(msgspec.msgpack.encode(record), NEXT if position else FIRST)
        for position, record in enumerate(records)
    )
    try:
        _write_all(folder.descriptor, data)
        os.fdatasync(folder.descriptor)
        folder.size += len(data)
        if entries:
            known = folder.last_index_by_segment.get(folder.number, 0)
            folder.last_index_by_segment[folder.number] = max(known, entries[-1].index)
        if folder.size > SEGMENT_BYTES:
            os.close(folder.descriptor)
            _start_segment(folder)
    except OSError as error:
        raise StorageError(str(error), step="write", peer=str(folder.path)) from error


def write_snapshot(folder: Folder, snapshot: Snapshot) -> None:
    """Writes a snapshot and removes the older ones; may run beside :func:`write`.

    :raises StorageError: if the disk refuses.
    """
    try:
        data = _frame(msgspec.msgpack.encode(snapshot))
        final = folder.path / f"snapshot-{snapshot.base.index:020d}"
        _write_file(final, data)
        for old in folder.path.glob("snapshot-*"):
            if old.name < final.name:
                old.unlink()
    except OSError as error:
        raise StorageError(str(error), step="snapshot", peer=str(folder.path)) from error


def drop_covered(folder: Folder, index: int) -> None:
    """Removes the closed segments that a written snapshot stands for.

    :param index: the snapshot's last entry.
    :raises StorageError: if the disk refuses.
    """
    try:
        for path in _segments(folder.path):
            number = int(path.name.removeprefix("log-"))
            # Stopping at the first segment that is still needed leaves no gap.
            if number == folder.number or folder.last_index_by_segment.get(number, 0) > index:
                break
            path.unlink()
            folder.last_index_by_segment.pop(number, None)
        _sync_directory(folder.path)
    except OSError as error:
        raise StorageError(str(error), step="drop", peer=str(folder.path)) from error


def reset_log(folder: Folder, snapshot: Snapshot, entries: list[LogEntry]) -> None:
    """Replaces the whole log by a snapshot from the leader and the entries that follow it."""
    write_snapshot(folder, snapshot)
    os.close(folder.descriptor)
    _start_segment(folder)
    write(folder, None, entries)
    closed = [number for number in folder.last_index_by_segment if number < folder.number]
    for number in closed:
        folder.last_index_by_segment[number] = 0
    drop_covered(folder, snapshot.base.index)


def close(folder: Folder) -> None:
    """Closes the folder's files."""
    os.close(folder.descriptor)


def _make_folders(path: Path) -> None:
    """Makes a folder and its parents, each of which lasts in the one above it."""
    if path.is_dir():
        return
    _make_folders(path.parent)
    path.mkdir(exist_ok=True)
    _sync_directory(path.parent)


def _identify(path: Path) -> Folder:
    """Reads the replica id, or makes one with the folder."""
    identity = path / "identity"
    if identity.exists():
        return Folder(path, ReplicaId(identity.read_text()), fresh=False)
    if any(path.iterdir()):
        leftovers = [item for item in path.iterdir() if item.suffix != ".new"]
        if leftovers:
            raise StorageError("identity is missing", step="open", peer=str(path))
    replica_id = ReplicaId(random_id("replica"))
    _write_file(identity, replica_id.encode())
    return Folder(path, replica_id, fresh=True)


def _frame(payload: bytes, mark: bytes = FIRST) -> bytes:
    return HEADER.pack(mark, len(payload), crc32c(payload)) + payload


def _unframe(data: bytes, offset: int) -> bytes | None:
    """Returns the payload of the record at an offset, or None if it isn't whole."""
    if offset + HEADER.size > len(data):
        return None
    magic, length, checksum = HEADER.unpack_from(data, offset)
    payload = data[offset + HEADER.size : offset + HEADER.size + length]
    if magic not in (FIRST, NEXT) or len(payload) != length or crc32c(payload) != checksum:
        return None
    return payload


def _read_snapshot(path: Path) -> Snapshot:
    files = sorted(path.glob("snapshot-*[0-9]"))
    if not files:
        return Snapshot()
    payload = _unframe(files[-1].read_bytes(), 0)
    if payload is None:
        raise StorageError("snapshot is damaged", step="open", peer=str(files[-1]))
    return msgspec.msgpack.decode(payload, type=Snapshot)


def _segments(path: Path) -> list[Path]:
    return sorted(path.glob("log-*"))


def _read_segments(folder: Folder, loaded: Loaded) -> None:
    by_index: dict[int, LogEntry] = {}
    highest = 0
    files = _segments(folder.path)
    for file in files:
        number = int(file.name.removeprefix("log-"))
        folder.number = max(folder.number, number)
        for record in _read_segment(file, file == files[-1], loaded):
            if isinstance(record, HardRecord):
                loaded.hard = record.hard
                continue
            index = record.entry.index
            for later in range(index, highest + 1):
                by_index.pop(later, None)
            by_index[index] = record.entry
            highest = index
            folder.last_index_by_segment[number] = index
    base = loaded.snapshot.base
    at_base = by_index.get(base.index)
    if at_base is not None and at_base.term != base.term:
        # A crash came between a leader's snapshot and the log's replacement.
        by_index.clear()
    loaded.entries = [by_index[index] for index in sorted(by_index) if index > base.index]
    expected = range(base.index + 1, base.index + 1 + len(loaded.entries))
    if [entry.index for entry in loaded.entries] != list(expected):
        raise StorageError("log has a gap", step="open", peer=str(folder.path))


def _read_segment(file: Path, is_last: bool, loaded: Loaded) -> list[Record]:
    data = file.read_bytes()
    records: list[Record] = []
    offset = 0
    while offset < len(data):
        payload = _unframe(data, offset)
        if payload is None:
            _cut_tail(file, data, offset, is_last)
            loaded.cut += len(data) - offset
            break
        records.append(_decoder.decode(payload))
        offset += HEADER.size + len(payload)
    return records


def _sync_last_segment(path: Path) -> None:
    """Syncs what a killed process had written and not synced, since it counts from now on."""
    for last in _segments(path)[-1:]:
        with last.open("r+b") as stream:
            os.fsync(stream.fileno())


def _cut_tail(file: Path, data: bytes, offset: int, is_last: bool) -> None:
    """Cuts a torn write off; damage that a later write follows is an error.

    Only the last write can be torn, in any of its records.
    """
    later = data.find(FIRST, offset + 1)
    while later >= 0 and _unframe(data, later) is None:
        later = data.find(FIRST, later + 1)
    if later >= 0 or not is_last:
        raise StorageError(f"damaged at byte {offset}", step="open", peer=str(file))
    with file.open("r+b") as stream:
        stream.truncate(offset)
        os.fsync(stream.fileno())


def _start_segment(folder: Folder) -> None:
    folder.number += 1
    path = folder.path / f"log-{folder.number:010d}"
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
    folder.descriptor = os.open(path, flags, 0o640)
    data = _frame(msgspec.msgpack.encode(HardRecord(folder.hard)))
    _write_all(folder.descriptor, data)
    os.fsync(folder.descriptor)
    folder.size = len(data)
    _sync_directory(folder.path)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _write_file(path: Path, data: bytes) -> None:
    """Writes a file whole or not at all."""
    temporary = path.with_suffix(".new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o640)
    try:
        _write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    temporary.rename(path)
    _sync_directory(path.parent)


def _sync_directory(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
