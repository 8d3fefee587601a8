"""The HTTP interface for files and batch jobs, as OpenAI clients expect it."""

import re
import time
from collections.abc import AsyncIterator
from email.message import Message
from typing import Any

import msgspec

from verbenashore import completions, files, jobs, misc, transfer
from verbenashore.callers import CallerDirectory, idempotency_key
from verbenashore.client import GroupClient
from verbenashore.deployment import Workspace
from verbenashore.exceptions import (
    BadRequestError,
    KeyConflictError,
    NotFoundError,
    UnavailableError,
    VerbenaError,
    bad_field,
)
from verbenashore.files import FileView
from verbenashore.httpserver import Request, Responder
from verbenashore.jobs import ItemView, ItemViews, JobView, NewItem
from verbenashore.messages import (
    FilePart,
    Files,
    Jobs,
    ListFiles,
    ListJobs,
    ReadFile,
    ReadItems,
    ReadJob,
    ReadPart,
)
from verbenashore.process import Process
from verbenashore.shards import ShardClients
from verbenashore.types import FileId, IdempotencyKey, ItemState, JobId, MemberName
from verbenashore.view import SystemView

FILES_PATH = "/v1/files"
BATCHES_PATH = "/v1/batches"
LEDGER_TIMEOUT_SECONDS = 10.0
#: Bytes of one stored part of a file.  Reads return whole parts, so a part must not take too long
#: on a slow line.
PART_BYTES = transfer.PAGE_BYTES
CHUNK_ITEMS = 500
#: A chunk of items is closed once their bodies exceed this size.
CHUNK_BYTES = 1 << 20
PAGE_ITEMS = 500
MAX_ITEMS = 1_000_000
MAX_LISTED = 100
#: Completion windows that last ``batch.window_seconds`` of the deployment file, whatever their name
#: says.
CONFIGURED_WINDOWS = {"24h": None}
WINDOW_PATTERN = re.compile(r"(\d{1,6})(s|m|h)")
SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600}
OUTPUT_SUFFIX = "-output"
ERROR_SUFFIX = "-error"


