"""Item jobs: accepted once, listed at fixed positions, bounded in tokens and attempts."""

import msgspec
import pytest

from verbenashore import itemjobs
from verbenashore.itemjobs import (
    INITIAL_RUN_SECONDS,
    RUN_WEIGHT,
    Attempt,
    CommitProgress,
    EndItemJob,
    ItemJobTable,
    ItemSpec,
    Outcome,
    ProgressPart,
    RecordAttempts,
    RunTiming,
    SubmitItemJob,
)


def submit_command(name="j", items=3, cap=0, give_up_in=0.0, attempts=2):
    """Returns the command that submits a job whose items have 10 tokens each."""
    specs = [ItemSpec(f"{name}-{n}", "/b/x", [], b"body %d" % n, 10) for n in range(items)]
    return SubmitItemJob(name, "r", "h", specs, 18.0, give_up_in, attempts, cap, 60.0)


def record_attempt(table, item, outcome, text="", name="j"):
    """Records the outcome of one attempt."""
    itemjobs.record_attempts(table, RecordAttempts([Attempt(name, item, outcome, text)]))


def listed_results(table, name="j"):
    """Returns the listed results of a job as pairs of id and success."""
    return [(r.id, r.completed) for r in itemjobs.results_page(table.job_by_id[name], 0).results]


def test_a_resent_job_is_accepted_again_and_its_tokens_count_once():
    table = ItemJobTable()
    assert itemjobs.submit_job(table, submit_command(cap=30), 0.0).accepted
    again = itemjobs.submit_job(table, submit_command(cap=30), 5.0)
    assert again.accepted and again.accepted_before and again.waiting == 30
    assert not itemjobs.submit_job(table, submit_command("k", items=1, cap=30), 5.0).accepted


def test_tokens_are_released_once_items_are_listed_or_the_job_is_ended():
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(cap=30), 0.0)
    record_attempt(table, 1, Outcome.COMPLETED, "t")
    assert itemjobs.submit_job(table, submit_command("k", items=1, cap=30), 1.0).accepted
    itemjobs.end_job(table, EndItemJob("j"))
    itemjobs.end_job(table, EndItemJob("j"))
    assert table.waiting_by_route["r"] == 10


def test_a_listed_item_keeps_its_position_and_content():
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(), 0.0)
    record_attempt(table, 2, Outcome.COMPLETED, "two")
    record_attempt(table, 2, Outcome.COMPLETED, "another run")
    record_attempt(table, 2, Outcome.IMPOSSIBLE)
    record_attempt(table, 0, Outcome.COMPLETED, "zero")
    page = itemjobs.results_page(table.job_by_id["j"], 0)
    assert [(r.id, r.text) for r in page.results] == [("j-2", "two"), ("j-0", "zero")]
    assert (page.total, page.next) == (3, 2)
    assert itemjobs.results_page(table.job_by_id["j"], 1).results == page.results[1:]


def test_an_item_fails_only_after_its_last_attempt_or_when_it_is_impossible():
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(attempts=2), 0.0)
    record_attempt(table, 0, Outcome.FAILED)
    assert listed_results(table) == []
    record_attempt(table, 0, Outcome.FAILED)
    record_attempt(table, 1, Outcome.IMPOSSIBLE)
    assert listed_results(table) == [("j-0", False), ("j-1", False)]


@pytest.mark.parametrize(("now", "count"), [(29.9, 0), (30.0, 3)])
def test_unfinished_items_fail_when_their_time_is_over(now, count):
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(give_up_in=30.0), 0.0)
    assert itemjobs.has_expired(table, now) is (count > 0)
    itemjobs.expire(table, now)
    assert len(listed_results(table)) == count


def test_an_ended_job_keeps_its_results_until_it_expires_and_returns_no_bodies():
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(), 0.0)
    record_attempt(table, 0, Outcome.COMPLETED, "t")
    assert itemjobs.item_body(table.job_by_id["j"], "j-1") == b"body 1"
    itemjobs.end_job(table, EndItemJob("j"))
    assert itemjobs.item_body(table.job_by_id["j"], "j-1") is None
    itemjobs.expire(table, 59.0)
    assert listed_results(table) == [("j-0", True)]
    itemjobs.expire(table, 60.0)
    assert not table.job_by_id
    assert not itemjobs.end_job(table, EndItemJob("j")).ok


def test_a_page_is_bounded_but_never_empty_while_there_is_a_result(monkeypatch):
    monkeypatch.setattr(itemjobs, "PAGE_BYTES", 100)
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(), 0.0)
    for item in range(3):
        record_attempt(table, item, Outcome.COMPLETED, "x" * 80)
    assert itemjobs.results_page(table.job_by_id["j"], 0).next == 1
    assert itemjobs.results_page(table.job_by_id["j"], 2).next == 3


