"""The directory of backend servers: stale lists, leaving servers, reused addresses."""

import msgspec

from verbenashore.directory import BackendEntry, Directory
from verbenashore.dispatch import Dispatcher
from verbenashore.listing import BackendListUpdater
from verbenashore.loadtable import LoadTable

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


def test_a_name_with_another_address_is_another_server():
    directory = Directory()
    directory.install_list([LEAVING], 1.0)
    moved = msgspec.structs.replace(SERVER, address="10.0.0.2:80")
    change = directory.install_list([moved], 2.0)
    assert change.added == [moved] and change.gone == [LEAVING]
    gone_leaving = msgspec.structs.replace(moved, leaving=True)
    directory.install_list([gone_leaving], 3.0)
    assert directory.install_list([LEAVING], 4.0).leaving == [LEAVING]


def test_a_server_restarted_in_place_is_used_again():
    # It kept its name and address, and stayed marked as leaving for as long as it was listed.
    directory = Directory()
    old = msgspec.structs.replace(LEAVING, born=1000)
    restarted = msgspec.structs.replace(SERVER, born=2000)
    directory.install_list([old], 1.0)
    change = directory.install_list([restarted], 2.0)
    assert change.added == [restarted] and change.gone == [old]
    assert not directory.mark_leaving(old)
    assert directory.accepting_servers("notes") == [restarted]
    # A list without starts says nothing of a new lifetime.
    assert directory.mark_leaving(restarted)
    directory.install_list([SERVER], 3.0)
    assert directory.accepting_servers("notes") == []


def test_the_version_increases_only_with_changes():
    directory = Directory()
    directory.install_list([SERVER], 1.0)
    version = directory.version
    assert not directory.install_list([SERVER], 2.0) and directory.version == version
    directory.install_list([LEAVING], 3.0)
    assert directory.version > version


def test_a_server_that_says_it_leaves_stays_unavailable_while_lists_name_it_ready():
    directory = Directory()
    directory.install_list([SERVER], 1.0)
    version = directory.version
    assert directory.mark_leaving(SERVER) and directory.version == version + 1
    assert directory.accepting_servers("notes") == [] and directory.accepting_slots("notes") == 0
    assert not directory.mark_leaving(SERVER), "it is told once"
    assert not directory.install_list([SERVER], 2.0)
    assert not directory.install_list([LEAVING], 3.0), "the list tells nothing new"
    assert directory.accepting_servers("notes") == [] and directory.version == version + 1


def test_another_server_is_not_marked_by_what_an_earlier_one_of_its_name_said():
    directory = Directory()
    moved = msgspec.structs.replace(SERVER, address="10.0.0.2:80")
    directory.install_list([moved], 1.0)
    assert not directory.mark_leaving(SERVER)
    assert directory.accepting_servers("notes") == [moved]
    assert directory.mark_leaving(moved)
    directory.install_list([SERVER], 2.0)
    assert directory.accepting_servers("notes") == [SERVER]
    assert directory.mark_leaving(SERVER)
    directory.install_list([], 3.0)
    assert not directory.mark_leaving(SERVER)
    directory.install_list([SERVER], 4.0)
    assert directory.accepting_servers("notes") == [SERVER]


def make_updater(directory, now=5.0):
    """Returns the updater of a directory, on a clock that stands still."""
    dispatcher = Dispatcher(directory, LoadTable(), "dc")
    return BackendListUpdater(directory, dispatcher, None, lambda: now, lambda: None)


def test_a_list_from_the_leader_keeps_what_servers_said_to_a_member():
    """Guards against a list that members fetch for ever, or that makes such a server available."""
    leaders, own = Directory(), Directory()
    leader, member = make_updater(leaders), make_updater(own)
    leader.install([SERVER], 1.0)
    member.install_document(leader.document(), 1.0)
    own.mark_leaving(SERVER)
    version = leader.version
    leader.install([SERVER], 2.0)
    assert leader.version == version, "no member fetches it again"
    member.install_document(leader.document(), 2.0)
    assert own.accepting_servers("notes") == [] and own.by_name == {SERVER.name: LEAVING}
    leaders.mark_leaving(SERVER)
    assert leader.version == version + 1
    leader.install([LEAVING], 3.0)
    assert leader.version == version + 1
    third = Directory()
    make_updater(third).install_document(leader.document(), 3.0)
    assert third.by_name == {SERVER.name: LEAVING}
