"""Agents as real processes: kills, drains, model orders, and calls that may run at most once."""

import signal
import threading
import time

import pytest

from lab.fleet import OPERATOR_KEY, Fleet, wait_until
from lab.traffic import collect_stream
from tests.fleets import CHAT, Streams, batch_file, chat, expected, outcomes, right_outcomes
from verbenashore.remote import Client, RemoteError

LIST_LAG_SECONDS = 2
POST = "/v1/services/credits/accounts/7"


def with_short_progress(text):
    """Returns the deployment text with a progress timeout of two seconds."""
    return text.replace("[online]", "[online]\nprogress_seconds = 2.0")


@pytest.fixture(scope="module")
def fleet():
    """The deployment of association.toml, with relays in front of one engine and one agent."""
    running = Fleet("association.toml", change=with_short_progress)
    running.relay_before_backend("engine-3")
    running.start_relay("agent-engine-4")
    with running:
        yield running
        # Each test starts the stand-ins again that it ends, so one that is gone ended by itself.
        ended = running.ended()
        assert not [backend.name for backend in running.deployed.backend if backend.name in ended]


def posts_by_key(fleet):
    """Returns how many POST calls of each key ran, over all credit services."""
    total_by_key = {}
    for number in (1, 2, 3):
        counts = fleet.engine_state_of(f"credits-{number}", "/posts")
        for key, count in counts.items():
            total_by_key[key] = total_by_key.get(key, 0) + count
    return total_by_key


def test_items_of_a_killed_agent_and_a_killed_engine_complete_exactly_once(fleet):
    mills = fleet.client("mills-key")
    batch = mills.submit(batch_file(120), "b.jsonl", CHAT, "24h")
    time.sleep(0.3)
    fleet.kill("agent-engine-1")
    fleet.kill("engine-2")
    ended = mills.wait(batch["id"], 40)
    assert outcomes(mills, ended) == right_outcomes(120)
    fleet.restart("agent-engine-1")
    fleet.restart("engine-2")


def test_streams_of_killed_agents_go_on_elsewhere_however_many_they_are(fleet):
    with Streams(fleet, callers=36, tokens=60) as streams:
        time.sleep(1)
        fleet.kill("agent-engine-1")
        fleet.kill("agent-engine-2")
        time.sleep(2)
        streams.stop()
    fleet.restart("agent-engine-1")
    fleet.restart("agent-engine-2")
    assert not streams.wrong and streams.right >= 36


def test_a_frozen_agent_delays_no_answer_beyond_the_link_deadline(fleet):
    with Streams(fleet) as streams:
        time.sleep(0.5)
        fleet.signal("agent-engine-5", signal.SIGSTOP)
        time.sleep(4)
        fleet.signal("agent-engine-5", signal.SIGCONT)
        time.sleep(1)
    assert not streams.wrong and streams.right


@pytest.mark.parametrize("name", ["engine-3", "agent-engine-4"])
def test_a_silent_link_loses_and_truncates_no_answer(fleet, name):
    with Streams(fleet, callers=8, tokens=30) as streams:
        time.sleep(1)
        fleet.tell_relay(name, "silence")
        time.sleep(7)
    assert not streams.wrong and streams.right


