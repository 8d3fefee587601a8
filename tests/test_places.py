"""Waiting for a place: none is lost when a caller leaves."""

import asyncio

import pytest

from tests.test_dispatch import dispatcher, servers, ticket
from verbenashore.board import Load, LoadBoard
from verbenashore.dispatch import Verdict
from verbenashore.places import Places


def full(board):
    """Returns a dispatcher whose only slot is taken, with its server."""
    chosen = dispatcher(servers(1, slots=1), board)
    server = chosen.request(ticket("holder", 0.0), 0.0).server
    chosen.release(server, 0.01)
    return chosen, chosen.request(ticket("holder", 0.0), 0.0).server


def test_a_place_that_becomes_free_goes_to_who_waits():
    async def play():
        chosen, server = full(LoadBoard())
        places = Places(chosen, lambda: 0.0)
        waiting = ticket("waits", 0.0)
        assert places.ask(waiting).verdict is Verdict.WAITING
        task = asyncio.create_task(places.wait(waiting))
        await asyncio.sleep(0)
        chosen.release(server, 0.1)
        places.poll()
        assert (await task).server is server

    asyncio.run(play())


@pytest.mark.parametrize("granted", [False, True])
def test_a_caller_who_leaves_leaves_no_place_taken(granted):
    async def play():
        board = LoadBoard()
        chosen, server = full(board)
        places = Places(chosen, lambda: 0.0)
        waiting = ticket("leaves", 0.0)
        places.ask(waiting)
        task = asyncio.create_task(places.wait(waiting))
        await asyncio.sleep(0)
        if granted:
            chosen.release(server, 0.1)
            places.poll()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        places.poll()
        assert chosen.waiting == 0
        assert board.total(server.name) == (Load() if granted else Load(1))

    asyncio.run(play())
