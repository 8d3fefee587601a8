"""The deployment file that operators write: its schema, its validation, and diffs of two files."""

import difflib
import tomllib
from typing import Any

import msgspec

from verbenashore import misc
from verbenashore.exceptions import DeploymentError
from verbenashore.settings import parse_address
from verbenashore.types import BackendName, ServiceKind, ServiceName, WorkspaceId

KEY_PREFIX = "sha256:"
HEX_DIGITS = frozenset("0123456789abcdef")


class Workspace(msgspec.Struct, frozen=True):
    """One team or customer, isolated from the others.

    :param keys: SHA-256 of each API key, as ``sha256:HEX``.
    :param online_concurrency: limit of concurrent online requests.
    :param online_rate: limit of online requests per second.
    """

    name: WorkspaceId
    keys: list[str]
    online_concurrency: int = 256
    online_rate: float = 2000.0


class Service(msgspec.Struct, frozen=True):
    """A service that callers can call, run by one or more backend servers.

    :param repeatable_methods: HTTP methods of a plain service whose calls may run more than once.
    :param checks_fencing: whether its engines refuse orders to load or unload a model that have an
        old fencing number; a declaration only, which no process of this package reads.
    """

    name: ServiceName
    kind: ServiceKind
    repeatable_methods: tuple[str, ...] = ("GET",)
    checks_fencing: bool = False


class Model(msgspec.Struct, frozen=True):
    """A model that engines can load.

    :param context_tokens: maximum tokens of prompt and answer together.
    """

    name: str
    version: str = "1"
    adapters: list[str] = []
    context_tokens: int = 8192


class Backend(msgspec.Struct, frozen=True):
    """One backend server.

    :param address: ``IP:PORT``.
    :param slots: how many pieces of work it runs concurrently.
    """

    name: BackendName
    address: str
    service: ServiceName
    data_centre: str
    region: str = "default"
    models: list[str] = []
    slots: int = 16


class OnlinePolicy(msgspec.Struct, frozen=True):
    """Scheduling of online work.

    :param first_token_seconds: target time to the first token.
    :param token_interval_ms: target time between tokens.
    :param queue_seconds: a request that would wait longer for a slot is refused.
    :param deadline_seconds: timeout of a request as a whole.
    :param progress_seconds: time without progress after which a stream is moved to another agent.
    :param long_tokens: estimated tokens from which a piece of work counts as long.
    :param long_share: the share of slots that long pieces of a work class may hold.
    :param queue: online pieces that may wait at one backend server.
    :param retry_share: retries and hedges that are allowed, as a share of requests.
    :param move_share: moves of stalled streams that are allowed, as a share of requests.
    :param hedge: whether a request whose next token is late is hedged or moved to another agent.
    """

    first_token_seconds: float = 1.5
    token_interval_ms: float = 79.0
    queue_seconds: float = 2.0
    deadline_seconds: float = 60.0
    progress_seconds: float = 5.0
    long_tokens: int = 1000
    long_share: float = 0.5
    queue: int = 200
    retry_share: float = 0.05
    move_share: float = 0.1
    hedge: bool = True


class BatchPolicy(msgspec.Struct, frozen=True):
    """Scheduling of batch work.

    :param window_seconds: time to the deadline for the completion window ``24h``.
    :param slots_share: the largest share of slots that batch work may hold.
    :param reserve: slots by which the limit of batch pieces at a server is lowered, so that online
        requests find free slots.
    :param ahead: batch pieces by which that limit is raised, to wait inside the engine for its next
        free slot.
    :param prefetch: items that an agent fetches beyond that limit, to wait for a slot.
    """

    window_seconds: float = 86_400.0
    slots_share: float = 1.0
    reserve: int = 0
    ahead: int = 1
    prefetch: int = 4


class Retention(msgspec.Struct, frozen=True):
    """How long results are kept, in seconds."""

    requests_seconds: float = 86_400.0
    jobs_seconds: float = 7 * 86_400.0


class Weights(msgspec.Struct, frozen=True):
    """The weight store.

    :param concurrent_loads: how many engines may load from it concurrently.
    """

    concurrent_loads: int = 2


class Deployment(msgspec.Struct, frozen=True):
    """The contents of a deployment file."""

    workspace: list[Workspace] = []
    service: list[Service] = []
    model: list[Model] = []
    backend: list[Backend] = []
    online: OnlinePolicy = OnlinePolicy()
    batch: BatchPolicy = BatchPolicy()
    retention: Retention = Retention()
    weights: Weights = Weights()


_TABLE_ARRAYS: dict[str, type] = {
    "workspace": Workspace,
    "service": Service,
    "model": Model,
    "backend": Backend,
}
_TABLES: dict[str, type] = {
    "online": OnlinePolicy,
    "batch": BatchPolicy,
    "retention": Retention,
    "weights": Weights,
}


def parse(text: str) -> Deployment:
    """Parses and validates a deployment file.

    :raises DeploymentError: with all problems found, each starting with its key.
    """
    return from_document(load(text))


def load(text: str) -> dict[str, Any]:
    """Returns the contents of a TOML file, not yet validated.

    :raises DeploymentError: if it is not TOML.
    """
    try:
        return tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # Numbers of too many digits and deep nesting raise other errors than bad syntax.
        raise DeploymentError([f"file: {error}"]) from None


