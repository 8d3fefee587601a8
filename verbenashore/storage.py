"""The data folder of one replica: its id, its log in checksummed segments, and its snapshots.

An operation that a full disk refused may be called again.
"""

import contextlib
import errno
import itertools
import os
import struct
from pathlib import Path

import msgspec
from crc32c import crc32c

from verbenashore.exceptions import DiskFullError, StorageError
from verbenashore.misc import random_id
from verbenashore.replication import HardState, LogEntry, Snapshot
from verbenashore.types import ReplicaId

#: Magic bytes of the first record of a write, and of its other records.  A write is synced before
#: the next one begins, so only the last write can be torn.
FIRST_MAGIC = b"\xf1VR1"
NEXT_MAGIC = b"\xf1VR2"
RECORD_HEADER = struct.Struct("<4sII")
#: Size above which the next segment is started.
SEGMENT_BYTES = 8 << 20
#: Errors of a disk without space, or of a quota that is used up: they may pass without a restart.
FULL_DISK_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT})
#: Bytes of the disk that a snapshot leaves free for the log, which is written meanwhile.  Without
#: them each attempt at a snapshot that doesn't fit would have the writes of the log refused.
SNAPSHOT_SPARE_BYTES = 1 << 20
#: Name of the file in a data folder that holds the addresses of the group's replicas.
PEERS_FILE = "peers"


