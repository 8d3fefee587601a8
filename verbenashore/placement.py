"""An entry's choice of the agent for an online request; without I/O."""

from collections import Counter

import msgspec

from verbenashore import misc
from verbenashore.messages import AgentLoad, Member
from verbenashore.types import BackendName, MemberName, WorkspaceId

#: Load, as a share of slots, that the agent preferred for a prefix may have above the lowest load.
AFFINITY_LOAD_MARGIN = 0.25
#: Share of its slots in use above which an agent is not preferred for its prompt cache.
AFFINITY_MAX_LOAD = 0.75
#: Minimum slowness at which an agent is avoided.
SLOWNESS_LIMIT = 2.0
#: Seconds for which a slow agent is avoided unless it reports its typical pace earlier.
AVOID_SECONDS = 5.0
#: Seconds after which a reported load is outdated.
LOAD_REPORT_TTL_SECONDS = 1.0
#: Load added for an agent in another region, for the longer network path.
OTHER_REGION_LOAD = 0.1


class Target(msgspec.Struct):
    """One agent as an entry sees it.

    :param outstanding: how many requests of this entry run or wait there.
    :param reported_load: the agent's online requests divided by its slots.
    :param avoid_until: a time on the entry's clock.
    """

    name: MemberName
    backend: BackendName
    address: str
    slots: int
    data_centre: str
    region: str
    models: frozenset[str]
    service: str
    outstanding: int = 0
    reported_load: float = 0.0
    reported_at: float = float("-inf")
    avoid_until: float = float("-inf")
    outstanding_by_workspace: Counter[WorkspaceId] = msgspec.field(default_factory=Counter)


class Location(msgspec.Struct, frozen=True):
    """The location of a process."""

    data_centre: str
    region: str


class Placement(msgspec.Struct):
    """The agents that an entry may choose.

    :param region: the region of the entry.
    :param round_robin: the baseline policy: agents in turn, regardless of their load.
    """

    region: str = "default"
    round_robin: bool = False
    target_by_name: dict[MemberName, Target] = msgspec.field(default_factory=dict)
    round_robin_counter: int = 0


def update_targets(placement: Placement, targets: list[Target]) -> None:
    """Installs a new list of agents, keeping the load and avoidance of those that remain."""
    previous_by_name = placement.target_by_name
    for target in targets:
        previous = previous_by_name.get(target.name)
        if previous is not None and previous.address == target.address:
            target.outstanding = previous.outstanding
            target.reported_load = previous.reported_load
            target.reported_at = previous.reported_at
            target.avoid_until = previous.avoid_until
            target.outstanding_by_workspace = previous.outstanding_by_workspace
    placement.target_by_name = {target.name: target for target in targets}


def choose(
    placement: Placement,
    service: str,
    model: str,
    workspace: WorkspaceId,
    prefix: str,
    excluded: set[MemberName],
    now: float,
) -> Target | None:
    """Chooses an agent; returns None if there is no candidate.

    :param model: empty for a plain service.
    :param prefix: the start of the prompt, for cache affinity; empty for none.
    """
    candidates = [
        target
        for target in placement.target_by_name.values()
        if target.name not in excluded
        and target.service == service
        and (not model or model in target.models)
    ]
    if not candidates:
        return None
    if placement.round_robin:
        placement.round_robin_counter += 1
        return candidates[placement.round_robin_counter % len(candidates)]
    preferred = [target for target in candidates if target.avoid_until <= now] or candidates
    least_loaded = min(
        preferred,
        key=lambda target: (
            min(1.0, _effective_load(placement, target, now)),
            target.outstanding_by_workspace[workspace],
            _affinity_rank(target, prefix),
        ),
    )
    if not prefix:
        return least_loaded
    affine = min(preferred, key=lambda target: _affinity_rank(target, prefix))
    max_load = min(
        _effective_load(placement, least_loaded, now) + AFFINITY_LOAD_MARGIN, AFFINITY_MAX_LOAD
    )
    return affine if _effective_load(placement, affine, now) <= max_load else least_loaded


def is_usable(target: Target, now: float) -> bool:
    """Returns whether an agent is neither avoided nor fully loaded, so that work may move there."""
    return target.avoid_until <= now and _load(target, now) < 1.0


def record_start(target: Target, workspace: WorkspaceId) -> None:
    """Records that a request was sent to an agent."""
    target.outstanding += 1
    target.outstanding_by_workspace[workspace] += 1


def record_end(target: Target, workspace: WorkspaceId) -> None:
    """Records that a request at an agent has ended."""
    target.outstanding = max(0, target.outstanding - 1)
    target.outstanding_by_workspace[workspace] -= 1


def record_load_report(target: Target, load: AgentLoad, now: float) -> None:
    """Records the load that an agent reports."""
    target.reported_load = load.share
    target.reported_at = now
    if load.slowness >= SLOWNESS_LIMIT:
        mark_slow(target, now)


def avoided_targets(placement: Placement, now: float) -> list[Target]:
    """Returns the agents that are avoided now."""
    return [t for t in placement.target_by_name.values() if t.avoid_until > now]


def record_pace_reply(target: Target, load: AgentLoad, now: float) -> None:
    """Ends the avoidance of an agent if its reply shows that it is not slow; else extends it."""
    if load.slowness < SLOWNESS_LIMIT:
        target.avoid_until = now
    else:
        mark_slow(target, now)


def mark_slow(target: Target, now: float) -> None:
    """Avoids an agent for ``AVOID_SECONDS``."""
    target.avoid_until = now + AVOID_SECONDS


def choose_subset(targets: list[Target], entry: str, place: Location, size: int) -> list[Target]:
    """Chooses the agents of each service that an entry uses, the nearest first.

    Agents at the same distance are ordered by rendezvous hashing, which spreads the entries of a
    data centre over the agents; an agent that joins or leaves changes at most one element of each
    entry's list of a service.

    :param entry: the name of the entry.
    :param place: where the entry runs.
    :param size: the maximum number of agents of each service.
    """
    ordered = sorted(
        targets,
        key=lambda target: (
            target.region != place.region,
            target.data_centre != place.data_centre,
            misc.quick_hash(f"{entry}/{target.name}"),
        ),
    )
    chosen_count: Counter[str] = Counter()
    chosen = []
    for target in ordered:
        if chosen_count[target.service] < size:
            chosen_count[target.service] += 1
            chosen.append(target)
    return chosen


def new_target(member: Member, slots: int, models: list[str], service: str) -> Target:
    """Returns the target for a member that was not used before."""
    return Target(
        member.name,
        member.backend,
        member.address,
        slots,
        member.data_centre,
        member.region,
        frozenset(models),
        service,
    )


def _load(target: Target, now: float) -> float:
    local_load = target.outstanding / target.slots
    reported_load = (
        target.reported_load if now - target.reported_at < LOAD_REPORT_TTL_SECONDS else 0.0
    )
    return max(local_load, reported_load)


def _effective_load(placement: Placement, target: Target, now: float) -> float:
    """Returns an agent's load, with an addition for one in another region."""
    distance = 0.0 if target.region == placement.region else OTHER_REGION_LOAD
    return _load(target, now) + distance


def _affinity_rank(target: Target, prefix: str) -> int:
    """Returns the rendezvous hash of an agent for a prefix; the agent with the lowest is preferred.

    When an agent is lost, only the prefixes that preferred it move to other agents.
    """
    return misc.quick_hash(f"{target.name}/{prefix}")
