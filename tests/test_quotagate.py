"""Limits of workspaces at a gateway: what a refused caller gets, what is logged, what counts."""

import asyncio

import pytest

from tests.gateways import gateway
from tests.test_relayed import FakeResponder
from verbenashore import logs
from verbenashore.backendcall import Call
from verbenashore.exceptions import OverloadedError
from verbenashore.explain import LogEvent, render, select_events
from verbenashore.logs import Event
from verbenashore.messages import Member
from verbenashore.routing import Route, RouteIndex, RouteKind, RouteTable, Share, Workspace
from verbenashore.types import MemberRole, MemberState

ROUTE = Route("r", "h", "/l/", RouteKind.REPEATABLE, 5.0, 5.0, (Share("s", 1),))


async def refusals(entry, workspace, count):
    """Relays some calls that find no server or are over the limit; returns how each is refused."""
    errors = []
    for number in range(count):
        call = Call(f"c{number}", "h", "GET", "/l/x", "/l/x", [], b"", workspace=workspace)
        with pytest.raises(OverloadedError) as raised:
            await entry.relay(call, ROUTE, FakeResponder())
        errors.append(raised.value)
    return errors


async def refuse_calls(workspaces, workspace, entries=1, taken=0):
    """Returns the refusals at a gateway without servers.

    :param entries: in its list of entries.
    :param taken: requests that were admitted before.
    """
    async with gateway() as entry:
        table = RouteTable(3, workspaces=workspaces)
        entry.finder.routes = RouteIndex(table)
        quotas = entry._quota_gate.quotas
        quotas._started_at -= 100.0
        quotas.install(table)
        members = [
            Member(f"e{n}", "", MemberRole.ENTRY, "127.0.0.1:1", "", "", MemberState.SERVING, 1)
            for n in range(entries)
        ]
        entry._load_reporter.set_members(members)
        for _ in range(taken):
            assert not quotas.admit(workspace, entry._clock())
        return await refusals(entry, workspace, 3)


LIMITED = (Workspace("w", (), None, 5.0, 1.0),)


def test_a_call_over_the_limit_is_refused_with_what_decided_about_it(monkeypatch):
    events = []
    for level in ("info", "warning"):
        monkeypatch.setattr(logs, level, lambda event, **fields: events.append((event, fields)))
    errors = asyncio.run(refuse_calls(LIMITED, "w", taken=4))
    # The calls that found no server didn't run, so they don't count.
    assert [error.step for error in errors] == ["place"] * 3
    quota_errors = asyncio.run(refuse_calls(LIMITED, "w", taken=6))
    assert [error.step for error in quota_errors][-1] == "quota"
    fields = [fields for event, fields in events if event is Event.CALL_REFUSED][-1]
    assert fields["workspace"] == "w" and fields["version"] == 3 and fields["fraction"] == 1
    assert [event for event, _ in events].count(Event.WORKSPACE_LIMITED) == 1
    line = LogEvent(0.0, "e", Event.CALL_REFUSED.value, "call_refused", fields)
    explained = render(select_events([line], fields["call"]))
    assert "workspace=w per_second=5.0 burst=1.0 sum=6" in explained and "sum_age=" in explained


def test_a_limit_whose_entries_are_not_known_is_not_ready():
    errors = asyncio.run(refuse_calls(LIMITED, "w", entries=0))
    assert {(error.step, error.message) for error in errors} == {
        ("place", "the number of entries is not known")
    }


@pytest.mark.parametrize("workspaces", [None, (Workspace("w"),)])
def test_without_a_limit_nothing_changes(workspaces):
    errors = asyncio.run(refuse_calls(workspaces, "w" if workspaces else None, entries=0))
    assert {error.message for error in errors} == {"no list is known"}