class EntryRecord(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A log entry on disk."""

    entry: LogEntry


class HardStateRecord(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A hard state on disk; the last one in the log is current.

    :param first_segment: the entries in segments before this one are not part of the log any more.
    """

    hard_state: HardState
    first_segment: int = 0


Record = EntryRecord | HardStateRecord
_decoder = msgspec.msgpack.Decoder(Record)


class RecoveredData(msgspec.Struct):
    """What a data folder held when it was opened.

    :param truncated_bytes: how many bytes of a torn write were cut off the end of the log.
    """

    hard_state: HardState
    snapshot: Snapshot
    entries: list[LogEntry]
    truncated_bytes: int


class DataFolder(msgspec.Struct):
    """An open data folder; it belongs to one replica.

    :param created: true if this start created the folder.
    :param segment_number: the segment that is open for writing.
    :param segment_size: the size in bytes of what was synced to it.
    :param is_torn: whether a failed write may have left bytes after these.
    :param first_segment: the segment with which the log begins; older ones may still be there.
    :param last_index_by_segment: the entry index that a snapshot must have reached before each
        segment may be removed.
    """

    path: Path
    replica_id: ReplicaId
    created: bool
    segment_number: int = 0
    descriptor: int = -1
    segment_size: int = 0
    is_torn: bool = False
    first_segment: int = 0
    hard_state: HardState = HardState()
    last_index_by_segment: dict[int, int] = msgspec.field(default_factory=dict)


def open_folder(path: Path) -> tuple[DataFolder, RecoveredData]:
    """Opens or creates a data folder and reads its contents.

    :raises StorageError: if data other than a torn last write is damaged, the identity file is
        missing, the log has a gap, or the disk fails; a :class:`DiskFullError` if it is full.
    """
    try:
        _create_folders(path)
        folder = _load_identity(path)
        for unfinished in path.glob("snapshot-*.new"):
            unfinished.unlink()
        snapshot = _read_snapshot(path)
        recovered = RecoveredData(HardState(), snapshot, [], 0)
        _read_segments(folder, recovered)
        _sync_last_segment(path)
        folder.hard_state = recovered.hard_state
        _start_segment(folder)
    except OSError as error:
        raise _storage_error(error, "open", path) from error
    return folder, recovered


def write(folder: DataFolder, hard_state: HardState | None, entries: list[LogEntry]) -> None:
    """Appends records and syncs them; they are durable once this returns.

    :raises DiskFullError: if the disk is full; the same write must succeed before anything that
        follows from it.
    :raises StorageError: if the write fails otherwise; the replica must stop then.
    """
    records: list[Record] = [EntryRecord(entry) for entry in entries]
    if hard_state is not None:
        records.insert(0, HardStateRecord(hard_state))
    if not records:
        return
    data = b"".join(
        _frame(msgspec.msgpack.encode(record), NEXT_MAGIC if position else FIRST_MAGIC)
        for position, record in enumerate(records)
    )
    try:
        if folder.is_torn:
            _cut_torn_write(folder)
        if folder.segment_size > SEGMENT_BYTES:
            _start_segment(folder)
        folder.is_torn = True
        _write_all(folder.descriptor, data)
        os.fdatasync(folder.descriptor)
        folder.is_torn = False
        folder.segment_size += len(data)
        folder.hard_state = hard_state or folder.hard_state
        if entries:
            highest = folder.last_index_by_segment.get(folder.segment_number, 0)
            folder.last_index_by_segment[folder.segment_number] = max(highest, entries[-1].index)
    except OSError as error:
        raise _storage_error(error, "write", folder.path) from error


def write_snapshot(folder: DataFolder, snapshot: Snapshot) -> None:
    """Writes a snapshot and removes the older ones.

    May run concurrently with :func:`write`, and with :func:`reset_log` to a newer snapshot.  A
    snapshot that an earlier attempt has written is not written again, so that repeating what
    follows it needs no space for a second copy.

    :raises StorageError: if the disk fails.
    """
    try:
        data = _frame(msgspec.msgpack.encode(snapshot))
        target = folder.path / f"snapshot-{snapshot.base.index:020d}"
        if _is_written(target, data):
            # The earlier attempt may have failed to sync the folder.
            _sync_directory(folder.path)
        elif _free_bytes(folder.path) < len(data) + SNAPSHOT_SPARE_BYTES:
            raise OSError(errno.ENOSPC, f"a snapshot of {len(data)} bytes doesn't fit")
        else:
            _write_file(target, data)
        for older in folder.path.glob("snapshot-*[0-9]"):
            if older.name < target.name:
                older.unlink(missing_ok=True)
    except OSError as error:
        raise _storage_error(error, "snapshot", folder.path) from error


def remove_covered_segments(folder: DataFolder, index: int) -> None:
    """Removes the closed segments whose entries a written snapshot covers.

    :param index: the index of the snapshot's last entry.
    :raises StorageError: if the disk fails.
    """
    try:
        for path in _segment_paths(folder.path):
            number = int(path.name.removeprefix("log-"))
            # Stops at the first segment that is still needed, so that the log has no gap.
            if (
                number == folder.segment_number
                or folder.last_index_by_segment.get(number, 0) > index
            ):
                break
            path.unlink()
            folder.last_index_by_segment.pop(number, None)
        _sync_directory(folder.path)
    except OSError as error:
        raise _storage_error(error, "drop", folder.path) from error


def reset_log(
    folder: DataFolder, hard_state: HardState, snapshot: Snapshot, entries: list[LogEntry]
) -> None:
    """Replaces the whole log by a snapshot from the leader and the entries that follow it.

    :raises StorageError: if the disk fails.
    """
    write_snapshot(folder, snapshot)
    # An earlier attempt may have started a segment that has no entries yet.
    if folder.segment_number in folder.last_index_by_segment:
        try:
            _start_segment(folder)
        except OSError as error:
            raise _storage_error(error, "reset", folder.path) from error
    first_segment = folder.segment_number
    write(folder, hard_state, entries)
    folder.first_segment = first_segment
    try:
        # Before any segment is removed: a power loss may bring back some of them, in any order.
        _start_segment(folder)
    except OSError as error:
        raise _storage_error(error, "reset", folder.path) from error
    for number in [n for n in folder.last_index_by_segment if n < first_segment]:
        folder.last_index_by_segment[number] = 0
    remove_covered_segments(folder, snapshot.base.index)


def save_peers(path: Path, addresses: list[str]) -> None:
    """Saves the addresses of the group's replicas, for a process that is not one of them.

    :raises StorageError: if the disk fails.
    """
    try:
        _write_file(path / PEERS_FILE, msgspec.json.encode(sorted(addresses)))
    except OSError as error:
        raise _storage_error(error, "peers", path) from error


def read_peers(path: Path) -> list[str]:
    """Returns the addresses that :func:`save_peers` saved last; none if it never did."""
    file = path / PEERS_FILE
    return msgspec.json.decode(file.read_bytes(), type=list[str]) if file.exists() else []


def close(folder: DataFolder) -> None:
    """Closes the folder's files."""
    os.close(folder.descriptor)


def _free_bytes(path: Path) -> float:
    """Returns the free bytes of a disk; infinite if the file system doesn't tell."""
    try:
        disk = os.statvfs(path)
    except OSError:
        return float("inf")
    return disk.f_bavail * disk.f_frsize if disk.f_blocks else float("inf")


def _storage_error(error: OSError, step: str, path: Path) -> StorageError:
    kind = DiskFullError if error.errno in FULL_DISK_ERRORS else StorageError
    return kind(str(error), step=step, peer=str(path))


def _create_folders(path: Path) -> None:
    """Creates a folder and its parents, and syncs the parent folder of each."""
    if path.is_dir():
        return
    _create_folders(path.parent)
    path.mkdir(exist_ok=True)
    try:
        _sync_directory(path.parent)
    except OSError:
        # Otherwise the next attempt would find the folder and not sync its parent.
        path.rmdir()
        raise


def _load_identity(path: Path) -> DataFolder:
    """Reads the replica id, or creates one in a new folder."""
    identity = path / "identity"
    if identity.exists():
        return DataFolder(path, ReplicaId(identity.read_text()), created=False)
    if any(path.iterdir()):
        other_files = [file for file in path.iterdir() if file.suffix != ".new"]
        if other_files:
            raise StorageError(
                "identity file is missing in a folder that is not empty",
                step="open",
                peer=str(path),
            )
    replica_id = ReplicaId(random_id("replica"))
    _write_file(identity, replica_id.encode())
    return DataFolder(path, replica_id, created=True)


def _frame(payload: bytes, magic: bytes = FIRST_MAGIC) -> bytes:
    return RECORD_HEADER.pack(magic, len(payload), crc32c(payload)) + payload


def _unframe(data: bytes, offset: int) -> bytes | None:
    """Returns the payload of the record at an offset, or None if it is incomplete or damaged."""
    if offset + RECORD_HEADER.size > len(data):
        return None
    magic, length, checksum = RECORD_HEADER.unpack_from(data, offset)
    payload = data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + length]
    if (
        magic not in (FIRST_MAGIC, NEXT_MAGIC)
        # No record is empty, but a torn header may end in zeros.
        or length == 0
        or len(payload) != length
        or crc32c(payload) != checksum
    ):
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


