"""Rate and concurrency limits of a workspace, and retry budgets; without I/O."""

import msgspec

from verbenashore.deployment import Workspace
from verbenashore.types import WorkspaceId

#: Maximum burst of a workspace, in seconds of its rate, but at least one request.
BURST_SECONDS = 1.0


class TokenBucket(msgspec.Struct):
    """The token bucket and the running requests of one workspace.

    :param tokens: how many requests the workspace may start at once.
    :param updated_at: when the tokens were last refilled.
    :param running: how many requests of the workspace are running.
    """

    tokens: float
    updated_at: float
    running: int = 0


class WorkspaceUsageTable(msgspec.Struct):
    """The usage of all workspaces at one entry.

    :param entry_count: how many entries share each limit; each applies an equal part of it.
    """

    entry_count: int = 1
    bucket_by_workspace: dict[WorkspaceId, TokenBucket] = msgspec.field(default_factory=dict)


class RetryBudget(msgspec.Struct):
    """A budget for retries, hedges or moves.

    :param remaining: how many may be made now.
    :param capacity: the maximum that can be accumulated.
    """

    remaining: float
    capacity: float


def admit(limits: WorkspaceUsageTable, workspace: Workspace, now: float) -> float:
    """Admits a request and returns 0, or returns the seconds to wait before a retry."""
    rate = workspace.online_rate / limits.entry_count
    bucket = limits.bucket_by_workspace.get(workspace.name)
    if bucket is None:
        bucket = TokenBucket(rate * BURST_SECONDS, now)
        limits.bucket_by_workspace[workspace.name] = bucket
    burst = max(1.0, rate * BURST_SECONDS)
    bucket.tokens = min(burst, bucket.tokens + (now - bucket.updated_at) * rate)
    bucket.updated_at = now
    if bucket.running >= max(1, workspace.online_concurrency // limits.entry_count):
        return 1.0
    if bucket.tokens < 1:
        return (1 - bucket.tokens) / rate
    bucket.tokens -= 1
    bucket.running += 1
    return 0.0


def release(limits: WorkspaceUsageTable, workspace: WorkspaceId) -> None:
    """Records that an admitted request has ended."""
    bucket = limits.bucket_by_workspace.get(workspace)
    if bucket is not None:
        bucket.running = max(0, bucket.running - 1)


def deposit(budget: RetryBudget, share: float) -> None:
    """Adds the part of a retry that each new request contributes to the budget."""
    budget.remaining = min(budget.capacity, budget.remaining + share)


def try_withdraw(budget: RetryBudget) -> bool:
    """Takes one retry, hedge or move out of the budget; returns false if there is none left."""
    if budget.remaining < 1:
        return False
    budget.remaining -= 1
    return True