def from_document(document: dict[str, Any]) -> Deployment:
    """Validates the contents of a deployment file.

    :raises DeploymentError: with all problems found, each starting with its key.
    """
    problems: list[str] = []
    problems.extend(
        f"{key}: unknown key" for key in document if key not in _TABLE_ARRAYS and key not in _TABLES
    )
    sections: dict[str, Any] = {
        key: _read_table_array(struct_type, document.get(key, []), key, problems)
        for key, struct_type in _TABLE_ARRAYS.items()
    }
    sections |= {
        key: _read_table(struct_type, document.get(key, {}), key, problems) or struct_type()
        for key, struct_type in _TABLES.items()
    }
    deployment = Deployment(**sections)
    _check_references(deployment, problems)
    _check_values(deployment, problems)
    if problems:
        raise DeploymentError(problems)
    return deployment


def difference(old: str, new: str) -> list[str]:
    """Returns the unified diff of two files, line by line."""
    return list(
        difflib.unified_diff(old.splitlines(), new.splitlines(), "in force", "file", lineterm="")
    )


def hash_key(key: str) -> str:
    """Returns the hash of an API key, as deployment files and settings hold it."""
    return KEY_PREFIX + misc.sha256_hex(key.encode())


def find_backend(deployment: Deployment, name: BackendName) -> Backend | None:
    """Returns the backend server of a name, or None if it is not configured."""
    return next((backend for backend in deployment.backend if backend.name == name), None)


def service_of_model(deployment: Deployment, model: str) -> Service | None:
    """Returns the service whose backend servers run a model, or None if there is none."""
    names = {backend.service for backend in deployment.backend if model in backend.models}
    return next((service for service in deployment.service if service.name in names), None)


def _read_table_array(struct_type: type, value: Any, path: str, problems: list[str]) -> list[Any]:
    if not isinstance(value, list):
        problems.append(f"{path}: expected [[{path}]] tables")
        return []
    items = [
        _read_table(struct_type, table, f"{path}[{position}]", problems)
        for position, table in enumerate(value)
    ]
    return [item for item in items if item is not None]


def _read_table(struct_type: type, value: Any, path: str, problems: list[str]) -> Any:
    if not isinstance(value, dict):
        problems.append(f"{path}: expected a table")
        return None
    fields = {field.name: field for field in msgspec.structs.fields(struct_type)}
    table_problems = [f"{path}.{key}: unknown key" for key in value if key not in fields]
    values = {}
    for name, field in fields.items():
        if name not in value:
            if field.required:
                table_problems.append(f"{path}.{name}: is required")
            continue
        try:
            values[name] = msgspec.convert(value[name], field.type)
        except msgspec.ValidationError as error:
            table_problems.append(f"{path}.{name}: {error}")
    problems.extend(table_problems)
    return None if table_problems else struct_type(**values)


def _check_references(deployment: Deployment, problems: list[str]) -> None:
    for key in _TABLE_ARRAYS:
        names = [item.name for item in getattr(deployment, key)]
        problems.extend(
            f"{key}[{position}].name: {name!r} is not unique"
            for position, name in enumerate(names)
            if name in names[:position]
        )
    service_by_name = {service.name: service for service in deployment.service}
    models = {model.name for model in deployment.model}
    for position, backend in enumerate(deployment.backend):
        path = f"backend[{position}]"
        service = service_by_name.get(backend.service)
        if service is None:
            problems.append(f"{path}.service: there is no service {backend.service!r}")
        elif service.kind is ServiceKind.MODEL and not backend.models:
            problems.append(f"{path}.models: a model service needs at least one model")
        elif service.kind is ServiceKind.PLAIN and backend.models:
            problems.append(f"{path}.models: a plain service must have no models")
        problems.extend(
            f"{path}.models: there is no model {model!r}"
            for model in backend.models
            if model not in models
        )


def _check_values(deployment: Deployment, problems: list[str]) -> None:
    for position, workspace in enumerate(deployment.workspace):
        path = f"workspace[{position}]"
        if not all(_is_key_hash(key) for key in workspace.keys):
            problems.append(f"{path}.keys: each must be {KEY_PREFIX} followed by 64 hex digits")
        _check_positive(workspace, ["online_concurrency", "online_rate"], path, problems)
    for position, backend in enumerate(deployment.backend):
        path = f"backend[{position}]"
        _check_positive(backend, ["slots"], path, problems)
        try:
            parse_address(backend.address)
        except ValueError as error:
            problems.append(f"{path}.address: {error}")
    positive = ["first_token_seconds", "token_interval_ms", "deadline_seconds", "long_tokens"]
    positive += ["queue_seconds", "progress_seconds", "queue"]
    _check_positive(deployment.online, positive, "online", problems)
    _check_positive(deployment.batch, ["window_seconds"], "batch", problems)
    for path, share in (
        ("online.long_share", deployment.online.long_share),
        ("online.retry_share", deployment.online.retry_share),
        ("online.move_share", deployment.online.move_share),
        ("batch.slots_share", deployment.batch.slots_share),
    ):
        if not 0 <= share <= 1:
            problems.append(f"{path}: must be between 0 and 1")


def _check_positive(table: Any, names: list[str], path: str, problems: list[str]) -> None:
    problems.extend(
        f"{path}.{name}: must be above 0" for name in names if getattr(table, name) <= 0
    )


def _is_key_hash(key: str) -> bool:
    digits = key.removeprefix(KEY_PREFIX)
    return (
        key.startswith(KEY_PREFIX) and len(digits) == 64 and set(digits) <= set("0123456789abcdef")
    )
