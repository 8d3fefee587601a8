"""End-to-end tests of the relay path on the platform, with real processes on loopback."""

import contextlib
import http.client
import json
import re
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.platforms import (
    HOST,
    JOBS,
    LOOKUP,
    ONCE_STREAM,
    STREAM,
    Platform,
    configuration,
    route,
    text,
    wait_until,
    whole,
    wire,
)

STAMP = "x-verbenashore-response-stamp"


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    """A running deployment, shared by the tests; each restores what it changes."""
    with Platform(tmp_path_factory.mktemp("platform")) as running:
        running.settle()
        yield running


@pytest.fixture(autouse=True)
def _clear_faults(request):
    yield
    if "platform" in request.fixturenames:
        for engine in request.getfixturevalue("platform").engines:
            engine.faults.clear()


#: Seconds within which an entry that is in touch must know what the other one knows.
CONTACT_SECONDS = 3.0


def model_engines(platform):
    """Returns the model engines."""
    return [engine for engine in platform.engines if engine.service == "lm"]


def test_responses_are_relayed_unchanged(platform):
    status, headers, body = platform.call(f"{STREAM}a?q=1", "plain-stream")
    assert (status, body) == (200, whole("plain-stream"))
    assert headers[STAMP].startswith("stamp-i-")
    status, headers, body = platform.call(f"{LOOKUP}a", "plain-lookup", body=b"payload")
    assert (status, body, headers[STAMP]) == (200, b"answer payload", "stamp-i-9")
    (run,) = platform.runs("plain-stream")
    assert run["headers"]["x-verbenashore-model"] == "m"
    assert 4000 < int(run["headers"]["x-verbenashore-deadline-ms"]) <= 5000


def test_a_path_without_a_route_is_404_and_a_malformed_header_is_named(platform):
    assert platform.call("/nowhere/a", "lost")[0] == 404
    status, _, body = platform.call(f"{STREAM}a", "odd", **{"Last-Event-Id": "many"})
    assert status == 400 and b"last-event-id" in body


def test_without_a_leader_an_unknown_path_gets_503_instead_of_404(platform):
    ledgers = [name for name in platform.ip_by_name if name.startswith("ledger")]
    for name in ledgers:
        platform.signal(name, signal.SIGSTOP)
    try:
        time.sleep(2.0)
        status, headers, _ = platform.call("/nowhere/a", "unsure")
        assert status == 503 and 0 < float(headers["retry-after"]) < 5
        assert platform.call(f"{LOOKUP}a", "known")[0] == 200
    finally:
        for name in ledgers:
            platform.signal(name, signal.SIGCONT)
    wait_until(lambda: platform.call("/nowhere/a", "sure")[0] == 404)


def test_events_are_relayed_without_buffering(platform):
    connection = socket.create_connection(platform.address("entry-0", 20).split(":"))
    request = f"POST {STREAM}a HTTP/1.1\r\nHost: {HOST}\r\nX-Verbenashore-Request-Id: live\r\n"
    connection.sendall(f"{request}Content-Length: 0\r\n\r\n".encode())
    received = b""
    started = time.monotonic()
    while b"live says 1\n" not in received:
        received += connection.recv(4096)
    assert b"live says 12" not in received and time.monotonic() - started < 1.0
    connection.close()


def test_call_ended_logs_the_time_to_first_byte_and_the_longest_pause(platform):
    platform.call(f"{STREAM}told", "told-1")
    (ended,) = wait_until(
        lambda: [
            event
            for event in platform.events("entry-0")
            if event["name"] == "call_ended" and event["call"] == "told-1"
        ]
    )
    assert 0 < ended["first"] <= ended["seconds"]
    assert 0 < ended["longest_pause"] <= ended["seconds"] - ended["first"]


