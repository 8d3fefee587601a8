"""Ledger processes under faults: kills, freezes, silent links, lost disks, racing operators."""

import json
import shutil
import signal
import threading
import time

import pytest

from lab.fleet import OPERATOR_KEY, Fleet, wait_until
from tests.fleets import CHAT, Streams, batch_file, chat, outcomes, right_outcomes
from verbenashore.remote import RemoteError

SHARD = 1
MAX_BATCHES = 8


@pytest.fixture(scope="module")
def fleet():
    """Runs the association's deployment with a relay in front of each ledger process."""
    running = Fleet("association.toml", entries=2)
    for name in running.ledger_names:
        running.start_relay(name)
    with running:
        yield running


def complete_request(fleet, prompt):
    """Sends a request whose answer must be committed."""
    return fleet.client("depots-key").request_json("POST", CHAT, chat(prompt, 3))


def last_index(fleet, name):
    """Returns the last index of a replica of the shard."""
    ledgers = fleet.client(OPERATOR_KEY).status()["ledgers"]
    groups = next(ledger["groups"] for ledger in ledgers if ledger.get("name") == name)
    return next(group["last"] for group in groups if group["group"] == SHARD)


def newest_snapshot(fleet, name):
    """Returns the index of the newest snapshot that a replica of the shard has written."""
    events = [json.loads(line) for line in fleet.log(name).splitlines() if line.startswith("{")]
    written = [
        event["index"]
        for event in events
        if event["name"] == "snapshot_written" and event["group"] == SHARD
    ]
    return max(written, default=0)


def wait_for_ledgers(fleet):
    """Waits until every ledger process answers."""

    def answer():
        ledgers = fleet.client(OPERATOR_KEY, "entry-2").status()["ledgers"]
        return all("error" not in ledger for ledger in ledgers)

    wait_until(answer, 15, "every ledger process")


def test_a_killed_leader_loses_no_committed_answer(fleet):
    committed = complete_request(fleet, "before the kill")
    with Streams(fleet) as streams:
        time.sleep(0.5)
        leader = fleet.leader(SHARD)
        fleet.kill(leader)
        time.sleep(3)
        fleet.restart(leader)
        time.sleep(1)
    assert not streams.wrong and streams.right
    assert fleet.client("depots-key", "entry-2").result(committed["id"])["state"] == "completed"


def test_a_frozen_leader_is_replaced_without_losing_answers(fleet):
    with Streams(fleet) as streams:
        time.sleep(0.5)
        leader = fleet.leader(SHARD)
        fleet.signal(leader, signal.SIGSTOP)
        time.sleep(4)
        fleet.signal(leader, signal.SIGCONT)
        time.sleep(1)
    assert not streams.wrong and streams.right


def test_silent_links_between_all_ledgers_lose_no_answers(fleet):
    with Streams(fleet) as streams:
        time.sleep(0.5)
        for name in fleet.ledger_names:
            fleet.tell_relay(name, "silence")
        time.sleep(4)
    assert not streams.wrong and streams.right


def test_a_leader_cut_off_from_its_peers_stops_serving(fleet):
    leader = wait_until(lambda: fleet.leader(SHARD), 5, "a leader")
    fleet.tell_relay(leader, "block")
    wait_until(lambda: fleet.leader(SHARD) not in ("", leader), 10, "another leader")
    complete_request(fleet, "during the cut")
    fleet.tell_relay(leader, "unblock")


def test_a_replica_with_a_lost_disk_is_replaced_before_a_second_loss(fleet):
    committed = complete_request(fleet, "before the loss")
    victim = wait_until(lambda: fleet.leader(SHARD), 10, "a leader")
    fleet.kill(victim)
    shutil.rmtree(fleet.folder / victim)
    fleet.restart(victim)

    def is_repaired():
        status = fleet.client(OPERATOR_KEY, "entry-2").status()
        ids = {
            group["replica"]
            for ledger in status["ledgers"]
            for group in ledger.get("groups", [])
            if group["group"] == SHARD and len(group["voters"]) == 3 and not group["learners"]
        }
        return len(ids) == 3

    wait_until(is_repaired, 25, "three voters again")
    other = next(name for name in fleet.ledger_names if name != victim)
    fleet.kill(other)
    wait_until(lambda: complete_request(fleet, "after the second loss"), 10, "an answer")
    assert fleet.client("depots-key").result(committed["id"])["state"] == "completed"
    fleet.restart(other)


