"""The order in which items of jobs run, in simulated load, and runs under several leaders."""

import asyncio
import contextlib
import re
import time

import pytest

from verbenashore import itemjobs, jobrunner
from verbenashore.backendcall import AnswerHead, Dialect
from verbenashore.crashedcalls import CrashedCalls
from verbenashore.directory import BackendEntry, Directory
from verbenashore.dispatch import Dispatcher, FailureKind
from verbenashore.itemjobs import (
    CommitProgress,
    EndItemJob,
    ItemJob,
    ItemJobTable,
    ItemSpec,
    ItemState,
    Outcome,
    ProgressPart,
    SubmitItemJob,
    TypicalRun,
)
from verbenashore.itemorder import MIN_KEPT_SECONDS, items_by_urgency
from verbenashore.jobrunner import MAX_COUNTED_PAUSE_SECONDS, JobRunner, Progress
from verbenashore.loadtable import LoadTable
from verbenashore.metrics import Metrics
from verbenashore.prober import Prober
from verbenashore.quarantine import MIN_INCIDENTS, Quarantine
from verbenashore.routing import Route, RouteIndex, RouteKind, RouteTable, Service, Share

RUN_SECONDS = 5.0
EVENTS = 100
DUE_SECONDS = 18.0


def make_job(number, at, items=10):
    """Returns a job that was submitted at some time."""
    states = [ItemState(ItemSpec(f"{number}-{n}", "/b/x", [], b"", 1)) for n in range(items)]
    due = at + DUE_SECONDS
    return ItemJob(f"job-{number:03d}", "r", "h", at, due, float("inf"), at + 60.0, 3, states)


def full_run_seconds(_job, _index):
    """Returns the time of a full run for every item."""
    return RUN_SECONDS


def by_due_time(jobs, _now, _remaining_seconds):
    """Orders items by due time alone, late or not."""
    return [
        (job.id, index)
        for job in sorted(jobs, key=lambda job: (job.due_at, job.id))
        for index, item in enumerate(job.items)
        if not item.listed
    ]


def order_ignoring_progress(jobs, now, _remaining_seconds):
    """Orders jobs as if every item needed a full run; those that would be late go last."""
    return [
        (job.id, index)
        for job in sorted(jobs, key=lambda j: (now + RUN_SECONDS > j.due_at, j.due_at, j.id))
        for index, item in enumerate(job.items)
        if not item.listed
    ]


def simulate(order, arrivals, slots):
    """Simulates jobs on some slots; returns how many items ended on time, and in all."""
    jobs = [make_job(number, at) for number, at in enumerate(arrivals)]
    by_id = {one.id: one for one in jobs}
    ends = [0.0] * slots
    on_time = done = 0
    while True:
        now = min(ends)
        keys = order([j for j in jobs if j.submitted_at <= now], now, full_run_seconds)
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


def simulate_bursts(
    order, arrivals, slots, seconds, records_runs=True, leader_lost_at=(), loses_estimate=False
):
    """Simulates jobs on slots of which online calls take most for 2.8 s of every 6.6 s.

    Chooses the running items again every 0.1 s; returns how many items ended on time.

    :param records_runs: true if the run times and pauses of finished items are recorded.
    :param leader_lost_at: when another leader takes over, with the replicated state alone.
    :param loses_estimate: true if the recorded run times aren't part of that state.
    """
    jobs = [make_job(number, at) for number, at in enumerate(arrivals)]
    by_id = {one.id: one for one in jobs}
    items = {}
    typical = TypicalRun(RUN_SECONDS, EVENTS)
    on_time = 0
    for step in range(round(seconds / 0.1)):
        now = step * 0.1
        if step in [round(at / 0.1) for at in leader_lost_at]:
            items.update({key: Progress(item.events) for key, item in items.items()})
            typical = TypicalRun() if loses_estimate else typical
        free = slots // 8 if now % 6.6 < 2.8 else slots
        arrived = [one for one in jobs if one.submitted_at <= now]

        def remaining_seconds(*key, estimate=typical):
            return estimate.remaining_seconds(items[key].events if key in items else 0)

        keys = order(arrived, now, remaining_seconds)
        for key in keys[:free]:
            progress = items.setdefault(key, Progress())
            progress.record_start(now)
            progress.texts += ["x"] * round(EVENTS * 0.1 / RUN_SECONDS)
            progress.record_stop(now, now + 0.1)
            if progress.events >= EVENTS:
                by_id[key[0]].items[key[1]].listed = True
                on_time += now + 0.1 <= by_id[key[0]].due_at
                if records_runs:
                    typical.record_run(progress.events, progress.timing)
    return on_time


