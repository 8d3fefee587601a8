"""Detects a cold start: all voters of a group have just started, so no leader can hold a lease.

After its start a replica grants no vote for a while, since it may have supported the lease of a
leader before it stopped.  When the whole group was down there is no such leader, and the wait would
only delay its callers.  A voter proves this by two rounds of requests, one after the other, in each
of which every other voter replies with the same start id and that it has neither led nor received a
leader's message since that start:

- A leader that may serve is a voter, and has replies of a majority.
- It did not lead when it sent its start id in the second round, so the replies of that majority
  came later; by then every other voter had begun the start that it stated in the first round.
- A voter grants its vote only while that start lasts and it has received no leader's message in it;
  a majority of such votes leaves no majority that could have replied to the leader.
"""

import msgspec

from verbenashore.replication import ColdStartReply
from verbenashore.types import LogIndex, ReplicaId, Term

StartIds = dict[ReplicaId, int]


class ColdStartCheck(msgspec.Struct):
    """The rounds of requests of one replica.

    :param round_number: the current round; it lasts until all other voters have replied.
    :param retry_at: when requests are sent again to the voters that haven't replied.
    :param other_voters: the voters except this replica.
    :param replies: their replies in the current round.
    :param previous_start_ids: the start ids that all of them stated in the previous round.
    """

    round_number: int = 0
    retry_at: float = float("-inf")
    other_voters: frozenset[ReplicaId] = frozenset()
    replies: dict[ReplicaId, ColdStartReply] = msgspec.field(default_factory=dict)
    previous_start_ids: StartIds = msgspec.field(default_factory=dict)

    @property
    def missing(self) -> frozenset[ReplicaId]:
        """The voters that haven't replied in the current round."""
        return self.other_voters - self.replies.keys()


def begin_round(check: ColdStartCheck, voters: frozenset[ReplicaId]) -> None:
    """Begins a new round; a previous round with another set of voters proves nothing."""
    if voters != check.other_voters:
        check.previous_start_ids = {}
    check.round_number += 1
    check.other_voters = voters
    check.replies = {}


def record_reply(
    check: ColdStartCheck, sender: ReplicaId, reply: ColdStartReply
) -> StartIds | None:
    """Records a reply; returns the start ids once all other voters have stated them.

    They prove a cold start if :attr:`ColdStartCheck.previous_start_ids` are the same.
    """
    if (
        reply.round_number != check.round_number
        or not reply.just_started
        or sender not in check.missing
    ):
        return None
    check.replies[sender] = reply
    if check.missing:
        return None
    return {voter: answer.start_id for voter, answer in check.replies.items()}


def has_newest_log(
    check: ColdStartCheck, replica_id: ReplicaId, last_term: Term, last_index: LogIndex
) -> bool:
    """Returns whether this replica's log is the newest; the highest id wins among equal logs."""
    others = [(reply.last_term, reply.last_index, voter) for voter, reply in check.replies.items()]
    return (last_term, last_index, replica_id) > max(others)
