"""The operators' and callers' client: an object that the command line is a thin layer over."""

import asyncio
import threading
import time
from collections.abc import Mapping
from typing import Any

import msgspec

from verbenashore import httpclient
from verbenashore.exceptions import BadRequestError, VerbenaError
from verbenashore.httpclient import JSON_HEADERS, Response

ASK_SECONDS = 30.0
POLL_SECONDS = 0.2
MULTIPART_BOUNDARY = "verbena-form-boundary"


class RemoteError(VerbenaError):
    """The entry answered with a typed error.

    :param document: its ``error`` object.
    """

    code = "remote"

    def __init__(self, status: int, document: dict[str, Any], peer: str) -> None:
        super().__init__(
            str(document.get("message", "")),
            step=str(document.get("step", "")),
            peer=peer,
            field=str(document.get("param") or ""),
            not_run=bool(document.get("not_run", False)),
        )
        self.code = str(document.get("code", "remote"))
        self.http_status = status


class Client:
    """Speaks to one entry with one key.

    :param address: ``IP:PORT`` of the entry.
    """

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._key = key

    def apply(self, text: str, expected: int, change_id: str, author: str) -> dict[str, Any]:
        """Applies a deployment file whole."""
        document = {
            "file": text,
            "expect_revision": expected,
            "change_id": change_id,
            "author": author,
        }
        return self.ask_json("POST", "/admin/v1/apply", document)

    def diff(self, text: str) -> dict[str, Any]:
        """Compares a file with what is in force."""
        return self.ask_json("POST", "/admin/v1/diff", {"file": text})

    def history(self) -> dict[str, Any]:
        """Returns the revisions."""
        return self.ask_json("GET", "/admin/v1/history")

    def status(self) -> dict[str, Any]:
        """Returns the members, their revisions and the groups."""
        return self.ask_json("GET", "/admin/v1/status")

    def drain(self, name: str, change_id: str, *, wanted: bool) -> dict[str, Any]:
        """Drains a member, or lets it serve again."""
        action = "drain" if wanted else "undrain"
        return self.ask_json("POST", f"/admin/v1/{action}/{name}", {"change_id": change_id})

    def submit(
        self,
        content: bytes,
        name: str,
        endpoint: str,
        window: str,
        metadata: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """Uploads a file and makes a batch of it."""
        file = self._upload(content, name)
        document = {
            "input_file_id": file["id"],
            "endpoint": endpoint,
            "completion_window": window,
            "metadata": metadata or {},
        }
        return self.ask_json("POST", "/v1/batches", document)

    def batch(self, batch_id: str) -> dict[str, Any]:
        """Returns a batch."""
        return self.ask_json("GET", f"/v1/batches/{batch_id}")

    def cancel(self, batch_id: str) -> dict[str, Any]:
        """Stops a batch."""
        return self.ask_json("POST", f"/v1/batches/{batch_id}/cancel", {})

    def wait(self, batch_id: str, seconds: float) -> dict[str, Any]:
        """Waits until a batch has ended.

        :raises VerbenaError: if it has not in time.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            batch = self.batch(batch_id)
            if batch["status"] in ("completed", "cancelled", "expired"):
                return batch
            threading.Event().wait(POLL_SECONDS)
        raise VerbenaError(f"{batch_id} has not ended", step="wait")

    def content(self, file_id: str) -> bytes:
        """Returns the content of a file."""
        return self._ask("GET", f"/v1/files/{file_id}/content", b"", {}).body

    def result(self, record_id: str) -> dict[str, Any]:
        """Returns the committed answer of an online request."""
        return self.ask_json("GET", f"/v1/results/{record_id}")

    def _upload(self, content: bytes, name: str) -> dict[str, Any]:
        head = f"--{MULTIPART_BOUNDARY}\r\ncontent-disposition: form-data; "
        body = (
            f'{head}name="purpose"\r\n\r\nbatch\r\n{head}name="file"; filename="{name}"\r\n\r\n'
        ).encode() + content
        body += f"\r\n--{MULTIPART_BOUNDARY}--\r\n".encode()
        headers = {"content-type": f"multipart/form-data; boundary={MULTIPART_BOUNDARY}"}
        return msgspec.json.decode(self._ask("POST", "/v1/files", body, headers).body)

    def ask_json(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
        headers: Mapping[str, str] = JSON_HEADERS,
    ) -> dict[str, Any]:
        """Sends a document and returns the answer's."""
        body = msgspec.json.encode(document) if document is not None else b""
        answer = self._ask(method, path, body, {**JSON_HEADERS, **headers})
        return msgspec.json.decode(answer.body)

    def _ask(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Response:
        fields = headers | ({"authorization": f"Bearer {self._key}"} if self._key else {})
        answer = asyncio.run(
            httpclient.request(
                self._address, method, path, body, seconds=ASK_SECONDS, headers=fields
            )
        )
        if answer.status >= 400:
            raise RemoteError(answer.status, _error_of(answer), self._address)
        return answer


def _error_of(answer: Response) -> dict[str, Any]:
    try:
        return msgspec.json.decode(answer.body, type=dict[str, Any])["error"]
    except (msgspec.DecodeError, KeyError):
        raise BadRequestError(f"status {answer.status}", step="ask") from None
