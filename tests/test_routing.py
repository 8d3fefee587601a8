"""Routes: validation, longest-prefix match, and weighted shares."""

from collections import Counter

import msgspec
import pytest

from verbenashore import routing
from verbenashore.routing import Route, RouteIndex, RouteKind, RouteTable, Service, Share


def route(prefix="/a/", **changes):
    """Returns a valid route."""
    valid = Route(
        name=f"route {prefix}",
        host="h",
        prefix=prefix,
        kind=RouteKind.STREAM,
        timeout=5.0,
        objective=0.3,
        shares=(Share("notes", 90), Share("trial", 10)),
    )
    return msgspec.structs.replace(valid, **changes)


SERVICES = (Service("notes", 100), Service("trial", 100))


def test_the_longest_prefix_wins_and_other_hosts_do_not_match():
    index = RouteIndex(RouteTable(1, (route("/a/"), route("/a/b/")), SERVICES))
    assert index.find("h", "/a/x").prefix == "/a/"
    assert index.find("h", "/a/b/x/y").prefix == "/a/b/"
    assert index.find("h", "/a/b").prefix == "/a/"
    assert index.find("h", "/ab/") is None
    assert index.find("other", "/a/x") is None


def test_shares_follow_their_weights_and_a_key_keeps_its_service():
    chosen = Counter(routing.choose_service(route(), str(key)) for key in range(2000))
    assert 0.86 < chosen["notes"] / 2000 < 0.94
    assert routing.choose_service(route(), "k") == routing.choose_service(route(), "k")
    single_share = route(shares=(Share("notes", 1), Share("trial", 0)))
    assert {routing.choose_service(single_share, str(key)) for key in range(500)} == {"notes"}


@pytest.mark.parametrize(
    ("changes", "word"),
    [
        ({"shares": (Share("nobody", 1),)}, "unknown"),
        ({"shares": (Share("notes", 0),)}, "weights"),
        ({"shares": (Share("notes", 2), Share("trial", -1))}, "negative"),
        ({"shares": ()}, "weights"),
        ({"timeout": 0.0}, "timeout"),
        ({"prefix": "/a"}, "slash"),
    ],
)
def test_each_validation_error_is_named(changes, word):
    table = RouteTable(1, (route(**changes),), SERVICES)
    assert any(word in error for error in routing.validation_errors(table))
    assert not routing.validation_errors(RouteTable(1, (route(),), SERVICES))


def test_two_routes_with_one_host_and_prefix_are_an_error():
    twice = RouteTable(1, (route(), route(name="second")), SERVICES)
    assert any("another route" in error for error in routing.validation_errors(twice))


def test_a_table_is_unchanged_by_encoding_and_decoding():
    table = RouteTable(7, (route(),), SERVICES)
    assert routing.decode(routing.encode(table)) == table
    assert routing.decode("") == RouteTable()