@pytest.mark.parametrize("fault", ["break:5", "silent"])
def test_a_resumable_stream_resumes_at_another_engine_without_gap_or_duplicate(platform, fault):
    model_engines(platform)[0].faults[STREAM] = fault
    for n in range(60):
        call = f"resumed-{fault}-{n}"
        assert platform.call(f"{STREAM}a", call)[2] == whole(call)
        _, *resumed = platform.runs(call)
        if resumed:
            break
    assert [run["first"] for run in resumed] == [5 if fault == "break:5" else 1]


def test_a_stream_that_has_begun_is_not_cut_while_the_other_engines_are_full(platform):
    first, *others = model_engines(platform)
    first.faults[STREAM] = "break:5"
    for engine in others:
        engine.faults[STREAM] = "not-run"
    with ThreadPoolExecutor() as callers:
        answer = callers.submit(platform.call, f"{STREAM}a", "waits")
        wait_until(lambda: [run["outcome"] for run in platform.runs("waits")] == ["cut"])
        threading.Event().wait(0.3)
        for engine in others:
            engine.faults.clear()
        assert answer.result()[2] == whole("waits")


def test_a_broken_run_once_stream_is_visibly_truncated_and_not_retried(platform):
    for engine in model_engines(platform):
        engine.faults[ONCE_STREAM] = "break:5"
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        platform.call(f"{ONCE_STREAM}a", "once-broken")
    assert len(platform.runs("once-broken")) == 1


def test_a_run_once_call_without_a_response_is_not_reported_as_not_run(platform):
    for engine in model_engines(platform):
        engine.faults[ONCE_STREAM] = "reset"
    status, headers, _ = platform.call(f"{ONCE_STREAM}a", "once-reset")
    assert status == 502 and "retry-after" not in headers
    assert len(platform.runs("once-reset")) == 1


def test_a_call_refused_by_some_engines_moves_on_and_refused_by_all_gets_a_retry_after(platform):
    first, *others = model_engines(platform)
    for engine in others:
        engine.faults[ONCE_STREAM] = "not-run"
    status, _, body = platform.call(f"{ONCE_STREAM}a", "moved")
    assert (status, body) == (200, whole("moved"))
    first.faults[ONCE_STREAM] = "not-run"
    status, headers, _ = platform.call(f"{ONCE_STREAM}a", "refused")
    assert status in (429, 503) and float(headers["retry-after"]) > 0
    assert platform.runs("refused") == []


def test_an_engines_error_response_is_relayed_unchanged(platform):
    for engine in model_engines(platform):
        engine.faults[ONCE_STREAM] = "500"
    status, headers, _ = platform.call(f"{ONCE_STREAM}a", "own-500")
    assert status == 500 and headers[STAMP].startswith("stamp-")


def test_the_engine_is_cancelled_when_the_caller_disconnects(platform):
    for engine in model_engines(platform):
        engine.gap = 0.2
    connection = socket.create_connection(platform.address("entry-0", 20).split(":"))
    request = f"POST {STREAM}a HTTP/1.1\r\nHost: {HOST}\r\nX-Verbenashore-Request-Id: left\r\n"
    connection.sendall(f"{request}Content-Length: 0\r\n\r\n".encode())
    wait_until(lambda: platform.runs("left"))
    connection.close()
    threading.Event().wait(0.5)
    for engine in model_engines(platform):
        engine.gap = 0.01
    (run,) = platform.runs("left")
    assert run["outcome"] == "cut"


def submit(platform, job, items, entry="entry-0", faults=""):
    """Submits a job."""
    fields = {"headers": {}, "body": "eA==", "tokens": 10}
    document = {
        "items": [{"id": item, "path": f"{JOBS}{faults}{item}", **fields} for item in items]
    }
    return platform.call(f"{JOBS}new", job, entry, json.dumps(document).encode())[0]


def results(platform, job, after=0, entry="entry-1"):
    """Reads results of a job."""
    path = f"/verbenashore/lots/{job}?after={after}"
    status, _, body = platform.ask(platform.address(entry, 20), "GET", path)
    return json.loads(body) if status == 200 else status


