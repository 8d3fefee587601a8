"""Opens a listening socket before the program that serves it has loaded."""

import socket

from verbenashore.settings import parse_address

#: Connections that the kernel queues until the program accepts them.
BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Returns a socket that listens on ``IP:PORT``.

    :raises OSError: if the address can't be bound.
    """
    endpoint = parse_address(address)
    return socket.create_server((endpoint.host, endpoint.port), backlog=BACKLOG)
