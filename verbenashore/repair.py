"""How a leader repairs its group: lost replicas are replaced by learners, one change at a time."""

from verbenashore import consensus
from verbenashore.consensus import Replica
from verbenashore.replication import Membership, Peer
from verbenashore.types import ReplicaId

NO_REPLICAS: frozenset[ReplicaId] = frozenset()


def next_change(
    replica: Replica, size: int, now: float, retired: frozenset[ReplicaId] = NO_REPLICAS
) -> Membership | None:
    """Chooses the next change that repairs the group's membership, if one is due.

    :param size: how many voters the group should have.
    :param retired: replicas that are to be replaced although they live.
    """
    current = consensus.membership(replica)
    if not consensus.may_serve(replica, now) or consensus.change_is_pending(replica):
        return None
    caught_up = [peer for peer in current.learners if _is_caught_up(replica, peer, now)]
    ready = [peer for peer in caught_up if peer.id not in retired]
    names = {peer.name for peer in ready}
    newest_by_name = {peer.name: peer.id for peer in current.voters}
    # A process has one folder: its new replica shows that the old one's disk is gone.
    dead = [
        peer
        for peer in current.voters
        if peer.id in retired
        or peer.name in names
        or newest_by_name[peer.name] != peer.id
        or _is_silent(replica, peer, now)
    ]
    replaced = [peer for peer in dead if peer.name in names] or dead
    if ready and (len(current.voters) < size or (replaced and len(current.voters) == size)):
        wanted = {peer.name for peer in replaced}
        chosen = next((peer for peer in ready if peer.name in wanted), ready[0])
        return _without(current, chosen, voters=(*current.voters, chosen))
    removable = [peer for peer in dead if peer.id != replica.id]
    if removable and len(current.voters) > size:
        gone = next(
            (peer for peer in removable if newest_by_name[peer.name] != peer.id),
            next((peer for peer in removable if peer.id in retired), removable[0]),
        )
        return Membership(
            tuple(peer for peer in current.voters if peer.id != gone.id), current.learners
        )
    lost = next(
        (peer for peer in current.learners if peer.id in retired or _is_silent(replica, peer, now)),
        None,
    )
    return _without(current, lost, voters=current.voters) if lost else None


def with_learner(current: Membership, learner: Peer) -> Membership:
    """Returns a membership with one more learner; older ones of the same process leave."""
    kept = tuple(peer for peer in current.learners if peer.name != learner.name)
    return Membership(current.voters, (*kept, learner))


def _is_silent(replica: Replica, peer: Peer, now: float) -> bool:
    if peer.id == replica.id:
        return False
    last = max(consensus.progress_of(replica, peer.id).heard, replica.led_since)
    return now - last > replica.timing.replace_after


def _is_caught_up(replica: Replica, peer: Peer, now: float) -> bool:
    progress = consensus.progress_of(replica, peer.id)
    fresh = now - progress.heard < replica.timing.election_max
    return fresh and progress.match >= replica.commit


def _without(current: Membership, learner: Peer, voters: tuple[Peer, ...]) -> Membership:
    return Membership(voters, tuple(peer for peer in current.learners if peer.id != learner.id))
