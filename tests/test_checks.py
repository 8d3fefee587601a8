"""The check of a configuration: one finding for each fault, and the same verdict as the system."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lab.fleet import ROOT
from tests.platforms import HOST, configuration, route, wire
from verbenashore import checks, cmdline, deployment, routing
from verbenashore.checks import Severity
from verbenashore.deployment import hash_key
from verbenashore.exceptions import BadRequestError, DeploymentError, UnreadableFileError

import checkfile  # isort: skip

EXAMPLE = (ROOT / "examples" / "association.toml").read_text()
SPLIT = [{"service": "lm", "weight": 1}, {"service": "forms", "weight": 0}]


def document(version=1, changes=None, tenant=None, **limits):
    """Returns a configuration without findings, with changes of its first route and workspace."""
    clean = configuration(version, **limits)
    clean["routes"][0] |= changes or {}
    clean["tenants"] = [
        {"name": "a", "api_keys": ["key-a"], "rate_per_s": 83, "burst": 83} | (tenant or {}),
        {"name": "b", "api_keys": ["key-b"]},
    ]
    return clean


def encoded(content):
    """Returns a document as JSON."""
    return json.dumps(content).encode()


def test_the_examples_have_no_findings():
    """Guards against warnings about what is meant."""
    assert checkfile.check(encoded(document())).findings == []
    assert checks.check_deployment(EXAMPLE).findings == []


ERRORS = [
    (document(changes={"service": "none"}), "routes[0].service", "unknown"),
    (
        document(changes={"traffic_split": [{"service": "lm", "weight": 0}]}),
        "routes[0].traffic_split",
        "add up to 0",
    ),
    (
        document(changes={"traffic_split": [SPLIT[0] | {"weight": 2}, SPLIT[1] | {"weight": -1}]}),
        "routes[0].traffic_split",
        "negative",
    ),
    (document(changes={"timeout_ms": 0}), "routes[0].timeout_ms", "not positive"),
    (document(changes={"path_prefix": "/s"}), "routes[0].path_prefix", "slash"),
    (document(changes={"kind": "odd"}), "routes[0].kind", "no kind"),
    (document(changes={"cap": "many"}), "routes[0].cap", "Expected `int`"),
    (document(tenant={"name": " a"}), "tenants[0].name", "spaces"),
    (document(tenant={"name": ""}), "tenants[0].name", "empty"),
    (document(tenant={"rate_per_s": -1}), "tenants[0].rate_per_s", ">= 0"),
]
WARNINGS = [
    (document(version=0), "version", "never"),
    (document(changes={"host": ""}), "routes[0].host", "no host"),
    (document(changes={"host": "notes example"}), "routes[0].host", "well-formed"),
    (document(changes={"host": "notes.example:65536"}), "routes[0].host", "port"),
    (document(changes={"host": "*.example"}), "routes[0].host", "pattern"),
    (document(changes={"host": "Notes.example"}), "routes[0].host", "lower case"),
    (document(changes={"path_prefix": "/a?b/"}), "routes[0].path_prefix", "well-formed"),
    (document(changes={"path_prefix": "/é/"}), "routes[0].path_prefix", "well-formed"),
    (document(changes={"path_prefix": "/%zz/"}), "routes[0].path_prefix", "well-formed"),
    (document(changes={"path_prefix": "/a/../b/"}), "routes[0].path_prefix", "segments"),
    (document(changes={"traffic_split": SPLIT}), "routes[0].traffic_split[1].weight", "no calls"),
    (document(changes={"target_latency_ms": 5001}), "routes[0].target_latency_ms", "above"),
    (document(changes={"target_latency_ms": 0}), "routes[0].target_latency_ms", "positive"),
    (document(changes={"gap_aim_ms": 5001}), "routes[0].gap_aim_ms", "above"),
    (
        document(changes={"kind": "batch", "completion_target_ms": 9000, "queue_ttl_s": 8}),
        "routes[0].completion_target_ms",
        "given up",
    ),
    (document(changes={"kind": "batch", "cap": 199}), "routes[0].cap", "below one job"),
    (document(tenant={"api_keys": []}), "tenants[0].api_keys", "without keys"),
    (document(tenant={"burst": 0.5}), "tenants[0].burst", "below one request"),
    (document(tenant={"rate_per_s": 0.4, "burst": 0.5}), "tenants[0].burst", "none is let in"),
    (document(tenant={"rate_per_s": 0}), "tenants[0].burst", "without a rate"),
    (document() | {"tenants": []}, "tenants", "only public"),
    (document(max_header_bytes=0), "limits.max_header_bytes", "no room"),
    (document(idle_timeout_ms=0), "limits.idle_timeout_ms", "no time"),
    (
        document()
        | {"services": [*document()["services"], {"name": "idle", "max_connections": 1}]},
        "services[2].name",
        "no route",
    ),
]


@pytest.mark.parametrize(
    ("content", "path", "word", "severity"),
    [(*case, Severity.ERROR) for case in ERRORS] + [(*case, Severity.WARNING) for case in WARNINGS],
)
def test_each_fault_of_a_configuration_has_one_finding(content, path, word, severity):
    """Guards against a fault that is not reported, or at a field that operators can't find."""
    findings = checkfile.check(encoded(content)).findings
    assert [(finding.severity, finding.path) for finding in findings] == [(severity, path)]
    assert word in findings[0].message


