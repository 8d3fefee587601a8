"""The directory of backend servers: stale lists, leaving servers, reused addresses."""

import msgspec

from verbenashore.directory import BackendEntry, Directory

SERVER = BackendEntry("i-1", "notes", "10.0.0.1:80", "dc", 2, False)
LEAVING = msgspec.structs.replace(SERVER, leaving=True)


def test_a_leaving_server_stays_unavailable_when_an_older_list_arrives():
    directory = Directory()
    directory.take([SERVER], 1.0)
    assert directory.of_service("notes") == [SERVER]
    assert directory.take([LEAVING], 2.0).leaving == [LEAVING]
    directory.take([SERVER], 1.5)
    assert directory.of_service("notes") == []
    directory.take([SERVER], 3.0)
    assert directory.of_service("notes") == []


def test_a_server_that_was_unlisted_may_return_under_its_name():
    directory = Directory()
    directory.take([LEAVING], 1.0)
    assert directory.take([], 2.0).gone == [LEAVING]
    assert directory.take([SERVER], 3.0).added == [SERVER]
    assert directory.of_service("notes") == [SERVER]


def test_a_reused_address_is_another_server():
    directory = Directory()
    directory.take([SERVER], 1.0)
    other = BackendEntry("i-2", "forms", SERVER.address, "dc", 2, False)
    change = directory.take([other], 2.0)
    assert change.added == [other] and change.gone == [SERVER]
    assert directory.of_service("notes") == []


def test_the_version_increases_only_with_changes():
    directory = Directory()
    directory.take([SERVER], 1.0)
    version = directory.version
    assert not directory.take([SERVER], 2.0) and directory.version == version
    directory.take([LEAVING], 3.0)
    assert directory.version > version
