"""The platform adapter: its names occur nowhere else, and its units and meanings are converted."""

import asyncio
import importlib
import json
import re
import subprocess
import sys

import pytest

from lab.fleet import ROOT
from tests.gateways import gateway
from tests.platforms import HOST, configuration, route, wire
from verbenashore import routing
from verbenashore.backendcall import Call
from verbenashore.deployment import hash_key
from verbenashore.directory import BackendEntry
from verbenashore.exceptions import BadRequestError
from verbenashore.httpserver import Request
from verbenashore.keys import KeyBounds
from verbenashore.routing import RouteIndex, RouteKind, RouteTable, Workspace

PLATFORM_NAMES = re.compile(
    r"x-verbenashore-|/verbenashore/|VERBENASHORE_SETTINGS|target_latency_ms|path_prefix|dead_letter"
    r"|traffic_split|gap_aim_ms|queue_ttl|completion_target|timeout_ms|node_name|internal_ports"
    r"|readiness_addr|kv_capacity|max_connections\"|idle_timeout_ms|machine_class|status_s\b|/lots/",
    re.IGNORECASE,
)


def test_platform_names_occur_only_in_the_platform_folder():
    occurrences = [
        f"{path.relative_to(ROOT)}:{number}"
        for folder in ("verbenashore", "standins", "lab", "spec")
        for path in (ROOT / folder).rglob("*.py")
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]
    assert occurrences == []


def test_the_platform_folder_does_not_shadow_the_standard_module():
    completed = subprocess.run(
        [sys.executable, "-c", "import platform; print(platform.system())"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip()


def test_a_configuration_is_converted_to_our_names_and_units():
    source = json.dumps(configuration(7)).encode()
    table = wire.read_configuration(source)
    by_name = {route.name: route for route in table.routes}
    assert table.version == 7
    assert by_name["stream"].objective == 0.3 and by_name["stream"].pause == 0.25
    assert by_name["stream"].repeatable and not by_name["once"].repeatable
    assert by_name["lookup"].kind is RouteKind.REPEATABLE and by_name["lookup"].timeout == 1.5
    assert by_name["jobs"].token_cap == 2000 and by_name["jobs"].give_up_after == 60
    assert by_name["jobs"].completion_objective == 18.0
    assert table.limits.idle_seconds == 15.0


def test_a_traffic_split_gives_each_service_its_weight():
    split = [{"service": "lm", "weight": 90}, {"service": "forms", "weight": 10}]
    divided = route("r", "/r/", "streaming", service=None, traffic_split=split)
    table = wire.read_configuration(json.dumps(configuration(1, [divided])).encode())
    assert [(share.service, share.weight) for share in table.routes[0].shares] == [
        ("lm", 90),
        ("forms", 10),
    ]


@pytest.mark.parametrize("missing_bytes", [1, 40, 200])
def test_a_truncated_configuration_is_rejected(missing_bytes):
    with pytest.raises(BadRequestError):
        wire.read_configuration(json.dumps(configuration(7)).encode()[:-missing_bytes])


LIST_ENTRY = {
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
        LIST_ENTRY | {"id": 1},
        LIST_ENTRY | {"address": "host:1"},
        LIST_ENTRY | {"slots": 0},
        LIST_ENTRY | {"state": "odd"},
        LIST_ENTRY | {"slots": 1 << 70},
        LIST_ENTRY | {"address": "10.0.0.1:65536"},
        LIST_ENTRY | {"address": "10.0.0.1:0"},
        LIST_ENTRY | {"address": "10.0.0.1:" + "9" * 5000},
    ],
)
def test_a_malformed_list_entry_is_skipped(entry):
    skipped = wire.SkippedEntries()
    assert wire._to_entry(json.dumps(entry).encode(), skipped) is None
    assert skipped.count == len(skipped.errors) == 1


DEEP = "[" * 100_000 + "]" * 100_000


@pytest.mark.parametrize(
    "odd",
    [
        DEEP,
        f'{{"id": {DEEP}}}',
        f'{{"id": "i", "unknown": {DEEP}}}',
        '{"id": "i", "slots": 1e999}',
        '{"id": "i", "unknown": 1e999}',
        '{"id": "\\ud800"}',
        '{"id": nothing}',
        "7",
    ],
    ids=range(8),
)
def test_one_odd_entry_of_the_list_does_not_hide_the_others(odd):
    async def check():
        first, last = (json.dumps(LIST_ENTRY | {"id": name}) for name in ("first", "last"))
        page = f'{{"instances": [{first}, {odd}, {last}], "next": null}}'

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(page.encode()))
            writer.write(page.encode())
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with server:
            return await wire.list_reader(f"{host}:{port}")()

    assert [entry.name for entry in asyncio.run(check())] == ["first", "last"]


