"""HTTP client of an entry, for operators and callers; the command line is a thin layer over it."""

import asyncio
import threading
import time
from collections.abc import Mapping
from typing import Any

import msgspec

from verbenashore import httpclient
from verbenashore.exceptions import BadRequestError, VerbenaError
from verbenashore.httpclient import JSON_HEADERS, Response

REQUEST_TIMEOUT_SECONDS = 30.0
#: Longest response in bytes; files of results are read whole.
MAX_RESPONSE_BYTES = 1 << 30
#: Seconds between two reads of a batch's status while :meth:`Client.wait` waits for its end.
BATCH_POLL_SECONDS = 0.2
MULTIPART_BOUNDARY = "verbena-form-boundary"


class RemoteError(VerbenaError):
    """The entry responded with an error document.

    :param document: the ``error`` object of the response.
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
    """Sends requests to one entry.

    :param address: ``IP:PORT`` of the entry.
    :param key: the bearer key; none is sent if empty.
    """

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._key = key

    def apply(
        self, text: str, expected_revision: int, change_id: str, author: str
    ) -> dict[str, Any]:
        """Replaces the configuration in force with a deployment file.

        :param text: the content of the file.
        :param expected_revision: the revision that the file replaces.
        """
        document = {
            "file": text,
            "expect_revision": expected_revision,
            "change_id": change_id,
            "author": author,
        }
        return self.request_json("POST", "/admin/v1/apply", document)

    def diff(self, text: str) -> dict[str, Any]:
        """Compares a deployment file with the configuration in force."""
        return self.request_json("POST", "/admin/v1/diff", {"file": text})

    def history(self) -> dict[str, Any]:
        """Returns the changes that created the revisions, oldest first."""
        return self.request_json("GET", "/admin/v1/history")

    def status(self) -> dict[str, Any]:
        """Returns the members with their revisions, and the ledgers with their groups."""
        return self.request_json("GET", "/admin/v1/status")

    def drain(self, name: str, change_id: str, *, wanted: bool) -> dict[str, Any]:
        """Drains a member, or lets it accept new work again.

        :param wanted: true to drain.
        """
        action = "drain" if wanted else "undrain"
        return self.request_json("POST", f"/admin/v1/{action}/{name}", {"change_id": change_id})

    def submit(
        self,
        content: bytes,
        name: str,
        endpoint: str,
        window: str,
        metadata: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """Uploads a JSONL file and creates a batch of its requests."""
        file = self._upload(content, name)
        document = {
            "input_file_id": file["id"],
            "endpoint": endpoint,
            "completion_window": window,
            "metadata": metadata or {},
        }
        return self.request_json("POST", "/v1/batches", document)

    def batch(self, batch_id: str) -> dict[str, Any]:
        """Returns the current state of a batch."""
        return self.request_json("GET", f"/v1/batches/{batch_id}")

    def cancel(self, batch_id: str) -> dict[str, Any]:
        """Cancels a batch."""
        return self.request_json("POST", f"/v1/batches/{batch_id}/cancel", {})

    def wait(self, batch_id: str, seconds: float) -> dict[str, Any]:
        """Waits until a batch has ended and returns it.

        :raises VerbenaError: if it has not ended within the time.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            batch = self.batch(batch_id)
            if batch["status"] in ("completed", "cancelled", "expired"):
                return batch
            threading.Event().wait(BATCH_POLL_SECONDS)
        raise VerbenaError(f"{batch_id} did not end in time", step="wait")

    def content(self, file_id: str) -> bytes:
        """Returns the content of a file."""
        return self._request("GET", f"/v1/files/{file_id}/content", b"", {}).body

    def result(self, record_id: str) -> dict[str, Any]:
        """Returns the committed answer to an online request."""
        return self.request_json("GET", f"/v1/results/{record_id}")

    def _upload(self, content: bytes, name: str) -> dict[str, Any]:
        head = f"--{MULTIPART_BOUNDARY}\r\ncontent-disposition: form-data; "
        body = (
            f'{head}name="purpose"\r\n\r\nbatch\r\n{head}name="file"; filename="{name}"\r\n\r\n'
        ).encode() + content
        body += f"\r\n--{MULTIPART_BOUNDARY}--\r\n".encode()
        headers = {"content-type": f"multipart/form-data; boundary={MULTIPART_BOUNDARY}"}
        return msgspec.json.decode(self._request("POST", "/v1/files", body, headers).body)

    def request_json(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
        headers: Mapping[str, str] = JSON_HEADERS,
    ) -> dict[str, Any]:
        """Sends a JSON document, or no body, and returns the document of the response."""
        body = msgspec.json.encode(document) if document is not None else b""
        response = self._request(method, path, body, {**JSON_HEADERS, **headers})
        return msgspec.json.decode(response.body)

    def _request(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Response:
        all_headers = headers | ({"authorization": f"Bearer {self._key}"} if self._key else {})
        response = asyncio.run(
            httpclient.request(
                self._address,
                method,
                path,
                body,
                seconds=REQUEST_TIMEOUT_SECONDS,
                headers=all_headers,
                max_bytes=MAX_RESPONSE_BYTES,
            )
        )
        if response.status >= 400:
            raise RemoteError(response.status, _parse_error(response), self._address)
        return response


def _parse_error(response: Response) -> dict[str, Any]:
    try:
        return msgspec.json.decode(response.body, type=dict[str, Any])["error"]
    except (msgspec.DecodeError, KeyError):
        raise BadRequestError(
            f"status {response.status} without an error document", step="ask"
        ) from None
