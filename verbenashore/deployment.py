"""The operators' declarative file: its form, its checks, and differences between two of them."""

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
    """One team or customer, kept apart from the others.

    :param keys: SHA-256 of each key, as ``sha256:HEX``.
    :param online_concurrency: online requests at a time.
    :param online_rate: online requests a second.
    """

    name: WorkspaceId
    keys: list[str]
    online_concurrency: int = 256
    online_rate: float = 2000.0


class Service(msgspec.Struct, frozen=True):
    """Something that callers can ask for.

    :param repeatable_methods: HTTP methods of a plain service that may be run more than once.
    :param checks_fencing: true if its engines refuse orders with an old fencing number.
    """

    name: ServiceName
    kind: ServiceKind
    repeatable_methods: tuple[str, ...] = ("GET",)
    checks_fencing: bool = False


class Model(msgspec.Struct, frozen=True):
    """A model that engines can load.

    :param context_tokens: the longest prompt and answer together, in tokens.
    """

    name: str
    version: str = "1"
    adapters: list[str] = []
    context_tokens: int = 8192


class Backend(msgspec.Struct, frozen=True):
    """One backend server.

    :param address: ``IP:PORT``.
    :param slots: how many pieces of work it runs at a time.
    """

    name: BackendName
    address: str
    service: ServiceName
    data_centre: str
    region: str = "default"
    models: list[str] = []
    slots: int = 16


class OnlinePolicy(msgspec.Struct, frozen=True):
    """How online work is treated.

    :param first_token_seconds: in which the first token is wanted.
    :param token_interval_ms: the wanted time between tokens.
    :param queue_seconds: a request that would wait longer for a slot is refused.
    :param deadline_seconds: after which a request is given up.
    :param progress_seconds: without progress, after which a stream is moved elsewhere.
    :param long_tokens: estimated tokens from which a piece counts as long.
    :param long_share: the share of slots that long pieces may take while short ones wait.
    :param queue: pieces that may wait at one backend server.
    :param retry_share: retries and hedges as a share of requests.
    :param move_share: stalled streams that are resumed elsewhere, as a share of requests.
    :param hedge: true if a request without a token in time is also tried elsewhere.
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
    """How batch work is treated.

    :param window_seconds: the time to the deadline for the window ``24h`` of the interface.
    :param slots_share: the share of slots that batch work may take at most.
    :param reserve: slots kept free for online requests, beyond those that batch work gives up.
    :param ahead: batch pieces that wait inside an engine for its next free slot.
    :param prefetch: items that wait at an agent for a slot.
    """

    window_seconds: float = 86_400.0
    slots_share: float = 1.0
    reserve: int = 0
    ahead: int = 1
    prefetch: int = 4


class Retention(msgspec.Struct, frozen=True):
    """How long results stay readable, in seconds."""

    requests_seconds: float = 86_400.0
    jobs_seconds: float = 7 * 86_400.0


class Weights(msgspec.Struct, frozen=True):
    """The weight store.

    :param concurrent_loads: engines that may load at a time.
    """

    concurrent_loads: int = 2


class Deployment(msgspec.Struct, frozen=True):
    """Everything that operators declare."""

    workspace: list[Workspace] = []
    service: list[Service] = []
    model: list[Model] = []
    backend: list[Backend] = []
    online: OnlinePolicy = OnlinePolicy()
    batch: BatchPolicy = BatchPolicy()
    retention: Retention = Retention()
    weights: Weights = Weights()


_LISTS: dict[str, type] = {
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
    """Reads and checks a file whole.

    :raises DeploymentError: with every fault found, each naming its key.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise DeploymentError([f"file: {error}"]) from None
    faults: list[str] = []
    faults.extend(
        f"{key}: unknown key" for key in document if key not in _LISTS and key not in _TABLES
    )
    parts: dict[str, Any] = {
        key: _read_list(kind, document.get(key, []), key, faults) for key, kind in _LISTS.items()
    }
    parts |= {
        key: _read_table(kind, document.get(key, {}), key, faults) or kind()
        for key, kind in _TABLES.items()
    }
    deployment = Deployment(**parts)
    _check_references(deployment, faults)
    _check_values(deployment, faults)
    if faults:
        raise DeploymentError(faults)
    return deployment


def difference(old: str, new: str) -> list[str]:
    """Returns the lines that differ between two files, as a unified diff."""
    return list(
        difflib.unified_diff(old.splitlines(), new.splitlines(), "in force", "file", lineterm="")
    )