class BatchInterface:
    """Answers requests for files and batch jobs."""

    def __init__(
        self, running: Process, view: SystemView, shards: ShardClients, callers: CallerDirectory
    ) -> None:
        self._process = running
        self._view = view
        self._shards = shards
        self._callers = callers
        self._holder = MemberName(running.incarnation)

    async def handle_request(self, request: Request, respond: Responder) -> bool:
        """Answers a request for files or batches; returns false if no route matches."""
        for root, route in ((FILES_PATH, self._route_file), (BATCHES_PATH, self._route_batch)):
            if request.path == root or request.path.startswith(f"{root}/"):
                workspace = self._callers.find_workspace(request)
                segments = request.path.removeprefix(root).strip("/").split("/")
                return await route(workspace, segments, request, respond)
        return False

    async def _route_file(
        self, workspace: Workspace, segments: list[str], request: Request, respond: Responder
    ) -> bool:
        match request.method, segments:
            case "POST", [""]:
                await self._upload_file(workspace, request, respond)
            case "GET", [""]:
                await self._list_files(workspace, respond)
            case "GET", [file_id]:
                view = await self._read_file(workspace, FileId(file_id))
                await respond.send_json(200, _file_document(view))
            case "GET", [file_id, "content"]:
                await self._send_content(workspace, FileId(file_id), respond)
            case _:
                return False
        return True

    async def _route_batch(
        self, workspace: Workspace, segments: list[str], request: Request, respond: Responder
    ) -> bool:
        match request.method, segments:
            case "POST", [""]:
                await self._create_job(workspace, request, respond)
            case "GET", [""]:
                await self._list_jobs(workspace, request, respond)
            case "GET", [job_id]:
                view = await self._read_job(workspace, JobId(job_id))
                await respond.send_json(200, _job_document(view))
            case "POST", [job_id, "cancel"]:
                await self._cancel_job(workspace, JobId(job_id), respond)
            case _:
                return False
        return True

    async def _upload_file(
        self, workspace: Workspace, request: Request, respond: Responder
    ) -> None:
        name, purpose, content = _parse_upload(request)
        view = await self._store_file(workspace, name, purpose, content)
        await respond.send_json(200, _file_document(view))

    async def _store_file(
        self, workspace: Workspace, name: str, purpose: str, content: bytes
    ) -> FileView:
        """Stores a file under a new id, on the shard that its name, purpose and content select."""
        fingerprint = misc.sha256_hex(f"{name}\n{purpose}\n".encode() + content)
        shard = self._shards.for_key(workspace.name, IdempotencyKey(fingerprint))
        file_id = FileId(self._shards.new_id("file", shard.group))
        create = files.CreateFile(
            file_id,
            workspace.name,
            self._holder,
            name,
            purpose,
            len(content),
            int(time.time()),
            self._view.deployment.retention.jobs_seconds,
        )
        await shard.propose(create, LEDGER_TIMEOUT_SECONDS)
        for part, offset in enumerate(range(0, len(content), PART_BYTES)):
            data = content[offset : offset + PART_BYTES]
            await shard.propose(files.AppendFile(file_id, part, data), LEDGER_TIMEOUT_SECONDS)
        view = await shard.propose(files.SealFile(file_id), LEDGER_TIMEOUT_SECONDS)
        if not isinstance(view, FileView):
            raise UnavailableError(
                "the file was not stored completely", step="upload", not_run=True
            )
        return view

    async def _list_files(self, workspace: Workspace, respond: Responder) -> None:
        views: list[FileView] = []
        for group, shard in self._shards.by_group.items():
            answer = await shard.ask(ListFiles(group, workspace.name), LEDGER_TIMEOUT_SECONDS)
            views += answer.files if isinstance(answer, Files) else []
        data = [_file_document(view) for view in views[-MAX_LISTED:]]
        await respond.send_json(200, {"object": "list", "data": data, "has_more": False})

    async def _read_file(self, workspace: Workspace, file_id: FileId) -> FileView:
        job_id, is_output = _parse_outcome_file_id(file_id)
        if job_id is not None:
            job = await self._read_job(workspace, job_id)
            name = "output.jsonl" if is_output else "errors.jsonl"
            return FileView(file_id, workspace.name, name, "batch_output", 0, job.created_at, 0)
        shard = self._shards.for_id(file_id)
        view = await shard.ask(
            ReadFile(shard.group, workspace.name, file_id), LEDGER_TIMEOUT_SECONDS
        )
        assert isinstance(view, FileView)
        return view

    async def _send_content(
        self, workspace: Workspace, file_id: FileId, respond: Responder
    ) -> None:
        job_id, is_output = _parse_outcome_file_id(file_id)
        if job_id is None:
            view = await self._read_file(workspace, file_id)
            parts = self._stored_parts(workspace, view)
        else:
            job = await self._read_job(workspace, job_id)
            parts = self._outcome_parts(workspace, job, is_output)
        await respond.start_stream(200, "application/octet-stream", {})
        async for part in parts:
            if part:
                await respond.send_chunk(part)
        await respond.end_stream()

    async def _stored_parts(self, workspace: Workspace, view: FileView) -> AsyncIterator[bytes]:
        shard = self._shards.for_id(view.file)
        for part in range(view.parts):
            read_part = ReadPart(shard.group, workspace.name, view.file, part)
            answer = await shard.ask(read_part, LEDGER_TIMEOUT_SECONDS)
            assert isinstance(answer, FilePart)
            yield answer.data

    async def _outcome_parts(
        self, workspace: Workspace, job: JobView, is_output: bool
    ) -> AsyncIterator[bytes]:
        shard = self._shards.for_id(job.job)
        first = 0
        while first < job.total:
            read_items = ReadItems(
                shard.group, workspace.name, job.job, first, PAGE_ITEMS, transfer.PAGE_BYTES
            )
            page = await shard.ask(read_items, LEDGER_TIMEOUT_SECONDS)
            assert isinstance(page, ItemViews) and page.items
            first += len(page.items)
            yield b"".join(
                _outcome_line(job, item)
                for item in page.items
                if (item.state is ItemState.COMPLETED) == is_output and _has_ended(item)
            )

    async def _create_job(self, workspace: Workspace, request: Request, respond: Responder) -> None:
        document = completions.decode_object(request.body)
        endpoint = _required_string(document, "endpoint")
        if endpoint not in completions.PATHS:
            raise bad_field("endpoint", f"must be one of {', '.join(sorted(completions.PATHS))}")
        window_text = _required_string(document, "completion_window")
        window = self._window_seconds(window_text)
        metadata = _parse_metadata(document)
        file_id = FileId(_required_string(document, "input_file_id"))
        content = await self._read_content(workspace, file_id)
        items = self._parse_items(content, endpoint)
        digest = misc.sha256_hex(
            msgspec.json.encode([endpoint, window_text, misc.sha256_hex(content), metadata])
        )
        key = idempotency_key(request) or IdempotencyKey(f"content:{digest}")
        shard = self._shards.for_key(workspace.name, key)
        create = jobs.CreateJob(
            JobId(self._shards.new_id("batch", shard.group)),
            workspace.name,
            key,
            digest,
            self._holder,
            endpoint,
            file_id,
            window,
            window_text,
            metadata,
            int(time.time()),
            self._view.deployment.retention.jobs_seconds,
        )
        view = await self._store_job(shard, create, items)
        await respond.send_json(200, _job_document(view))

    async def _store_job(
        self, shard: GroupClient, create: jobs.CreateJob, items: list[NewItem]
    ) -> JobView:
        """Stores a job chunk by chunk; it is accepted with the last command, or not at all."""
        view = await shard.propose(create, LEDGER_TIMEOUT_SECONDS)
        assert isinstance(view, JobView)
        if view.conflict:
            raise KeyConflictError(
                f"the key was used before for {view.job}, which has different content",
                step="accept",
                field="idempotency-key",
                not_run=True,
            )
        if not view.fresh:
            if view.state is jobs.JobState.LOADING:
                raise UnavailableError(
                    f"{view.job} is still being stored; retry", step="accept", not_run=True
                )
            return view
        for first, chunk in _split_items(items):
            await shard.propose(jobs.AddItems(create.job, first, chunk), LEDGER_TIMEOUT_SECONDS)
        sealed = await shard.propose(jobs.SealJob(create.job, len(items)), LEDGER_TIMEOUT_SECONDS)
        if not isinstance(sealed, JobView):
            raise UnavailableError(
                "the batch was not stored completely", step="accept", not_run=True
            )
        return sealed

    def _window_seconds(self, text: str) -> float:
        if text in CONFIGURED_WINDOWS:
            return self._view.deployment.batch.window_seconds
        match = WINDOW_PATTERN.fullmatch(text)
        if match is None or int(match[1]) == 0:
            raise bad_field(
                "completion_window",
                "must be 24h, or a whole number of at least 1 followed by s, m or h",
            )
        return float(int(match[1]) * SECONDS_BY_UNIT[match[2]])

    async def _read_content(self, workspace: Workspace, file_id: FileId) -> bytes:
        try:
            view = await self._read_file(workspace, file_id)
        except (NotFoundError, BadRequestError):
            raise NotFoundError(
                f"there is no file {file_id!r}", step="read", field="input_file_id", not_run=True
            ) from None
        return b"".join([part async for part in self._stored_parts(workspace, view)])

    def _parse_items(self, content: bytes, endpoint: str) -> list[NewItem]:
        lines = [line for line in content.splitlines() if line.strip()]
        if not 1 <= len(lines) <= MAX_ITEMS:
            raise bad_field("input_file_id", f"must hold 1 to {MAX_ITEMS} lines")
        models = {model for backend in self._view.deployment.backend for model in backend.models}
        seen: set[str] = set()
        items = []
        for number, line in enumerate(lines, 1):
            item = _parse_item(number, line, endpoint, models)
            if item.custom_id in seen:
                raise bad_field(f"line {number}: custom_id", f"{item.custom_id!r} is not unique")
            seen.add(item.custom_id)
            items.append(item)
        return items

    async def _list_jobs(self, workspace: Workspace, request: Request, respond: Responder) -> None:
        views: list[JobView] = []
        for group, shard in self._shards.by_group.items():
            answer = await shard.ask(ListJobs(group, workspace.name), LEDGER_TIMEOUT_SECONDS)
            views += answer.jobs if isinstance(answer, Jobs) else []
        views.sort(key=lambda view: (-view.created_at, view.job))
        after = request.query.get("after")
        after_positions = [n for n, view in enumerate(views) if view.job == after]
        remaining = views[after_positions[0] + 1 :] if after_positions else views
        limit = request.query.get("limit", "20")
        if not limit.isdigit() or not 1 <= int(limit) <= MAX_LISTED:
            raise bad_field("limit", f"must be 1 to {MAX_LISTED}")
        page = [_job_document(view) for view in remaining[: int(limit)]]
        bounds = {"first_id": page[0]["id"], "last_id": page[-1]["id"]} if page else {}
        document = {"object": "list", "data": page, "has_more": len(remaining) > int(limit)}
        await respond.send_json(200, document | bounds)

    async def _read_job(self, workspace: Workspace, job_id: JobId) -> JobView:
        shard = self._shards.for_id(job_id)
        view = await shard.ask(ReadJob(shard.group, workspace.name, job_id), LEDGER_TIMEOUT_SECONDS)
        assert isinstance(view, JobView)
        return view

    async def _cancel_job(self, workspace: Workspace, job_id: JobId, respond: Responder) -> None:
        shard = self._shards.for_id(job_id)
        view = await shard.propose(jobs.CancelJob(job_id, workspace.name), LEDGER_TIMEOUT_SECONDS)
        if not isinstance(view, JobView):
            raise NotFoundError("no such batch", step="cancel", field="id", not_run=True)
        await respond.send_json(200, _job_document(view))


