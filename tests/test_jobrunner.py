"""In which order the items of jobs run, played as loads without a network."""

import asyncio
import re

import pytest

from verbenashore import itemjobs, jobrunner
from verbenashore.backendcall import AnswerHead, Dialect
from verbenashore.board import LoadBoard
from verbenashore.directory import BackendEntry, Directory
from verbenashore.dispatch import Dispatcher
from verbenashore.itemjobs import (
    Advanced,
    ItemJob,
    ItemJobBook,
    ItemSpec,
    ItemState,
    KeepProgress,
    Outcome,
    SubmitItemJob,
    Usual,
)
from verbenashore.jobrunner import LONGEST_PAUSE_SECONDS, JobRunner, Progress, in_order
from verbenashore.metrics import Metrics
from verbenashore.prober import Prober
from verbenashore.routing import Route, RouteIndex, RouteKind, RouteTable, Share

RUN_SECONDS = 5.0
EVENTS = 100
OBJECTIVE = 18.0


def job(number, at, items=10):
    """Returns a job that came at some time."""
    states = [ItemState(ItemSpec(f"{number}-{n}", "/b/x", [], b"", 1)) for n in range(items)]
    due = at + OBJECTIVE
    return ItemJob(f"job-{number:03d}", "r", "h", at, due, float("inf"), at + 60.0, 3, states)


def whole_run(_job, _index):
    """Every item still takes a whole run."""
    return RUN_SECONDS


def by_due_time(jobs, _now, _left):
    """The first order."""
    return [
        (job.id, index)
        for job in sorted(jobs, key=lambda job: (job.due_at, job.id))
        for index, item in enumerate(job.items)
        if not item.listed
    ]


def job_by_job(jobs, now, _left):
    """The second order, which took every item for one that hasn't begun."""
    return [
        (job.id, index)
        for job in sorted(jobs, key=lambda j: (now + RUN_SECONDS > j.due_at, j.due_at, j.id))
        for index, item in enumerate(job.items)
        if not item.listed
    ]


def play(order, arrivals, slots):
    """Plays jobs on some slots; returns how many items were done in time, and in all."""
    jobs = [job(number, at) for number, at in enumerate(arrivals)]
    by_id = {one.id: one for one in jobs}
    ends = [0.0] * slots
    on_time = done = 0
    while True:
        now = min(ends)
        keys = order([j for j in jobs if j.submitted_at <= now], now, whole_run)
        if not keys:
            later = [j.submitted_at for j in jobs if j.submitted_at > now]
            if not later:
                return on_time, done
            ends = [max(end, min(later)) for end in ends]
            continue
        chosen = by_id[keys[0][0]]
        item = chosen.items[keys[0][1]]
        item.listed = True
        chosen.results.append(item)
        end = now + RUN_SECONDS
        ends[ends.index(now)] = end
        done += 1
        on_time += end <= chosen.due_at


def play_bursts(order, arrivals, slots, seconds, learns=True, lost_at=(), forgets=False):
    """Plays jobs on slots that online calls take for 2.8 s of every 6.6 s.

    The items that run are chosen anew every 0.1 s; returns how many were done in time.

    :param learns: how long an item takes is learnt, with its pauses.
    :param lost_at: when another leader takes over, which knows what is replicated.
    :param forgets: what was learnt isn't replicated.
    """
    jobs = [job(number, at) for number, at in enumerate(arrivals)]
    by_id = {one.id: one for one in jobs}
    items = {}
    learnt = Usual(RUN_SECONDS, EVENTS)
    on_time = 0
    for step in range(round(seconds / 0.1)):
        now = step * 0.1
        if step in [round(at / 0.1) for at in lost_at]:
            items.update({key: Progress(item.events) for key, item in items.items()})
            learnt = Usual() if forgets else learnt
        free = slots // 8 if now % 6.6 < 2.8 else slots
        come = [one for one in jobs if one.submitted_at <= now]

        def left(*key, usual=learnt):
            return usual.left(items[key].events if key in items else 0)

        keys = order(come, now, left)
        for key in keys[:free]:
            progress = items.setdefault(key, Progress())
            progress.note_start(now)
            progress.texts += ["x"] * round(EVENTS * 0.1 / RUN_SECONDS)
            progress.note_stop(now, now + 0.1)
            if progress.events >= EVENTS:
                by_id[key[0]].items[key[1]].listed = True
                on_time += now + 0.1 <= by_id[key[0]].due_at
                if learns:
                    learnt.note(progress.events, progress.spent)
    return on_time