def commit_progress(table, item, after, texts):
    """Commits progress of one item, whose events are numbered from 1."""
    part = ProgressPart("j", item, after, texts, after + len(texts))
    itemjobs.commit_progress(table, CommitProgress([part]))


def test_a_result_joins_the_committed_events_and_the_rest_in_order():
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(), 0.0)
    commit_progress(table, 0, 0, ["a", ""])
    commit_progress(table, 0, 2, ["c"])
    state = table.job_by_id["j"].items[0]
    assert (state.events, state.last_event) == (3, 3)
    rest = Attempt("j", 0, Outcome.COMPLETED, "d\ne", after=3, events=2)
    itemjobs.record_attempts(table, RecordAttempts([rest]))
    commit_progress(table, 1, 0, ["whole"])
    nothing_more = Attempt("j", 1, Outcome.COMPLETED, "", after=1)
    itemjobs.record_attempts(table, RecordAttempts([nothing_more]))
    texts = [result.text for result in itemjobs.results_page(table.job_by_id["j"], 0).results]
    assert texts == ["a\n\nc\nd\ne", "whole"]


def test_progress_that_does_not_follow_the_committed_events_changes_nothing():
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(), 0.0)
    commit_progress(table, 0, 0, ["a", "b"])
    commit_progress(table, 0, 0, ["a", "b"])
    commit_progress(table, 0, 1, ["b"])
    commit_progress(table, 0, 3, ["d"])
    assert table.job_by_id["j"].items[0].text == "a\nb"
    stale = Attempt("j", 0, Outcome.COMPLETED, "c", after=1, events=1)
    itemjobs.record_attempts(table, RecordAttempts([stale]))
    assert listed_results(table) == []


def test_an_ended_job_stores_no_progress():
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(), 0.0)
    commit_progress(table, 0, 0, ["a"])
    itemjobs.end_job(table, EndItemJob("j"))
    commit_progress(table, 0, 1, ["b"])
    commit_progress(table, 1, 0, ["a"])
    assert [item.text for item in table.job_by_id["j"].items] == ["", "", ""]
    rest = Attempt("j", 0, Outcome.COMPLETED, "b", after=1, events=1)
    itemjobs.record_attempts(table, RecordAttempts([rest]))
    assert listed_results(table) == [], "the committed start of its result was dropped"


def test_an_ended_job_lists_no_result_with_only_the_end_of_its_text():
    """Guards against results that had only the events after those that the end had dropped."""
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(), 0.0)
    commit_progress(table, 0, 0, ["a", "b"])
    itemjobs.end_job(table, EndItemJob("j"))
    rest = Attempt("j", 0, Outcome.COMPLETED, "c", after=0, events=1)
    itemjobs.record_attempts(table, RecordAttempts([rest]))
    assert listed_results(table) == []


def commit_of_chain(chain, base, after, texts):
    """Returns a commit of progress by a chain of runs, of events that are numbered from 1."""
    part = ProgressPart("j", 0, after, texts, after + len(texts), chain, base)
    return CommitProgress([part])


def test_events_are_joined_only_to_those_that_their_run_went_on_from():
    """Guards against a text that goes on with a run that was asked for earlier events, too."""
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(), 0.0)
    item = table.job_by_id["j"].items[0]
    itemjobs.commit_progress(table, commit_of_chain("first", 0, 0, ["a", "b"]))
    itemjobs.commit_progress(table, commit_of_chain("second", 0, 2, ["c"]))
    rest = Attempt("j", 0, Outcome.COMPLETED, "c\nd", after=2, events=2, chain="second", base=0)
    itemjobs.record_attempts(table, RecordAttempts([rest]))
    assert (item.text, item.listed) == ("a\nb", False)
    itemjobs.commit_progress(table, commit_of_chain("first", 0, 2, ["c"]))
    itemjobs.commit_progress(table, commit_of_chain("third", 3, 3, ["d"]))
    assert item.text == "a\nb\nc\nd"
    itemjobs.commit_progress(table, commit_of_chain("first", 0, 4, ["e"]))
    assert item.text == "a\nb\nc\nd"


