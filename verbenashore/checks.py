"""Checks a configuration before it is sent, and compares it with another; without I/O.

Errors are those that the system itself finds, and refuses the configuration for.  Warnings are
about what it accepts although it can't be meant: entries that never match, and limits that
contradict each other.  Neither API keys nor their hashes appear in what is reported.

Runs once for each file, outside of the processes that serve calls.
"""

import re
from collections import Counter
from collections.abc import Iterator
from enum import Enum

import msgspec

from verbenashore import deployment, differences, routing
from verbenashore.deployment import Backend, Deployment
from verbenashore.differences import Difference
from verbenashore.exceptions import DeploymentError, UnreadableFileError
from verbenashore.routing import CallerLimits, Route, RouteKind, RouteTable, Workspace
from verbenashore.settings import parse_address
from verbenashore.types import ServiceKind

EXIT_CLEAN = 0
EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2
MAX_PORT = 65535

_PERCENT = r"%[0-9A-Fa-f]{2}"
#: The value of a well-formed Host header (RFC 9110, 7.2, and RFC 3986, 3.2.2).
_HOST = re.compile(
    r"(?:\[(?:[0-9A-Fa-f:.]+|[vV][0-9A-Fa-f]+\.[\w.~!$&'()*+,;=:-]+)\]"
    rf"|(?:[\w.~!$&'()*+,;=-]|{_PERCENT})*)(?::[0-9]*)?",
    re.ASCII,
)
#: The path of a well-formed request target (RFC 9112, 3.2.1).
_PATH = re.compile(rf"/(?:[\w.~!$&'()*+,;=:@/-]|{_PERCENT})*", re.ASCII)
_DOT_SEGMENT = re.compile(r"/\.\.?/")
_KEY_HASH = re.compile(re.escape(deployment.KEY_PREFIX) + "[0-9A-Fa-f]+")


