"""Detects a cold start: all voters of a group have just started, so no leader can hold a lease.

After its start a replica grants no vote for a while, because before it stopped it may have replied
to a leader whose lease is still valid.  If all voters were down, there is no such leader, and the
wait isn't needed.

A voter that has just started sends two rounds of requests, one after the other.  A round ends when
every other voter has replied that it knows the same voters and has neither led nor received a
leader's message since its start, and has stated the id of that start.  For a voter whose disk was
lost, the process that ran this voter replies instead, since the voter can neither lead nor vote any
more.  If all start ids are the same in both rounds, this is a cold start.  The voter with the
newest log then asks for votes at once; its request to each voter names the start id of that voter.

Why this is safe: suppose that another voter L leads and may serve nevertheless.

- L replied in the second round that it had not led.  A leader may serve only after a majority has
  replied to its messages, so these replies came after that.
- By then all other voters had begun the starts whose ids they stated in the first round.
- A voter grants its vote without the wait only if it is still in that start and has neither led nor
  received a leader's message in it.  So neither L nor any voter that has replied to L grants it,
  and the candidate hasn't replied to L either: the votes can't reach a majority.
"""

import msgspec

from verbenashore.replication import ColdStartReply
from verbenashore.types import LogIndex, ReplicaId, Term

StartIds = dict[ReplicaId, int]


class ColdStartCheck(msgspec.Struct):
    """The rounds of requests of one replica.

    :param round_number: the current round.
    :param retry_at: when requests are sent again to the missing voters.
    :param other_voters: the voters except this replica.
    :param replies: the replies of this round in which a voter states that it has just started.
    :param previous_start_ids: the start ids stated in the previous round.
    """

    round_number: int = 0
    retry_at: float = float("-inf")
    other_voters: frozenset[ReplicaId] = frozenset()
    replies: dict[ReplicaId, ColdStartReply] = msgspec.field(default_factory=dict)
    previous_start_ids: StartIds = msgspec.field(default_factory=dict)

    @property
    def missing(self) -> frozenset[ReplicaId]:
        """The voters that haven't replied in the current round that they have just started."""
        return self.other_voters - self.replies.keys()


def begin_round(check: ColdStartCheck, voters: frozenset[ReplicaId]) -> None:
    """Begins a new round; a previous round counts only if it had the same voters."""
    if voters != check.other_voters:
        check.previous_start_ids = {}
    check.round_number += 1
    check.other_voters = voters
    check.replies = {}


def record_reply(
    check: ColdStartCheck, sender: ReplicaId, reply: ColdStartReply
) -> StartIds | None:
    """Records a reply to the current round if its sender has just started.

    Returns the start ids of all other voters if this reply ends the round, else None.  They prove a
    cold start if :attr:`ColdStartCheck.previous_start_ids` are the same.
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
    """Returns whether this replica has the newest log of all voters.

    Among equal logs, that of the highest replica id counts as the newest.
    """
    others = [(reply.last_term, reply.last_index, voter) for voter, reply in check.replies.items()]
    return (last_term, last_index, replica_id) > max(others)