def all_results(platform, job, count, entry="entry-1"):
    """Waits for a number of results and returns them."""
    page = wait_until(
        lambda: (page := results(platform, job, 0, entry))
        and isinstance(page, dict)
        and len(page["results"]) == count
        and page
    )
    return page["results"]


def test_a_job_submitted_twice_is_accepted_once_and_its_results_keep_their_positions(platform):
    items = [f"item-{n}" for n in range(6)]
    assert submit(platform, "job-a", items) == 202
    assert submit(platform, "job-a", items, "entry-1") == 202
    listed = all_results(platform, "job-a", 6)
    assert sorted(r["id"] for r in listed) == items
    assert all(r["text"] == text(r["id"]) and r["state"] == "completed" for r in listed)
    assert all_results(platform, "job-a", 6, "entry-0") == listed
    assert results(platform, "job-a", 4)["results"] == listed[4:]
    assert results(platform, "job-a")["total"] == 6
    assert results(platform, "nobody") == 404


def nearby_reads(platform, entry):
    """Returns how many reads of results an entry made in its local data centre."""
    address = f"{platform.ip_by_name[entry]}:9464"
    text = platform.ask(address, "GET", "/metrics")[2].decode()
    match = re.search(r'name="results.nearby"} (\d+)', text)
    return int(match[1]) if match else 0


def test_results_are_read_in_the_local_data_centre_with_the_leader_as_fallback(platform):
    leader = last_elected_leader(platform)
    ledgers = [name for name in platform.ip_by_name if name.startswith("ledger")]
    at_leader = platform.zone_of(leader)
    entry = next(n for n in ("entry-0", "entry-1") if platform.zone_of(n) != at_leader)
    near = next(n for n in ledgers if platform.zone_of(n) == platform.zone_of(entry))
    assert submit(platform, "job-near", ["near-1", "near-2"]) == 202
    listed = all_results(platform, "job-near", 2, entry)
    wait_until(
        lambda: results(platform, "job-near", 0, entry)["results"] == listed
        and nearby_reads(platform, entry)
    )
    platform.signal(near, signal.SIGSTOP)
    try:
        assert results(platform, "job-near", 0, entry)["results"] == listed
    finally:
        platform.signal(near, signal.SIGCONT)
    assert results(platform, "job-near", 0, entry)["results"] == listed


def test_items_are_dead_lettered_after_one_422_or_after_max_attempts_of_500(platform):
    for engine in model_engines(platform):
        engine.faults |= {f"{JOBS}never": "422", f"{JOBS}fails": "500"}
    assert submit(platform, "job-never", ["n-1"], faults="never") == 202
    assert submit(platform, "job-fails", ["f-1"], faults="fails") == 202
    assert all_results(platform, "job-never", 1)[0]["state"] == "dead_lettered"
    assert all_results(platform, "job-fails", 1)[0]["state"] == "dead_lettered"
    assert len(platform.runs("n-1")) == 1 and len(platform.runs("f-1")) == 2


def test_an_item_resumes_after_its_last_event_at_another_engine(platform):
    for engine in model_engines(platform)[:2]:
        engine.faults[JOBS] = "break:7"
    items = [f"cut-{n}" for n in range(4)]
    assert submit(platform, "job-cut", items) == 202
    assert all(r["text"] == text(r["id"]) for r in all_results(platform, "job-cut", 4))


def last_elected_leader(platform):
    """Returns the ledger process whose election is the latest by time."""
    return max(
        (event["time"], name)
        for name in platform.ip_by_name
        if name.startswith("ledger")
        for event in platform.events(name)
        if event["name"] == "leader_elected"
    )[1]


def test_a_job_submitted_while_the_leader_is_frozen_is_accepted_by_the_next_leader(platform):
    leader = last_elected_leader(platform)
    platform.signal(leader, signal.SIGSTOP)
    try:
        wait_until(lambda: submit(platform, "job-frozen", ["frozen-1"]) == 202)
    finally:
        platform.signal(leader, signal.SIGCONT)
    assert all_results(platform, "job-frozen", 1)[0]["text"] == text("frozen-1")


