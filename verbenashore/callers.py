"""Authentication of callers by their bearer keys, and the idempotency keys that they send."""

import re

from verbenashore import deployment
from verbenashore.deployment import Deployment, Workspace
from verbenashore.exceptions import BadRequestError, UnauthorizedError, UnavailableError
from verbenashore.httpserver import Request
from verbenashore.types import IdempotencyKey
from verbenashore.view import SystemView

BEARER_PREFIX = "bearer "
MAX_KEY_CHARACTERS = 255
_KEY_PATTERN = re.compile(r"[\x21-\x7e]+")


class CallerDirectory:
    """Looks up the workspace of a key."""

    def __init__(self, view: SystemView) -> None:
        self._view = view
        self._workspace_by_key: dict[str, Workspace] = {}

    def update(self, deployed: Deployment) -> None:
        """Applies a new configuration."""
        self._workspace_by_key = {
            key: workspace for workspace in deployed.workspace for key in workspace.keys
        }

    def find_workspace(self, request: Request) -> Workspace:
        """Returns the caller's workspace.

        :raises UnauthorizedError: if the key is missing or unknown.
        :raises UnavailableError: if no configuration was received yet.
        """
        if self._view.change is None:
            raise UnavailableError(
                "no configuration was received yet", step="authorize", not_run=True
            )
        workspace = self._workspace_by_key.get(deployment.hash_key(bearer_key(request)))
        if workspace is None:
            raise UnauthorizedError(
                "the bearer key is unknown", step="authorize", field="authorization", not_run=True
            )
        return workspace


def bearer_key(request: Request) -> str:
    """Returns the bearer key of a request.

    :raises UnauthorizedError: if it has none.
    """
    value = request.headers.get("authorization", "")
    if not value.lower().startswith(BEARER_PREFIX):
        raise UnauthorizedError(
            "a bearer key is required", step="authorize", field="authorization", not_run=True
        )
    return value[len(BEARER_PREFIX) :].strip()


def idempotency_key(request: Request) -> IdempotencyKey | None:
    """Returns the idempotency key of a request, if it has one.

    :raises BadRequestError: if it is empty, too long, or not all visible ASCII.
    """
    value = request.headers.get("idempotency-key")
    if value is None:
        return None
    if len(value) > MAX_KEY_CHARACTERS or not _KEY_PATTERN.fullmatch(value):
        raise BadRequestError(
            f"the idempotency key must be 1 to {MAX_KEY_CHARACTERS} visible ASCII characters",
            step="parse",
            field="idempotency-key",
            not_run=True,
        )
    return IdempotencyKey(f"caller:{value}")