def _segment_paths(path: Path) -> list[Path]:
    return sorted(path.glob("log-*"))


def _read_segments(folder: DataFolder, recovered: RecoveredData) -> None:
    entry_by_index: dict[int, LogEntry] = {}
    last_index = 0
    files = _segment_paths(folder.path)
    records_by_segment = {
        int(file.name.removeprefix("log-")): _read_segment(file, file == files[-1], recovered)
        for file in files
    }
    folder.segment_number = max(records_by_segment, default=0)
    for record in itertools.chain.from_iterable(records_by_segment.values()):
        if isinstance(record, HardStateRecord):
            recovered.hard_state = record.hard_state
            folder.first_segment = max(folder.first_segment, record.first_segment)
    for number, records in records_by_segment.items():
        if number < folder.first_segment:
            continue
        for record in records:
            if isinstance(record, HardStateRecord):
                continue
            index = record.entry.index
            for replaced in range(index, last_index + 1):
                entry_by_index.pop(replaced, None)
            entry_by_index[index] = record.entry
            last_index = index
            folder.last_index_by_segment[number] = index
    base = recovered.snapshot.base
    entry_at_base = entry_by_index.get(base.index)
    if entry_at_base is not None and entry_at_base.term != base.term:
        # The process crashed after a leader's snapshot was written, before the log was replaced.
        entry_by_index.clear()
        folder.last_index_by_segment.clear()
        folder.first_segment = folder.segment_number + 1
    recovered.entries = [
        entry_by_index[index] for index in sorted(entry_by_index) if index > base.index
    ]
    expected = range(base.index + 1, base.index + 1 + len(recovered.entries))
    if [entry.index for entry in recovered.entries] != list(expected):
        raise StorageError("log has a gap", step="open", peer=str(folder.path))


