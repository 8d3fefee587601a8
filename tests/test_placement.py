"""The choice of an agent by an entry, workspace limits, and retry budgets."""

from verbenashore import limits, placement
from verbenashore.deployment import Workspace
from verbenashore.limits import RetryBudget, WorkspaceUsageTable
from verbenashore.messages import AgentLoad
from verbenashore.placement import Location, Placement, Target


def new_placement(count=6):
    """Returns a placement with agents of one service."""
    agents = Placement()
    names = [f"a{number}" for number in range(count)]
    targets = [Target(name, name, name, 8, "d", "default", frozenset({"m"}), "s") for name in names]
    placement.update_targets(agents, targets)
    return agents


def choose(agents, prefix="", now=0.0, excluded=(), workspace="w"):
    """Chooses an agent for model ``m`` of service ``s``."""
    return placement.choose(agents, "s", "m", workspace, prefix, set(excluded), now)


def test_a_prefix_stays_with_its_agent_until_that_is_busy():
    agents = new_placement()
    first = choose(agents, "prompt")
    assert choose(agents, "prompt") is first
    for _ in range(7):
        placement.record_start(first, "w")
    assert choose(agents, "prompt") is not first


def test_a_lost_agent_moves_only_its_own_prefixes():
    agents = new_placement()
    prefixes = [f"prompt {number}" for number in range(200)]
    before = {prefix: choose(agents, prefix).name for prefix in prefixes}
    placement.update_targets(agents, [t for t in agents.target_by_name.values() if t.name != "a3"])
    for prefix, name in before.items():
        assert name == "a3" or choose(agents, prefix).name == name


def test_a_slow_agent_is_avoided_until_it_reports_its_typical_pace():
    agents = new_placement(2)
    slow = choose(agents, "prompt")
    placement.record_load_report(slow, AgentLoad(0.1, 5.0), 1.0)
    assert choose(agents, "prompt", now=1.1) is not slow
    assert placement.avoided_targets(agents, 1.1) == [slow]
    placement.record_pace_reply(slow, AgentLoad(0.1, 1.0), 1.3)
    assert choose(agents, "prompt", now=1.4) is slow


def test_a_slow_agent_is_chosen_if_there_is_no_other():
    agents = new_placement(1)
    placement.mark_slow(agents.target_by_name["a0"], 0.0)
    assert choose(agents, now=0.1) is agents.target_by_name["a0"]
    assert choose(agents, excluded=["a0"]) is None


def test_an_update_keeps_the_outstanding_requests_of_remaining_agents():
    agents = new_placement(2)
    placement.record_start(agents.target_by_name["a0"], "w")
    placement.update_targets(agents, list(new_placement(2).target_by_name.values()))
    assert agents.target_by_name["a0"].outstanding == 1


def test_each_entry_uses_the_nearest_agents_and_together_they_use_all():
    targets = [
        Target(f"a{n}", f"a{n}", f"a{n}", 8, f"d{n % 2}", f"r{n // 20}", frozenset(), "s")
        for n in range(40)
    ]
    place = Location("d0", "r0")
    lists = [placement.choose_subset(targets, f"entry-{n}", place, 4) for n in range(20)]
    assert {len(chosen) for chosen in lists} == {4}
    assert {(t.data_centre, t.region) for chosen in lists for t in chosen} == {("d0", "r0")}
    assert len({target.name for chosen in lists for target in chosen}) == 10
    wide = placement.choose_subset(targets, "entry-0", place, 15)
    assert [t.region for t in wide] == ["r0"] * 15
    fewer = [target for target in targets if target.name != wide[0].name]
    assert placement.choose_subset(fewer, "entry-0", place, 14) == wide[1:]


def test_the_rate_and_concurrency_of_a_workspace_are_limited():
    usage = WorkspaceUsageTable()
    workspace = Workspace("w", [], online_concurrency=2, online_rate=10.0)
    assert [limits.admit(usage, workspace, 0.0) for _ in range(3)] == [0.0, 0.0, 1.0]
    limits.release(usage, "w")
    assert limits.admit(usage, workspace, 0.0) == 0.0
    slow = Workspace("x", [], online_concurrency=100, online_rate=2.0)
    waits = [limits.admit(usage, slow, 0.0) for _ in range(3)]
    assert waits[:2] == [0.0, 0.0] and 0 < waits[2] <= 0.5


def test_retries_are_limited_to_a_share_of_requests():
    budget = RetryBudget(1.0, 3.0)
    assert limits.try_withdraw(budget) and not limits.try_withdraw(budget)
    for _ in range(19):
        limits.deposit(budget, 0.05)
    assert not limits.try_withdraw(budget)
    limits.deposit(budget, 0.051)
    assert limits.try_withdraw(budget)
