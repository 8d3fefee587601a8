"""Item jobs: accepted once, listed at fixed positions, bounded in tokens and attempts."""

import msgspec
import pytest

from verbenashore import itemjobs
from verbenashore.itemjobs import (
    FIRST_RUN_SECONDS,
    RUN_WEIGHT,
    Attempt,
    EndItemJob,
    ItemJobBook,
    ItemSpec,
    KeepProgress,
    Outcome,
    ProgressPart,
    RecordAttempts,
    RunTiming,
    SubmitItemJob,
)


def job(name="j", items=3, cap=0, give_up_in=0.0, attempts=2):
    """Returns a job whose items have 10 tokens each."""
    specs = [ItemSpec(f"{name}-{n}", "/b/x", [], b"body %d" % n, 10) for n in range(items)]
    return SubmitItemJob(name, "r", "h", specs, 18.0, give_up_in, attempts, cap, 60.0)


def record(book, item, outcome, text="", name="j"):
    """Records one attempt."""
    itemjobs.record(book, RecordAttempts([Attempt(name, item, outcome, text)]))


def listed(book, name="j"):
    """Returns the results of a job as pairs."""
    return [(r.id, r.completed) for r in itemjobs.page(book.job_by_id[name], 0).results]


def test_a_resent_job_is_accepted_again_and_holds_its_tokens_once():
    book = ItemJobBook()
    assert itemjobs.submit(book, job(cap=30), 0.0).accepted
    again = itemjobs.submit(book, job(cap=30), 5.0)
    assert again.accepted and again.known and again.waiting == 30
    assert not itemjobs.submit(book, job("k", items=1, cap=30), 5.0).accepted


def test_tokens_are_free_again_once_items_are_listed_or_the_job_is_ended():
    book = ItemJobBook()
    itemjobs.submit(book, job(cap=30), 0.0)
    record(book, 1, Outcome.COMPLETED, "t")
    assert itemjobs.submit(book, job("k", items=1, cap=30), 1.0).accepted
    itemjobs.end(book, EndItemJob("j"))
    itemjobs.end(book, EndItemJob("j"))
    assert book.waiting_by_route["r"] == 10


def test_a_listed_item_keeps_its_position_and_content():
    book = ItemJobBook()
    itemjobs.submit(book, job(), 0.0)
    record(book, 2, Outcome.COMPLETED, "two")
    record(book, 2, Outcome.COMPLETED, "another run")
    record(book, 2, Outcome.IMPOSSIBLE)
    record(book, 0, Outcome.COMPLETED, "zero")
    page = itemjobs.page(book.job_by_id["j"], 0)
    assert [(r.id, r.text) for r in page.results] == [("j-2", "two"), ("j-0", "zero")]
    assert (page.total, page.next) == (3, 2)
    assert itemjobs.page(book.job_by_id["j"], 1).results == page.results[1:]


def test_an_item_is_given_up_only_after_its_attempts_or_when_it_is_impossible():
    book = ItemJobBook()
    itemjobs.submit(book, job(attempts=2), 0.0)
    record(book, 0, Outcome.FAILED)
    assert listed(book) == []
    record(book, 0, Outcome.FAILED)
    record(book, 1, Outcome.IMPOSSIBLE)
    assert listed(book) == [("j-0", False), ("j-1", False)]


@pytest.mark.parametrize(("now", "count"), [(29.9, 0), (30.0, 3)])
def test_items_are_given_up_when_their_time_is_over(now, count):
    book = ItemJobBook()
    itemjobs.submit(book, job(give_up_in=30.0), 0.0)
    assert itemjobs.has_expired(book, now) is (count > 0)
    itemjobs.expire(book, now)
    assert len(listed(book)) == count


