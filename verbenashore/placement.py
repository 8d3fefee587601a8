"""An entry's choice of the agent for a piece of online work; without I/O."""

from collections import Counter

import msgspec

from verbenashore import misc
from verbenashore.messages import AgentLoad, Member
from verbenashore.types import BackendName, MemberName, WorkspaceId

#: Load that an affine agent may have above the least loaded one, as a share of its slots.
AFFINITY_SLACK = 0.25
#: From this share of its slots on an agent gets no work for the sake of its cache.
AFFINITY_LIMIT = 0.75
#: An agent this much slower than usual is avoided.
SLOW = 2.0
#: Seconds for which a slow agent is avoided unless it shows its usual pace before.
AVOID_SECONDS = 5.0
#: Seconds after which a reported load says nothing any more.
REPORT_SECONDS = 1.0
#: Load that another region counts as, for the way there.
DISTANCE_LOAD = 0.1


class Target(msgspec.Struct):
    """What an entry knows of one agent.

    :param outstanding: this entry's own pieces there.
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
    reported: float = 0.0
    reported_at: float = float("-inf")
    avoid_until: float = float("-inf")
    outstanding_by_workspace: Counter[WorkspaceId] = msgspec.field(default_factory=Counter)


class Place(msgspec.Struct, frozen=True):
    """Where a process runs."""

    data_centre: str
    region: str


class Placement(msgspec.Struct):
    """What an entry knows of all agents that it may choose.

    :param region: the entry's own.
    :param baseline: the plain policy: one after the other.
    """

    region: str = "default"
    baseline: bool = False
    target_by_name: dict[MemberName, Target] = msgspec.field(default_factory=dict)
    turn: int = 0


def update(placement: Placement, targets: list[Target]) -> None:
    """Takes over a new list of agents and keeps what is known of those that stay."""
    known = placement.target_by_name
    for target in targets:
        before = known.get(target.name)
        if before is not None and before.address == target.address:
            target.outstanding = before.outstanding
            target.reported = before.reported
            target.reported_at = before.reported_at
            target.avoid_until = before.avoid_until
            target.outstanding_by_workspace = before.outstanding_by_workspace
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
    """Chooses an agent; None if there is none left.

    :param model: empty for a plain service.
    :param prefix: the start of the prompt, for affinity; empty for none.
    """
    able = [
        target
        for target in placement.target_by_name.values()
        if target.name not in excluded
        and target.service == service
        and (not model or model in target.models)
    ]
    if not able:
        return None
    if placement.baseline:
        placement.turn += 1
        return able[placement.turn % len(able)]
    fast = [target for target in able if target.avoid_until <= now] or able
    least = min(
        fast,
        key=lambda target: (
            min(1.0, _distant_load(placement, target, now)),
            target.outstanding_by_workspace[workspace],
            _affinity(target, prefix),
        ),
    )
    if not prefix:
        return least
    affine = min(fast, key=lambda target: _affinity(target, prefix))
    bound = min(_distant_load(placement, least, now) + AFFINITY_SLACK, AFFINITY_LIMIT)
    return affine if _distant_load(placement, affine, now) <= bound else least


def is_usable(target: Target, now: float) -> bool:
    """Tells whether moving work to an agent is worthwhile."""
    return target.avoid_until <= now and _load(target, now) < 1.0


def note_start(target: Target, workspace: WorkspaceId) -> None:
    """Notes that a piece was sent."""
    target.outstanding += 1
    target.outstanding_by_workspace[workspace] += 1


def note_end(target: Target, workspace: WorkspaceId) -> None:
    """Notes that a piece has ended."""
    target.outstanding = max(0, target.outstanding - 1)
    target.outstanding_by_workspace[workspace] -= 1


def note_report(target: Target, load: AgentLoad, now: float) -> None:
    """Takes in what an agent says of itself."""
    target.reported = load.share
    target.reported_at = now
    if load.slowness >= SLOW:
        note_slow(target, now)


def suspects(placement: Placement, now: float) -> list[Target]:
    """Returns the agents that are avoided, to be asked whether they still have to be."""
    return [t for t in placement.target_by_name.values() if t.avoid_until > now]


def note_pace(target: Target, load: AgentLoad, now: float) -> None:
    """Takes in the answer of an avoided agent."""
    if load.slowness < SLOW:
        target.avoid_until = now
    else:
        note_slow(target, now)


def note_slow(target: Target, now: float) -> None:
    """Keeps new work away from an agent for a moment."""
    target.avoid_until = now + AVOID_SECONDS


def subset(targets: list[Target], entry: str, place: Place, size: int) -> list[Target]:
    """Chooses the agents that an entry uses of each service, the nearest first.

    Entries of one data centre differ in the order of their names' hashes, so that together they
    use all agents; an agent that comes or goes changes one place of each list.

    :param size: how many of each service.
    """
    ordered = sorted(
        targets,
        key=lambda target: (
            target.region != place.region,
            target.data_centre != place.data_centre,
            misc.quick_hash(f"{entry}/{target.name}"),
        ),
    )
    taken: Counter[str] = Counter()
    chosen = []
    for target in ordered:
        if taken[target.service] < size:
            taken[target.service] += 1
            chosen.append(target)
    return chosen


def to_target(member: Member, slots: int, models: list[str], service: str) -> Target:
    """Returns what is known of an agent that was never used."""
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
    own = target.outstanding / target.slots
    reported = target.reported if now - target.reported_at < REPORT_SECONDS else 0.0
    return max(own, reported)


def _distant_load(placement: Placement, target: Target, now: float) -> float:
    """Returns an agent's load, and more for one in another region."""
    distance = 0.0 if target.region == placement.region else DISTANCE_LOAD
    return _load(target, now) + distance


def _affinity(target: Target, prefix: str) -> int:
    """Orders the agents for a prefix; only a lost agent's prefixes move."""
    return misc.quick_hash(f"{target.name}/{prefix}")