def read_call(**fields):
    """Returns the call that is read from a request with some headers."""
    fields = {"host": HOST, "x-verbenashore-request-id": "c", "connection": "close"} | fields
    raw = [(name.encode(), value.encode()) for name, value in fields.items()]
    return wire.read_call(Request("POST", "/s/a?b=1", "/s/a", {}, fields, b"x", raw))


SERVER = BackendEntry("i-1", "lm", "10.0.0.1:80", "dc", 4, False)


def test_a_call_is_forwarded_with_its_headers_but_without_hop_by_hop_ones():
    call = read_call(**{"x-verbenashore-model": "m", "x-verbenashore-deadline-ms": "5000"})
    assert call.timeout == 5.0 and call.last_event is None
    sent = {
        name.decode(): value.decode()
        for name, value in wire.DIALECT.call_headers(call, SERVER, 1.25, 7)
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
    ("status", "headers", "not_run", "misdirected", "answered_by"),
    [
        (200, [], False, False, ""),
        (503, [(b"X-Verbenashore-Not-Executed", b"1")], True, False, ""),
        (503, [], False, False, ""),
        (421, [], False, True, ""),
        (421, [(b"X-Verbenashore-Instance-Id", b"i-2")], False, True, "i-2"),
    ],
)
def test_only_a_server_that_says_so_counts_as_not_having_run_the_call(
    status, headers, not_run, misdirected, answered_by
):
    head = wire.DIALECT.read_head(status, headers)
    assert (head.not_run, head.misdirected) == (not_run, misdirected)
    assert head.answered_by == answered_by


@pytest.mark.parametrize(
    ("headers", "leaving"),
    [
        ([], False),
        ([(b"Server-Leaving", b"1")], True),
        ([(b"server-leaving", b"0"), (b"SERVER-LEAVING", b"1")], True),
        ([(b"server-leaving", b"1"), (b"server-leaving", b"0")], True),
        ([(b"server-leaving", b"0")], False),
        ([(b"server-leaving", b"true")], False),
        ([(b"server-leaving", b"")], False),
        ([(b"server-leaving", b"\xff")], False),
    ],
)
def test_a_server_leaves_if_its_answer_says_so_by_the_number_1(headers, leaving):
    for status in (200, 500, 503):
        head = wire.DIALECT.read_head(status, headers)
        assert head.leaving is leaving and head.headers == headers


def test_the_parts_of_a_prompt_are_read_in_order():
    parts = b"5C1e:800, 91bd:410,e440:250"
    headers = [(b"X-Verbenashore-Prompt-Prefix", parts), (b"x-other", b"1")]
    assert wire.DIALECT.read_prompt(headers) == ("5c1e", "91bd", "e440")
    assert wire.DIALECT.read_prompt([(b"x-other", b"1")]) == ()


