"""The operators' HTTP interface: configuration changes, history, status and drains."""

import contextlib
from typing import Any

import msgspec

from verbenashore import deployment, misc
from verbenashore.callers import bearer_key
from verbenashore.client import GroupClient
from verbenashore.completions import decode_object
from verbenashore.control import ApplyChange, Change, ChangeResult
from verbenashore.exceptions import (
    KeyConflictError,
    NotFoundError,
    RevisionConflictError,
    UnauthorizedError,
    UnavailableError,
    VerbenaError,
    bad_field,
)
from verbenashore.httpserver import Request, Responder
from verbenashore.messages import (
    AskStatus,
    History,
    LedgerStatus,
    ListMembers,
    Member,
    Members,
    ReadHistory,
)
from verbenashore.process import Process
from verbenashore.shards import ShardClients
from verbenashore.types import ChangeId, MemberName, Revision

PREFIX = "/admin/v1/"
CONTROL_TIMEOUT_SECONDS = 8.0
STATUS_TIMEOUT_SECONDS = 1.0
MAX_DRAIN_ATTEMPTS = 5


class AdminInterface:
    """Answers the requests of operators, who authenticate with the operators' key."""

    def __init__(self, running: Process, shards: ShardClients) -> None:
        self._process = running
        self._shards = shards

    async def handle_request(self, request: Request, respond: Responder) -> bool:
        """Answers an operator's request; returns false if no route matches."""
        if not request.path.startswith(PREFIX):
            return False
        self._authorize(request)
        match request.method, request.path.removeprefix(PREFIX).split("/"):
            case "POST", ["apply"]:
                await self._apply_change(request, respond)
            case "POST", ["diff"]:
                await self._send_diff(request, respond)
            case "GET", ["history"]:
                await self._send_history(respond)
            case "GET", ["status"]:
                await self._send_status(respond)
            case "POST", [("drain" | "undrain") as action, name]:
                await self._drain(request, respond, action == "drain", MemberName(name))
            case _:
                return False
        return True

    def _authorize(self, request: Request) -> None:
        if deployment.hash_key(bearer_key(request)) != self._process.settings.operator_key:
            raise UnauthorizedError(
                "the key is not the operators' key",
                step="authorize",
                field="authorization",
                not_run=True,
            )

    @property
    def _control(self) -> GroupClient:
        return self._shards.control

    async def _read_history(self) -> list[Change]:
        answer = await self._control.ask(ReadHistory(), CONTROL_TIMEOUT_SECONDS)
        if not isinstance(answer, History):
            raise VerbenaError("unexpected reply of the control group", step="history")
        return answer.changes

    async def _apply_change(self, request: Request, respond: Responder) -> None:
        document = decode_object(request.body)
        text = document.get("file")
        if not isinstance(text, str):
            raise bad_field("file", "must be a string")
        deployment.parse(text)
        history = await self._read_history()
        drained = history[-1].drained if history else []
        command = ApplyChange(
            _change_id(document),
            _expected_revision(document),
            _author(document),
            misc.sha256_hex(text.encode()),
            text,
            drained,
        )
        await respond.send_json(200, _change_document(await self._commit(command)))

    async def _drain(
        self, request: Request, respond: Responder, is_drain: bool, name: MemberName
    ) -> None:
        document = decode_object(request.body or b"{}")
        change_id = _change_id(document)
        if is_drain and name not in {member.name for member in await self._read_members()}:
            raise NotFoundError(
                f"there is no member {name!r}", step="drain", field="name", not_run=True
            )
        for _ in range(MAX_DRAIN_ATTEMPTS):
            command = await self._drain_command(change_id, _author(document), is_drain, name)
            # A drain names no expected revision, so it is retried if another change came first.
            with contextlib.suppress(RevisionConflictError):
                await respond.send_json(200, _change_document(await self._commit(command)))
                return
        raise UnavailableError(
            "another change was committed first in every attempt", step="drain", not_run=True
        )

    async def _drain_command(
        self, change_id: ChangeId, author: str, is_drain: bool, name: MemberName
    ) -> ApplyChange:
        history = await self._read_history()
        if not history:
            raise NotFoundError("no configuration has been applied yet", step="drain", not_run=True)
        current = history[-1]
        drained = sorted({*current.drained, name} if is_drain else {*current.drained} - {name})
        content = f"{'drain' if is_drain else 'undrain'} {name}"
        return ApplyChange(change_id, current.revision, author, content, current.text, drained)

    async def _commit(self, command: ApplyChange) -> ChangeResult:
        result = await self._control.propose(command, CONTROL_TIMEOUT_SECONDS)
        if not isinstance(result, ChangeResult):
            raise UnavailableError("unexpected reply of the control group", step="apply")
        if result.mismatched:
            raise KeyConflictError(
                f"change id {command.change} was used before with different content",
                step="apply",
                field="change_id",
                not_run=True,
            )
        if not result.applied:
            raise RevisionConflictError(result.revision, result.winner)
        return result

    async def _read_members(self) -> list[Member]:
        answer = await self._control.ask(ListMembers(), CONTROL_TIMEOUT_SECONDS)
        return answer.members if isinstance(answer, Members) else []

    async def _send_diff(self, request: Request, respond: Responder) -> None:
        text = decode_object(request.body).get("file")
        if not isinstance(text, str):
            raise bad_field("file", "must be a string")
        deployment.parse(text)
        history = await self._read_history()
        lines = deployment.difference(history[-1].text if history else "", text)
        revision = history[-1].revision if history else 0
        await respond.send_json(200, {"revision": revision, "diff": lines})

    async def _send_history(self, respond: Responder) -> None:
        changes = [
            {
                "revision": change.revision,
                "change_id": change.change,
                "author": change.author,
                "drained": change.drained,
                "digest": misc.sha256_hex(change.text.encode()),
            }
            for change in await self._read_history()
        ]
        await respond.send_json(200, {"changes": changes})

    async def _send_status(self, respond: Responder) -> None:
        members = sorted(await self._read_members(), key=lambda member: member.name)
        history = await self._read_history()
        revision = history[-1].revision if history else 0
        behind = [member.name for member in members if member.revision < revision]
        document = {
            "revision": revision,
            "in_force": not behind,
            "behind": behind,
            "members": [msgspec.to_builtins(member) for member in members],
            "ledgers": await self._ledger_status(),
        }
        await respond.send_json(200, document)

    async def _ledger_status(self) -> list[dict[str, Any]]:
        statuses: list[dict[str, Any]] = []
        for address in self._process.settings.ledgers:
            link = self._process.links.to(str(address))
            try:
                status = await link.call(AskStatus(), STATUS_TIMEOUT_SECONDS)
            except VerbenaError as error:
                statuses.append({"address": str(address), "error": error.message})
                continue
            assert isinstance(status, LedgerStatus)
            groups = [msgspec.structs.asdict(group) for group in status.groups]
            statuses.append({"address": str(address), "name": status.name, "groups": groups})
        return statuses


def _change_document(result: ChangeResult) -> dict[str, Any]:
    return {"applied": True, "revision": result.revision, "change_id": result.winner}


def _change_id(document: dict[str, Any]) -> ChangeId:
    value = document.get("change_id")
    if not isinstance(value, str) or not value:
        raise bad_field("change_id", "must be a non-empty string")
    return ChangeId(value)


def _expected_revision(document: dict[str, Any]) -> Revision:
    value = document.get("expect_revision")
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise bad_field("expect_revision", "must be a whole number of at least 0")
    return Revision(value)


def _author(document: dict[str, Any]) -> str:
    return str(document.get("author", ""))