def test_concurrent_posts_with_one_key_run_once(fleet):
    cleaners = fleet.client("cleaners-key")
    headers = {"idempotency-key": "slip-once"}
    answers = []
    threads = [
        threading.Thread(
            target=lambda: answers.append(
                cleaners.request_json("POST", POST, {"amount": 5}, headers)
            )
        )
        for _ in range(6)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert answers == [{"account": "7", "posted": 5}] * 6
    assert posts_by_key(fleet)["slip-once"] == 1


def test_a_key_with_another_body_is_a_conflict(fleet):
    cleaners = fleet.client("cleaners-key")
    headers = {"idempotency-key": "slip-two"}
    cleaners.request_json("POST", POST, {"amount": 5}, headers)
    with pytest.raises(RemoteError) as refused:
        cleaners.request_json("POST", POST, {"amount": 6}, headers)
    assert refused.value.code == "key_conflict" and refused.value.not_run


def test_a_post_whose_agents_are_killed_runs_at_most_once_and_reports_outcome_unknown(fleet):
    cleaners = fleet.client("cleaners-key")
    headers = {"idempotency-key": "slip-lost"}
    for number in (1, 2, 3):
        fleet.signal(f"credits-{number}", signal.SIGSTOP)
    failures = []

    def send():
        try:
            cleaners.request_json("POST", POST, {"amount": 5}, headers)
        except RemoteError as error:
            failures.append(error)

    sender = threading.Thread(target=send)
    sender.start()
    time.sleep(0.7)
    for number in (1, 2, 3):
        fleet.kill(f"agent-credits-{number}")
    for number in (1, 2, 3):
        fleet.signal(f"credits-{number}", signal.SIGCONT)
        fleet.restart(f"agent-credits-{number}")
    sender.join()
    send()
    assert [error.code for error in failures] == ["outcome_unknown"] * 2
    assert not any(error.not_run for error in failures)
    assert posts_by_key(fleet).get("slip-lost", 0) <= 1


def is_served_by_all(fleet, client):
    """Returns whether GET calls succeed and every credit agent leased its backend server."""
    names = [f"agent-credits-{number}" for number in (1, 2, 3)]
    logs_since_start = [fleet.log(name).rpartition('"started"')[2] for name in names]
    return client.request_json("GET", POST) and all(
        "backend_leased" in log for log in logs_since_start
    )


def test_a_failed_get_that_may_have_run_does_not_report_not_run(fleet):
    cleaners = fleet.client("cleaners-key")
    wait_until(lambda: is_served_by_all(fleet, cleaners), 20, "every credit agent serves")
    for number in (1, 2, 3):
        fleet.signal(f"credits-{number}", signal.SIGSTOP)
    with pytest.raises(RemoteError) as failed:
        cleaners.request_json("GET", POST)
    for number in (1, 2, 3):
        fleet.signal(f"credits-{number}", signal.SIGCONT)
    assert failed.value.code == "unavailable" and not failed.value.not_run
    wait_until(lambda: cleaners.request_json("GET", POST), 15, "a GET call succeeds")


def test_a_stopping_agent_finishes_its_streams(fleet):
    with Streams(fleet, tokens=60) as streams:
        time.sleep(0.5)
        assert fleet.terminate("agent-engine-6") == 0
        fleet.restart("agent-engine-6")
        time.sleep(1)
    assert not streams.wrong and streams.right


def test_a_drained_agent_gets_no_new_work_after_three_seconds(fleet):
    operator = fleet.client(OPERATOR_KEY)
    with Streams(fleet) as streams:
        operator.drain("agent-engine-5", "drain-5", wanted=True)
        time.sleep(3)
        before = fleet.engine_state("engine-5")
        time.sleep(2)
        after = fleet.engine_state("engine-5")
        assert after["served"] == before["served"] and not after["now_running"]
    assert not streams.wrong
    operator.drain("agent-engine-5", "undrain-5", wanted=False)


def test_an_agent_on_a_leaving_instance_gets_no_new_work_once_the_lagging_list_shows_it(fleet):
    platform = fleet.start_platform()
    fleet.terminate("agent-engine-2")
    backend = next(b for b in fleet.deployed.backend if b.name == "engine-2")
    fleet.start_agent(backend, "", "--platform", platform, "--instance", "i-2")
    wait_until(lambda: fleet.engine_state("engine-2")["now_running"] >= 0, 5, "the engine answers")
    with Streams(fleet) as streams:
        time.sleep(2)
        Client(platform, "").request_json("POST", "/leave", {"name": "i-2"})
        time.sleep(LIST_LAG_SECONDS + 3)
        before = fleet.engine_state("engine-2")
        time.sleep(2)
        after = fleet.engine_state("engine-2")
        assert after["served"] == before["served"] > 0 and not after["now_running"]
    assert not streams.wrong
    fleet.terminate("agent-engine-2")
    fleet.start_agent(backend)


def test_a_cancelled_batch_stops_at_the_engines_within_a_second(fleet):
    mills = fleet.client("mills-key")
    batch = mills.submit(batch_file(60, tokens=2000, prefix="long"), "c.jsonl", CHAT, "24h")
    engines = [b.name for b in fleet.deployed.backend if b.models]

    def running():
        return sum(fleet.engine_state(name)["now_running"] for name in engines)

    wait_until(running, 5, "items run")
    assert mills.cancel(batch["id"])["status"] == "cancelled"
    wait_until(lambda: not running(), 1.0, "items stop")
    time.sleep(0.5)
    assert not running()


def test_a_second_agent_takes_over_a_backend_server_only_after_the_first_is_gone(fleet):
    backend = next(b for b in fleet.deployed.backend if b.name == "engine-6")
    fleet.start_agent(backend, "second-6")
    wait_until(lambda: "backend_lease_lost" in fleet.log("second-6"), 20, "the lease is refused")
    first_orders = fleet.engine_state("engine-6")["orders"]
    fleet.kill("agent-engine-6")
    wait_until(lambda: "backend_leased" in fleet.log("second-6"), 10, "takeover")
    fleet.kill("engine-6")
    fleet.restart("engine-6")
    wait_until(lambda: fleet.engine_state("engine-6")["models"], 10, "model ordered again")
    later_orders = fleet.engine_state("engine-6")["orders"]
    assert min(order["fencing"] for order in later_orders) > max(
        order["fencing"] for order in first_orders
    )
    text = collect_stream(
        fleet.address_by_name["entry-1"], "depots-key", chat("still there", 5, stream=True)
    )
    assert text == expected("still there", 5)
