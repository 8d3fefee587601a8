"""What callers notice when one configuration replaces another; without I/O.

Keys are counted, and neither they nor their hashes appear in a difference.
"""

from collections.abc import Iterator, Mapping, Sequence
from enum import Enum
from typing import Any

import msgspec

from verbenashore.deployment import Deployment
from verbenashore.routing import Route, RouteIndex, RouteTable, Share

NO_EFFECT = "callers send the same as before"
#: Milliseconds and the like are shown without the digits that only binary numbers have.
SHOWN_DIGITS = 6


class Impact(Enum):
    """How much callers notice of a difference; the first matters most."""

    REMOVED = "removed"
    ACCESS_REMOVED = "access removed"
    LIMIT_LOWERED = "limit lowered"
    OTHER = "changed"


class Difference(msgspec.Struct, frozen=True):
    """One difference between two configurations.

    :param path: of the field; of something that was removed, its path in the other file.
    :param effect: what callers notice.
    """

    impact: Impact
    path: str
    message: str
    effect: str


class _Rule(msgspec.Struct, frozen=True):
    """How changes of a field are reported.

    :param lowered: the effect of a lower value.
    :param raised: the effect of a higher one, or of any change of a value that isn't a number.
    :param is_limit: true if a lower value takes something from callers.
    :param zero_is_unlimited: true if 0 stands for no limit.
    """

    label: str
    lowered: str
    raised: str
    unit: str = ""
    is_limit: bool = False
    zero_is_unlimited: bool = False


def _limit(label: str, lowered: str, raised: str, unit: str = "", *, zero: bool = False) -> _Rule:
    return _Rule(label, lowered, raised, unit, True, zero)


_KIND = "calls may run more or less often than callers expect, or are answered in another form"
_PAUSE = "streams leave silent servers after another time"
_DUE = "items of jobs run in the order of other times at which they are due"
_ROUTE_RULES = {
    "name": _Rule("name", "", "queued jobs and metrics have the former name"),
    "kind": _Rule("kind", "", _KIND),
    "timeout": _limit("timeout", "calls are ended earlier", "calls may take longer", " s"),
    "objective": _Rule(
        "objective",
        "calls that would wait longer are refused earlier",
        "calls may wait longer before they are refused",
        " s",
    ),
    "shares": _Rule("services", "", "calls are divided among services in another way"),
    "priority": _Rule(
        "priority", "calls go before those that they followed", "calls go after others"
    ),
    "max_attempts": _limit(
        "attempts", "failures reach callers after fewer attempts", "more failures are hidden"
    ),
    "resumable": _Rule(
        "resumable", "a stream breaks off with its server", "a stream goes on at another server"
    ),
    "pause": _Rule("longest pause", _PAUSE, _PAUSE, " s"),
    "token_cap": _limit(
        "cap", "jobs are refused earlier", "more jobs may wait", " tokens", zero=True
    ),
    "completion_objective": _Rule("completion objective", _DUE, _DUE, " s"),
    "give_up_after": _limit(
        "time to give up",
        "items are given up earlier",
        "items are given up later",
        " s",
        zero=True,
    ),
}
_SERVICE_RULES = {
    "health_path": _Rule("health path", "", "servers are checked at another path"),
}
_PLACE = "its calls have another place in queues"
_WORKSPACE_RULES = {
    "priority": _Rule("priority", _PLACE, _PLACE),
    "per_second": _limit(
        "rate",
        "more of its calls get 429",
        "fewer of its calls get 429",
        " per second",
        zero=True,
    ),
    "burst": _limit(
        "burst", "more of its calls that come at once get 429", "more calls may come at once"
    ),
}
_LIMIT_RULES = {
    "header_bytes": _limit(
        "size of a head", "longer heads are refused", "longer heads are accepted", " bytes"
    ),
    "body_bytes": _limit(
        "size of a body", "larger bodies are refused", "larger bodies are accepted", " bytes"
    ),
    "header_seconds": _limit(
        "time for a head", "slow callers are cut earlier", "slow callers get longer", " s"
    ),
    "idle_seconds": _limit(
        "idle time", "unused connections close earlier", "connections stay open longer", " s"
    ),
}
_DEPLOYED_WORKSPACE_RULES = {
    "online_concurrency": _limit(
        "concurrent requests", "more of its requests get 429", "more requests may run at a time"
    ),
    "online_rate": _limit(
        "rate", "more of its requests get 429", "fewer of its requests get 429", " per second"
    ),
}
_DEPLOYED_SERVICE_RULES = {
    "kind": _Rule("kind", "", "it is called in another way"),
    "repeatable_methods": _Rule("repeatable methods", "", "lost calls are repeated or no longer"),
}
_MODEL_RULES = {
    "version": _Rule("version", "", "answers come from another version"),
    "adapters": _Rule("adapters", "", "requests for adapters that are gone are refused"),
    "context_tokens": _limit(
        "context", "longer prompts are refused", "longer prompts are accepted", " tokens"
    ),
}
_BACKEND_RULES = {
    "slots": _limit("slots", "there is room for less work", "there is room for more work"),
    "models": _Rule("models", "", "its models are served by fewer or by more servers"),
}
_POLICY_RULES = {
    "queue_seconds": _limit(
        "longest wait", "requests are refused earlier", "requests may wait longer", " s"
    ),
    "deadline_seconds": _limit(
        "deadline", "requests are ended earlier", "requests may take longer", " s"
    ),
    "queue": _limit("queue", "requests are refused earlier", "more requests may wait"),
    "window_seconds": _Rule(
        "completion window", "batches expire earlier", "batches may take longer", " s"
    ),
    "requests_seconds": _limit(
        "retention", "results are gone earlier", "results stay readable longer", " s"
    ),
    "jobs_seconds": _limit(
        "retention of batches", "results are gone earlier", "results stay readable longer", " s"
    ),
}