def test_pairs_of_equal_routes_and_keys_have_a_finding_each():
    doubled = document(tenant={"api_keys": ["key-b"]})
    doubled["routes"][1]["path_prefix"] = doubled["routes"][0]["path_prefix"]
    doubled["routes"][3]["name"] = doubled["routes"][2]["name"]
    assert [
        (finding.severity.value, finding.path)
        for finding in checkfile.check(encoded(doubled)).findings
    ] == [
        ("error", "routes[0].path_prefix"),
        ("error", "routes[1].path_prefix"),
        ("error", "tenants[0].api_keys"),
        ("error", "tenants[1].api_keys"),
        ("warning", "routes[2].name"),
        ("warning", "routes[3].name"),
    ]


@pytest.mark.parametrize(
    ("old", "new", "path", "word"),
    [
        ("slots = 32", "slots = 0", "backend[6].slots", "above 0"),
        ("[online]", "[online]\nodd = 1", "online.odd", "unknown key"),
        (
            '["sha256:feb93f60ada550f8823c78cf76612069de4e3f1b1515473fbdea1aa9f93c018f"]',
            "[]",
            "workspace[0].keys",
            "nobody",
        ),
        ("[[model]]", '[[model]]\nname = "idle"\n[[model]]', "model[0].name", "no backend"),
        (
            "[[service]]",
            '[[service]]\nname = "idle"\nkind = "plain"\n[[service]]',
            "service[0].name",
            "no backend",
        ),
        ('["GET"]', '["get"]', "service[1].repeatable_methods", "capitals"),
        ("127.0.0.1:22003", "127.0.0.1:0", "backend[8].address", "port 0"),
        (
            "first_token_seconds = 1.5",
            "first_token_seconds = 60",
            "online.first_token_seconds",
            "above",
        ),
        (
            "token_interval_ms = 79.0",
            "token_interval_ms = 5001",
            "online.token_interval_ms",
            "moved",
        ),
        ("slots = 16", "slots = 1\n", "backend[0].slots", "batch"),
        ("concurrent_loads = 2", "concurrent_loads = 0", "weights.concurrent_loads", "no engine"),
    ],
)
def test_each_fault_of_a_deployment_file_has_one_finding(old, new, path, word):
    text = EXAMPLE.replace(old, new, 1)
    if path == "backend[0].slots":
        text = text.replace("reserve = 0", "reserve = 2")
    findings = checks.check_deployment(text).findings
    assert [finding.path for finding in findings] == [path] and word in findings[0].message


def difference_lines(before, after):
    """Returns impact, path and effect of each difference between two configurations."""
    report = checkfile.check(encoded(after), encoded(before))
    assert report.findings == []
    return [(found.impact.value, found.path, found.effect) for found in report.differences]


def test_differences_come_in_the_order_of_their_impact():
    before, after = document(1), document(2, {"timeout_ms": 4000, "priority": 3})
    after["routes"][1] |= {"path_prefix": "/new/"}
    after["tenants"][0] |= {"api_keys": ["key-a2"], "rate_per_s": 50, "burst": 90}
    after["tenants"][1] |= {"rate_per_s": 5, "burst": 5}
    found = difference_lines(before, after)
    assert [line[:2] for line in found] == [
        ("removed", "routes[1]"),
        ("access removed", "tenants[0].api_keys"),
        ("limit lowered", "routes[0].timeout_ms"),
        ("limit lowered", "tenants[0].rate_per_s"),
        ("limit lowered", "tenants[1].rate_per_s"),
        ("changed", "routes[0].priority"),
        ("changed", "routes[1]"),
        ("changed", "tenants[0].api_keys"),
        ("changed", "tenants[0].burst"),
        ("changed", "tenants[1].burst"),
    ]
    assert found[0][2] == "its calls get 404" and "401" in found[1][2]