def _split_items(items: list[NewItem]) -> list[tuple[int, list[NewItem]]]:
    chunks: list[tuple[int, list[NewItem]]] = []
    size = 0
    for position, item in enumerate(items):
        if not chunks or len(chunks[-1][1]) >= CHUNK_ITEMS or size > CHUNK_BYTES:
            chunks.append((position, []))
            size = 0
        chunks[-1][1].append(item)
        size += len(item.body)
    return chunks


def _parse_upload(request: Request) -> tuple[str, str, bytes]:
    """Returns the file name, the purpose and the content from a multipart form.

    :raises BadRequestError: naming the invalid form field.
    """
    header = Message()
    header["content-type"] = request.headers.get("content-type", "")
    boundary = header.get_param("boundary")
    if header.get_content_type() != "multipart/form-data" or not isinstance(boundary, str):
        raise bad_field("content-type", "must be multipart/form-data with a boundary")
    parts: dict[str, tuple[str, bytes]] = {}
    for section in (b"\r\n" + request.body).split(f"\r\n--{boundary}".encode())[1:-1]:
        head, _, content = section.partition(b"\r\n\r\n")
        section_headers = Message()
        section_headers["content-disposition"] = _content_disposition(head)
        name = section_headers.get_param("name", header="content-disposition")
        file_name = section_headers.get_param("filename", "", header="content-disposition")
        parts[str(name)] = (str(file_name), content)
    if "file" not in parts:
        raise bad_field("file", "is required")
    purpose = parts.get("purpose", ("", b""))[1].decode("utf-8", "replace")
    if purpose != "batch":
        raise bad_field("purpose", "must be 'batch'")
    return parts["file"][0] or "file", purpose, parts["file"][1]


