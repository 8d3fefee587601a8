"""Whether all voters of a group have just started, so that no lease of a leader can be left.

After its start a replica grants no vote for a while, since it may have promised a leader not to
before it stopped.  When the whole group was down there is no such leader, and callers wait for the
first one.  A voter shows this by two calls of the roll, one after the other, in each of which
every voter states the same start and that it has neither led nor heard a leader since:

- A leader that may answer has the answers of a majority, and is a voter.
- It did not lead when it stated its start in the second call, so those answers came later; by then
  every other voter had begun the start that it stated in the first call.
- A voter grants its vote only while that start lasts and it has heard no leader in it; a majority
  of such votes leaves no majority for the leader's answers.
"""

import msgspec

from verbenashore.replication import RollCallReply
from verbenashore.types import LogIndex, ReplicaId, Term

Starts = dict[ReplicaId, int]


class RollCall(msgspec.Struct):
    """The calls of one replica.

    :param number: of the newest call; it goes on until all have answered.
    :param ask_at: when those who haven't answered are asked again.
    :param voters: the other voters.
    :param said: their answers so far.
    :param proved: the starts that all voters stated in the call before.
    """

    number: int = 0
    ask_at: float = float("-inf")
    voters: frozenset[ReplicaId] = frozenset()
    said: dict[ReplicaId, RollCallReply] = msgspec.field(default_factory=dict)
    proved: Starts = msgspec.field(default_factory=dict)

    @property
    def missing(self) -> frozenset[ReplicaId]:
        """The voters that haven't answered the newest call."""
        return self.voters - self.said.keys()


def begin(roll: RollCall, voters: frozenset[ReplicaId]) -> None:
    """Begins a new call; what others have shown of a call to other voters doesn't count."""
    if voters != roll.voters:
        roll.proved = {}
    roll.number += 1
    roll.voters = voters
    roll.said = {}


def take(roll: RollCall, sender: ReplicaId, reply: RollCallReply) -> Starts | None:
    """Takes in an answer; returns the starts once all voters have stated them.

    They are proved if :attr:`RollCall.proved` was the same before.
    """
    if reply.number != roll.number or not reply.fresh or sender not in roll.missing:
        return None
    roll.said[sender] = reply
    if roll.missing:
        return None
    return {voter: said.start for voter, said in roll.said.items()}


def is_first(roll: RollCall, own: ReplicaId, last_term: Term, last_index: LogIndex) -> bool:
    """Tells whether this replica's log is the newest; by ids if several are."""
    others = [(said.last_term, said.last_index, voter) for voter, said in roll.said.items()]
    return (last_term, last_index, own) > max(others)
