"""Opens a listening socket before the program that serves it has loaded."""

import socket

from verbenashore.settings import parse_address

#: Connections that the kernel queues until the program accepts them.
BACKLOG = 1024


#: Send and receive buffer of each connection in the kernel, which doubles the number for its own
#: overhead.  What waits there counts as memory of the process, and the kernel would let it grow to
#: megabytes.  At the 3 ms to callers this allows 85 Mbit/s for one connection.
SOCKET_BUFFER_BYTES = 32 << 10


def open_listener(address: str) -> socket.socket:
    """Returns a socket that listens on ``IP:PORT``.

    :raises OSError: if the address can't be bound.
    """
    endpoint = parse_address(address)
    listener = socket.create_server((endpoint.host, endpoint.port), backlog=BACKLOG)
    # Accepted connections inherit the buffers.
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return listener