def of_tables(before: RouteTable, after: RouteTable) -> list[Difference]:
    """Returns the differences of two valid route tables, in order of impact on callers."""
    found = [
        *_route_differences(before, after),
        *_table_workspace_differences(before, after),
        *_item_differences(
            before.services, after.services, "services", "no call goes to it", _SERVICE_RULES
        ),
        *_field_differences(before.limits, after.limits, "limits", "", _LIMIT_RULES),
    ]
    return _in_order(found)


def of_deployments(before: Deployment, after: Deployment) -> list[Difference]:
    """Returns the differences of two deployment files, in order of impact on callers."""
    found = [
        *_item_differences(
            before.service,
            after.service,
            "service",
            "calls to it are refused",
            _DEPLOYED_SERVICE_RULES,
            Impact.REMOVED,
        ),
        *_item_differences(
            before.model,
            after.model,
            "model",
            "requests for it are refused",
            _MODEL_RULES,
            Impact.REMOVED,
        ),
        *_key_differences(
            {item.name: item.keys for item in before.workspace},
            {item.name: item.keys for item in after.workspace},
            "workspace",
            "keys",
            "requests with them get 401",
        ),
        *_item_differences(
            before.workspace, after.workspace, "workspace", None, _DEPLOYED_WORKSPACE_RULES
        ),
        *_item_differences(
            before.backend,
            after.backend,
            "backend",
            "there is room for less work",
            _BACKEND_RULES,
            Impact.LIMIT_LOWERED,
        ),
    ]
    for name in ("online", "batch", "retention", "weights"):
        found += _field_differences(
            getattr(before, name), getattr(after, name), name, "", _POLICY_RULES
        )
    return _in_order(found)


def show_value(value: Any, unit: str = "") -> str:
    """Returns a value of a field as text."""
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, Share):
        return f"{value.service} {show_value(value.weight)}"
    if isinstance(value, list | tuple):
        return ", ".join(map(show_value, value)) or "none"
    if isinstance(value, float):
        return f"{round(value, SHOWN_DIGITS):.{SHOWN_DIGITS}f}".rstrip("0").rstrip(".") + unit
    return f"{value}{unit}"


def _in_order(found: list[Difference]) -> list[Difference]:
    order = {impact: position for position, impact in enumerate(Impact)}
    return sorted(found, key=lambda difference: order[difference.impact])


def _route_differences(before: RouteTable, after: RouteTable) -> Iterator[Difference]:
    old_index, new_index = RouteIndex(before), RouteIndex(after)
    for position, route in enumerate(before.routes):
        if (route.host, route.prefix) not in new_index.route_by_prefix:
            successor = new_index.find(route.host, route.prefix)
            effect = (
                f"its calls are handled by route {successor.name!r}"
                if successor is not None
                else "its calls get 404"
            )
            message = f"{_route_label(route)} is removed"
            yield Difference(Impact.REMOVED, f"routes[{position}]", message, effect)
    for position, route in enumerate(after.routes):
        path, label = f"routes[{position}]", _route_label(route)
        old = old_index.route_by_prefix.get((route.host, route.prefix))
        if old is None:
            former = old_index.find(route.host, route.prefix)
            effect = (
                f"calls that route {former.name!r} handled go there"
                if former is not None
                else "calls that got 404 are handled"
            )
            yield Difference(Impact.OTHER, path, f"{label} is added", effect)
            continue
        yield from _field_differences(old, route, path, label, _ROUTE_RULES, ("public",))
        if old.public and not route.public and after.workspaces is not None:
            effect = "calls without a key get 401"
            yield Difference(
                Impact.ACCESS_REMOVED, f"{path}.public", f"{label}: no longer public", effect
            )
        elif old.public != route.public:
            effect = "calls need no key" if route.public else NO_EFFECT
            message = f"{label}: {'public' if route.public else 'no longer public'}"
            yield Difference(Impact.OTHER, f"{path}.public", message, effect)


def _route_label(route: Route) -> str:
    return f"route {route.name!r} at {route.host}{route.prefix}"


