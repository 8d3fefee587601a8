"""Callers' files in the work ledger, as a pure state machine."""

import msgspec

from verbenashore.types import FileId, MemberName, WorkspaceId


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """The result of a command that returns only success or failure."""

    ok: bool = True


class CreateFile(msgspec.Struct, frozen=True, array_like=True, tag="create_file"):
    """Announces an uploaded file; its parts follow.

    :param holder: the process that receives the upload.
    :param size: bytes of the whole file.
    :param retention: seconds for which the sealed file stays readable.
    """

    file: FileId
    workspace: WorkspaceId
    holder: MemberName
    name: str
    purpose: str
    size: int
    created_at: int
    retention: float


class AppendFile(msgspec.Struct, frozen=True, array_like=True, tag="append_file"):
    """Adds one part of a file; parts may be resent."""

    file: FileId
    part: int
    data: bytes


class SealFile(msgspec.Struct, frozen=True, array_like=True, tag="seal_file"):
    """Makes a complete file readable."""

    file: FileId


class FileView(msgspec.Struct, frozen=True, array_like=True, tag="file"):
    """A file as the ledger reports it, without its content."""

    file: FileId
    workspace: WorkspaceId
    name: str
    purpose: str
    size: int
    created_at: int
    parts: int


class FileRecord(msgspec.Struct):
    """One file and its parts.

    :param announced: the command that created the record.
    :param ends_at: ledger time at which the file is deleted; 0 until the file is sealed.
    """

    announced: CreateFile
    sealed: bool = False
    ends_at: float = 0.0
    data_by_part: dict[int, bytes] = msgspec.field(default_factory=dict)


class FileTable(msgspec.Struct):
    """All files of one shard."""

    file_by_id: dict[FileId, FileRecord] = msgspec.field(default_factory=dict)


def create_file(table: FileTable, command: CreateFile) -> Done:
    """Records an announced file; a resent announcement changes nothing."""
    table.file_by_id.setdefault(command.file, FileRecord(command))
    return Done()


def append_file(table: FileTable, command: AppendFile) -> Done:
    """Adds a part to a file that is not sealed yet."""
    record = table.file_by_id.get(command.file)
    if record is None or record.sealed:
        return Done(False)
    record.data_by_part[command.part] = command.data
    return Done()


def seal_file(table: FileTable, command: SealFile, now: float) -> FileView | None:
    """Makes a file readable if all its bytes have arrived."""
    record = table.file_by_id.get(command.file)
    if record is None:
        return None
    if sum(map(len, record.data_by_part.values())) != record.announced.size:
        return None
    record.sealed = True
    record.ends_at = now + record.announced.retention
    return file_view(record)


def file_view(record: FileRecord) -> FileView:
    """Returns the view of a file that callers get."""
    upload = record.announced
    return FileView(
        upload.file,
        upload.workspace,
        upload.name,
        upload.purpose,
        upload.size,
        upload.created_at,
        len(record.data_by_part),
    )


def release_holder(table: FileTable, holder: MemberName) -> None:
    """Deletes the unfinished uploads of a process whose session has ended."""
    unfinished = [
        file_id
        for file_id, record in table.file_by_id.items()
        if not record.sealed and record.announced.holder == holder
    ]
    for file_id in unfinished:
        del table.file_by_id[file_id]


def expire(table: FileTable, now: float) -> None:
    """Deletes files whose retention has ended."""
    ended = [id_ for id_, record in table.file_by_id.items() if _has_ended(record, now)]
    for file_id in ended:
        del table.file_by_id[file_id]


def has_expired(table: FileTable, now: float) -> bool:
    """Returns whether :func:`expire` would change something."""
    return any(_has_ended(record, now) for record in table.file_by_id.values())


def _has_ended(record: FileRecord, now: float) -> bool:
    return 0 < record.ends_at <= now