def test_an_ended_job_keeps_what_is_listed_until_its_time_and_gives_no_bodies():
    book = ItemJobBook()
    itemjobs.submit(book, job(), 0.0)
    record(book, 0, Outcome.COMPLETED, "t")
    assert itemjobs.body_of(book.job_by_id["j"], "j-1") == b"body 1"
    itemjobs.end(book, EndItemJob("j"))
    assert itemjobs.body_of(book.job_by_id["j"], "j-1") is None
    itemjobs.expire(book, 59.0)
    assert listed(book) == [("j-0", True)]
    itemjobs.expire(book, 60.0)
    assert not book.job_by_id
    assert not itemjobs.end(book, EndItemJob("j")).ok


def test_a_page_is_bounded_but_never_empty_while_there_is_a_result(monkeypatch):
    monkeypatch.setattr(itemjobs, "PAGE_BYTES", 100)
    book = ItemJobBook()
    itemjobs.submit(book, job(), 0.0)
    for item in range(3):
        record(book, item, Outcome.COMPLETED, "x" * 80)
    assert itemjobs.page(book.job_by_id["j"], 0).next == 1
    assert itemjobs.page(book.job_by_id["j"], 2).next == 3


def keep(book, item, after, texts):
    """Keeps the progress of one item; its events are numbered from 1."""
    part = ProgressPart("j", item, after, texts, after + len(texts))
    itemjobs.keep(book, KeepProgress([part]))


def test_a_result_is_what_was_kept_and_the_rest_in_order():
    book = ItemJobBook()
    itemjobs.submit(book, job(), 0.0)
    keep(book, 0, 0, ["a", ""])
    keep(book, 0, 2, ["c"])
    state = book.job_by_id["j"].items[0]
    assert (state.events, state.last_event) == (3, 3)
    rest = Attempt("j", 0, Outcome.COMPLETED, "d\ne", after=3, events=2)
    itemjobs.record(book, RecordAttempts([rest]))
    keep(book, 1, 0, ["whole"])
    nothing_more = Attempt("j", 1, Outcome.COMPLETED, "", after=1)
    itemjobs.record(book, RecordAttempts([nothing_more]))
    texts = [result.text for result in itemjobs.page(book.job_by_id["j"], 0).results]
    assert texts == ["a\n\nc\nd\ne", "whole"]


def test_progress_that_does_not_follow_what_is_kept_changes_nothing():
    book = ItemJobBook()
    itemjobs.submit(book, job(), 0.0)
    keep(book, 0, 0, ["a", "b"])
    keep(book, 0, 0, ["a", "b"])
    keep(book, 0, 1, ["b"])
    keep(book, 0, 3, ["d"])
    assert book.job_by_id["j"].items[0].text == "a\nb"
    stale = Attempt("j", 0, Outcome.COMPLETED, "c", after=1, events=1)
    itemjobs.record(book, RecordAttempts([stale]))
    assert listed(book) == []


def test_an_ended_job_keeps_no_progress():
    book = ItemJobBook()
    itemjobs.submit(book, job(), 0.0)
    keep(book, 0, 0, ["a"])
    itemjobs.end(book, EndItemJob("j"))
    keep(book, 0, 1, ["b"])
    keep(book, 1, 0, ["a"])
    assert [item.text for item in book.job_by_id["j"].items] == ["", "", ""]
    rest = Attempt("j", 0, Outcome.COMPLETED, "b", after=1, events=1)
    itemjobs.record(book, RecordAttempts([rest]))
    assert listed(book) == [], "its beginning is forgotten"


def test_what_an_item_took_outlives_the_leader_that_ran_it():
    book = ItemJobBook()
    itemjobs.submit(book, job(), 0.0)
    done = Attempt("j", 0, Outcome.COMPLETED, "a\nb", events=2, timing=RunTiming(2, 4.0, 2.0))
    itemjobs.record(book, RecordAttempts([done, done]))
    assert book.usual.events == 2
    assert book.usual.seconds == pytest.approx(FIRST_RUN_SECONDS + RUN_WEIGHT * -1.0)
    assert book.usual.interrupted == pytest.approx(1.0 + RUN_WEIGHT * 0.5)
    restored = msgspec.msgpack.decode(msgspec.msgpack.encode(book), type=ItemJobBook)
    assert restored.usual == book.usual