def test_jobs_that_can_be_done_in_time_go_by_due_time():
    jobs = [job(0, 2.0, items=1), job(1, 0.0, items=1), job(2, 1.0, items=1)]
    order = [key[0] for key in in_order(jobs, 3.0, whole_run)]
    assert order == ["job-001", "job-002", "job-000"]


def test_a_job_that_is_late_anyway_waits_for_those_that_are_not():
    late, fresh = job(0, 0.0, items=1), job(1, 15.0, items=1)
    order = in_order([late, fresh], OBJECTIVE - 1.0, whole_run)
    assert order == [(fresh.id, 0), (late.id, 0)]


def test_an_item_that_is_nearly_done_is_not_taken_for_a_late_one():
    old, fresh = job(0, 0.0, items=2), job(1, 15.0, items=1)
    usual = Usual(RUN_SECONDS, EVENTS)
    produced = {(old.id, 1): 90}
    order = in_order([old, fresh], OBJECTIVE - 1.0, lambda *key: usual.left(produced.get(key, 0)))
    assert order == [(old.id, 1), (fresh.id, 0), (old.id, 0)]


def test_what_a_run_still_takes_is_learnt_and_never_nothing():
    usual = Usual()
    assert usual.left(50) == usual.seconds
    usual.note(200, Progress(texts=["x"] * 200, ran=4.0).spent)
    assert usual.left(0) == pytest.approx(usual.seconds)
    assert usual.left(100) == pytest.approx(usual.seconds / 2)
    assert usual.left(1000) > 0


def test_pauses_for_online_calls_count_and_long_waits_for_other_items_do_not():
    usual = Usual(RUN_SECONDS, EVENTS)
    progress = Progress()
    for start in (0.0, 4.0, 60.0):
        progress.note_start(start)
        progress.texts += ["x"] * 40
        progress.note_stop(start, start + 2.0)
    assert (progress.ran, progress.paused) == (6.0, 2.0 + LONGEST_PAUSE_SECONDS)
    usual.note(progress.events, progress.spent)
    assert 1.0 < usual.interrupted < 2.0


@pytest.mark.parametrize("gap", [0.8, 1.0, 1.2, 1.4])
def test_bursts_of_online_calls_make_fewer_items_late_than_former_orders(gap):
    """40 slots, of which bursts leave 5, carry 5 items/s; there come 12 to 7 of them."""
    arrivals = [n * gap for n in range(round(40 / gap))]
    after = play_bursts(in_order, arrivals, 40, 80.0)
    assert after > play_bursts(job_by_job, arrivals, 40, 80.0)
    assert after > play_bursts(in_order, arrivals, 40, 80.0, learns=False)


@pytest.mark.parametrize("gap", [0.4, 0.6, 0.8, 1.0])
def test_a_new_leader_that_knows_how_long_items_take_makes_fewer_late(gap):
    """The same slots and bursts; there come 25 to 10 items/s, and two leaders are lost."""
    arrivals = [n * gap for n in range(round(40 / gap))]
    lost = {"lost_at": (15.0, 21.0)}
    after = play_bursts(in_order, arrivals, 40, 80.0, **lost)
    assert after > play_bursts(in_order, arrivals, 40, 80.0, **lost, forgets=True)


