"""End-to-end tests of API keys and workspaces, with real processes on loopback."""

import base64
import http.client
import json
import time

import pytest

from tests.platforms import HOST, JOBS, LOOKUP, Platform, configuration, route, wait_until

#: Seconds in which an acknowledged version is in force at connected entries.
IN_FORCE_SECONDS = 2.5
TENANT = "x-verbenashore-tenant"
LOTS, ITEMS, PUBLIC = "/verbenashore/lots", "/verbenashore/items", "/p/"
NAMES = {"a": ["key-a", "key-a2"], "b": ["key-b"]}


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    """A running deployment with workspaces; jobs of it were accepted before it had any."""
    with Platform(tmp_path_factory.mktemp("platform")) as running:
        running.settle()
        assert submit(running, "old", None)[0] == 202
        configure(running, 6, NAMES)
        yield running


def configure(platform, version, keys_by_name):
    """Puts a version with workspaces in force at all entries; returns the seconds that it took."""
    document = configuration(version)
    document["routes"].append(route("open", PUBLIC, "idempotent", "forms", public=True))
    document["tenants"] = [{"name": name, "api_keys": keys} for name, keys in keys_by_name.items()]
    status, _, body = platform.operate("PUT", "/verbenashore/config", document)
    assert status == 200, body
    acknowledged_at = time.time()
    return max(
        wait_until(lambda entry=entry: installed_at(platform, entry, version)) - acknowledged_at
        for entry in ("entry-0", "entry-1")
    )


def installed_at(platform, entry, version):
    """Returns the time of day at which a version came into force at an entry; 0 before that."""
    installed = [e for e in platform.events(entry) if e["name"] == "configuration_installed"]
    return next((e["time"] for e in installed if e["revision"] == version), 0.0)


def certain(ask):
    """Makes a request until the answer isn't "not ready"; returns its status and its body.

    An entry whose heartbeats are late, as on a busy host, may say 503 where it would say 401.
    """
    answers = []

    def is_certain():
        answers.append(ask())
        return answers[-1][0] != 503

    wait_until(is_certain)
    return answers[-1][0], answers[-1][-1]


def fields_of(key):
    """Returns the headers that carry a key; none for None."""
    return {} if key is None else {"Api-Key": key}


def submit(platform, job, key, tokens=10, path=JOBS, headers=None):
    """Submits a job of one item."""
    item = {"id": f"{job}-i", "path": f"{path}x", "headers": headers or {}, "tokens": tokens}
    item["body"] = base64.b64encode(b"body").decode()
    body = json.dumps({"items": [item]}).encode()
    return certain(lambda: platform.call(f"{path}x", job, body=body, **fields_of(key)))


def ask_job(platform, path, key, method="GET", entry="entry-0"):
    """Makes a request that names a job; returns the status and the body."""
    headers = {"Host": HOST, **fields_of(key)}
    address = platform.address(entry, 20)
    return certain(lambda: platform.ask(address, method, path, b"", headers))


def test_a_call_needs_a_known_key_and_its_server_gets_the_workspace_alone(platform):
    for call, key, status in (("known", "key-a2", 200), ("wrong", "key-c", 401), ("no", None, 401)):
        forged = {TENANT: "b", **fields_of(key)}
        answer = certain(lambda c=call, f=forged: platform.call(f"{LOOKUP}x", c, **f))
        assert answer[0] == status, answer
    run = platform.runs("known")[-1]
    assert run["headers"][TENANT] == "a" and "api-key" not in run["headers"]
    assert not platform.runs("wrong") and not platform.runs("no")
    logged = "".join(path.read_text() for path in platform.folder.glob("*.log"))
    assert "key_refused" in logged
    assert not any(word in logged for word in ("key-a", "key-b", "key-c", "sha256:"))


def test_a_public_route_needs_no_key_and_forwards_neither_a_key_nor_a_forged_name(platform):
    for call, key in (("open-1", None), ("open-2", "nobody"), ("open-3", "key-b")):
        forged = {TENANT: "a", **fields_of(key)}
        assert certain(lambda c=call, f=forged: platform.call(f"{PUBLIC}x", c, **f))[0] == 200
    for call, workspace in (("open-1", None), ("open-2", None), ("open-3", "b")):
        headers = platform.runs(call)[-1]["headers"]
        assert headers.get(TENANT) == workspace and "api-key" not in headers


