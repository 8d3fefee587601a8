"""The shards of the work ledger: finding the shard of a key or id, and keeping sessions."""

import asyncio
from collections.abc import Callable

from verbenashore import logs, machine, misc
from verbenashore.client import GroupClient, LinkPool
from verbenashore.exceptions import BadRequestError, VerbenaError
from verbenashore.logs import Event
from verbenashore.messages import RenewSession, SessionRenewed
from verbenashore.settings import Address
from verbenashore.types import (
    CONTROL_GROUP,
    Clock,
    GroupId,
    IdempotencyKey,
    JobId,
    MemberName,
    WorkspaceId,
)

RENEW_INTERVAL_SECONDS = 0.5
RENEW_TIMEOUT_SECONDS = 2.0
RELEASE_TIMEOUT_SECONDS = 2.0


class ShardClients:
    """The clients of the control group and of all shards.

    :param count: how many shards there are; their group numbers are 1 to ``count``.
    """

    def __init__(
        self, links: LinkPool, ledgers: tuple[Address, ...], count: int, clock: Clock
    ) -> None:
        addresses = [str(address) for address in ledgers]
        self.control = GroupClient(CONTROL_GROUP, links, addresses, clock)
        self.by_group = {
            GroupId(number): GroupClient(GroupId(number), links, addresses, clock)
            for number in range(1, count + 1)
        }

    def for_key(self, workspace: WorkspaceId, key: IdempotencyKey) -> GroupClient:
        """Returns the shard that a key belongs to."""
        number = 1 + misc.quick_hash(f"{workspace}/{key}") % len(self.by_group)
        return self.by_group[GroupId(number)]

    def for_id(self, record_id: str) -> GroupClient:
        """Returns the shard whose number an id contains.

        :raises BadRequestError: if the id contains no shard's number.
        """
        shard_number = record_id.rpartition("-")[2].partition(".")[0]
        if not shard_number.isdigit() or GroupId(int(shard_number)) not in self.by_group:
            raise BadRequestError(
                f"{record_id!r} is not an id of this system", step="route", field="id", not_run=True
            )
        return self.by_group[GroupId(int(shard_number))]

    def new_id(self, prefix: str, group: GroupId) -> str:
        """Returns a new id that contains its shard's number, as ``PREFIX-SHARD.RANDOM``."""
        return misc.random_id(f"{prefix}-{group}.").replace(".-", ".")

    async def release(self, holder: MemberName) -> None:
        """Ends the sessions of a stopping process with all groups."""
        clients = [self.control, *self.by_group.values()]
        command = machine.ReleaseHolder(holder)
        releases = [client.propose(command, RELEASE_TIMEOUT_SECONDS) for client in clients]
        await asyncio.gather(*releases, return_exceptions=True)


async def renew_session(
    client: GroupClient,
    holder: MemberName,
    leased_jobs: Callable[[], list[JobId]],
    on_renewed: Callable[[SessionRenewed], None],
) -> None:
    """Renews the session of a process with one group until it is cancelled.

    :param leased_jobs: returns the batch jobs of which the process leases items.
    :param on_renewed: called with each answer.
    """
    while True:
        try:
            request = RenewSession(client.group, holder, leased_jobs())
            answer = await client.ask(request, RENEW_TIMEOUT_SECONDS)
            if isinstance(answer, SessionRenewed):
                on_renewed(answer)
        except VerbenaError as error:
            logs.warning(Event.REQUEST_FAILED, step="renew", error=error.message)
        await asyncio.sleep(RENEW_INTERVAL_SECONDS)