@pytest.mark.parametrize("gap", [1.6, 2.0])
def test_items_that_can_all_be_done_in_time_are(gap):
    """The same slots; there come 6 and 5 items/s."""
    arrivals = [n * gap for n in range(round(40 / gap))]
    assert play_bursts(in_order, arrivals, 40, 80.0) == 10 * len(arrivals)


@pytest.mark.parametrize("gap", [0.3, 0.4, 0.5])
def test_a_burst_of_jobs_makes_only_what_is_over_capacity_late(gap):
    """40 slots carry 8 items/s; for 20 s there come 20 to 33, then as many as can be carried."""
    arrivals = [n * gap for n in range(round(20 / gap))] + [20 + n * 1.25 for n in range(24)]
    before, all_before = play(by_due_time, arrivals, slots=40)
    after, all_after = play(in_order, arrivals, slots=40)
    assert all_before == all_after == 10 * len(arrivals)
    possible = 8 * (max(arrivals) + OBJECTIVE)
    assert after >= 0.9 * possible, "the target for batch work is 0.90 of what can be done"
    assert after > before


class Engine:
    """A backend server whose answer to any call is a slow row of numbered events."""

    def __init__(self, events, pause):
        self._events = events
        self._pause = pause
        self.resumed_after = []

    async def answer(self, reader, writer):
        """Answers one call from the event that it asks for."""
        head = await reader.readuntil(b"\r\n\r\n")
        after = int(re.search(rb"(?i)after: *(\d+)", head)[1])
        self.resumed_after.append(after)
        writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
        try:
            for number in range(after + 1, self._events + 1):
                writer.write(b"id: %d\ndata: one\ndata: more %d\n\n" % (number, number))
                await writer.drain()
                await asyncio.sleep(self._pause)
        except ConnectionError:
            self.resumed_after.append("cut")
        writer.close()


def call_headers(_call, _server, _left, last_event):
    """Writes the number of the last event."""
    return [(b"host", b"h"), (b"after", b"%d" % (last_event or 0))]


def read_head(status, headers):
    """Reads the head of a plain answer."""
    return AnswerHead(status, headers, "", False, False)


def runner_of(book, server, commit, metrics, routes=None):
    """Returns a runner that leads.

    :param routes: returns the routes in force; without it the items' route is among them.
    """
    directory = Directory()
    directory.take([server], 0.0)
    board = LoadBoard()
    dispatcher = Dispatcher(directory, board, "d")
    dialect = Dialect(call_headers, read_head)
    route = Route("r", "h", "/b/", RouteKind.BATCH, 15.0, 0.5, (Share("s", 1),))
    index = RouteIndex(RouteTable(1, (route,)))
    clock = asyncio.get_running_loop().time
    prober = Prober(dialect, dispatcher, clock, lambda: index, lambda: None)
    return JobRunner(
        dialect,
        directory,
        board,
        dispatcher,
        prober,
        clock,
        lambda: True,
        lambda: book,
        routes or (lambda: index),
        commit,
        lambda: None,
        lambda: 0.0,
        metrics,
    )


async def until(is_true):
    """Waits until something is true."""
    async with asyncio.timeout(5):
        while not is_true():  # noqa: ASYNC110 - what is waited for has no event
            await asyncio.sleep(0.01)