def test_a_job_over_the_token_cap_is_refused_and_an_ended_job_stops(platform):
    for engine in model_engines(platform):
        engine.faults[JOBS] = "silent"
    assert submit(platform, "job-big", [f"big-{n}" for n in range(150)]) == 202
    assert submit(platform, "job-more", [f"more-{n}" for n in range(60)]) == 429
    path = "/verbenashore/items/job-big?id=big-3"
    assert platform.ask(platform.address("entry-1", 20), "GET", path)[2] == b"x"
    for _ in range(2):
        path = "/verbenashore/lots/job-big"
        assert platform.ask(platform.address("entry-1", 20), "DELETE", path)[0] == 200
    for engine in model_engines(platform):
        engine.faults.clear()
    before = len(
        [run for e in model_engines(platform) for run in e.runs if run["call"].startswith("big")]
    )
    threading.Event().wait(1.5)
    after = len(
        [run for e in model_engines(platform) for run in e.runs if run["call"].startswith("big")]
    )
    assert before == after
    assert submit(platform, "job-more", [f"more-{n}" for n in range(60)]) == 202
    all_results(platform, "job-more", 60)


def test_the_highest_configuration_version_is_in_force_everywhere_and_read_back_as_sent(platform):
    routes = [*configuration(6)["routes"], route("added", "/added/", "streaming", resumable=True)]
    platform.configure(7, routes, "ledger-1")
    deadline = time.monotonic() + 2.0
    for entry in ("entry-0", "entry-1"):
        wait_until(
            lambda entry=entry: platform.call("/added/a", f"added-{time.monotonic_ns()}", entry)[0]
            == 200,
            deadline - time.monotonic(),
        )
    platform.configure(6, [])
    assert platform.operate("PUT", "/verbenashore/config", configuration(7, []))[0] == 200
    for ledger in ("ledger-0", "ledger-1", "ledger-2"):
        read = platform.operate("GET", "/verbenashore/config", ledger=ledger)
        assert json.loads(read[2]) == configuration(7, routes)


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"routes": [route("r", "/r/", "streaming", "nobody")]}, "unknown"),
        ({"routes": [route("r", "/r/", "odd")]}, "kind"),
        ({"routes": [route("r", "/r/", "streaming", timeout_ms=0)]}, "timeout"),
        ({"services": None}, "services"),
        ({"limits": {}}, "limits"),
    ],
)
def test_an_invalid_configuration_is_refused_with_the_key_named(platform, change, word):
    status, _, body = platform.operate(
        "PUT", "/verbenashore/config", configuration(99) | change, "ledger-2"
    )
    assert status == 400 and word in body.decode()
    read = platform.operate("GET", "/verbenashore/config")
    assert json.loads(read[2])["version"] < 99


def test_a_draining_engine_gets_no_new_calls(platform):
    leaving = model_engines(platform)[0]
    leaving.state = "draining"
    threading.Event().wait(2.0)
    count = len(leaving.runs)
    for n in range(8):
        assert platform.call(f"{STREAM}a", f"leaving-{n}")[0] == 200
    assert len(leaving.runs) == count
    leaving.state = "ready"
    leaving.name = "i-0b"
    wait_until(
        lambda: platform.call(f"{STREAM}a", f"again-{time.monotonic_ns()}")[0] == 200
        and len(leaving.runs) > count
    )


def reached(platform, engine, prefix, count):
    """Makes some calls at one entry; returns how many of them reached an engine."""
    before = len(engine.runs)
    for n in range(count):
        assert platform.call(f"{STREAM}a", f"{prefix}-{time.monotonic_ns()}-{n}")[0] == 200
    return len(engine.runs) - before


