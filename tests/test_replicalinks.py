"""Ledger processes whose leader is none of those that they were told of."""

import asyncio
import contextlib
import time

from tests.platforms import own_address
from tests.test_view import ledger_settings
from verbenashore import consensus
from verbenashore.ledger import LedgerProcess
from verbenashore.link import Server
from verbenashore.messages import ReplicaPacket
from verbenashore.process import Process
from verbenashore.replication import AppendReply, AppendRequest, Packet
from verbenashore.settings import parse_address
from verbenashore.types import CONTROL_GROUP


@contextlib.asynccontextmanager
async def ledgers(folder, seeds_by_name):
    """Runs ledger processes of one group of three; yields them and their addresses by name.

    :param seeds_by_name: the names of each process's seeds; the first process forms the group.
    """
    address_by_name = {name: own_address() for name in seeds_by_name}
    running, ledger_by_name = [], {}
    try:
        for name, seeds in seeds_by_name.items():
            settings = ledger_settings(folder / name, address_by_name[name], address_by_name[name])
            settings.name, settings.initial, settings.replicas = name, {}, 3
            settings.seeds = tuple(parse_address(address_by_name[seed]) for seed in seeds)
            settings.bootstrap = "no" if running else "yes"
            running.append(Process(settings))
            ledger_by_name[name] = LedgerProcess(running[-1])
            running[-1].start_task(ledger_by_name[name].run())
            await wait_until(lambda ledger=ledger_by_name[name]: member_names(ledger))
        yield ledger_by_name, address_by_name
    finally:
        for process in running:
            await process.close()


def member_names(ledger):
    """Returns the members of the group by the log of a process."""
    membership = consensus.membership(ledger._runner_by_group[CONTROL_GROUP].core)
    return {peer.name for peer in (*membership.voters, *membership.learners)}


async def wait_until(is_true):
    """Polls until a condition is true."""
    async with asyncio.timeout(5):
        while not is_true():  # noqa: ASYNC110 - no event is set when the condition becomes true
            await asyncio.sleep(0.02)


async def join_by_a_follower(folder):
    """Has a new process learn of the group from a follower alone; returns the members it knows."""
    async with ledgers(folder, {"a": "a", "b": "a", "c": "b"}) as (ledger_by_name, _):
        await wait_until(lambda: "c" in member_names(ledger_by_name["c"]))
        return member_names(ledger_by_name["c"])


def test_a_replica_on_an_empty_disk_replies_to_a_leader_that_is_not_a_seed(tmp_path):
    """Guards against a lost disk that is never replaced, so that the next loss ends the group."""
    assert asyncio.run(join_by_a_follower(tmp_path)) == {"a", "b", "c"}


async def replies_to_an_unknown_leader(folder):
    """Sends a heartbeat of a leader that the log of a process lacks; returns the replies."""
    replies, address = [], own_address()
    async with ledgers(folder, {"a": "a"}) as (ledger_by_name, address_by_name):
        runner = ledger_by_name["a"]._runner_by_group[CONTROL_GROUP]
        process = Process(ledger_settings(folder / "x", address, address))
        server = Server(
            process.context, address, process.make_sender, time.monotonic, None, replies.append
        )
        process.start_task(server.run())
        heartbeat = AppendRequest(runner.core.hard.term + 1, 0, 0, [], 0, 0.0)
        packet = Packet("x-1", runner.peer.id, heartbeat)
        link = process.links.to(address_by_name["a"])
        link.post(ReplicaPacket(CONTROL_GROUP, packet, address))
        try:
            await wait_until(lambda: replies)
        finally:
            await process.close()
    return [type(reply.packet.message) for reply in replies]


def test_a_replica_replies_to_a_leader_that_joined_while_it_was_cut_off(tmp_path):
    assert asyncio.run(replies_to_an_unknown_leader(tmp_path))[0] is AppendReply
