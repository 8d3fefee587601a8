"""Sends the consensus messages of a process's replicas to those of other processes."""

from collections.abc import Callable

from verbenashore import logs
from verbenashore.client import LinkPool
from verbenashore.logs import Event
from verbenashore.messages import ReplicaPacket
from verbenashore.replication import Packet, Peer
from verbenashore.types import GroupId, ReplicaId


class ReplicaLinks:
    """The addresses of replicas that the membership known here may lack.

    A leader or candidate may be missing from it: this replica may be new, or may have missed the
    change that added the other one.  Its messages therefore state where to reply.

    :param address: of this process.
    """

    def __init__(self, links: LinkPool, address: str) -> None:
        self._links = links
        self._address = address
        self._address_by_replica: dict[ReplicaId, str] = {}
        self._unknown_replicas: set[ReplicaId] = set()

    def record_address(self, replica: ReplicaId, address: str) -> None:
        """Records where a replica runs."""
        self._address_by_replica[replica] = address
        self._unknown_replicas.discard(replica)

    def sender_for(self, group: GroupId) -> Callable[[Peer, Packet], None]:
        """Returns the function that sends the messages of a group's replica.

        The address of its first parameter is empty if the known membership lacks the recipient.
        """

        def send(peer: Peer, packet: Packet) -> None:
            address = peer.address or self._address_by_replica.get(packet.to, "")
            if address:
                self._links.to(address).post(ReplicaPacket(group, packet, self._address))
            elif packet.to not in self._unknown_replicas:
                self._unknown_replicas.add(packet.to)
                message = type(packet.message).__name__
                logs.warning(Event.ADDRESS_UNKNOWN, group=group, replica=packet.to, message=message)

        return send