def _read_segment(file: Path, is_last: bool, recovered: RecoveredData) -> list[Record]:
    data = file.read_bytes()
    records: list[Record] = []
    offset = 0
    while offset < len(data):
        payload = _unframe(data, offset)
        if payload is None:
            _truncate_tail(file, data, offset, is_last)
            recovered.truncated_bytes += len(data) - offset
            break
        records.append(_decoder.decode(payload))
        offset += RECORD_HEADER.size + len(payload)
    return records


def _sync_last_segment(path: Path) -> None:
    """Syncs what a killed process wrote without a sync, since the replica will rely on it."""
    for last in _segment_paths(path)[-1:]:
        with last.open("r+b") as stream:
            os.fsync(stream.fileno())


def _truncate_tail(file: Path, data: bytes, offset: int, is_last: bool) -> None:
    """Truncates a torn write; damage with a later write after it is an error.

    Only the last write can be torn, but in any of its records.
    """
    next_write = data.find(FIRST_MAGIC, offset + 1)
    while next_write >= 0 and _unframe(data, next_write) is None:
        next_write = data.find(FIRST_MAGIC, next_write + 1)
    if next_write >= 0 or not is_last:
        raise StorageError(f"record is damaged at byte {offset}", step="open", peer=str(file))
    with file.open("r+b") as stream:
        stream.truncate(offset)
        os.fsync(stream.fileno())


def _start_segment(folder: DataFolder) -> None:
    """Starts the next segment and closes the open one; leaves no new file if it fails."""
    number = folder.segment_number + 1
    path = folder.path / f"log-{number:010d}"
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
    descriptor = os.open(path, flags, 0o640)
    first_record = HardStateRecord(folder.hard_state, folder.first_segment)
    data = _frame(msgspec.msgpack.encode(first_record))
    try:
        _write_all(descriptor, data)
        os.fsync(descriptor)
        _sync_directory(folder.path)
    except OSError:
        os.close(descriptor)
        path.unlink()
        raise
    if folder.descriptor >= 0:
        os.close(folder.descriptor)
    folder.segment_number, folder.descriptor, folder.segment_size = number, descriptor, len(data)


def _cut_torn_write(folder: DataFolder) -> None:
    """Removes what a failed write has left at the end of the open segment."""
    os.ftruncate(folder.descriptor, folder.segment_size)
    os.fsync(folder.descriptor)
    folder.is_torn = False


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _write_file(path: Path, data: bytes) -> None:
    """Writes a file atomically: by a synced temporary file that is renamed."""
    temporary = path.with_suffix(".new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o640)
    try:
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        temporary.rename(path)
    except OSError:
        # Its bytes would be missing on a full disk.
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
    _sync_directory(path.parent)


def _is_written(path: Path, data: bytes) -> bool:
    """Returns whether a file of :func:`_write_file` has the size and the header of a record.

    The header has the checksum of the payload, and the file was synced before it got its name.
    """
    try:
        with path.open("rb") as stream:
            header = stream.read(RECORD_HEADER.size)
            return header == data[: RECORD_HEADER.size] and stream.seek(0, os.SEEK_END) == len(data)
    except FileNotFoundError:
        return False


def _sync_directory(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
