"""Which calls go on with which key, also while the route table may be out of date."""

import asyncio
import dataclasses

import msgspec
import pytest

from tests.gateways import gateway
from verbenashore import keys, logs, routing
from verbenashore.deployment import hash_key
from verbenashore.dispatch import RESUMED_RANK
from verbenashore.exceptions import NotFoundError, OverloadedError, UnknownKeyError
from verbenashore.keys import Confirmation, KeyBounds, KeyVerdict
from verbenashore.logs import Event
from verbenashore.routefinder import CallOrigin
from verbenashore.routing import Route, RouteIndex, RouteKind, RouteTable, Share, Workspace

CURRENT, STALE = Confirmation(True, 0.4), Confirmation(False, 6.0)
OPEN, CLOSED = KeyBounds(), KeyBounds(fail_closed=True)


def make_route(prefix, **changes):
    """Returns a route with priority 3."""
    shares = (Share("s", 1),)
    made = Route(prefix, "h", prefix, RouteKind.REPEATABLE, 5.0, 0.5, shares, priority=3)
    return msgspec.structs.replace(made, **changes)


def make_table(version=1, workspaces=(), **changes):
    """Returns a route table with a route that needs a key and one that is public."""
    routes = (make_route("/l/", **changes), make_route("/p/", public=True))
    return RouteTable(version, routes, workspaces=workspaces)


WORKSPACES = (
    Workspace("a", (hash_key("key-a"), hash_key("key-a2")), priority=7),
    Workspace("b", (hash_key("key-b"),)),
)
INDEX = RouteIndex(make_table(workspaces=WORKSPACES))


@pytest.mark.parametrize(
    ("key", "public", "confirmation", "bounds", "verdict", "workspace"),
    [
        ("key-a2", False, CURRENT, OPEN, KeyVerdict.GRANTED, "a"),
        ("key-a", False, STALE, OPEN, KeyVerdict.GRANTED, "a"),
        ("gone", False, CURRENT, OPEN, KeyVerdict.UNKNOWN_KEY, None),
        ("", False, CURRENT, OPEN, KeyVerdict.UNKNOWN_KEY, None),
        ("gone", False, STALE, OPEN, KeyVerdict.UNCERTAIN, None),
        ("", False, STALE, OPEN, KeyVerdict.UNCERTAIN, None),
        ("key-a", False, CURRENT, CLOSED, KeyVerdict.GRANTED, "a"),
        ("key-a", False, STALE, CLOSED, KeyVerdict.UNCERTAIN, None),
        ("key-a", True, STALE, CLOSED, KeyVerdict.UNCERTAIN, None),
        ("", True, STALE, CLOSED, KeyVerdict.GRANTED, ""),
        ("gone", True, STALE, CLOSED, KeyVerdict.GRANTED, ""),
        ("key-b", True, CURRENT, OPEN, KeyVerdict.GRANTED, "b"),
    ],
)
def test_a_key_decides_only_as_far_as_the_table_is_confirmed(
    key, public, confirmation, bounds, verdict, workspace
):
    """Guards a 401 from an outdated table, and a revoked key that is accepted without end."""
    decision = keys.decide(INDEX, key, public, confirmation, bounds)
    assert (decision.verdict, decision.workspace) == (verdict, workspace)


@pytest.mark.parametrize(
    ("key", "confirmation", "bounds", "verdict", "workspace"),
    [
        ("new", STALE, OPEN, KeyVerdict.UNCERTAIN, None),
        ("new", Confirmation(True, 6.0), CLOSED, KeyVerdict.UNCERTAIN, None),
        ("gone", CURRENT, CLOSED, KeyVerdict.GRANTED, ""),
        ("", STALE, CLOSED, KeyVerdict.GRANTED, ""),
        ("key-a", STALE, OPEN, KeyVerdict.GRANTED, "a"),
    ],
)
def test_an_unknown_key_is_no_key_for_public_jobs_only_once_that_is_certain(
    key, confirmation, bounds, verdict, workspace
):
    """Guards jobs that are stored without their owner, and owners who are told of no such job."""
    decision = keys.decide(INDEX, key, True, confirmation, bounds, names_owner=True)
    assert (decision.verdict, decision.workspace) == (verdict, workspace)


def test_without_workspaces_no_key_is_read_and_with_none_every_key_is_unknown():
    """Guards deployments without workspaces, and an empty list that is taken for none."""
    none = keys.decide(RouteIndex(make_table(workspaces=None)), "x", False, STALE, CLOSED)
    assert (none.verdict, none.workspace) == (KeyVerdict.GRANTED, None)
    empty = keys.decide(RouteIndex(make_table()), "key-a", False, CURRENT, OPEN)
    assert empty.verdict is KeyVerdict.UNKNOWN_KEY


def test_the_workspace_goes_before_the_route_in_the_rank_and_a_resumed_stream_before_both():
    """Guards the order of priorities, and negative ones that overtake resumed streams."""
    low, high = make_route("/l/", priority=9), make_route("/h/", priority=-(2**53))
    first = Workspace("f", priority=-(2**53))
    ranks = [
        RESUMED_RANK,
        keys.rank_of(high, first),
        keys.rank_of(low, first),
        keys.rank_of(high, WORKSPACES[0]),
        keys.rank_of(low, WORKSPACES[0]),
        keys.rank_of(low, WORKSPACES[1]),
    ]
    assert ranks == sorted(set(ranks))
    assert keys.rank_of(low, None) == keys.rank_of(low, WORKSPACES[1])


