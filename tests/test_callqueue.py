"""The call queue: no slot leaks when a caller leaves."""

import asyncio

import pytest

from tests.test_dispatch import make_dispatcher, make_servers, make_ticket
from verbenashore.callqueue import CallQueue
from verbenashore.dispatch import Verdict
from verbenashore.loadtable import Load, LoadTable


def make_full_dispatcher(load_table):
    """Returns a dispatcher whose only slot is taken, with its server."""
    dispatcher = make_dispatcher(make_servers(1, slots=1), load_table)
    server = dispatcher.request(make_ticket("holder", 0.0), 0.0).server
    dispatcher.release(server, 0.01)
    return dispatcher, dispatcher.request(make_ticket("holder", 0.0), 0.0).server


def test_a_freed_slot_goes_to_the_queued_call():
    async def scenario():
        dispatcher, server = make_full_dispatcher(LoadTable())
        call_queue = CallQueue(dispatcher, lambda: 0.0)
        waiting = make_ticket("waits", 0.0)
        assert call_queue.request(waiting).verdict is Verdict.WAITING
        task = asyncio.create_task(call_queue.wait(waiting))
        await asyncio.sleep(0)
        dispatcher.release(server, 0.1)
        call_queue.poll()
        assert (await task).server is server

    asyncio.run(scenario())


@pytest.mark.parametrize("granted", [False, True])
def test_a_cancelled_call_holds_no_slot(granted):
    async def scenario():
        load_table = LoadTable()
        dispatcher, server = make_full_dispatcher(load_table)
        call_queue = CallQueue(dispatcher, lambda: 0.0)
        waiting = make_ticket("leaves", 0.0)
        call_queue.request(waiting)
        task = asyncio.create_task(call_queue.wait(waiting))
        await asyncio.sleep(0)
        if granted:
            dispatcher.release(server, 0.1)
            call_queue.poll()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        call_queue.poll()
        assert dispatcher.waiting == 0
        assert load_table.total(server.name) == (Load() if granted else Load(1))

    asyncio.run(scenario())
