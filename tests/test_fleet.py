"""Addresses of deployments on loopback."""

import socket

from lab.fleet import reserve_address


def test_a_reserved_port_is_given_to_nobody_else_and_can_still_be_served():
    reserved = [reserve_address() for _ in range(20)]
    ports = {int(address.rpartition(":")[2]) for address, _ in reserved}
    assert len(ports) == 20
    taken = []
    for _ in range(2000):
        other = socket.socket()
        other.bind(("127.0.0.1", 0))
        taken.append(other)
    assert not ports & {other.getsockname()[1] for other in taken}
    for port in ports:
        address = ("127.0.0.1", port)
        with socket.create_server(address) as server, socket.create_connection(address):
            server.accept()[0].close()
    for used in (*taken, *(held for _, held in reserved)):
        used.close()