def test_jobs_that_can_be_on_time_run_by_due_time():
    jobs = [make_job(0, 2.0, items=1), make_job(1, 0.0, items=1), make_job(2, 1.0, items=1)]
    order = [key[0] for key in items_by_urgency(jobs, 3.0, full_run_seconds)]
    assert order == ["job-001", "job-002", "job-000"]


def test_a_job_that_cannot_be_on_time_runs_after_those_that_can():
    late, fresh = make_job(0, 0.0, items=1), make_job(1, 15.0, items=1)
    order = items_by_urgency([late, fresh], DUE_SECONDS - 1.0, full_run_seconds)
    assert order == [(fresh.id, 0), (late.id, 0)]


def test_a_nearly_finished_item_is_not_counted_as_late():
    old, fresh = make_job(0, 0.0, items=2), make_job(1, 15.0, items=1)
    typical = TypicalRun(RUN_SECONDS, EVENTS)
    produced = {(old.id, 1): 90}
    order = items_by_urgency(
        [old, fresh],
        DUE_SECONDS - 1.0,
        lambda *key: typical.remaining_seconds(produced.get(key, 0)),
    )
    assert order == [(old.id, 1), (fresh.id, 0), (old.id, 0)]


def test_remaining_run_time_is_learnt_from_finished_runs_and_never_zero():
    typical = TypicalRun()
    assert typical.remaining_seconds(50) == typical.seconds
    typical.record_run(200, Progress(texts=["x"] * 200, run_seconds=4.0).timing)
    assert typical.remaining_seconds(0) == pytest.approx(typical.seconds)
    assert typical.remaining_seconds(100) == pytest.approx(typical.seconds / 2)
    assert typical.remaining_seconds(1000) > 0


def test_a_pause_counts_only_up_to_the_bound_for_online_calls():
    typical = TypicalRun(RUN_SECONDS, EVENTS)
    progress = Progress()
    for start in (0.0, 4.0, 60.0):
        progress.record_start(start)
        progress.texts += ["x"] * 40
        progress.record_stop(start, start + 2.0)
    assert (progress.run_seconds, progress.paused_seconds) == (6.0, 2.0 + MAX_COUNTED_PAUSE_SECONDS)
    typical.record_run(progress.events, progress.timing)
    assert 1.0 < typical.interrupted < 2.0


@pytest.mark.parametrize("gap", [0.8, 1.0, 1.2, 1.4])
def test_bursts_of_online_calls_make_fewer_items_late_than_with_simpler_orders(gap):
    """40 slots, of which bursts leave 5, can run 5 items/s; 12 to 7 items/s arrive."""
    arrivals = [n * gap for n in range(round(40 / gap))]
    after = simulate_bursts(items_by_urgency, arrivals, 40, 80.0)
    assert after > simulate_bursts(order_ignoring_progress, arrivals, 40, 80.0)
    assert after > simulate_bursts(items_by_urgency, arrivals, 40, 80.0, records_runs=False)


