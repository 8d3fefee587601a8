"""The directory of backend servers: stale lists, leaving servers, reused addresses."""

import msgspec

from verbenashore.directory import BackendEntry, Directory

SERVER = BackendEntry("i-1", "notes", "10.0.0.1:80", "dc", 2, False)
LEAVING = msgspec.structs.replace(SERVER, leaving=True)


def test_a_leaving_server_stays_unavailable_when_an_older_list_arrives():
    directory = Directory()
    directory.install_list([SERVER], 1.0)
    assert directory.accepting_servers("notes") == [SERVER]
    assert directory.install_list([LEAVING], 2.0).leaving == [LEAVING]
    directory.install_list([SERVER], 1.5)
    assert directory.accepting_servers("notes") == []
    directory.install_list([SERVER], 3.0)
    assert directory.accepting_servers("notes") == []


def test_a_server_that_was_unlisted_may_return_under_its_name():
    directory = Directory()
    directory.install_list([LEAVING], 1.0)
    assert directory.install_list([], 2.0).gone == [LEAVING]
    assert directory.install_list([SERVER], 3.0).added == [SERVER]
    assert directory.accepting_servers("notes") == [SERVER]


def test_a_reused_address_is_another_server():
    directory = Directory()
    directory.install_list([SERVER], 1.0)
    other = BackendEntry("i-2", "forms", SERVER.address, "dc", 2, False)
    change = directory.install_list([other], 2.0)
    assert change.added == [other] and change.gone == [SERVER]
    assert directory.accepting_servers("notes") == []


def test_the_version_increases_only_with_changes():
    directory = Directory()
    directory.install_list([SERVER], 1.0)
    version = directory.version
    assert not directory.install_list([SERVER], 2.0) and directory.version == version
    directory.install_list([LEAVING], 3.0)
    assert directory.version > version
