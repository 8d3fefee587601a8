"""The errors that verbenashore raises."""


class VerbenaError(Exception):
    """The base of all errors of this package.

    :param message: human-readable description.
    :param step: the processing step that failed, such as ``dispatch``.
    :param peer: the process or backend server involved, if any.
    :param field: the invalid input field, if any.
    :param not_run: true only if it is proved that the work was not run.

    The attribute ``crashed`` is true if the backend server crashed while it ran the work.
    """

    code = "internal"
    http_status = 500

    def __init__(
        self,
        message: str,
        *,
        step: str = "",
        peer: str = "",
        field: str = "",
        not_run: bool = False,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.field = field
        self.not_run = not_run
        self.crashed = False


class SettingsError(VerbenaError):
    """One or more settings of a process are missing or malformed.

    :param problems: one line for each problem.
    """

    code = "bad_settings"

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems), step="settings")
        self.problems = problems


class DeploymentError(VerbenaError):
    """A deployment file is invalid.

    :param problems: one line for each problem, starting with the key in the file.
    """

    code = "bad_deployment"
    http_status = 400

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems), step="validate", field="file", not_run=True)
        self.problems = problems


class UnreadableFileError(VerbenaError):
    """A file that a command was given can't be read, or not compared with another."""

    code = "unreadable_file"
    http_status = 400


class BadRequestError(VerbenaError):
    """The caller's input is malformed."""

    code = "bad_request"
    http_status = 400


def bad_field(field: str, problem: str) -> BadRequestError:
    """Returns the error for an invalid field of a request."""
    return BadRequestError(f"{field} {problem}", step="parse", field=field, not_run=True)


class TooLargeError(VerbenaError):
    """A body or header exceeds its limit."""

    code = "too_large"
    http_status = 413


class ClientTimeoutError(VerbenaError):
    """The caller did not send its request, or did not read the answer, in time."""

    code = "request_timeout"
    http_status = 408


class UnauthorizedError(VerbenaError):
    """The key is missing or wrong."""

    code = "unauthorized"
    http_status = 401


class UnknownKeyError(UnauthorizedError):
    """The call needs an API key, and carries none that is in force."""

    code = "unknown_key"


class NotFoundError(VerbenaError):
    """The requested object does not exist, or not in the caller's workspace."""

    code = "not_found"
    http_status = 404


class KeyConflictError(VerbenaError):
    """An idempotency key or a change id was used before with different content."""

    code = "key_conflict"
    http_status = 409


class RevisionConflictError(VerbenaError):
    """Another change created the next revision first.

    :param revision: the revision in force.
    :param change_id: the id of the change that created it.
    """

    code = "revision_conflict"
    http_status = 409

    def __init__(self, revision: int, change_id: str) -> None:
        super().__init__(
            f"revision {revision} was created by change {change_id}", step="apply", not_run=True
        )
        self.revision = revision
        self.change_id = change_id


class OverloadedError(VerbenaError):
    """The work was refused before it ran.

    :param retry_after: seconds after which a retry is worthwhile.
    :param details: what decided about it, as log fields.
    """

    code = "overloaded"
    http_status = 429

    def __init__(
        self,
        message: str,
        *,
        step: str = "",
        peer: str = "",
        retry_after: float = 1.0,
        details: dict[str, object] | None = None,
    ):
        super().__init__(message, step=step, peer=peer, not_run=True)
        self.retry_after = retry_after
        self.details = details or {}


class PromptHeldError(OverloadedError):
    """The work was refused because a part of its prompt crashes backend servers."""

    code = "prompt_held"
    http_status = 503


class RequestHeldError(OverloadedError):
    """The work was refused because backend servers crashed each time that they ran it."""

    code = "request_held"
    http_status = 503


class LimitReachedError(OverloadedError):
    """The work was refused because clients use all that the process may give them."""

    code = "limit_reached"
    http_status = 503


class UnavailableError(VerbenaError):
    """The system can't accept the work now."""

    code = "unavailable"
    http_status = 503


class OutcomeUnknownError(VerbenaError):
    """Work that may not be repeated may have been started, and its outcome is not known."""

    code = "outcome_unknown"
    http_status = 502


class BackendError(VerbenaError):
    """A backend server can't be reached, answered with an error or stopped answering."""

    code = "backend_failed"
    http_status = 502


class BackendBusyError(BackendError):
    """A backend server reported that it did not run a call, because it is full or leaving."""

    code = "backend_busy"
    http_status = 503


class BackendReplacedError(BackendError):
    """A server other than the expected one has the address, and did not run the call."""

    code = "backend_replaced"
    http_status = 503


class BackendRefusedError(VerbenaError):
    """A backend server rejected the request; another attempt would fail in the same way.

    :param answer: the text of its answer.
    :param status: the HTTP status of its answer.
    """

    code = "backend_refused"
    http_status = 400

    def __init__(self, answer: str, peer: str, status: int = 400) -> None:
        super().__init__(answer, step="engine", peer=peer, not_run=True)
        self.status = status


class LinkSilentError(VerbenaError):
    """A peer did not answer in time, or its connection was replaced."""

    code = "link_silent"
    http_status = 504


class DeadlineError(VerbenaError):
    """A call was cancelled at its deadline; it may have run."""

    code = "deadline"
    http_status = 504


class NotLeaderError(VerbenaError):
    """The called replica does not lead its group, or can't prove that it still does.

    The peer is the leader that the replica knows, if any.
    """

    code = "not_leader"
    http_status = 503


class StorageError(VerbenaError):
    """A write to disk failed, or stored data is damaged."""

    code = "storage_failed"


class DiskFullError(StorageError):
    """The disk refused a write for lack of space; the write may be repeated."""

    code = "disk_full"


class ReplayMismatchError(VerbenaError):
    """The replay of a recorded trace did not yield the stated outcomes."""

    code = "replay_mismatch"