def _table_workspace_differences(before: RouteTable, after: RouteTable) -> Iterator[Difference]:
    if before.workspaces is None and after.workspaces is not None:
        effect = "calls without a known key get 401 unless their route is public"
        yield Difference(Impact.ACCESS_REMOVED, "workspaces", "workspaces are introduced", effect)
        return
    if before.workspaces is not None and after.workspaces is None:
        effect = "calls need no key, and keys are forwarded to servers like other headers"
        yield Difference(Impact.OTHER, "workspaces", "there are no workspaces any more", effect)
        return
    old, new = before.workspaces or (), after.workspaces or ()
    yield from _key_differences(
        {workspace.name: workspace.key_hashes for workspace in old},
        {workspace.name: workspace.key_hashes for workspace in new},
        "workspaces",
        "key_hashes",
        "calls with them get 401 unless their route is public",
    )
    yield from _item_differences(old, new, "workspaces", None, _WORKSPACE_RULES)


def _key_differences(
    before: Mapping[Any, Sequence[str]],
    after: Mapping[Any, Sequence[str]],
    section: str,
    field: str,
    refusal: str,
) -> Iterator[Difference]:
    """Yields how many keys of each workspace were removed, moved to another one, and added."""
    new_owner = {key: name for name, keys in after.items() for key in keys}
    known = {key for keys in before.values() for key in keys}
    new_position = {name: position for position, name in enumerate(after)}
    for position, (name, keys) in enumerate(before.items()):
        label = f"workspace {name!r}"
        is_kept = name in after
        path = f"{section}[{new_position[name]}].{field}" if is_kept else f"{section}[{position}]"
        label += "" if is_kept else ", which is removed"
        removed = sum(key not in new_owner for key in set(keys))
        moved = sum(new_owner.get(key, name) != name for key in set(keys))
        if removed:
            message = f"{label}: {_count_keys(removed)} removed"
            yield Difference(Impact.ACCESS_REMOVED, path, message, refusal)
        if moved:
            message = f"{label}: {_count_keys(moved)} moved to another workspace"
            effect = "their callers no longer see its jobs, and have the limits of the other"
            yield Difference(Impact.ACCESS_REMOVED, path, message, effect)
        if not is_kept and not removed and not moved:
            yield Difference(Impact.OTHER, path, label, "it had no keys")
    for name, keys in after.items():
        added = sum(key not in known for key in set(keys))
        if added or name not in before:
            label = f"workspace {name!r}" + ("" if name in before else ", which is new")
            yield Difference(
                Impact.OTHER,
                f"{section}[{new_position[name]}].{field}",
                f"{label}: {_count_keys(added)} added",
                "calls with them are accepted" if added else "it gets no calls by new keys",
            )


def _count_keys(count: int) -> str:
    return "1 key" if count == 1 else f"{count} keys"


def _item_differences(
    before: Sequence[Any],
    after: Sequence[Any],
    section: str,
    removal: str | None,
    rules: Mapping[str, _Rule],
    removal_impact: Impact = Impact.OTHER,
) -> Iterator[Difference]:
    """Yields the differences of two lists of items with names.

    :param removal: the effect of a removed item; None if added and removed ones are reported
        elsewhere.
    """
    old_by_name = {item.name: item for item in before}
    new_names = {item.name for item in after}
    noun = section.rstrip("s")
    if removal is not None:
        for position, item in enumerate(before):
            if item.name not in new_names:
                message = f"{noun} {item.name!r} is removed"
                yield Difference(removal_impact, f"{section}[{position}]", message, removal)
    for position, item in enumerate(after):
        path, label = f"{section}[{position}]", f"{noun} {item.name!r}"
        old = old_by_name.get(item.name)
        if old is not None:
            yield from _field_differences(old, item, path, label, rules, ("key_hashes", "keys"))
        elif removal is not None:
            yield Difference(Impact.OTHER, path, f"{label} is added", NO_EFFECT)


def _field_differences(
    old: Any,
    new: Any,
    path: str,
    label: str,
    rules: Mapping[str, _Rule],
    passed_over: Sequence[str] = (),
) -> Iterator[Difference]:
    for field in msgspec.structs.fields(type(new)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after or field.name in passed_over:
            continue
        rule = rules.get(field.name) or _Rule(field.name, NO_EFFECT, NO_EFFECT)
        is_lower = _is_lower(before, after, rule)
        yield Difference(
            Impact.LIMIT_LOWERED if rule.is_limit and is_lower else Impact.OTHER,
            f"{path}.{field.name}",
            f"{label + ': ' if label else ''}{rule.label} {_show_limit(before, rule)}"
            f" becomes {_show_limit(after, rule)}",
            rule.lowered if is_lower else rule.raised,
        )


def _is_lower(before: Any, after: Any, rule: _Rule) -> bool:
    if not isinstance(before, int | float) or not isinstance(after, int | float):
        return False
    if rule.zero_is_unlimited and not (before and after):
        return not before
    return after < before


def _show_limit(value: Any, rule: _Rule) -> str:
    return "no limit" if rule.zero_is_unlimited and not value else show_value(value, rule.unit)
