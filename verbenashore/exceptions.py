"""Every error that verbenashore raises on purpose."""


class VerbenaError(Exception):
    """The base of all errors of this package.

    :param message: what happened, for a person.
    :param step: the step at which it arose, such as ``dispatch``.
    :param peer: the process or backend server it arose with.
    :param field: the input field at fault, if one is.
    :param not_run: true only if the sender can prove that the work was not run.
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


class SettingsError(VerbenaError):
    """One or more settings of a process are missing or malformed.

    :param faults: one line for each bad setting.
    """

    code = "bad_settings"

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults), step="settings")
        self.faults = faults


class DeploymentError(VerbenaError):
    """A deployment file has faults.

    :param faults: one line for each fault, starting with the key in the file.
    """

    code = "bad_deployment"
    http_status = 400

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults), step="validate", field="file", not_run=True)
        self.faults = faults


class BadRequestError(VerbenaError):
    """The caller's input is malformed."""

    code = "bad_request"
    http_status = 400


def bad_field(field: str, problem: str) -> BadRequestError:
    """Returns the refusal of a request for one of its fields."""
    return BadRequestError(f"{field} {problem}", step="parse", field=field, not_run=True)


class TooLargeError(VerbenaError):
    """A body or header is over its limit."""

    code = "too_large"
    http_status = 413


class SlowClientError(VerbenaError):
    """The caller did not send its request in time."""

    code = "request_timeout"
    http_status = 408


class UnauthorizedError(VerbenaError):
    """The key is missing or wrong."""

    code = "unauthorized"
    http_status = 401


class NotFoundError(VerbenaError):
    """There is no such thing in the caller's workspace."""

    code = "not_found"
    http_status = 404


class KeyConflictError(VerbenaError):
    """An idempotency key was used before with another body."""

    code = "key_conflict"
    http_status = 409


class RevisionConflictError(VerbenaError):
    """Another change won the race for this revision.

    :param revision: the revision in force.
    :param winner: the change id that made it.
    """

    code = "revision_conflict"
    http_status = 409

    def __init__(self, revision: int, winner: str) -> None:
        super().__init__(
            f"revision {revision} was made by change {winner}", step="apply", not_run=True
        )
        self.revision = revision
        self.winner = winner


class OverloadedError(VerbenaError):
    """The work was refused before it ran.

    :param retry_after: seconds after which a retry is worthwhile.
    """

    code = "overloaded"
    http_status = 429

    def __init__(self, message: str, *, step: str = "", peer: str = "", retry_after: float = 1.0):
        super().__init__(message, step=step, peer=peer, not_run=True)
        self.retry_after = retry_after


class UnavailableError(VerbenaError):
    """The system can't take the work now."""

    code = "unavailable"
    http_status = 503


class OutcomeUnknownError(VerbenaError):
    """Work that may not be repeated was started and its outcome can't be learned."""

    code = "outcome_unknown"
    http_status = 502


class BackendError(VerbenaError):
    """A backend server answered with an error or stopped answering."""

    code = "backend_failed"
    http_status = 502


class BackendBusyError(BackendError):
    """A backend server stated that it did not run a call, for it is full or leaving."""

    code = "backend_busy"
    http_status = 503


class BackendReplacedError(BackendError):
    """Another backend server than the expected one answered, and did not run the call."""

    code = "backend_replaced"
    http_status = 503


class BackendRefusedError(VerbenaError):
    """A backend server refused a request by itself; another attempt would end alike.

    :param answer: what it said.
    :param status: its HTTP status.
    """

    code = "backend_refused"
    http_status = 400

    def __init__(self, answer: str, peer: str, status: int = 400) -> None:
        super().__init__(answer, step="engine", peer=peer, not_run=True)
        self.status = status


class LinkSilentError(VerbenaError):
    """A peer did not answer in time, and its connection was replaced."""

    code = "link_silent"
    http_status = 504


class DeadlineError(VerbenaError):
    """A call was ended because its time was over; it may have run."""

    code = "deadline"
    http_status = 504


class NotLeaderError(VerbenaError):
    """The replica asked does not lead its group, or may no longer say that it does."""

    code = "not_leader"
    http_status = 503


class StorageError(VerbenaError):
    """The disk refused a write, or holds damaged data."""

    code = "storage_failed"


class ReplayMismatchError(VerbenaError):
    """A recorded trace did not lead to the stated outcomes."""

    code = "replay_mismatch"
