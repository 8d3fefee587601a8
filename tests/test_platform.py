"""The adapter: the platform's names stay inside it and mean what our fields say."""

import json
import re
import subprocess
import sys

import pytest

from lab.fleet import ROOT
from tests.platforms import HOST, configuration, route, wire
from verbenashore.directory import BackendEntry
from verbenashore.exceptions import BadRequestError
from verbenashore.httpserver import Request
from verbenashore.routing import RouteKind

NAMES = re.compile(
    r"x-verbenashore-|/verbenashore/|VERBENASHORE_SETTINGS|target_latency_ms|path_prefix|dead_letter"
    r"|traffic_split|gap_aim_ms|queue_ttl|completion_target|timeout_ms|node_name|internal_ports"
    r"|readiness_addr|kv_capacity|max_connections\"|idle_timeout_ms|machine_class|status_s\b|/lots/",
    re.IGNORECASE,
)


def test_no_name_of_the_platform_stands_outside_its_folder():
    found = [
        f"{path.relative_to(ROOT)}:{number}"
        for folder in ("verbenashore", "standins", "lab", "spec")
        for path in (ROOT / folder).rglob("*.py")
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if NAMES.search(line)
    ]
    assert found == []


def test_the_folder_does_not_hide_the_standard_module_of_its_name():
    done = subprocess.run(
        [sys.executable, "-c", "import platform; print(platform.system())"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.strip()


def test_a_configuration_is_decoded_into_our_words_and_units():
    source = json.dumps(configuration(7)).encode()
    table = wire.read_configuration(source)
    by_name = {found.name: found for found in table.routes}
    assert table.version == 7
    assert by_name["stream"].objective == 0.3 and by_name["stream"].pause == 0.25
    assert by_name["stream"].repeatable and not by_name["once"].repeatable
    assert by_name["lookup"].kind is RouteKind.REPEATABLE and by_name["lookup"].timeout == 1.5
    assert by_name["jobs"].token_cap == 2000 and by_name["jobs"].give_up_after == 60
    assert by_name["jobs"].completion_objective == 18.0
    assert table.limits.idle_seconds == 15.0


def test_a_split_gives_each_service_its_weight():
    split = [{"service": "lm", "weight": 90}, {"service": "forms", "weight": 10}]
    divided = route("r", "/r/", "streaming", service=None, traffic_split=split)
    table = wire.read_configuration(json.dumps(configuration(1, [divided])).encode())
    assert [(share.service, share.weight) for share in table.routes[0].shares] == [
        ("lm", 90),
        ("forms", 10),
    ]


@pytest.mark.parametrize("cut", [1, 40, 200])
def test_a_configuration_that_is_cut_short_is_refused(cut):
    with pytest.raises(BadRequestError):
        wire.read_configuration(json.dumps(configuration(7)).encode()[:-cut])


LISTED = {
    "id": "i",
    "service": "s",
    "address": "10.0.0.1:1",
    "zone": "z",
    "slots": 1,
    "state": "ready",
}


@pytest.mark.parametrize(
    "entry",
    [
        {},
        "text",
        LISTED | {"id": 1},
        LISTED | {"address": "host:1"},
        LISTED | {"slots": 0},
        LISTED | {"state": "odd"},
    ],
)
def test_a_malformed_entry_of_the_list_names_no_server(entry):
    assert wire._to_entry(entry) is None


def call(**fields):
    """Reads a call with some headers."""
    fields = {"host": HOST, "x-verbenashore-request-id": "c", "connection": "close"} | fields
    raw = [(name.encode(), value.encode()) for name, value in fields.items()]
    return wire.read_call(Request("POST", "/s/a?b=1", "/s/a", {}, fields, b"x", raw))


SERVER = BackendEntry("i-1", "lm", "10.0.0.1:80", "dc", 4, False)


def test_a_call_goes_on_with_its_headers_and_without_those_of_one_connection():
    given = call(**{"x-verbenashore-model": "m", "x-verbenashore-deadline-ms": "5000"})
    assert given.timeout == 5.0 and given.last_event is None
    sent = {
        name.decode(): value.decode()
        for name, value in wire.DIALECT.call_headers(given, SERVER, 1.25, 7)
    }
    assert sent == {
        "host": HOST,
        "x-verbenashore-request-id": "c",
        "x-verbenashore-model": "m",
        "x-verbenashore-deadline-ms": "1250",
        "x-verbenashore-expect-instance": "i-1",
        "last-event-id": "7",
    }


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "replaced"),
    [
        (200, [], False, False),
        (503, [(b"X-Verbenashore-Not-Executed", b"1")], True, False),
        (503, [], False, False),
        (421, [], False, True),
    ],
)
def test_only_a_statement_of_the_server_means_that_it_did_not_run(
    status, headers, not_run, replaced
):
    head = wire.DIALECT.read_head(status, headers)
    assert (head.not_run, head.replaced) == (not_run, replaced)