@dataclasses.dataclass
class Entry:
    """An entry without running tasks, whose table and confirmation a test sets."""

    gateway: object

    def install(self, table, newest=None):
        """Puts a table in force, as the newest one unless another version is given."""
        view = self.gateway._view
        view.deployment = table
        view.change = type("Change", (), {"revision": table.version, "drained": []})()
        view.newest_revision = newest or table.version
        self.gateway._on_configuration_change()

    def confirm(self, age=0.0):
        """Records the confirmation of the newest version some seconds ago."""
        self.gateway._view.confirmed_at = self.gateway.clock() - age
        self.gateway.finder.wake_waiters()

    async def find(self, path, key, timeout=5.0):
        """Returns the name of the workspace of a call."""
        origin = CallOrigin("h", path, "c", timeout, key)
        return (await self.gateway.finder.find_route(origin)).workspace

    async def read(self, key, host="h"):
        """Returns the name of the workspace of a read of a job."""
        return await self.gateway.finder.find_workspace(CallOrigin(host, "/x/j", "", None, key))


def run_with_entry(check, bounds=OPEN):
    """Runs a check with an entry."""

    async def run():
        async with gateway(key_bounds=bounds) as made:
            await check(Entry(made))

    asyncio.run(run())


def test_an_entry_without_a_configuration_and_one_that_is_behind_refuse_as_not_ready(monkeypatch):
    """Guards a 401 or 404 from an entry that can't know, and keys in the log."""
    lines = []
    for name in ("info", "warning"):
        monkeypatch.setattr(logs, name, lambda event, **fields: lines.append((event, fields)))

    async def check(entry):
        for ask in (entry.find("/l/x", "key-a"), entry.read("key-a")):
            with pytest.raises(OverloadedError) as refused:
                await ask
            assert refused.value.step == "place" and refused.value.retry_after > 0
        entry.install(make_table(workspaces=WORKSPACES), newest=2)
        entry.confirm()
        for ask in (entry.find("/l/x", "key-c"), entry.read("key-c"), entry.find("/l/x", "")):
            with pytest.raises(OverloadedError):
                await ask
        assert await entry.find("/l/x", "key-a") == "a"
        entry.install(make_table(2, WORKSPACES[1:]))
        entry.confirm()
        for ask in (entry.find("/l/x", "key-a"), entry.read("key-a"), entry.find("/l/x", "")):
            with pytest.raises(UnknownKeyError) as unknown:
                await ask
            assert (unknown.value.http_status, unknown.value.not_run) == (401, True)
        with pytest.raises(NotFoundError):
            await entry.find("/none/x", "key-a")

    run_with_entry(check)
    refused = [fields for event, fields in lines if event is Event.KEY_REFUSED]
    assert [fields["route"] for fields in refused] == ["/l/", "/x/j", "/l/"]
    assert {fields["version"] for fields in refused} == {2}
    assert "key-" not in str(lines) and "sha256" not in str(lines)


def test_a_retry_with_an_unknown_key_waits_until_it_is_certain_and_is_checked_again():
    """Guards retries that are refused while the version with their key is on its way."""

    async def check(entry):
        entry.install(make_table(workspaces=WORKSPACES))
        entry.confirm(age=2.0)
        entry.gateway._retry_detector.record_timeout("h", "/l/x", 5.0)
        asked = [asyncio.create_task(entry.find("/l/x", key, 4.0)) for key in ("key-c", "gone")]
        await asyncio.sleep(0.05)
        assert not any(task.done() for task in asked)
        added = Workspace("c", (hash_key("key-c"),))
        entry.install(make_table(2, (*WORKSPACES, added)))
        entry.confirm()
        async with asyncio.timeout(1.0):
            assert await asked[0] == "c"
            with pytest.raises(UnknownKeyError):
                await asked[1]

    run_with_entry(check)


def test_keys_are_refused_after_the_bound_only_if_that_is_set():
    """Guards revoked keys at a partitioned entry, and calls refused where that isn't wanted."""

    async def check_closed(entry):
        entry.install(make_table(workspaces=WORKSPACES))
        entry.confirm(age=4.5)
        assert await entry.find("/l/x", "key-a") == "a"
        entry.confirm(age=5.5)
        with pytest.raises(OverloadedError):
            await entry.find("/l/x", "key-a")
        assert await entry.find("/p/x", "") == ""

    async def check_open(entry):
        entry.install(make_table(workspaces=WORKSPACES))
        entry.confirm(age=3600.0)
        assert await entry.find("/l/x", "key-a") == "a"

    run_with_entry(check_closed, CLOSED)
    run_with_entry(check_open, OPEN)


def test_reads_of_jobs_need_no_key_where_jobs_may_be_submitted_without():
    """Guards jobs of a public route that nobody could read."""

    async def check(entry):
        batch = make_route("/j/", kind=RouteKind.BATCH, public=True)
        table = make_table(workspaces=WORKSPACES)
        entry.install(msgspec.structs.replace(table, routes=(*table.routes, batch)))
        entry.confirm()
        assert (await entry.read(""), await entry.read("key-a")) == ("", "a")
        with pytest.raises(UnknownKeyError):
            await entry.read("", host="other")
        entry.confirm(age=2.0)
        assert (await entry.read(""), await entry.find("/p/x", "key-c")) == ("", "")
        for ask in (entry.read("key-c"), entry.find("/j/x", "key-c")):
            with pytest.raises(OverloadedError):
                await ask

    run_with_entry(check)


def test_workspaces_are_validated():
    """Guards a key that two workspaces share, and names that no header can hold."""

    def errors(*workspaces):
        table = RouteTable(1, workspaces=workspaces)
        return routing.validation_errors(table)

    assert errors(*WORKSPACES) == []
    assert len(errors(*WORKSPACES, Workspace("c", (hash_key("key-a"),)))) == 2
    for name in ("", "a\r\nb", " a", "a"):
        assert errors(WORKSPACES[0], Workspace(name))