@pytest.mark.parametrize("fault", ["", "not-run", "500"])
def test_an_engine_that_says_it_leaves_gets_no_new_calls_while_the_list_says_ready(platform, fault):
    leaving = model_engines(platform)[0]
    wait_until(lambda: reached(platform, leaving, "before", 3))
    leaving.says_leaving = True
    leaving.faults[STREAM] = fault
    answers = []
    leaving.on_answer = lambda: answers.append(time.monotonic())
    try:
        wait_until(lambda: reached(platform, leaving, "told", 1) or answers)
        count = len(answers)
        assert reached(platform, leaving, "after", 30) == 0 and len(answers) == count
        threading.Event().wait(1.5)
        assert reached(platform, leaving, "later", 30) == 0, "a list that was read since says ready"
    finally:
        leaving.says_leaving = False
        leaving.on_answer = lambda: None
        leaving.name += "b"
    leaving.faults.clear()
    wait_until(lambda: reached(platform, leaving, "renamed", 3))


def test_two_entries_send_an_engine_no_more_calls_than_it_states_and_the_rest_elsewhere(platform):
    limited = model_engines(platform)[0]
    wait_until(lambda: reached(platform, limited, "before", 3))
    limited.states_rate = "1.0"
    answers = []
    limited.on_answer = lambda: answers.append(time.monotonic())
    try:
        wait_until(lambda: reached(platform, limited, "stated", 1) or answers)
        threading.Event().wait(0.5)
        count, started = len(answers), time.monotonic()
        placed = sum(reached(platform, limited, f"capped-{n}", 10) for n in range(6))
        seconds = time.monotonic() - started
        assert len(answers) - count <= 1.5 * max(seconds, 4.0) + 5
        assert placed < 20, "the others got the rest"
        limited.states_rate = ""
        wait_until(lambda: reached(platform, limited, "ended", 12) > 2)
    finally:
        limited.states_rate = ""
        limited.on_answer = lambda: None


def test_an_engine_under_a_new_name_refuses_one_call_and_gets_others_once_it_is_listed(platform):
    """Guards calls that reach an engine which came back while the list has its former name."""
    engine = model_engines(platform)[0]
    wait_until(lambda: reached(platform, engine, "former", 3))
    engine.listed_name, engine.name = engine.name, f"{engine.name}c"
    try:
        assert reached(platform, engine, "misdirected", 40) == 0
        assert engine.misdirected == 1
        threading.Event().wait(1.5)
        reached(platform, engine, "still", 20)
        assert engine.misdirected == 1
    finally:
        engine.listed_name = None
    wait_until(lambda: reached(platform, engine, "listed", 3))


def test_shutdown_completes_open_calls_and_withdraws_readiness_at_once(platform):
    for engine in model_engines(platform):
        engine.gap = 0.1
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(platform.call(f"{STREAM}a", "stopped", "entry-1"))
    )
    caller.start()
    wait_until(lambda: platform.runs("stopped"))
    platform.signal("entry-1", signal.SIGTERM)
    wait_until(lambda: not platform.is_ready("entry-1"), 1.0)
    status, headers, _ = platform.call(f"{LOOKUP}a", "while-stopping", "entry-1")
    assert status == 200 and headers["connection"] == "close"
    caller.join()
    for engine in model_engines(platform):
        engine.gap = 0.01
    assert answers[0][0] == 200 and answers[0][2] == whole("stopped")
    assert platform.process_by_name["entry-1"].wait(8.0) == 0
    platform.start("entry-1")
    wait_until(lambda: platform.is_ready("entry-1"))


def test_a_stopping_ledger_process_answers_the_operator_calls_that_it_has_read(platform):
    first, *others = [name for name in platform.ip_by_name if name.startswith("ledger")]
    address = platform.address(first, 22)
    for name in others:
        platform.signal(name, signal.SIGSTOP)
    try:
        with contextlib.closing(http.client.HTTPConnection(address, timeout=5.0)) as operator:
            wait_until(lambda: platform.operate("GET", "/verbenashore/config")[0] == 503)
            operator.request("GET", "/verbenashore/config")
            threading.Event().wait(0.2)
            platform.signal(first, signal.SIGTERM)
            assert operator.getresponse().status == 503
        assert platform.process_by_name[first].wait(8.0) == 0
    finally:
        for name in others:
            platform.signal(name, signal.SIGCONT)
        platform.start(first)
    wait_until(lambda: platform.operate("GET", "/verbenashore/config")[0] == 200)