def test_a_revoked_key_is_refused_on_a_connection_that_stays_open(platform):
    """Guards keys that stay in force for as long as their caller stays connected."""
    connection = http.client.HTTPConnection(platform.address("entry-0", 20), timeout=10.0)

    def status(call, key):
        fields = {"Host": HOST, "X-Verbenashore-Request-Id": call, "Api-Key": key}
        connection.request("POST", f"{LOOKUP}x", b"x", fields)
        response = connection.getresponse()
        return response.status, response.read()

    assert certain(lambda: status("kept-1", "key-a"))[0] == 200
    used = connection.sock
    changed = {"a": ["key-a2", "key-a3"], "b": ["key-b"]}
    try:
        assert configure(platform, 7, changed) < IN_FORCE_SECONDS
        assert certain(lambda: status("kept-2", "key-a"))[0] == 401
        assert certain(lambda: status("kept-3", "key-a3"))[0] == 200
        assert connection.sock is used
    finally:
        connection.close()
        configure(platform, 8, NAMES)


def test_a_job_belongs_to_its_workspace_and_is_not_found_by_others(platform):
    headers = {"Api-Key": "key-a", "X-Verbenashore-Tenant": "b", "X-Other": "kept"}
    assert submit(platform, "own", "key-a", headers=headers)[0] == 202
    assert submit(platform, "own", "key-a2")[0] == 202
    assert submit(platform, "own", "key-b")[0] == 409
    (run,) = wait_until(lambda: platform.runs("own-i"))
    assert run["headers"][TENANT] == "a" and run["headers"]["x-other"] == "kept"
    assert "api-key" not in run["headers"]
    for entry in ("entry-0", "entry-1"):
        for key, status in (("key-a2", 200), ("key-b", 404), ("key-c", 401), (None, 401)):
            for path in (f"{LOTS}/own", f"{ITEMS}/own?id=own-i"):
                assert ask_job(platform, path, key, entry=entry)[0] == status
    for key, status in (("key-b", 404), (None, 401), ("key-a2", 200)):
        assert ask_job(platform, f"{LOTS}/own", key, "DELETE")[0] == status


def test_a_job_from_before_workspaces_is_still_read_and_a_revoked_key_ends_none(platform):
    assert ask_job(platform, f"{LOTS}/old", "key-b")[0] == 200
    assert submit(platform, "stays", "key-a")[0] == 202

    def results():
        status, body = ask_job(platform, f"{LOTS}/stays", "key-a2")
        return status == 200 and json.loads(body)["results"]

    try:
        configure(platform, 9, {"a": ["key-a2"], "b": ["key-b"]})
        assert ask_job(platform, f"{LOTS}/stays", "key-a")[0] == 401
        assert wait_until(results)[0]["state"] == "completed"
        assert platform.runs("stays-i")[-1]["headers"][TENANT] == "a"
    finally:
        configure(platform, 10, NAMES)


def test_the_cap_of_a_route_counts_for_each_workspace(platform):
    """The cap is 2,000 tokens; the items are held back, so that they stay queued."""
    for engine in platform.engines:
        engine.faults[JOBS] = "silent"
    try:
        for job, key, status in (("cap-1", "key-a", 202), ("cap-2", "key-a2", 429)):
            assert submit(platform, job, key, tokens=1500)[0] == status
        assert submit(platform, "cap-3", "key-b", tokens=1500)[0] == 202
        for job, key in (("cap-1", "key-a"), ("cap-3", "key-b")):
            assert ask_job(platform, f"{LOTS}/{job}", key, "DELETE")[0] == 200
        assert submit(platform, "cap-2", "key-a2", tokens=1500)[0] == 202
        assert ask_job(platform, f"{LOTS}/cap-2", "key-a", "DELETE")[0] == 200
    finally:

        for engine in platform.engines:
            engine.faults.clear()


def test_operators_read_their_text_back_and_a_shared_key_is_refused(platform):
    status, _, text = platform.operate("GET", "/verbenashore/config")
    document = json.loads(text)
    assert status == 200 and document["tenants"][0]["api_keys"] == NAMES["a"]
    document["version"] += 50
    document["tenants"][1]["api_keys"] = ["key-a"]
    status, _, text = platform.operate("PUT", "/verbenashore/config", document)
    assert status == 400 and b"one of its keys" in text and b"key-a" not in text