def test_one_of_two_racing_changes_is_applied_and_the_other_gets_the_winner(fleet):
    def revision():
        return fleet.client(OPERATOR_KEY).status()["revision"]

    before = wait_until(revision, 10, "a revision")
    results = {}

    def apply(change, entry):
        try:
            results[change] = fleet.client(OPERATOR_KEY, entry).apply(
                f"{fleet.text}\n# {change}\n", before, change, "me"
            )
        except RemoteError as error:
            results[change] = error

    racers = [
        threading.Thread(target=apply, args=pair)
        for pair in (("race-1", "entry-1"), ("race-2", "entry-2"))
    ]
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join()
    winners = [change for change, result in results.items() if isinstance(result, dict)]
    assert len(winners) == 1
    (loser,) = set(results) - set(winners)
    assert results[loser].code == "revision_conflict"
    assert winners[0] in results[loser].message
    first = results[winners[0]]
    apply(winners[0], "entry-2")
    assert results[winners[0]] == first
    wait_until(lambda: fleet.client(OPERATOR_KEY).status()["in_force"], 3, "in force")


def test_a_restart_of_all_processes_loses_and_reverts_nothing(fleet):
    mills = fleet.client("mills-key")
    committed = complete_request(fleet, "before the end")
    batch = mills.submit(batch_file(40, tokens=40), "all.jsonl", CHAT, "24h")
    before = fleet.client(OPERATOR_KEY).history()
    names = [name for name in fleet.process_by_name if not name.startswith("relay")]
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.restart(name)
    wait_until(lambda: fleet.client(OPERATOR_KEY).history() == before, 15, "the history")
    # An entry that isn't ready refuses callers; a load balancer would send them elsewhere.
    for entry in fleet.entry_names:
        wait_until(lambda e=entry: fleet.client("", e).request_json("GET", "/readyz"), 15, "ready")
    ended = mills.wait(batch["id"], 30)
    assert outcomes(mills, ended) == right_outcomes(40, tokens=40)
    assert fleet.client("depots-key").result(committed["id"])["state"] == "completed"


def test_a_replica_far_behind_catches_up_by_a_snapshot(fleet):
    for name in fleet.ledger_names:
        fleet.terminate(name)
        fleet.start_ledger(name, "--snapshot-bytes", "30000")
    committed = wait_until(lambda: complete_request(fleet, "before"), 10, "an answer")
    leader = wait_until(lambda: fleet.leader(SHARD), 10, "a leader")
    late = next(name for name in fleet.ledger_names if name != leader)
    fleet.kill(late)
    others = [name for name in fleet.ledger_names if name != late]
    reached = last_index(fleet, leader)
    mills = fleet.client("mills-key")
    for number in range(MAX_BATCHES):
        prefix = f"many-{number}"
        batch = mills.submit(batch_file(400, 2, prefix), f"{prefix}.jsonl", CHAT, "24h")
        ended = mills.wait(batch["id"], 40)
        assert outcomes(mills, ended) == right_outcomes(400, 2, prefix)
        if all(newest_snapshot(fleet, name) > reached for name in others):
            break
    # Whichever replica leads now, its log starts after the entries that the stopped one needs.
    assert all(newest_snapshot(fleet, name) > reached for name in others)
    fleet.restart(late)
    wait_until(lambda: '"snapshot_installed", "group": 1' in fleet.log(late), 10, "a snapshot")
    fleet.kill(others[0])
    wait_until(lambda: complete_request(fleet, "with the late one"), 10, "an answer")
    assert fleet.client("depots-key").result(committed["id"])["state"] == "completed"
    fleet.restart(others[0])
    wait_for_ledgers(fleet)


def test_a_rolling_restart_under_load_loses_nothing(fleet):
    with Streams(fleet, tokens=30, entry="entry-2") as streams:
        for name in (*fleet.ledger_names, "entry-1", "agent-engine-1", "agent-credits-1"):
            assert fleet.terminate(name) == 0
            fleet.restart(name)
            time.sleep(1.5)
    assert not streams.wrong and streams.right