async def lead_twice(monkeypatch):
    """Runs a job under one leader until it has kept something, then under another one."""
    monkeypatch.setattr(jobrunner, "KEEP_SECONDS", 0.05)
    engine = Engine(events=40, pause=0.01)
    listener = await asyncio.start_server(engine.answer, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    address = f"{host}:{port}"
    server = BackendEntry("b", "s", address, "d", 4, False)
    book = ItemJobBook()
    spec = ItemSpec("i", "/b/x", [], b"", 1)
    itemjobs.submit(book, SubmitItemJob("j", "r", "h", [spec], 18.0, 0.0, 3, 0, 60.0), 0.0)
    item = book.job_by_id["j"].items[0]

    async def commit(command):
        await asyncio.sleep(0.005)
        apply = itemjobs.keep if isinstance(command, KeepProgress) else itemjobs.record
        apply(book, command)

    metrics = Metrics("ledger", ())
    first = asyncio.create_task(runner_of(book, server, commit, metrics).run())
    await until(lambda: item.events >= 5)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    kept = item.events
    second = asyncio.create_task(runner_of(book, server, commit, metrics).run())
    await until(lambda: item.listed)
    second.cancel()
    await asyncio.gather(second, return_exceptions=True)
    listener.close()
    assert 'name="r.item_completed"} 1' in metrics.as_text()
    return engine, kept, itemjobs.page(book.job_by_id["j"], 0).results


def test_another_leader_goes_on_from_what_was_kept(monkeypatch):
    engine, kept, results = asyncio.run(lead_twice(monkeypatch))
    asked = [after for after in engine.resumed_after if after != "cut"]
    assert asked == [0, kept] and kept >= 5
    assert results[0].completed
    assert results[0].text == "\n".join(f"one\nmore {number}" for number in range(1, 41))


async def meet(table):
    """Runs a job while its leader knows some table; returns how its items were recorded."""
    server = BackendEntry("b", "s", "127.0.0.1:1", "d", 4, False)
    book = ItemJobBook()
    spec = ItemSpec("i", "/b/x", [], b"", 1)
    itemjobs.submit(book, SubmitItemJob("j", "r", "h", [spec], 18.0, 0.0, 3, 0, 60.0), 0.0)
    recorded = []

    async def commit(command):
        recorded.extend(attempt.outcome for attempt in command.attempts)
        itemjobs.record(book, command)

    runner = runner_of(book, server, commit, Metrics("ledger", ()), lambda: RouteIndex(table))
    running = asyncio.create_task(runner.run())
    await asyncio.sleep(5 * jobrunner.LOOK_SECONDS)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return recorded


@pytest.mark.parametrize(
    ("table", "recorded"), [(RouteTable(), []), (RouteTable(1), [Outcome.IMPOSSIBLE])]
)
def test_no_item_is_given_up_before_the_routes_are_known(table, recorded):
    assert asyncio.run(meet(table)) == recorded


async def lead_after_another():
    """Returns which items a new leader ran first, after another one's run of an item."""
    engine = Engine(events=40, pause=0.0)
    listener = await asyncio.start_server(engine.answer, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server = BackendEntry("b", "s", f"{host}:{port}", "d", 2, False)
    book = ItemJobBook()

    def submit(name, due_in):
        spec = ItemSpec(name, "/b/x", [], b"", 1)
        itemjobs.submit(book, SubmitItemJob(name, "r", "h", [spec], due_in, 0.0, 3, 0, 60.0), 0.0)

    async def commit(command):
        apply = itemjobs.keep if isinstance(command, KeepProgress) else itemjobs.record
        apply(book, command)

    async def lead_until(is_true):
        metrics = Metrics("ledger", ())
        leading = asyncio.create_task(runner_of(book, server, commit, metrics).run())
        await until(is_true)
        leading.cancel()
        await asyncio.gather(leading, return_exceptions=True)

    submit("first", 18.0)
    await lead_until(lambda: book.job_by_id["first"].items[0].listed)
    submit("nearly done", 2.0)
    submit("fresh", 18.0)
    itemjobs.keep(book, KeepProgress([Advanced("nearly done", 0, 0, ["x"] * 36, 36)]))
    engine.resumed_after.clear()
    await lead_until(lambda: all(job.items[0].listed for job in book.job_by_id.values()))
    listener.close()
    return [after for after in engine.resumed_after if after != "cut"]


def test_a_new_leader_does_not_take_an_item_that_is_nearly_done_for_a_late_one():
    """In 2 s an item that has 36 of 40 events can be done, and one that takes 5 s can't."""
    assert asyncio.run(lead_after_another()) == [36, 0]