@pytest.mark.parametrize("gap", [0.4, 0.6, 0.8, 1.0])
def test_a_new_leader_with_replicated_run_times_makes_fewer_items_late(gap):
    """The same slots and bursts; 25 to 10 items/s arrive, and two leaders are lost."""
    arrivals = [n * gap for n in range(round(40 / gap))]
    lost = {"leader_lost_at": (15.0, 21.0)}
    after = simulate_bursts(items_by_urgency, arrivals, 40, 80.0, **lost)
    assert after > simulate_bursts(
        items_by_urgency, arrivals, 40, 80.0, **lost, loses_estimate=True
    )


@pytest.mark.parametrize("gap", [1.6, 2.0])
def test_all_items_are_on_time_when_capacity_suffices(gap):
    """The same slots and bursts; 6 and 5 items/s arrive."""
    arrivals = [n * gap for n in range(round(40 / gap))]
    assert simulate_bursts(items_by_urgency, arrivals, 40, 80.0) == 10 * len(arrivals)


@pytest.mark.parametrize("gap", [0.3, 0.4, 0.5])
def test_a_burst_of_jobs_makes_only_the_work_beyond_capacity_late(gap):
    """40 slots can run 8 items/s; 33 to 20 items/s arrive for 20 s, then 8 items/s."""
    arrivals = [n * gap for n in range(round(20 / gap))] + [20 + n * 1.25 for n in range(24)]
    before, all_before = simulate(by_due_time, arrivals, slots=40)
    after, all_after = simulate(items_by_urgency, arrivals, slots=40)
    assert all_before == all_after == 10 * len(arrivals)
    possible = 8 * (max(arrivals) + DUE_SECONDS)
    assert after >= 0.9 * possible, "the target for batch work is 0.90 of what can be done"
    assert after > before


class SlowBackend:
    """A backend server that answers any call with a slow stream of numbered events."""

    def __init__(self, events, pause):
        self._events = events
        self._pause = pause
        self.resumed_after = []

    async def answer(self, reader, writer):
        """Answers one call with the events after the number that it names."""
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
    """Returns headers with the number of the last event."""
    return [(b"host", b"h"), (b"after", b"%d" % (last_event or 0))]


def read_head(status, headers):
    """Returns the head of a plain answer; a header tells that the server leaves."""
    return AnswerHead(status, headers, "", False, False, (b"leaving", b"1") in headers)


def read_prompt(headers):
    """Returns the parts of a prompt."""
    return tuple(dict(headers).get(b"parts", b"").decode().split())


def make_runner(
    job_table,
    server,
    commit,
    metrics,
    routes=None,
    further_servers=(),
    quarantine=None,
    is_serving=lambda: True,
):
    """Returns a job runner.

    :param routes: returns the routes in force; by default these include the items' route.
    :param is_serving: returns whether its process leads.
    """
    directory = Directory()
    directory.install_list([server, *further_servers], 0.0)
    load_table = LoadTable()
    dispatcher = Dispatcher(directory, load_table, "d")
    dialect = Dialect(call_headers, read_head, read_prompt)
    route = Route("r", "h", "/b/", RouteKind.BATCH, 15.0, 0.5, (Share("s", 1),))
    index = RouteIndex(RouteTable(1, (route,)))
    clock = asyncio.get_running_loop().time
    prober = Prober(dialect, dispatcher, clock, lambda: index, lambda: None)
    return JobRunner(
        dialect,
        directory,
        load_table,
        dispatcher,
        prober,
        clock,
        is_serving,
        lambda: job_table,
        routes or (lambda: index),
        commit,
        lambda: None,
        lambda: 0.0,
        metrics,
        quarantine or Quarantine(time.time, "m"),
        CrashedCalls(time.time, "m"),
    )


async def wait_until(is_true):
    """Polls until a condition is true."""
    async with asyncio.timeout(5):
        while not is_true():  # noqa: ASYNC110 - no event is set when the condition becomes true
            await asyncio.sleep(0.01)


