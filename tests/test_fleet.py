"""Reserved addresses of deployments on loopback."""

import socket

from lab.fleet import reserve_address


def test_a_reserved_port_is_not_given_to_another_socket_and_can_still_be_bound():
    reservations = [reserve_address() for _ in range(20)]
    ports = {int(address.rpartition(":")[2]) for address, _ in reservations}
    assert len(ports) == 20
    other_sockets = []
    for _ in range(2000):
        other = socket.socket()
        other.bind(("127.0.0.1", 0))
        other_sockets.append(other)
    assert not ports & {other.getsockname()[1] for other in other_sockets}
    for port in ports:
        address = ("127.0.0.1", port)
        with socket.create_server(address) as server, socket.create_connection(address):
            server.accept()[0].close()
    for opened in (*other_sockets, *(held for _, held in reservations)):
        opened.close()