def _content_disposition(head: bytes) -> str:
    lines = head.decode("utf-8", "replace").split("\r\n")
    prefix = "content-disposition:"
    matching = [line for line in lines if line.lower().startswith(prefix)]
    return matching[0][len(prefix) :].strip() if matching else ""


def _parse_item(number: int, line: bytes, endpoint: str, models: set[str]) -> NewItem:
    """Parses one line; an error in an item's request makes only that item fail.

    :raises BadRequestError: if the line as a whole is not an item.
    """
    try:
        document = completions.decode_object(line)
    except BadRequestError as error:
        raise bad_field(f"line {number}", error.message) from None
    custom_id = document.get("custom_id")
    if not isinstance(custom_id, str) or not custom_id:
        raise bad_field(f"line {number}: custom_id", "must be a non-empty string")
    if document.get("url") != endpoint:
        raise bad_field(f"line {number}: url", f"must be {endpoint}")
    if not isinstance(document.get("body"), dict):
        raise bad_field(f"line {number}: body", "must be an object")
    body = msgspec.json.encode(document["body"])
    try:
        call = completions.parse_call(endpoint, body)
        if call.model not in models:
            raise bad_field("model", f"{call.model!r} is unknown")
    except BadRequestError as error:
        return NewItem(custom_id, "", body, 0, _error_body(error))
    return NewItem(custom_id, call.model, body, call.prompt_tokens + call.max_tokens)