@pytest.mark.parametrize(
    ("usage", "hint", "prompt", "output"),
    [
        (b"450,300", None, 450, 300),
        (b" 450 , 300", b"120", 450, 120),
        (b"450,300", b"900", 450, 300),
        (b"450", b"120", 450, 0),
        (b"-1,1e9", b"x", 0, 0),
        (b"99999999999999999999,5", b"\xff", 0, 5),
    ],
)
def test_the_size_of_a_call_is_read_from_its_headers(usage, hint, prompt, output):
    headers = [
        (b"X-Verbenashore-Prompt-Prefix", b"5C1e:200, 91bd:250,e440"),
        (b"X-Verbenashore-Token-Usage", usage),
        *([(b"x-verbenashore-length-hint", hint)] if hint is not None else []),
    ]
    size = wire.DIALECT.read_size(headers)
    assert (size.segments, size.segment_tokens) == (("5c1e", "91bd", "e440"), (200, 250, 0))
    assert (size.prompt, size.output) == (prompt, output)
    assert wire.DIALECT.read_size([(b"x-other", b"1")]).tokens == 0


@pytest.mark.parametrize("name", ["x-verbenashore-deadline-ms", "last-event-id"])
@pytest.mark.parametrize("text", ["nan", "inf", "1e999", "-1", "1_0", "9" * 5000, ""])
def test_a_number_in_a_header_that_is_none_is_refused_with_its_name(name, text):
    with pytest.raises(BadRequestError) as caught:
        read_call(**{name: text})
    assert caught.value.field == name


def read_job(body, workspace=None):
    """Returns the job that is read from a request."""
    fields = {"x-verbenashore-request-id": "j"}
    table = wire.read_configuration(json.dumps(configuration(1)).encode())
    batch = next(route for route in table.routes if route.kind is RouteKind.BATCH)
    return wire.read_job(Request("POST", "/", "/", {}, fields, body), batch, 120.0, workspace)


@pytest.mark.parametrize("tokens", [-1, 1 << 53, 1 << 70])
def test_a_job_with_a_number_of_tokens_that_cannot_be_is_refused(tokens):
    item = {"id": "i", "path": "/", "headers": {}, "body": "", "tokens": tokens}
    with pytest.raises(BadRequestError):
        read_job(json.dumps({"items": [item]}).encode())


def test_a_job_that_is_nested_too_deeply_is_refused():
    with pytest.raises(BadRequestError):
        read_job(f'{{"items": [], "unknown": {DEEP}}}'.encode())


@pytest.mark.parametrize(
    "change",
    [
        {"version": 1 << 70},
        {"version": -1},
        {"routes": [route("r", "/r/", "batch", cap=1 << 70)]},
        {"routes": [route("r", "/r/", "idempotent", max_attempts=1 << 70)]},
    ],
)
def test_a_configuration_with_a_number_that_fits_no_message_is_refused(change):
    with pytest.raises(BadRequestError):
        wire.read_configuration(json.dumps(configuration(1) | change).encode())


def test_a_configuration_that_is_nested_too_deeply_is_refused():
    with pytest.raises(BadRequestError):
        wire.read_configuration(f'{{"version": 1, "unknown": {DEEP}}}'.encode())


@pytest.mark.parametrize(
    ("text", "per_second"),
    [
        (b"2.5", 2.5),
        (b"3", 3.0),
        (b" 0.04 ", 0.04),
        (b"2.4000000000000004", 2.4000000000000004),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e3", None),
        (b"1_0", None),
        (b"9" * 1000, None),
        (b"\xff", None),
        (b"", None),
    ],
)
def test_the_rate_that_a_server_states_is_a_decimal_number(text, per_second):
    for status in (200, 500, 503):
        head = wire.DIALECT.read_head(status, [(b"Server-Limit", text)])
        assert head.states_rate and head.per_second == per_second
    assert not wire.DIALECT.read_head(200, []).states_rate


def tenant(**changes):
    """Returns a workspace as operators write it."""
    return {"name": "a", "api_keys": ["key-a", "key-a2"]} | changes


def read_tenants(*tenants, **changes):
    """Returns the route table of a configuration with workspaces."""
    document = configuration(1) | {"tenants": list(tenants)} | changes
    return wire.read_configuration(json.dumps(document).encode())