class Severity(Enum):
    """Whether the system refuses a configuration for a finding."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True):
    """What is wrong with one field.

    :param path: of the field in the file, such as ``routes[3].timeout``.
    """

    severity: Severity
    path: str
    message: str


class Report(msgspec.Struct, frozen=True):
    """The result of a check.

    :param differences: from the other file, those that matter most to callers first; None if the
        files were not compared, since there is no other one or this one has errors.
    """

    findings: list[Finding]
    differences: list[Difference] | None = None


def exit_code(report: Report) -> int:
    """Returns the exit code of a command that made a report; differences are not findings."""
    return EXIT_FINDINGS if report.findings else EXIT_CLEAN


def render(report: Report) -> str:
    """Returns a report as text."""
    lines = [
        f"{finding.severity.value}: {finding.path}: {finding.message}"
        for finding in report.findings
    ]
    lines = lines or ["no findings"]
    if report.differences is not None:
        lines += [
            f"{found.impact.value}: {found.path}: {found.message}; {found.effect}"
            for found in report.differences
        ] or ["no differences"]
    return "\n".join(lines)


def check_deployment(text: str, other_text: str | None = None) -> Report:
    """Checks a deployment file.

    :param other_text: the file to compare it with, if any.
    :raises UnreadableFileError: if it is not TOML, or the other one is not valid.
    """
    other = _read_other(other_text) if other_text is not None else None
    try:
        document = deployment.load(text)
    except DeploymentError as error:
        raise UnreadableFileError(error.message, step="check") from None
    try:
        checked = deployment.from_document(document)
    except DeploymentError as error:
        return Report([_error_of(problem) for problem in error.problems])
    findings = list(_deployment_warnings(checked))
    return Report(findings, None if other is None else differences.of_deployments(other, checked))


def check_table(table: RouteTable, other: RouteTable | None = None, job_tokens: int = 1) -> Report:
    """Checks a route table.

    :param other: the table to compare it with, if any.
    :param job_tokens: tokens of the largest job that must fit under the cap of a batch route.
    :raises UnreadableFileError: if the other table is not valid.
    """
    if other is not None and (errors := routing.validation_errors(other)):
        raise UnreadableFileError(f"the other file is not valid: {errors[0]}", step="check")
    errors_of_table = routing.field_errors(table)
    findings = [
        Finding(Severity.ERROR, error.path, f"{error.owner}: {error.message}")
        for error in errors_of_table
    ]
    findings += _table_warnings(table, job_tokens, {error.path for error in errors_of_table})
    if other is None or errors_of_table:
        return Report(findings)
    if table.version <= other.version and table != other:
        message = f"not above {other.version}, that of the other file, so it can't replace it"
        findings.append(_warn("version", message))
    return Report(findings, differences.of_tables(other, table))


def _read_other(text: str) -> Deployment:
    try:
        return deployment.parse(text)
    except DeploymentError as error:
        message = _KEY_HASH.sub("a key", error.problems[0])
        raise UnreadableFileError(f"the other file is not valid: {message}", step="check") from None


def _error_of(problem: str) -> Finding:
    """Returns the finding of a problem; a misplaced hash may be part of its path."""
    path, _, message = problem.partition(": ")
    return Finding(Severity.ERROR, *(_KEY_HASH.sub("a key", part) for part in (path, message)))


def _warn(path: str, message: str) -> Finding:
    return Finding(Severity.WARNING, path, message)


def _table_warnings(
    table: RouteTable, job_tokens: int, invalid_paths: set[str]
) -> Iterator[Finding]:
    if not table.version:
        yield _warn("version", "version 0 never comes into force")
    route_names = Counter(route.name for route in table.routes)
    for position, route in enumerate(table.routes):
        path = f"routes[{position}]"
        if route_names[route.name] > 1:
            yield _warn(f"{path}.name", f"another route is named {route.name!r}")
        if problem := _host_problem(route.host):
            yield _warn(f"{path}.host", problem)
        if f"{path}.prefix" not in invalid_paths and (problem := _prefix_problem(route.prefix)):
            yield _warn(f"{path}.prefix", problem)
        if f"{path}.shares" not in invalid_paths:
            yield from (
                _warn(f"{path}.shares[{number}].weight", f"{share.service!r} gets no calls")
                for number, share in enumerate(route.shares)
                if not share.weight
            )
        if f"{path}.timeout" not in invalid_paths:
            yield from _duration_warnings(route, path)
        if route.kind is RouteKind.BATCH:
            yield from _job_warnings(route, path, job_tokens)
    yield from _service_warnings(table)
    for position, workspace in enumerate(table.workspaces or ()):
        path = f"workspaces[{position}]"
        yield from _workspace_warnings(workspace, path, invalid_paths)
    if table.workspaces == () and not all(route.public for route in table.routes):
        yield _warn("workspaces", "there are none, so only public routes can be called")
    yield from _limit_warnings(table.limits)


def _host_problem(host: str) -> str:
    if not host:
        return "only requests that name no host match"
    if not _HOST.fullmatch(host):
        return f"no well-formed request has the host {host!r}"
    port = host.rpartition(":")[2].lstrip("0") if ":" in host and host[-1] != "]" else ""
    if len(port) > 5 or port and int(port) > MAX_PORT:
        return f"there is no port above {MAX_PORT}"
    if "*" in host:
        return f"hosts are compared exactly, so {host!r} is no pattern"
    if host != host.lower():
        return "hosts are compared exactly, and clients usually send them in lower case"
    return ""


def _prefix_problem(prefix: str) -> str:
    if not _PATH.fullmatch(prefix):
        return f"no well-formed request has a path that begins with {prefix!r}"
    if _DOT_SEGMENT.search(prefix):
        return "clients resolve the segments '.' and '..' before they send a path"
    return ""


def _duration_warnings(route: Route, path: str) -> Iterator[Finding]:
    if route.objective <= 0:
        yield _warn(f"{path}.objective", "no answer can be on time: the objective is not positive")
    elif route.objective > route.timeout:
        yield _warn(
            f"{path}.objective",
            f"the objective of {differences.show_value(route.objective, ' s')} is above the"
            f" timeout of {differences.show_value(route.timeout, ' s')}",
        )
    if route.kind is RouteKind.STREAM and route.pause > route.timeout:
        yield _warn(f"{path}.pause", "the longest pause between events is above the timeout")


def _job_warnings(route: Route, path: str, job_tokens: int) -> Iterator[Finding]:
    if 0 < route.give_up_after < route.completion_objective:
        yield _warn(
            f"{path}.completion_objective",
            f"results are due in {differences.show_value(route.completion_objective, ' s')}, but"
            f" items are given up after {differences.show_value(route.give_up_after, ' s')}",
        )
    if 0 < route.token_cap < job_tokens:
        yield _warn(
            f"{path}.token_cap",
            f"the cap of {route.token_cap} tokens is below one job of {job_tokens}",
        )


def _service_warnings(table: RouteTable) -> Iterator[Finding]:
    used = {share.service for route in table.routes for share in route.shares}
    names = Counter(service.name for service in table.services)
    for position, service in enumerate(table.services):
        path = f"services[{position}].name"
        if names[service.name] > 1:
            yield _warn(path, f"another service is named {service.name!r}; only the last counts")
        if service.name not in used:
            yield _warn(path, f"no route uses service {service.name!r}")


def _workspace_warnings(
    workspace: Workspace, path: str, invalid_paths: set[str]
) -> Iterator[Finding]:
    if not workspace.key_hashes:
        yield _warn(f"{path}.key_hashes", "without keys, no call has this workspace")
    if {f"{path}.per_second", f"{path}.burst"} & invalid_paths:
        return
    if not workspace.per_second:
        if workspace.burst:
            yield _warn(f"{path}.burst", "a burst without a rate limits nothing")
    elif workspace.per_second + workspace.burst < 1:
        yield _warn(
            f"{path}.burst", "rate and burst add up to less than one request: none is let in"
        )
    elif workspace.burst < 1:
        yield _warn(f"{path}.burst", "the burst is below one request")


def _limit_warnings(limits: CallerLimits) -> Iterator[Finding]:
    reasons = {
        "header_bytes": "leaves no room for the head of a request",
        "body_bytes": "leaves no room for a body",
        "header_seconds": "leaves no time to send the head of a request",
        "idle_seconds": "leaves no time to send a request on a connection",
    }
    for name, reason in reasons.items():
        if getattr(limits, name) <= 0:
            yield _warn(f"limits.{name}", reason)


def _deployment_warnings(checked: Deployment) -> Iterator[Finding]:
    key_counts = Counter(key for item in checked.workspace for key in set(item.keys))
    for position, workspace in enumerate(checked.workspace):
        path = f"workspace[{position}].keys"
        if not workspace.keys:
            yield _warn(path, "without keys, nobody can call for this workspace")
        if any(key_counts[key] > 1 for key in workspace.keys):
            yield _warn(path, "another workspace has one of its keys; the last one gets the calls")
    used_services = {backend.service for backend in checked.backend}
    for position, service in enumerate(checked.service):
        path = f"service[{position}]"
        if service.name not in used_services:
            yield _warn(f"{path}.name", f"no backend server runs service {service.name!r}")
        if any(method != method.upper() for method in service.repeatable_methods):
            message = "methods are compared exactly, and requests have them in capitals"
            yield _warn(f"{path}.repeatable_methods", message)
    used_models = {model for backend in checked.backend for model in backend.models}
    for position, model in enumerate(checked.model):
        if model.name not in used_models:
            yield _warn(f"model[{position}].name", f"no backend server runs model {model.name!r}")
    yield from _backend_warnings(checked)
    yield from _policy_warnings(checked)


def _backend_warnings(checked: Deployment) -> Iterator[Finding]:
    kind_by_service = {service.name: service.kind for service in checked.service}
    addresses = Counter(backend.address for backend in checked.backend)
    for position, backend in enumerate(checked.backend):
        path = f"backend[{position}]"
        if addresses[backend.address] > 1:
            yield _warn(f"{path}.address", "another backend server has this address")
        if not parse_address(backend.address).port:
            yield _warn(f"{path}.address", "no server can be reached at port 0")
        is_model = kind_by_service[backend.service] is ServiceKind.MODEL
        if is_model and _batch_slots(checked, backend) < 1:
            message = "the shares and reserves under [batch] leave no slot for batch work"
            yield _warn(f"{path}.slots", message)


def _batch_slots(checked: Deployment, backend: Backend) -> int:
    """Returns how many batch pieces may run while there is no online work."""
    batch = checked.batch
    return min(int(backend.slots * batch.slots_share), backend.slots - batch.reserve + batch.ahead)


def _policy_warnings(checked: Deployment) -> Iterator[Finding]:
    online = checked.online
    for name in ("first_token_seconds", "queue_seconds", "progress_seconds"):
        value = getattr(online, name)
        if value > online.deadline_seconds:
            message = f"{differences.show_value(value, ' s')} is above deadline_seconds"
            yield _warn(f"online.{name}", message)
    if online.token_interval_ms / 1000 > online.progress_seconds:
        message = "a stream that is on time is moved: the interval is above progress_seconds"
        yield _warn("online.token_interval_ms", message)
    if checked.weights.concurrent_loads < 1:
        yield _warn("weights.concurrent_loads", "no engine may load a model")
