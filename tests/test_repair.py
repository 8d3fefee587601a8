"""Which ledger processes belong to a group, and which stand by outside it."""

import signal

import pytest

from lab.fleet import OPERATOR_KEY, Fleet, wait_until
from tests.fleets import CHAT, chat
from tests.group import Group
from verbenashore import consensus, repair, storage
from verbenashore.replication import Membership, Peer

VOTERS = 5
DATA_CENTRES = 5


def peer(number):
    """Returns a replica; its address tells its data centre."""
    return Peer(f"r{number}", f"store-{number}", f"dc-{number % DATA_CENTRES}")


def data_centre_of(address):
    """Returns the data centre of an address."""
    return address


def join_all(count):
    """Returns the membership after so many processes have asked to join."""
    current = Membership(tuple(peer(number) for number in range(VOTERS)))
    for number in range(VOTERS, count):
        if repair.is_needed(current, peer(number), VOTERS, data_centre_of):
            current = repair.with_learner(current, peer(number))
    return current


@pytest.mark.parametrize("stores", [7, 30, 100])
def test_the_log_goes_to_a_number_of_replicas_that_does_not_grow_with_the_fleet(stores):
    """Guards against a leader that sends each entry to every store: 29 copies, most unused."""
    current = join_all(stores)
    assert len(current.learners) == repair.spare_count(VOTERS)


def test_a_process_whose_disk_was_lost_replaces_its_former_replica():
    current = join_all(30)
    assert repair.is_needed(current, Peer("new", "store-1", "dc-1"), VOTERS, data_centre_of)


def test_each_data_centre_gets_a_replica_for_reads():
    current = join_all(30)
    elsewhere = Peer("r", "store-99", "dc-far")
    assert repair.is_needed(current, elsewhere, VOTERS, data_centre_of)
    current = repair.with_learner(current, elsewhere)
    assert repair.is_needed(current, elsewhere, VOTERS, data_centre_of), "it must stay"
    second = Peer("s", "store-98", "dc-far")
    assert not repair.is_needed(current, second, VOTERS, data_centre_of)


def test_nobody_is_taken_in_for_a_data_centre_while_one_is_unknown():
    current = join_all(30)
    unknown = {peer(3).address: ""}
    elsewhere = Peer("r", "store-99", "dc-far")
    assert not repair.is_needed(
        current, elsewhere, VOTERS, lambda address: unknown.get(address, address)
    )


def test_learners_of_an_earlier_build_that_are_not_needed_are_removed_one_at_a_time():
    group = Group(size=3, spares=6)
    group.run(6.0)
    leader = group.replicas[group.servers()[0]]
    learners = len(consensus.membership(leader).learners)
    assert learners == 6
    while learners > repair.spare_count(3):
        change = repair.next_membership(leader, 3, group.now, data_centre_of=lambda _: "dc")
        assert len(change.learners) == learners - 1 and len(change.voters) == 3
        assert consensus.change_membership(leader, change, group.now)
        # The simulated processes would ask to join again.
        group.frozen |= {
            name
            for name, replica in group.replicas.items()
            if replica.id not in {p.id for p in (*change.voters, *change.learners)} | {leader.id}
        }
        group.run(0.5)
        learners -= 1
    assert repair.next_membership(leader, 3, group.now, data_centre_of=lambda _: "dc") is None


def test_saved_addresses_are_read_again(tmp_path):
    assert storage.read_peers(tmp_path) == []
    storage.save_peers(tmp_path, ["127.0.0.1:2", "127.0.0.1:1"])
    assert storage.read_peers(tmp_path) == ["127.0.0.1:1", "127.0.0.1:2"]


class StandbyFleet(Fleet):
    """A deployment with more ledger processes than its groups need, in one data centre."""

    def start_ledger(self, name, *extra):
        """Starts a ledger process that replaces lost ones soon."""
        super().start_ledger(name, "--data-centre", "dc-1", "--replace-after", "1.5", *extra)


@pytest.fixture
def fleet():
    """Runs a deployment with six ledger processes."""
    with StandbyFleet("association.toml", ledgers=6) as running:
        yield running


def control_group(fleet):
    """Returns the voters and learners of the control group, by the leader's answer."""
    for ledger in fleet.client(OPERATOR_KEY).status()["ledgers"]:
        for group in ledger.get("groups", []):
            if group["group"] == 0 and group["role"] == "leader":
                return group["voters"], group["learners"]
    return [], []


def complete_request(fleet, prompt):
    """Sends a request whose answer must be committed."""
    return fleet.client("depots-key").request_json("POST", CHAT, chat(prompt, 3))


def test_processes_that_stand_by_replace_lost_replicas_one_after_the_other(fleet):
    wait_until(lambda: [len(part) for part in control_group(fleet)] == [3, 1], 15, "one learner")
    committed = complete_request(fleet, "before the losses")
    for _ in range(2):
        voters, learners = control_group(fleet)
        lost = voters[0]
        fleet.signal(lost, signal.SIGKILL)

        def is_repaired(lost=lost):
            voters, learners = control_group(fleet)
            return len(voters) == 3 and len(learners) == 1 and lost not in (*voters, *learners)

        wait_until(is_repaired, 20, "three voters and a learner again")
    assert fleet.client("depots-key").result(committed["id"])["state"] == "completed"


def test_a_process_that_stands_by_finds_the_group_after_a_restart_of_all(fleet):
    wait_until(lambda: [len(part) for part in control_group(fleet)] == [3, 1], 15, "one learner")
    voters, learners = control_group(fleet)
    standing_by = [name for name in fleet.ledger_names if name not in (*voters, *learners)]
    wait_until(
        lambda: all("standing_by" in fleet.log(name) for name in standing_by), 10, "two stand by"
    )
    before = [fleet.log(name).count("standing_by") for name in standing_by]
    for name in fleet.ledger_names:
        fleet.kill(name)
    for name in fleet.ledger_names:
        fleet.restart(name)
    wait_until(
        lambda: all(
            fleet.log(name).count("standing_by") >= 2 * count
            for name, count in zip(standing_by, before, strict=True)
        ),
        15,
        "they stand by again",
    )
    assert len(control_group(fleet)[0]) == 3