def test_commands_of_earlier_builds_are_judged_by_the_count_of_events_alone():
    """They name no chain; a leader of an earlier build must be able to complete items."""
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(), 0.0)
    itemjobs.commit_progress(table, commit_of_chain("first", 0, 0, ["a", "b"]))
    commit_progress(table, 0, 2, ["c"])
    record_attempt(table, 0, Outcome.COMPLETED, "wrong")
    assert listed_results(table) == []
    rest = Attempt("j", 0, Outcome.COMPLETED, "d", after=3, events=1)
    itemjobs.record_attempts(table, RecordAttempts([rest]))
    assert table.job_by_id["j"].results[0].text == "a\nb\nc\nd"


def test_run_times_of_completed_items_are_part_of_the_replicated_state():
    table = ItemJobTable()
    itemjobs.submit_job(table, submit_command(), 0.0)
    done = Attempt("j", 0, Outcome.COMPLETED, "a\nb", events=2, timing=RunTiming(2, 4.0, 2.0))
    itemjobs.record_attempts(table, RecordAttempts([done, done]))
    assert table.usual.events == 2
    assert table.usual.seconds == pytest.approx(INITIAL_RUN_SECONDS + RUN_WEIGHT * -1.0)
    assert table.usual.interrupted == pytest.approx(1.0 + RUN_WEIGHT * 0.5)
    restored = msgspec.msgpack.decode(msgspec.msgpack.encode(table), type=ItemJobTable)
    assert restored.usual == table.usual


def owned_job(name, workspace, items=1, cap=0):
    """Returns the command that submits a job of a workspace."""
    return msgspec.structs.replace(submit_command(name, items, cap), workspace=workspace)


def test_a_job_is_ended_and_resent_only_by_its_own_workspace():
    """Guards another workspace's access, and jobs from before workspaces were in force."""
    table = ItemJobTable()
    for name, workspace in (("of-a", "a"), ("before", None), ("public", "")):
        assert itemjobs.submit_job(table, owned_job(name, workspace), 0.0).accepted
    before = msgspec.msgpack.encode(table)
    for name, workspace in (("of-a", "b"), ("of-a", ""), ("public", "a")):
        refused = itemjobs.submit_job(table, owned_job(name, workspace, items=2), 1.0)
        assert refused.conflict and not refused.accepted and not refused.accepted_before
    assert not itemjobs.end_job(table, EndItemJob("of-a", "b")).ok
    assert not itemjobs.end_job(table, EndItemJob("of-a", "")).ok
    assert msgspec.msgpack.encode(table) == before
    for name, workspace in (("of-a", "a"), ("of-a", None), ("before", "b"), ("public", "")):
        assert itemjobs.submit_job(table, owned_job(name, workspace), 1.0).accepted_before
    visible = {
        (job.id, workspace)
        for job in table.job_by_id.values()
        for workspace in ("a", "b", "", None)
        if job.is_visible_to(workspace)
    }
    everyone = {(name, one) for name in ("before", "public") for one in ("a", "b", "", None)}
    assert visible == everyone | {("of-a", "a"), ("of-a", None)}
    assert itemjobs.end_job(table, EndItemJob("of-a", "a")).ok


def test_the_cap_counts_the_tokens_of_each_workspace_exactly():
    """Guards a workspace whose jobs fill the cap of another, and tokens that stay counted."""
    table = ItemJobTable()
    assert itemjobs.submit_job(table, owned_job("a1", "a", items=3, cap=40), 0.0).accepted
    assert not itemjobs.submit_job(table, owned_job("a2", "a", items=2, cap=40), 0.0).accepted
    assert itemjobs.submit_job(table, owned_job("a3", "a", cap=40), 0.0).accepted
    assert itemjobs.submit_job(table, owned_job("b1", "b", items=4, cap=40), 0.0).accepted
    assert table.waiting_tokens("r", "a") == table.waiting_tokens("r", "b") == 40
    # Callers without a workspace count by themselves where workspaces have filled the route.
    assert itemjobs.submit_job(table, owned_job("p", "", cap=10), 0.0).waiting == 10
    assert not itemjobs.submit_job(table, owned_job("q", "", cap=10), 0.0).accepted
    # Without workspaces in force, the cap is for all callers.
    assert not itemjobs.submit_job(table, owned_job("n", None, cap=90), 0.0).accepted
    assert itemjobs.submit_job(table, owned_job("n", None, cap=100), 0.0).waiting == 100
    record_attempt(table, 0, Outcome.COMPLETED, "t", name="a1")
    itemjobs.end_job(table, EndItemJob("a3", "a"))
    assert table.waiting_tokens("r", "a") == 20
    for name in ("a1", "b1", "n", "p"):
        itemjobs.end_job(table, EndItemJob(name))
    assert (table.waiting_by_route, table.waiting_by_workspace) == ({"r": 0}, {})
