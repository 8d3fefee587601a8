"""Limits on what a workspace may ask for, and the budget for retries; without I/O."""

import msgspec

from verbenashore.deployment import Workspace
from verbenashore.types import WorkspaceId

#: Seconds of its rate that a workspace may use at once.
BURST_SECONDS = 1.0


class Bucket(msgspec.Struct):
    """What one workspace has used.

    :param tokens: requests that it may start at once.
    """

    tokens: float
    updated: float
    running: int = 0


class Limits(msgspec.Struct):
    """The use of all workspaces at one entry.

    :param entries: how many entries share each limit.
    """

    entries: int = 1
    bucket_by_workspace: dict[WorkspaceId, Bucket] = msgspec.field(default_factory=dict)


class RetryBudget(msgspec.Struct):
    """What may still be spent on retries, hedges or moves.

    :param most: how much can be saved up.
    """

    left: float
    most: float


def admit(limits: Limits, workspace: Workspace, now: float) -> float:
    """Counts a request in; returns 0 if it may start, else seconds to wait before a retry."""
    rate = workspace.online_rate / limits.entries
    bucket = limits.bucket_by_workspace.get(workspace.name)
    if bucket is None:
        bucket = Bucket(rate * BURST_SECONDS, now)
        limits.bucket_by_workspace[workspace.name] = bucket
    most = max(1.0, rate * BURST_SECONDS)
    bucket.tokens = min(most, bucket.tokens + (now - bucket.updated) * rate)
    bucket.updated = now
    if bucket.running >= max(1, workspace.online_concurrency // limits.entries):
        return 1.0
    if bucket.tokens < 1:
        return (1 - bucket.tokens) / rate
    bucket.tokens -= 1
    bucket.running += 1
    return 0.0


def release(limits: Limits, workspace: WorkspaceId) -> None:
    """Counts a request out."""
    bucket = limits.bucket_by_workspace.get(workspace)
    if bucket is not None:
        bucket.running = max(0, bucket.running - 1)


def earn(budget: RetryBudget, share: float) -> None:
    """Adds what one request earns."""
    budget.left = min(budget.most, budget.left + share)


def spend(budget: RetryBudget) -> bool:
    """Takes one retry or hedge out of the budget; false if it is spent."""
    if budget.left < 1:
        return False
    budget.left -= 1
    return True