async def run_with_two_leaders(monkeypatch):
    """Runs a job under one leader until some events are committed, then under another."""
    monkeypatch.setattr(jobrunner, "COMMIT_INTERVAL_SECONDS", 0.05)
    backend = SlowBackend(events=40, pause=0.01)
    listener = await asyncio.start_server(backend.answer, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    address = f"{host}:{port}"
    server = BackendEntry("b", "s", address, "d", 4, False)
    job_table = ItemJobTable()
    spec = ItemSpec("i", "/b/x", [], b"", 1)
    itemjobs.submit_job(job_table, SubmitItemJob("j", "r", "h", [spec], 18.0, 0.0, 3, 0, 60.0), 0.0)
    item = job_table.job_by_id["j"].items[0]

    async def commit(command):
        await asyncio.sleep(0.005)
        apply = (
            itemjobs.commit_progress
            if isinstance(command, CommitProgress)
            else itemjobs.record_attempts
        )
        apply(job_table, command)

    metrics = Metrics("ledger", ())
    first = asyncio.create_task(make_runner(job_table, server, commit, metrics).run())
    await wait_until(lambda: item.events >= 5)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    committed = item.events
    second = asyncio.create_task(make_runner(job_table, server, commit, metrics).run())
    await wait_until(lambda: item.listed)
    second.cancel()
    await asyncio.gather(second, return_exceptions=True)
    listener.close()
    assert 'name="r.item_completed"} 1' in metrics.as_text()
    return backend, committed, itemjobs.results_page(job_table.job_by_id["j"], 0).results


def test_a_new_leader_resumes_after_the_committed_events(monkeypatch):
    backend, committed, results = asyncio.run(run_with_two_leaders(monkeypatch))
    asked = [after for after in backend.resumed_after if after != "cut"]
    assert asked == [0, committed] and committed >= 5
    assert results[0].completed
    assert results[0].text == "\n".join(f"one\nmore {number}" for number in range(1, 41))


async def results_of_an_ended_job(monkeypatch):
    """Ends a job while an item, of which an earlier leader has committed a part, completes.

    Returns the job's results.
    """
    monkeypatch.setattr(jobrunner, "COMMIT_INTERVAL_SECONDS", 0.05)
    backend = SlowBackend(events=20, pause=0.01)
    listener = await asyncio.start_server(backend.answer, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server = BackendEntry("b", "s", f"{host}:{port}", "d", 4, False)
    job_table = ItemJobTable()
    spec = ItemSpec("i", "/b/x", [], b"", 1)
    itemjobs.submit_job(job_table, SubmitItemJob("j", "r", "h", [spec], 18.0, 0.0, 3, 0, 60.0), 0.0)
    itemjobs.commit_progress(job_table, CommitProgress([ProgressPart("j", 0, 0, ["x"] * 5, 5)]))
    # The end of the job is applied when the run is over and before its outcome is proposed.
    monkeypatch.setattr(
        JobRunner,
        "_record_outcome",
        ending_first(job_table, JobRunner._record_outcome),
    )

    async def commit(command):
        if isinstance(command, CommitProgress):
            itemjobs.commit_progress(job_table, command)
        else:
            itemjobs.record_attempts(job_table, command)

    runner = make_runner(job_table, server, commit, Metrics("ledger", ()))
    running = asyncio.create_task(runner.run())
    await wait_until(lambda: job_table.job_by_id["j"].ended)
    await asyncio.sleep(0.1)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    listener.close()
    return itemjobs.results_page(job_table.job_by_id["j"], 0).results


def ending_first(job_table, record_outcome):
    """Wraps the recording of an outcome so that its job ends just before."""

    async def end_and_record(runner, job, *arguments):
        itemjobs.end_job(job_table, EndItemJob(job.id))
        await record_outcome(runner, job, *arguments)

    return end_and_record


def test_a_result_of_a_job_that_has_just_ended_is_whole_or_not_listed(monkeypatch):
    """Guards against results with only the events that came after a change of leader."""
    assert asyncio.run(results_of_an_ended_job(monkeypatch)) == []


async def items_by_server():
    """Runs two jobs; the server of the first one's only item says that it leaves.

    Returns how many items each of two servers got.
    """
    count_by_server = {"b": 0, "c": 0}

    def answer(name, head):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            count_by_server[name] += 1
            writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n" + head + b"\r\n")
            writer.write(b"id: 1\ndata: one\n\n")
            writer.close()

        return serve

    leaving = await asyncio.start_server(answer("b", b"leaving: 1\r\n"), "127.0.0.1", 0)
    staying = await asyncio.start_server(answer("c", b""), "127.0.0.1", 0)
    servers = [
        BackendEntry(
            name, "s", ":".join(map(str, listener.sockets[0].getsockname())), "d", slots, False
        )
        for name, listener, slots in (("b", leaving, 8), ("c", staying, 4))
    ]
    job_table = ItemJobTable()

    async def commit(command):
        itemjobs.record_attempts(job_table, command)

    runner = make_runner(
        job_table, servers[0], commit, Metrics("ledger", ()), further_servers=servers[1:]
    )
    running = asyncio.create_task(runner.run())
    for name, items in (("first", 1), ("second", 6)):
        specs = [ItemSpec(f"{name}-{n}", "/b/x", [], b"", 1) for n in range(items)]
        command = SubmitItemJob(name, "r", "h", specs, 18.0, 0.0, 3, 0, 60.0)
        itemjobs.submit_job(job_table, command, 0.0)
        runner.wake()
        await wait_until(lambda job=name: all(i.listed for i in job_table.job_by_id[job].items))
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    leaving.close()
    staying.close()
    return count_by_server


def test_a_server_that_says_it_leaves_gets_no_further_items():
    assert asyncio.run(items_by_server()) == {"b": 1, "c": 6}


async def run_with_routes(table):
    """Runs a job under a leader with a given route table; returns the outcomes recorded."""
    server = BackendEntry("b", "s", "127.0.0.1:1", "d", 4, False)
    job_table = ItemJobTable()
    spec = ItemSpec("i", "/b/x", [], b"", 1)
    itemjobs.submit_job(job_table, SubmitItemJob("j", "r", "h", [spec], 18.0, 0.0, 3, 0, 60.0), 0.0)
    recorded = []

    async def commit(command):
        recorded.extend(attempt.outcome for attempt in command.attempts)
        itemjobs.record_attempts(job_table, command)

    runner = make_runner(
        job_table, server, commit, Metrics("ledger", ()), lambda: RouteIndex(table)
    )
    running = asyncio.create_task(runner.run())
    await asyncio.sleep(5 * jobrunner.MAX_SCHEDULING_INTERVAL_SECONDS)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return recorded


@pytest.mark.parametrize(
    ("table", "recorded"), [(RouteTable(), []), (RouteTable(1), [Outcome.IMPOSSIBLE])]
)
def test_no_item_fails_before_a_route_table_is_known(table, recorded):
    assert asyncio.run(run_with_routes(table)) == recorded


async def items_resumed_by_new_leader():
    """Has one leader finish an item, and another run a nearly finished and a new item.

    Returns after which event the second leader resumed each item, in the order of its runs.
    """
    backend = SlowBackend(events=40, pause=0.0)
    listener = await asyncio.start_server(backend.answer, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server = BackendEntry("b", "s", f"{host}:{port}", "d", 2, False)
    job_table = ItemJobTable()

    def submit(name, due_in):
        spec = ItemSpec(name, "/b/x", [], b"", 1)
        itemjobs.submit_job(
            job_table, SubmitItemJob(name, "r", "h", [spec], due_in, 0.0, 3, 0, 60.0), 0.0
        )

    async def commit(command):
        apply = (
            itemjobs.commit_progress
            if isinstance(command, CommitProgress)
            else itemjobs.record_attempts
        )
        apply(job_table, command)

    async def lead_until(is_true):
        metrics = Metrics("ledger", ())
        leading = asyncio.create_task(make_runner(job_table, server, commit, metrics).run())
        await wait_until(is_true)
        leading.cancel()
        await asyncio.gather(leading, return_exceptions=True)

    submit("first", 18.0)
    await lead_until(lambda: job_table.job_by_id["first"].items[0].listed)
    submit("nearly done", 2.0)
    submit("fresh", 18.0)
    itemjobs.commit_progress(
        job_table, CommitProgress([ProgressPart("nearly done", 0, 0, ["x"] * 36, 36)])
    )
    backend.resumed_after.clear()
    await lead_until(lambda: all(job.items[0].listed for job in job_table.job_by_id.values()))
    listener.close()
    return [after for after in backend.resumed_after if after != "cut"]


def test_a_new_leader_does_not_count_a_nearly_finished_item_as_late():
    """An item with 36 of 40 events can end within 2 s, a full run of 5 s can't."""
    assert asyncio.run(items_resumed_by_new_leader()) == [36, 0]


async def count_service_choices(monkeypatch, items):
    """Returns how often the service of an item is looked up while its servers are full."""
    full = BackendEntry("b", "s", "127.0.0.1:1", "d", jobrunner.RESERVED_SLOTS, False)
    idle = BackendEntry("c", "t", "127.0.0.1:2", "d", 4, False)
    job_table = ItemJobTable()
    specs = [ItemSpec(f"i{n}", "/b/x", [], b"", 1) for n in range(items)]
    itemjobs.submit_job(job_table, SubmitItemJob("j", "r", "h", specs, 18.0, 0.0, 3, 0, 60.0), 0.0)
    looked_up = []
    choose_service = jobrunner.routing.choose_service
    monkeypatch.setattr(
        jobrunner.routing,
        "choose_service",
        lambda route, key: looked_up.append(key) or choose_service(route, key),
    )
    runner = make_runner(job_table, full, None, Metrics("ledger", ()), further_servers=[idle])
    running = asyncio.create_task(runner.run())
    await asyncio.sleep(0.5)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return len(looked_up)


def test_waiting_items_are_not_looked_through_in_each_pass_while_their_servers_are_full(
    monkeypatch,
):
    items = 200
    lookups = asyncio.run(count_service_choices(monkeypatch, items))
    assert items <= lookups <= items * 0.5 / MIN_KEPT_SECONDS + items


async def results_with_a_held_part():
    """Runs a job of which two items have a held part; returns the ids of its results."""
    backend = SlowBackend(events=3, pause=0.0)
    listener = await asyncio.start_server(backend.answer, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server = BackendEntry("b", "s", f"{host}:{port}", "d", 4, False)
    job_table = ItemJobTable()
    specs = [
        ItemSpec(f"i{n}", "/b/x", [("parts", f"{part} own-{n}")], b"", 1)
        for n, part in enumerate(["bad", "a", "bad", "b"])
    ]
    itemjobs.submit_job(job_table, SubmitItemJob("j", "r", "h", specs, 18.0, 9.0, 3, 0, 60.0), 0.0)
    job = job_table.job_by_id["j"]
    quarantine = Quarantine(time.time, "m")
    for n in range(MIN_INCIDENTS):
        quarantine.record_crash(f"s{n}", ("bad", f"own-{n}"))
        await asyncio.sleep(0.15)

    async def commit(command):
        if not isinstance(command, CommitProgress):
            itemjobs.record_attempts(job_table, command)

    runner = make_runner(job_table, server, commit, Metrics("ledger", ()), quarantine=quarantine)
    running = asyncio.create_task(runner.run())
    await wait_until(lambda: len(job.results) >= 2)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    listener.close()
    runs = len(backend.resumed_after)
    itemjobs.expire(job_table, 9.0)
    return runs, {result.id: result.completed for result in job.results}


def test_items_with_a_held_part_wait_until_they_expire_and_others_run():
    """Guards against items that crash server after server, and keep their job from ending."""
    runs, completed = asyncio.run(results_with_a_held_part())
    assert runs == 2
    assert completed == {"i0": False, "i1": True, "i2": False, "i3": True}


EVENT_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"


def item_events(first, last):
    """Returns numbered events."""
    numbers = range(first, last + 1)
    return b"".join(b"id: %d\ndata: x%d\n\n" % (number, number) for number in numbers)


async def run_item_on(answers):
    """Runs an item on servers that send the given answers, one each, and close the connection.

    Returns after which event each run was to resume, and the item's result.
    """
    asked = []

    async def answer(reader, writer):
        with contextlib.closing(writer):
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                return  # The connection only tells whether the server has crashed.
            asked.append(int(re.search(rb"(?i)after: *(\d+)", head)[1]))
            writer.write(answers[len(asked) - 1])
            await writer.drain()

    listener = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    servers = [BackendEntry(f"b{n}", "s", f"{host}:{port}", "d", 4, False) for n in range(3)]
    job_table = ItemJobTable()
    spec = ItemSpec("i", "/b/x", [], b"", 1)
    itemjobs.submit_job(job_table, SubmitItemJob("j", "r", "h", [spec], 18.0, 0.0, 3, 0, 60.0), 0.0)

    async def commit(command):
        itemjobs.record_attempts(job_table, command)

    metrics = Metrics("ledger", ())
    runner = make_runner(job_table, servers[0], commit, metrics, further_servers=servers[1:])
    leading = asyncio.create_task(runner.run())
    async with listener:
        await wait_until(lambda: job_table.job_by_id["j"].items[0].listed)
    leading.cancel()
    await asyncio.gather(leading, return_exceptions=True)
    (result,) = itemjobs.results_page(job_table.job_by_id["j"], 0).results
    return asked, result


WRONG_ANSWERS = {
    "head": EVENT_HEAD,
    "comment": EVENT_HEAD + b": wait\n\n",
    "cut head": EVENT_HEAD[:-2],
    "cut line": EVENT_HEAD[:25],
    "inside an event": EVENT_HEAD + b"id: 3\ndata: x\n",
    "data": EVENT_HEAD + b"data: overloaded\n\n",
    "json": EVENT_HEAD + b'{"error": 1}\n\n',
    "another head": EVENT_HEAD + b"HTTP/1.1 500 X\r\ncontent-type: text/plain\r\n\r\n",
    "document": b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 0\r\n\r\n",
    "refusal": b"HTTP/1.1 429 X\r\ncontent-length: 0\r\n\r\n",
    "from zero": EVENT_HEAD + item_events(0, 4),
    "again": EVENT_HEAD + item_events(1, 4),
    "skip": EVENT_HEAD + item_events(4, 4),
}


@pytest.mark.parametrize("wrong", WRONG_ANSWERS.values(), ids=WRONG_ANSWERS.keys())
def test_a_wrong_answer_to_a_resumed_item_does_not_end_or_change_its_text(wrong):
    broken = EVENT_HEAD + item_events(1, 2) + b"id: 3\nda"
    asked, result = asyncio.run(run_item_on([broken, wrong, EVENT_HEAD + item_events(3, 4)]))
    assert asked == [0, 2, 2] and result.completed
    assert result.text == "x1\nx2\nx3\nx4"


def test_text_without_a_number_after_an_event_does_not_end_an_item():
    first = EVENT_HEAD + item_events(1, 2) + b"data: overloaded\n\n"
    asked, result = asyncio.run(run_item_on([first, EVENT_HEAD + item_events(3, 4)]))
    assert asked == [0, 2] and result.text == "x1\nx2\nx3\nx4"


async def choose_servers_for_items():
    """Chooses servers of different speeds, and then with little memory."""
    servers = [BackendEntry(f"b{n}", "s", f"127.0.0.1:{n + 1}", "d", 8, False) for n in range(3)]
    runner = make_runner(ItemJobTable(), servers[0], None, Metrics("l", ()), None, servers[1:])
    dispatcher = runner._dispatcher
    dispatcher.speeds.factor_by_name.update({"b0": 4.0, "b1": 1.0, "b2": 1.0})
    runner._load_table.add("b1", online=4)
    runner._load_table.add("b2", online=5, tokens=100)
    assert runner._choose_server("s", 0.0).name == "b1"
    dispatcher.memory.install([Service("s", 10, memory_tokens=1000)])
    runner._load_table.add("b1", tokens=590)
    assert runner._choose_server("s", 0.0, tokens=11).name == "b2"
    runner._load_table.add("b0", tokens=600)
    runner._load_table.add("b2", tokens=490)
    assert runner._choose_server("s", 0.0, tokens=11) is None
    assert runner._choose_server("s", 0.0) is not None


def test_items_go_where_the_free_room_relative_to_speed_and_the_memory_are():
    asyncio.run(choose_servers_for_items())


async def start_items_behind_large_ones(sizes):
    """Returns the tokens of the items that one pass starts at a server of 1,000, 500 in use."""
    server = BackendEntry("b", "s", "127.0.0.1:1", "d", 8, False)
    table = ItemJobTable()
    states = [
        ItemState(ItemSpec(f"i{n}", "/b/x", [], b"", tokens)) for n, tokens in enumerate(sizes)
    ]
    table.job_by_id["j"] = ItemJob("j", "r", "h", 0.0, 18.0, 1e9, 60.0, 3, states)
    runner = make_runner(table, server, None, Metrics("l", ()), None)
    runner._dispatcher.memory.install([Service("s", 10, memory_tokens=1000)])
    runner._load_table.add("b", online=1, tokens=500)
    started = []
    runner._start_run = lambda _job, _key, _server, progress: started.append(progress.tokens)
    choose, chosen = runner._choose_server, []
    runner._choose_server = lambda *args: chosen.append(args) or choose(*args)
    runner._start_items("s", [("j", n) for n in range(len(sizes))], 0.0)
    assert len(chosen) == 1 + len(started), "one choice for all that are passed over"
    return started


def test_items_that_no_server_has_memory_for_do_not_hold_back_others():
    """Guards against a job of large items that stops all other items of its service."""
    assert asyncio.run(start_items_behind_large_ones([*range(2000, 900, -10), 100])) == [100]
    assert asyncio.run(start_items_behind_large_ones([*range(140, 100, -1), 100, 90])) == [100, 90]


def test_an_item_whose_attempt_met_an_error_of_this_process_runs_again(monkeypatch):
    """Guards against an item that no attempt runs and no result lists until its job expires."""
    faults, original = [ValueError("a fault")], call_headers

    def call_headers_after_a_fault(*args):
        if faults:
            raise faults.pop()
        return original(*args)

    monkeypatch.setattr(jobrunner, "FAULT_DELAY_SECONDS", 0.1, raising=False)
    monkeypatch.setattr("tests.test_jobrunner.call_headers", call_headers_after_a_fault)
    asked, result = asyncio.run(run_item_on([EVENT_HEAD + item_events(1, 4)]))
    assert asked == [0] and result.completed and not faults


async def choose_after_failures():
    """Chooses a server for an item that failed at one of two, before and after the other fails."""
    servers = [BackendEntry(name, "s", "127.0.0.1:1", "d", 8, False) for name in "bc"]
    runner = make_runner(ItemJobTable(), servers[0], None, Metrics("l", ()), None, servers[1:])
    failed_at = {"b"}
    before = runner._choose_server("s", 0.0, failed_at)
    runner._dispatcher.record_failure("c", FailureKind.UNREACHABLE, 0.0)
    return before.name, runner._choose_server("s", 0.0, failed_at).name


def test_an_item_returns_to_the_server_that_failed_it_while_no_other_may_get_calls():
    """Guards against items that wait for a silent server beside idle ones."""
    assert asyncio.run(choose_after_failures()) == ("c", "b")