def test_a_removed_route_names_the_one_that_takes_its_calls():
    before, after = document(1), document(2)
    before["routes"].append(route("inner", after["routes"][0]["path_prefix"] + "x/", "idempotent"))
    assert difference_lines(before, after) == [
        ("removed", "routes[4]", "its calls are handled by route 'stream'")
    ]


def test_losses_of_access_are_told_apart_from_gains():
    """Guards against workspaces, moved keys and public routes that are taken for small changes."""
    without = configuration(1)
    assert difference_lines(without, document(2))[0][0] == "access removed"
    assert difference_lines(document(1), configuration(2))[0][0] == "changed"
    moved = document(2, tenant={"api_keys": []})
    moved["tenants"][1]["api_keys"] = ["key-a", "key-b"]
    report = checkfile.check(encoded(moved), encoded(document(1)))
    assert [found.message for found in report.differences] == [
        "workspace 'a': 1 key moved to another workspace"
    ]
    public = document(1, {"public": True})
    assert difference_lines(public, document(2))[0][:2] == ("access removed", "routes[0].public")
    assert difference_lines(document(1), public | {"version": 2})[0][0] == "changed"


def test_differences_of_deployment_files():
    after = EXAMPLE.replace("online_concurrency = 64", "online_concurrency = 32")
    after = after.replace('name = "depots"', 'name = "yards"').replace("3a4be583", "3a4be584")
    after = after[: after.index('[[backend]]\nname = "credits-3"')]
    report = checks.check_deployment(after, EXAMPLE)
    assert [(found.impact.value, found.path) for found in report.differences] == [
        ("access removed", "workspace[0]"),
        ("access removed", "workspace[1].keys"),
        ("limit lowered", "workspace[1].online_concurrency"),
        ("limit lowered", "backend[8]"),
        ("changed", "workspace[0].keys"),
        ("changed", "workspace[1].keys"),
    ]


def test_a_version_that_cannot_replace_the_other_has_a_finding():
    findings = checkfile.check(encoded(document(1, {"priority": 1})), encoded(document(1))).findings
    assert [finding.path for finding in findings] == ["version"]


def test_no_key_and_no_hash_is_reported():
    """Guards against keys in the records of whoever runs the check."""
    before = document(1, tenant={"api_keys": ["key-a", "key-shared"]})
    after = document(2, tenant={"api_keys": ["key-a3"]})
    after["tenants"][1]["api_keys"] = ["key-shared", "key-shared"]
    doubled = document(2, tenant={"api_keys": ["key-b"]})
    wrong = document(2, tenant={"api_keys": ["key-a", 7]})
    for other in (after, doubled, wrong):
        report = checkfile.check(encoded(other), encoded(before))
        output = checks.render(report) + msgspec.json.encode(report).decode()
        assert "key-" not in output and not any(
            hash_key(key)[7:15] in output for key in ("key-a", "key-a3", "key-b", "key-shared")
        )
    misplaced = EXAMPLE.replace("[online]", f'[online]\n"{hash_key("key-a")}" = 1')
    assert hash_key("key-a")[7:15] not in checks.render(checks.check_deployment(misplaced))
    with pytest.raises(UnreadableFileError) as refused:
        checks.check_deployment(EXAMPLE, misplaced)
    assert hash_key("key-a")[7:15] not in refused.value.message