def hash_key(key: str) -> str:
    """Returns the form in which a caller's key is stored."""
    return KEY_PREFIX + misc.digest(key.encode())


def find_backend(deployment: Deployment, name: BackendName) -> Backend | None:
    """Returns a backend server, if it is configured."""
    return next((backend for backend in deployment.backend if backend.name == name), None)


def service_of_model(deployment: Deployment, model: str) -> Service | None:
    """Returns the service whose backend servers run a model."""
    names = {backend.service for backend in deployment.backend if model in backend.models}
    return next((service for service in deployment.service if service.name in names), None)


def _read_list(kind: type, value: Any, path: str, faults: list[str]) -> list[Any]:
    if not isinstance(value, list):
        faults.append(f"{path}: expected [[{path}]] tables")
        return []
    read = [
        _read_table(kind, table, f"{path}[{position}]", faults)
        for position, table in enumerate(value)
    ]
    return [item for item in read if item is not None]


def _read_table(kind: type, value: Any, path: str, faults: list[str]) -> Any:
    if not isinstance(value, dict):
        faults.append(f"{path}: expected a table")
        return None
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    found = [f"{path}.{key}: unknown key" for key in value if key not in fields]
    values = {}
    for name, field in fields.items():
        if name not in value:
            if field.required:
                found.append(f"{path}.{name}: is required")
            continue
        try:
            values[name] = msgspec.convert(value[name], field.type)
        except msgspec.ValidationError as error:
            found.append(f"{path}.{name}: {error}")
    faults.extend(found)
    return None if found else kind(**values)


def _check_references(deployment: Deployment, faults: list[str]) -> None:
    for key in _LISTS:
        names = [item.name for item in getattr(deployment, key)]
        faults.extend(
            f"{key}[{position}].name: {name!r} stands twice"
            for position, name in enumerate(names)
            if name in names[:position]
        )
    service_by_name = {service.name: service for service in deployment.service}
    models = {model.name for model in deployment.model}
    for position, backend in enumerate(deployment.backend):
        path = f"backend[{position}]"
        service = service_by_name.get(backend.service)
        if service is None:
            faults.append(f"{path}.service: there is no service {backend.service!r}")
        elif service.kind is ServiceKind.MODEL and not backend.models:
            faults.append(f"{path}.models: a model service needs at least one")
        elif service.kind is ServiceKind.PLAIN and backend.models:
            faults.append(f"{path}.models: a plain service has none")
        faults.extend(
            f"{path}.models: there is no model {model!r}"
            for model in backend.models
            if model not in models
        )


def _check_values(deployment: Deployment, faults: list[str]) -> None:
    for position, workspace in enumerate(deployment.workspace):
        path = f"workspace[{position}]"
        if not all(_is_hashed(key) for key in workspace.keys):
            faults.append(f"{path}.keys: each must be {KEY_PREFIX} and 64 hex digits")
        _check_positive(workspace, ["online_concurrency", "online_rate"], path, faults)
    for position, backend in enumerate(deployment.backend):
        path = f"backend[{position}]"
        _check_positive(backend, ["slots"], path, faults)
        try:
            parse_address(backend.address)
        except ValueError as error:
            faults.append(f"{path}.address: {error}")
    positive = ["first_token_seconds", "token_interval_ms", "deadline_seconds", "long_tokens"]
    positive += ["queue_seconds", "progress_seconds", "queue"]
    _check_positive(deployment.online, positive, "online", faults)
    _check_positive(deployment.batch, ["window_seconds"], "batch", faults)
    for path, share in (
        ("online.long_share", deployment.online.long_share),
        ("online.retry_share", deployment.online.retry_share),
        ("online.move_share", deployment.online.move_share),
        ("batch.slots_share", deployment.batch.slots_share),
    ):
        if not 0 <= share <= 1:
            faults.append(f"{path}: must be between 0 and 1")


def _check_positive(table: Any, names: list[str], path: str, faults: list[str]) -> None:
    faults.extend(f"{path}.{name}: must be above 0" for name in names if getattr(table, name) <= 0)


def _is_hashed(key: str) -> bool:
    digits = key.removeprefix(KEY_PREFIX)
    return (
        key.startswith(KEY_PREFIX) and len(digits) == 64 and set(digits) <= set("0123456789abcdef")
    )