def test_a_starting_process_survives_the_signal_that_its_settings_have_changed(platform):
    platform.kill("entry-1")
    platform.start("entry-1")
    host, port = platform.address("entry-1", 20).split(":")
    wait_until(lambda: socket.create_connection((host, int(port))).close() is None)
    platform.signal("entry-1", signal.SIGHUP)
    starting = platform.process_by_name["entry-1"]
    wait_until(lambda: starting.poll() is not None or platform.is_ready("entry-1"))
    assert starting.poll() is None


def leader_of_highest_term(platform):
    """Returns the ledger process that was elected in the highest term."""
    elected = [
        (event["term"], name)
        for name in platform.ip_by_name
        if name.startswith("ledger")
        for event in platform.events(name)
        if event["name"] == "leader_elected"
    ]
    return max(elected)[1]


def test_acknowledged_state_survives_a_wiped_leader_and_then_a_kill_of_all_ledgers(platform):
    platform.configure(20)
    items = [f"kept-{n}" for n in range(4)]
    assert submit(platform, "job-kept", items) == 202
    lost = leader_of_highest_term(platform)
    platform.kill(lost, wipe=True)
    platform.start(lost)
    listed = all_results(platform, "job-kept", 4)
    wait_until(lambda: platform.operate("PUT", "/verbenashore/config", configuration(21))[0] == 200)
    wait_until(
        lambda: any(
            event["name"] == "replica_removed" and event["voters"].count(lost) == 1
            for name in platform.ip_by_name
            if name.startswith("ledger") and name != lost
            for event in platform.events(name)
        )
    )
    ledgers = [name for name in platform.ip_by_name if name.startswith("ledger")]
    for name in ledgers:
        platform.kill(name)
    for name in ledgers:
        platform.start(name)
    assert all_results(platform, "job-kept", 4) == listed
    read = wait_until(
        lambda: (answer := platform.operate("GET", "/verbenashore/config"))[0] == 200 and answer
    )
    assert json.loads(read[2])["version"] == 21
    formed = [
        name
        for name in ledgers
        for event in platform.events(name)
        if event["name"] == "group_formed"
    ]
    assert formed == ["ledger-0"]


def test_a_ledger_process_is_retired_only_if_enough_remain(tmp_path):
    with Platform(tmp_path, ledgers=4) as running:
        running.seeds = running.seeds[:3]
        running.settle()
        unknown = wait_for_retirement(running, "nobody")
        assert unknown == 404
        wait_until(
            lambda: running.operate("POST", "/verbenashore/retire/ledger-1", {"duration_s": 5})[0]
            == 200
        )
        done = lambda: json.loads(  # noqa: E731
            running.operate("GET", "/verbenashore/retire/ledger-1")[2]
        )["state"]
        wait_until(lambda: done() == "completed")
        running.kill("ledger-1", wipe=True)
        running.configure(30, None, "ledger-2")
        status = running.operate("POST", "/verbenashore/retire/ledger-2", {"duration_s": 5})[0]
        assert status == 409


def wait_for_retirement(running, name):
    """Asks for a retirement until the leader knows all ledger processes; returns the status."""
    answers = []

    def is_known():
        path = f"/verbenashore/retire/{name}"
        answers.append(running.operate("POST", path, {"duration_s": 5})[0])
        return answers[-1] != 503

    wait_until(is_known)
    return answers[-1]


class OneDataCentre(Platform):
    """A deployment in one data centre, with three seeds."""

    def __init__(self, folder, ledgers):
        super().__init__(folder, ledgers)
        self.seeds = self.seeds[:3]

    @staticmethod
    def zone_of(_name):
        """Returns the data centre of an instance."""
        return "dc"