def test_workspaces_are_read_with_the_hashes_of_their_keys():
    """Guards keys that reach entries in the route table."""
    full = tenant(priority=3, rate_per_s=83, burst=82.5)
    plain = tenant(name="b", api_keys=["clé"], priority=None, rate_per_s=None, burst=None)
    public = route("p", "/p/", "idempotent", "forms", public=True)
    table = read_tenants(full, plain, routes=[public])
    assert table.routes[0].public
    assert table.workspaces == (
        Workspace("a", (hash_key("key-a"), hash_key("key-a2")), 3, 83.0, 82.5),
        Workspace("b", (hash_key("clé"),), None, 0.0, 0.0),
    )
    text = routing.encode(table)
    assert "key-a" not in text and "clé" not in text and routing.decode(text) == table
    assert read_tenants().workspaces == ()
    assert wire.read_configuration(json.dumps(configuration(1)).encode()).workspaces is None


#: What stands before, in and after keys that no header can hold.
UNSENDABLE = [(" ", "", ""), ("", "", " "), ("", "", "\n"), ("", "\0", ""), ("", "\x7f", "")]


@pytest.mark.parametrize(
    ("tenants", "word"),
    [
        ([tenant(), tenant(name="b")], "one of its keys"),
        ([tenant(), tenant(api_keys=[])], "not unique"),
        ([tenant(name=7)], "name"),
        ([{"api_keys": []}], "name"),
        ([tenant(api_keys="key-a")], "api_keys"),
        ([tenant(api_keys=["key-a", 7])], "api_keys"),
        ([tenant(api_keys=[""])], "api_keys"),
        *(([tenant(api_keys=[f"{a}key-{b}x{c}"])], "api_keys") for a, b, c in UNSENDABLE),
        ([tenant(priority="high")], "priority"),
        ([tenant(priority=1 << 70)], "priority"),
        ([tenant(rate_per_s="fast")], "rate_per_s"),
        ([tenant(rate_per_s=-1)], "rate_per_s"),
        ([tenant(burst=True)], "burst"),
        (["a"], "tenants"),
    ],
)
def test_a_workspace_that_is_invalid_is_refused_with_its_field_but_not_its_keys(tenants, word):
    with pytest.raises(BadRequestError, match=word) as caught:
        read_tenants(*tenants)
    assert "key-" not in caught.value.message and "sha256" not in caught.value.message
    with pytest.raises(BadRequestError, match="public"):
        read_tenants(routes=[route("r", "/r/", "idempotent", "forms", public="no")])


KEY_FIELDS = {"api-key": "key-a", "x-verbenashore-tenant": "forged", "x-other": "kept"}


def sent_headers(call):
    """Returns the headers that a server gets, apart from those that each call has."""
    sent = wire.DIALECT.call_headers(call, SERVER, 1.0, None)
    assert len({name.lower() for name, _ in sent}) == len(sent)
    fields = {name.decode().lower(): value.decode() for name, value in sent}
    return {name: value for name, value in fields.items() if name in KEY_FIELDS}


def test_a_server_gets_the_workspace_and_neither_a_key_nor_a_forged_name():
    """Guards keys at servers, and callers who name another workspace."""
    raw = [(name.title().encode(), value.encode()) for name, value in KEY_FIELDS.items()]
    fields = {"host": HOST, "x-verbenashore-request-id": "c"} | KEY_FIELDS
    request = Request("POST", "/s/a", "/s/a", {}, fields, b"x", raw)
    assert wire.read_origin(request).key == "key-a"
    assert sent_headers(wire.read_call(request)) == KEY_FIELDS
    kept = {"x-other": "kept"}
    assert sent_headers(wire.read_call(request, "")) == kept
    assert sent_headers(wire.read_call(request, "a")) == kept | {"x-verbenashore-tenant": "a"}
    # Items of jobs that were accepted before the configuration had workspaces.
    item = Call("i", HOST, "POST", "/s/a", "/s/a", raw, b"", withholds_keys=True)
    assert sent_headers(item) == kept


