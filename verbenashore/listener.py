"""A listening socket that is open before the program that will serve it has loaded."""

import socket

from verbenashore.settings import parse_address

#: Connections that may wait for the program.
BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Returns a socket that listens on ``IP:PORT``.

    :raises OSError: if the address can't be bound.
    """
    place = parse_address(address)
    return socket.create_server((place.host, place.port), backlog=BACKLOG)
