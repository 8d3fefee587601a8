"""Items whose committed events change while a run goes on from earlier ones."""

import asyncio
import contextlib
import re

import pytest

from tests.test_jobrunner import make_runner, wait_until
from verbenashore import itemjobs, jobrunner
from verbenashore.directory import BackendEntry
from verbenashore.itemjobs import CommitProgress, ItemJobTable, ItemSpec, SubmitItemJob
from verbenashore.metrics import Metrics

EVENTS = 40
EVENT_SECONDS = 0.01


class StampingServer:
    """A backend server that states in each event which run it is of.

    :param asked_after: the event after which each run was asked to go on; 0 for the first.
    """

    def __init__(self):
        self.asked_after = []

    async def answer(self, reader, writer):
        """Answers one call with the events after the number that it names."""
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            after = int(re.search(rb"(?i)after: *(\d+)", head)[1])
            run = len(self.asked_after)
            self.asked_after.append(after)
            writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
            for number in range(after + 1, EVENTS + 1):
                writer.write(b"id: %d\ndata: %d of %d\n\n" % (number, number, run))
                await writer.drain()
                await asyncio.sleep(EVENT_SECONDS)


async def run_with_a_late_commit(monkeypatch):
    """Runs an item under a leader that loses its lease while a commit of progress is under way.

    The commit is applied after the leader has its lease again, in the same term, and has started
    the item anew.  Returns the server and the result of the item.
    """
    monkeypatch.setattr(jobrunner, "COMMIT_INTERVAL_SECONDS", 0.1)
    server = StampingServer()
    listener = await asyncio.start_server(server.answer, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    table = ItemJobTable()
    spec = ItemSpec("i", "/b/x", [], b"", 1)
    itemjobs.submit_job(table, SubmitItemJob("j", "r", "h", [spec], 18.0, 0.0, 3, 0, 60.0), 0.0)
    item = table.job_by_id["j"].items[0]
    acknowledged = asyncio.Event()
    acknowledged.set()
    late_commits = []

    async def commit(command):
        if isinstance(command, CommitProgress):
            if not acknowledged.is_set():
                late_commits.append(command)
            await acknowledged.wait()
            itemjobs.commit_progress(table, command)
        else:
            itemjobs.record_attempts(table, command)

    has_lease = [True]
    runner = make_runner(
        table,
        BackendEntry("b", "s", f"{host}:{port}", "d", 4, False),
        commit,
        Metrics("ledger", ()),
        is_serving=lambda: has_lease[0],
    )
    running = asyncio.create_task(runner.run())
    acknowledged.clear()
    await wait_until(lambda: late_commits)
    has_lease[0] = False
    runner.wake()
    await asyncio.sleep(2 * jobrunner.MAX_SCHEDULING_INTERVAL_SECONDS)
    has_lease[0] = True
    runner.wake()
    await wait_until(lambda: len(server.asked_after) == 2)
    acknowledged.set()
    await wait_until(lambda: item.listed)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    listener.close()
    return server, itemjobs.results_page(table.job_by_id["j"], 0).results[0]


def test_a_text_goes_on_only_with_a_run_that_was_asked_for_what_follows(monkeypatch):
    """Guards against texts whose run changes at an event after which no run was asked to go on."""
    server, result = asyncio.run(run_with_a_late_commit(monkeypatch))
    pieces = [tuple(map(int, piece.split(" of "))) for piece in result.text.split("\n")]
    assert [number for number, _ in pieces] == list(range(1, EVENTS + 1))
    first_number_by_run = {run: number for number, run in reversed(pieces)}
    assert {run: number - 1 for run, number in first_number_by_run.items()} == {
        run: server.asked_after[run] for run in first_number_by_run
    }


def dripping_server(head, drip, runs):
    """Returns a server whose first run sends bytes now and then, and never an event.

    :param head: what it sends at once.
    :param drip: what it sends again and again.
    :param runs: collects the runs.
    """

    async def answer(reader, writer):
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            runs.append(writer)
            if len(runs) > 1:
                writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nid: 1\ndata: a\n\n")
                await writer.drain()
                return
            writer.write(head)
            while True:
                writer.write(drip)
                await writer.drain()
                await asyncio.sleep(0.05)

    return answer


@pytest.mark.parametrize(
    ("head", "drip"),
    [
        (b"HTTP/1.1 200 OK\r\nx: ", b"x"),
        (b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\ndata: ", b"x"),
        (b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", b": wait\n\n"),
    ],
    ids=["head", "event", "comments"],
)
def test_an_item_leaves_a_server_that_sends_bytes_and_never_an_event(monkeypatch, head, drip):
    """Guards against items that keep a slot for good, since some byte comes every second."""
    monkeypatch.setattr(jobrunner, "EVENT_TIMEOUT_SECONDS", 0.4)

    async def run():
        runs = []
        listener = await asyncio.start_server(dripping_server(head, drip, runs), "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        table = ItemJobTable()
        spec = ItemSpec("i", "/b/x", [], b"", 1)
        itemjobs.submit_job(table, SubmitItemJob("j", "r", "h", [spec], 18.0, 0.0, 3, 0, 60.0), 0.0)

        async def commit(command):
            itemjobs.record_attempts(table, command)

        server = BackendEntry("b", "s", f"{host}:{port}", "d", 4, False)
        runner = make_runner(table, server, commit, Metrics("ledger", ()))
        running = asyncio.create_task(runner.run())
        try:
            await wait_until(lambda: table.job_by_id["j"].items[0].listed)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            listener.close()
        return table.job_by_id["j"].results[0].text

    assert asyncio.run(run()) == "a"
