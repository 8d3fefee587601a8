"""Membership repair by the leader: learners replace lost voters, one change at a time.

The log goes to the voters, to spare learners that can take their place at once, and to one replica
in each data centre, where results are read.  All other ledger processes stand by outside the group,
so that the leader's work doesn't grow with their number.
"""

from collections.abc import Callable

from verbenashore import consensus
from verbenashore.consensus import Replica
from verbenashore.replication import Membership, Peer
from verbenashore.types import ReplicaId

NO_REPLICAS: frozenset[ReplicaId] = frozenset()

#: Returns the data centre of the process at an address; "" if it is unknown.
DataCentreOf = Callable[[str], str]


def spare_count(size: int) -> int:
    """Returns how many learners a group of some voters keeps: as many as it may lose at once.

    A group of one keeps one, too, which takes over when the voter is retired.
    """
    return max(1, size // 2)


def is_needed(current: Membership, peer: Peer, size: int, data_centre_of: DataCentreOf) -> bool:
    """Returns whether a replica is to be a learner of the group, or to remain one.

    :param size: how many voters the group should have.
    """
    others = [other for other in (*current.voters, *current.learners) if other.id != peer.id]
    if any(other.name == peer.name for other in others):
        return True
    if len(others) < size + spare_count(size):
        return True
    data_centres = {data_centre_of(other.address) for other in others}
    return "" not in data_centres and data_centre_of(peer.address) not in data_centres


def next_membership(
    replica: Replica,
    size: int,
    now: float,
    retired: frozenset[ReplicaId] = NO_REPLICAS,
    data_centre_of: DataCentreOf | None = None,
) -> Membership | None:
    """Returns the membership after the next repair, or None if no change is due or allowed.

    :param size: how many voters the group should have.
    :param retired: replicas that are to be replaced although they are alive.
    :param data_centre_of: if given, learners that the group doesn't need are removed.
    """
    current = consensus.membership(replica)
    if not consensus.may_serve(replica, now) or consensus.change_is_pending(replica):
        return None
    caught_up = [peer for peer in current.learners if _is_caught_up(replica, peer, now)]
    ready = [peer for peer in caught_up if peer.id not in retired]
    ready_names = {peer.name for peer in ready}
    newest_by_name = {peer.name: peer.id for peer in current.voters}
    # A process has one data folder: a newer replica of it shows that the older one's disk is lost.
    replaceable = [
        peer
        for peer in current.voters
        if peer.id in retired
        or peer.name in ready_names
        or newest_by_name[peer.name] != peer.id
        or _is_lost(replica, peer, now)
    ]
    to_replace = [peer for peer in replaceable if peer.name in ready_names] or replaceable
    if ready and (len(current.voters) < size or (to_replace and len(current.voters) == size)):
        replaced_names = {peer.name for peer in to_replace}
        promoted = next((peer for peer in ready if peer.name in replaced_names), ready[0])
        return _without_learner(current, promoted, voters=(*current.voters, promoted))
    removable = [peer for peer in replaceable if peer.id != replica.id]
    if removable and len(current.voters) > size:
        removed = next(
            (peer for peer in removable if newest_by_name[peer.name] != peer.id),
            next((peer for peer in removable if peer.id in retired), removable[0]),
        )
        return Membership(
            tuple(peer for peer in current.voters if peer.id != removed.id), current.learners
        )
    dropped = next(
        (peer for peer in current.learners if peer.id in retired or _is_lost(replica, peer, now)),
        None,
    )
    if dropped is None and data_centre_of is not None and len(current.voters) == size:
        dropped = _find_surplus(current, size, data_centre_of)
    return _without_learner(current, dropped, voters=current.voters) if dropped else None


def _find_surplus(current: Membership, size: int, data_centre_of: DataCentreOf) -> Peer | None:
    """Returns a learner that the group doesn't need; None while a data centre is unknown."""
    if not all(data_centre_of(peer.address) for peer in (*current.voters, *current.learners)):
        return None
    return next(
        (
            peer
            for peer in reversed(current.learners)
            if not is_needed(current, peer, size, data_centre_of)
        ),
        None,
    )


def with_learner(current: Membership, learner: Peer) -> Membership:
    """Returns a membership with one more learner, which replaces any other of the same process."""
    kept = tuple(peer for peer in current.learners if peer.name != learner.name)
    return Membership(current.voters, (*kept, learner))


def _is_lost(replica: Replica, peer: Peer, now: float) -> bool:
    if peer.id == replica.id:
        return False
    last_contact = max(consensus.progress_of(replica, peer.id).last_reply_at, replica.led_since)
    return now - last_contact > replica.timing.replace_after


def _is_caught_up(replica: Replica, peer: Peer, now: float) -> bool:
    """Returns whether a learner has the log, or lacks only what is on its way to it.

    While commits go on, the entries of the last moments are always on their way.
    """
    progress = consensus.progress_of(replica, peer.id)
    if progress.match_index >= replica.commit:
        return now - progress.last_reply_at < replica.timing.election_max
    is_receiving_all = (
        progress.outgoing is None
        and not progress.probing
        and progress.next_index > consensus.last_index(replica)
    )
    return is_receiving_all and now - progress.acknowledged_sent_at < replica.timing.election_min


def _without_learner(current: Membership, learner: Peer, voters: tuple[Peer, ...]) -> Membership:
    return Membership(voters, tuple(peer for peer in current.learners if peer.id != learner.id))