ODD_TEXTS = st.sampled_from(["", " ", "a", "b", "/", "/a/", "/a", "/a?/", "/é/", HOST, "H", "\x00"])
ODD_NUMBERS = st.sampled_from([-1, 0, 0.5, 1, 300, 5000, 1 << 53, 1 << 64, 1e300])
ODD_VALUES = st.one_of(ODD_TEXTS, ODD_NUMBERS, st.none(), st.booleans(), st.just([]), st.just({}))
ROUTE_CHANGES = st.dictionaries(
    st.sampled_from(sorted(configuration(1)["routes"][3])), ODD_VALUES, max_size=2
)
TENANTS = st.lists(
    st.fixed_dictionaries(
        {"name": st.sampled_from(["a", "b", "é", " a", ""])},
        optional={
            "api_keys": st.lists(st.sampled_from("defghi"), max_size=2),
            "rate_per_s": ODD_NUMBERS,
            "burst": ODD_NUMBERS,
            "priority": st.none() | ODD_NUMBERS,
        },
    ),
    max_size=2,
)


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(ROUTE_CHANGES, st.none() | TENANTS, st.sampled_from([None, None, None, 9, 40, 90, 200]))
def test_the_verdict_on_a_configuration_is_that_of_the_system(changes, tenants, cut):
    """Guards against errors that the system accepts, and against passing what it refuses."""
    content = configuration(3)
    content["routes"][0] |= changes
    content["tenants"] = tenants
    source = encoded(content)
    if cut is not None:
        source = source[:cut] + source[cut + 1 :]
    try:
        report = checkfile.check(source, encoded(configuration(2)))
        has_errors = any(finding.severity is Severity.ERROR for finding in report.findings)
    except UnreadableFileError:
        has_errors = True
    if has_errors:
        with pytest.raises(BadRequestError):
            wire.read_configuration(source)
    else:
        table = wire.read_configuration(source)
        assert routing.decode(routing.encode(table)) == table


LINES = EXAMPLE.splitlines()
TOML_VALUES = st.sampled_from(
    ["0", "-1", "0.5", "nan", "inf", '""', '"x"', "[]", "{}", "true", '["x"]', '"127.0.0.1:0"', "="]
)


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(st.dictionaries(st.integers(0, len(LINES) - 1), st.none() | TOML_VALUES, max_size=3))
def test_the_verdict_on_a_deployment_file_is_that_of_the_system(changes):
    """Guards against errors that the system accepts, and against passing what it refuses."""
    lines = list(LINES)
    for position, value in changes.items():
        name, separator, _ = lines[position].partition("=")
        lines[position] = f"{name}= {value}" if value and separator else ""
    text = "\n".join(lines)
    try:
        report = checks.check_deployment(text, EXAMPLE)
        has_errors = any(finding.severity is Severity.ERROR for finding in report.findings)
    except UnreadableFileError:
        has_errors = True
    if has_errors:
        with pytest.raises(DeploymentError):
            deployment.parse(text)
    else:
        deployment.parse(text)


def test_the_exit_code_tells_findings_from_unreadable_files(tmp_path, capsys):
    clean, faulty, broken = (tmp_path / name for name in ("clean", "faulty", "broken"))
    clean.write_text(EXAMPLE)
    faulty.write_text(EXAMPLE.replace("slots = 32", "slots = 0"))
    broken.write_bytes(b"\xff")
    nested = tmp_path / "nested"
    nested.write_text("a = " + "[" * 100_000)
    check = cmdline.main
    assert check(["check", str(clean)]) == 0 and capsys.readouterr().out == "no findings\n"
    assert check(["check", str(faulty), "--against", str(clean)]) == 1
    assert check(["check", str(clean), "--against", str(faulty)]) == 2
    capsys.readouterr()
    for unreadable in (broken, nested, tmp_path / "absent", tmp_path):
        assert check(["check", str(unreadable)]) == 2
        assert "unreadable_file" in capsys.readouterr().err
    assert check(["check", str(faulty), "--json"]) == 1
    assert json.loads(capsys.readouterr().out)["findings"][0] == {
        "severity": "error",
        "path": "backend[6].slots",
        "message": "must be above 0",
    }


def test_the_script_for_the_platform_has_the_same_exit_codes(tmp_path, capsys):
    clean, faulty, broken = (tmp_path / name for name in ("clean", "faulty", "broken"))
    clean.write_bytes(encoded(document(2)))
    faulty.write_bytes(encoded(document(changes={"kind": "batch", "cap": 2000})))
    broken.write_bytes(b'{"version": ')
    assert checkfile.main([str(clean), "--against", str(clean)]) == 0
    assert capsys.readouterr().out == "no findings\nno differences\n"
    assert checkfile.main([str(faulty)]) == 0
    assert checkfile.main([str(faulty), "--job-tokens", "2001", "--json"]) == 1
    assert checkfile.main([str(broken)]) == 2
    assert checkfile.main([str(clean), "--against", str(tmp_path / "absent")]) == 2