def _error_body(error: VerbenaError) -> bytes:
    document = {"code": error.code, "message": error.message, "param": error.field}
    return msgspec.json.encode({"error": document})


def _parse_outcome_file_id(file_id: FileId) -> tuple[JobId | None, bool]:
    """Returns the job whose output or error file this is, if any, and whether it is the output."""
    for suffix in (OUTPUT_SUFFIX, ERROR_SUFFIX):
        if file_id.endswith(suffix):
            job_id = file_id.removesuffix(suffix).removeprefix("file-")
            return JobId(job_id), suffix == OUTPUT_SUFFIX
    return None, False


def _has_ended(item: ItemView) -> bool:
    return item.state not in (ItemState.WAITING, ItemState.LEASED)


def _outcome_line(job: JobView, item: ItemView) -> bytes:
    line: dict[str, Any] = {
        "id": f"{job.job}-{item.position}",
        "custom_id": item.custom_id,
        "response": None,
        "error": None,
    }
    if item.status:
        body = msgspec.Raw(item.body) if item.body else None
        line["response"] = {"status_code": item.status, "request_id": line["id"], "body": body}
    if item.state is not ItemState.COMPLETED:
        message = item.body.decode("utf-8", "replace") or f"the item was {item.state.value}"
        line["error"] = {"code": f"item_{item.state.value}", "message": message}
    return msgspec.json.encode(line) + b"\n"


def _file_document(view: FileView) -> dict[str, Any]:
    return {
        "id": view.file,
        "object": "file",
        "bytes": view.size,
        "created_at": view.created_at,
        "filename": view.name,
        "purpose": view.purpose,
        "status": "processed",
    }


def _job_document(view: JobView) -> dict[str, Any]:
    ended = view.state not in (jobs.JobState.LOADING, jobs.JobState.RUNNING)
    has_errors = view.completed < view.total
    return {
        "id": view.job,
        "object": "batch",
        "endpoint": view.endpoint,
        "input_file_id": view.input_file,
        "completion_window": view.window_text,
        "status": view.state.value,
        "created_at": view.created_at,
        "output_file_id": f"file-{view.job}{OUTPUT_SUFFIX}" if ended else None,
        "error_file_id": f"file-{view.job}{ERROR_SUFFIX}" if ended and has_errors else None,
        "errors": None,
        "metadata": view.metadata or None,
        "request_counts": {
            "total": view.total,
            "completed": view.completed,
            "failed": view.failed,
        },
    }


def _required_string(document: dict[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise bad_field(name, "must be a non-empty string")
    return value


def _parse_metadata(document: dict[str, Any]) -> dict[str, str]:
    value = document.get("metadata") or {}
    if not isinstance(value, dict) or not all(isinstance(text, str) for text in value.values()):
        raise bad_field("metadata", "must be an object whose values are strings")
    return value