def test_a_ledger_process_that_stands_by_can_be_retired(tmp_path):
    with OneDataCentre(tmp_path, ledgers=6) as running:
        running.settle()

        def standing_by():
            return [
                name
                for name in running.ip_by_name
                if any(event["name"] == "standing_by" for event in running.events(name))
            ]

        name = wait_until(lambda: standing_by() if len(standing_by()) >= 2 else None)[0]
        running.configure(6, ledger=name)
        assert running.operate("GET", "/verbenashore/config", ledger=name)[0] == 200
        assert wait_for_retirement(running, name) == 200
        wait_until(
            lambda: b"completed" in running.operate("GET", f"/verbenashore/retire/{name}")[2]
        )
        running.kill(name, wipe=True)
        assert running.operate("GET", f"/verbenashore/retire/{name}")[0] == 200


def test_calls_with_a_deadly_part_stop_reaching_servers_and_sound_ones_are_served(tmp_path):
    """Guards against calls that crash server after server, and each a second one by a retry."""
    with Platform(tmp_path) as own:
        own.settle()

        def call(name, parts, entry):
            body = name.encode()  # No two requests with the part are alike.
            return own.call(f"{STREAM}a", name, entry, body, **{wire.PROMPT_PREFIX: parts})

        def sound_id():
            return f"sound-{time.monotonic_ns()}"

        def restart_engines():
            for engine in model_engines(own):
                if engine.crashed:
                    own.serve(engine)
            wait_until(lambda: call(sound_id(), "all:9,x:9,own:9", "entry-0")[0] == 200)
            wait_until(lambda: call(sound_id(), "all:9,x:9,own:9", "entry-1")[0] == 200)

        for engine in model_engines(own):
            engine.deadly_part = "bad"
        restart_engines()
        statuses = []
        for n in range(10):
            answer = call(f"deadly-{n}", f"all:9,bad:9,own-{n}:9", f"entry-{n % 2}")
            statuses.append((answer[0], answer[1].get("retry-after")))
            restart_engines()
        runs = [len(own.runs(f"deadly-{n}")) for n in range(10)]
        assert sum(runs) <= 5 and runs[5:] == [0] * 5
        assert all(status == 503 and float(seconds) > 0 for status, seconds in statuses[5:])
        held = [
            event
            for name in ("entry-0", "entry-1")
            for event in own.events(name)
            if event["name"] == "prompt_part_held"
        ]
        assert {event["part"] for event in held} == {"bad"}


def test_a_request_without_a_prompt_that_crashes_engines_is_refused_at_every_entry(tmp_path):
    """Guards against one request that crashes engine after engine, at whatever entry it comes."""
    with Platform(tmp_path) as own:
        own.settle()

        def call(name, entry, body):
            return own.call(f"{STREAM}a", name, entry, body)

        def restart_engines():
            for engine in model_engines(own):
                if engine.crashed:
                    own.serve(engine)
            for entry in ("entry-0", "entry-1"):
                wait_until(lambda entry=entry: call(f"{time.monotonic()}", entry, b"y")[0] == 200)

        def is_held(entry):
            return any(event["name"] == "request_held" for event in own.events(entry))

        for engine in model_engines(own):
            engine.deadly_body = b"deadly"
        statuses = []
        for n in range(6):
            status, headers, _ = call(f"deadly-{n}", f"entry-{n % 2}", b"deadly")
            statuses.append((status, float(headers.get("retry-after", 0.0)) > 0))
            restart_engines()
            wait_until(lambda: is_held("entry-0") == is_held("entry-1"), CONTACT_SECONDS)
        runs = [len(own.runs(f"deadly-{n}")) for n in range(6)]
        assert sum(runs) <= 3 and runs[3:] == [0] * 3
        assert statuses[3:] == [(503, True)] * 3
        refused = [e for e in own.events("entry-1") if e["name"] == "call_refused"]
        assert any("crash under request" in event["outcome"] for event in refused)