def test_a_key_is_read_as_documents_write_it():
    """Guards keys with other than ASCII characters, which could never match."""
    for key in ("clé", "ключ", "voilà", "a b"):
        read_tenants(tenant(api_keys=[key]))
        fields = {"api-key": f" {key} ".encode().decode("latin-1")}
        assert wire.read_origin(Request("GET", "/", "/", {}, fields, b"")).key == key


def job_request_status(workspaces, method, query, fields):
    """Returns the status of a request that names a job, at an entry with a route table."""
    answers = []

    class Responder:
        started = False

        async def send_json(self, status, _document, _headers=None):
            answers.append(status)

    async def end_job(job, workspace):
        return (job, workspace) == ("j", None)

    async def run():
        async with gateway() as made:
            made.finder.routes = RouteIndex(RouteTable(1, workspaces=workspaces))
            made.end_job = end_job
            handle_request = importlib.import_module("callers").callers_handler(made, 60.0)
            path = "/verbenashore/lots/j"
            await handle_request(Request(method, path, path, query, fields, b""), Responder())

    asyncio.run(run())
    return answers[0]


@pytest.mark.parametrize(("workspaces", "expected"), [(None, 200), ((), 400)])
def test_the_timeout_of_a_job_request_is_read_only_where_there_are_workspaces(workspaces, expected):
    """Guards deployments without workspaces, where such requests were served before."""
    assert job_request_status(workspaces, "DELETE", {}, {wire.DEADLINE_MS: "soon"}) == expected


@pytest.mark.parametrize("after", ["²", "٣", "-1", "x", "9" * 5000])
def test_a_position_that_is_no_number_is_refused(after):
    """Guards against digits that can't be converted to a number."""
    assert job_request_status(None, "GET", {"after": after}, {}) == 400


def test_keys_among_the_headers_of_items_are_not_stored():
    """Guards keys on the disks of ledger processes."""
    item = {"id": "i", "path": "/", "headers": {"Api-Key": "key-a", "X-Other": "kept"}}
    item |= {"body": "", "tokens": 1}
    body = json.dumps({"items": [item]}).encode()
    assert read_job(body, "a").items[0].headers == [("X-Other", "kept")]
    assert read_job(body, "a").workspace == "a"
    assert len(read_job(body).items[0].headers) == 2


def test_the_bounds_of_keys_are_read_from_the_settings_file(tmp_path, monkeypatch):
    boot = importlib.import_module("boot")
    path = tmp_path / "settings.toml"
    monkeypatch.setenv(boot.PATH_VARIABLE, str(path))
    base = 'node_name = "e"\nip = "127.0.0.1"\nzone = "z"\ninternal_ports = [1, 9]\n'
    path.write_text(base)
    assert boot.read_settings().key_bounds == KeyBounds(False, 5.0)
    path.write_text(base + "[bounds]\nrevoke_fail_closed = true\nrevoke_ms = 1500\n")
    assert boot.read_settings().key_bounds == KeyBounds(True, 1.5)


def test_the_memory_of_a_service_is_read_from_its_engine():
    document = configuration(1, [route("r", "/r/", "batch")])
    document["services"][0]["engine"] = {"slots": 8, "kv_capacity_tokens": 72_000}
    table = wire.read_configuration(json.dumps(document).encode())
    assert table.services[0].memory_tokens == 72_000


@pytest.mark.parametrize(
    ("usage", "hint", "tokens"),
    [
        ("300,500", "200", 500),
        ("300,500", "about 200", 800),
        ("300,500", "-1", 800),
        ("300,500", "9" * 10, 800),
        ("junk", "", 250),
        ("-900,-900", "", 250),
        ("100;500", "200", 250),
    ],
)
def test_a_header_that_cannot_be_read_does_not_lower_the_need_for_memory(usage, hint, tokens):
    """Guards against calls that overfill a server since they count as smaller than they are."""
    fields = [(wire.PROMPT_PREFIX, "a:100,b:150"), (wire.TOKEN_USAGE, usage)]
    fields.append((wire.LENGTH_HINT, hint))
    headers = [(name.encode(), value.encode()) for name, value in fields]
    assert wire.DIALECT.read_size(headers).tokens == tokens
