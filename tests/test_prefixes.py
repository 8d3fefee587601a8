"""Which server probably has a prompt cached, and what that changes in the choice of a server."""

import sys
from collections import Counter
from types import MemberDescriptorType

from tests.test_dispatch import make_dispatcher, make_servers, make_ticket
from verbenashore import prefixes
from verbenashore.dispatch import FailureKind
from verbenashore.loadtable import MAX_TOKENS, Load, LoadTable, Report
from verbenashore.prefixes import (
    CACHE_SECONDS,
    MAX_PROMPT_SEGMENTS,
    MAX_SEGMENTS,
    MAX_SERVERS,
    PromptSize,
    SentPrefixes,
)


def size(*segments, tokens=200):
    """Returns the size of a prompt of some segments."""
    return PromptSize(segments, (tokens,) * len(segments), tokens * len(segments), 100)


def test_a_server_has_the_segments_cached_that_were_sent_there():
    sent = SentPrefixes()
    sent.record(size("a", "b"), "s0", 0.0)
    sent.record(size("a", "x"), "s1", 0.0)
    assert sent.cached_tokens(size("a", "b", "c"), 1.0) == {"s0": 400, "s1": 200}
    assert sent.cached_tokens(size("b"), 1.0) == {}, "the segments before it differ"


def test_segments_that_were_not_sent_again_count_no_longer():
    sent = SentPrefixes()
    sent.record(size("a"), "s0", 0.0)
    assert sent.cached_tokens(size("a"), CACHE_SECONDS + 0.1) == {}


def test_the_size_of_a_prompt_of_many_segments_is_bounded_and_computed_once():
    """Guards against callers whose segments are summed at each attempt to place a call."""
    large = PromptSize(("a",) * 4000, (200,) * 4000, 100, 50)
    assert large.tokens == 4000 * 200 + 50
    assert len(large.segments) == len(large.segment_tokens) == MAX_PROMPT_SEGMENTS
    assert isinstance(PromptSize.tokens, MemberDescriptorType), "a field, not a sum"


def test_stated_tokens_of_many_calls_stay_within_the_bounds_of_a_report():
    """Guards the tokens of a server's other calls, which don't count if a report is invalid."""
    most = PromptSize(prompt=999_999_999, output=999_999_999).tokens
    assert 64 * most <= MAX_TOKENS


def test_a_server_that_restarts_under_its_name_has_nothing_cached():
    dispatcher = make_dispatcher(make_servers(2))
    dispatcher.prefixes.record(size("a"), "s0", 1.0)
    dispatcher.record_failure("s0", FailureKind.BROKEN, 2.0)
    assert dispatcher.prefixes.cached_tokens(size("a"), 3.0) == {}
    dispatcher.prefixes.record(size("a"), "s0", 4.0)
    assert dispatcher.prefixes.cached_tokens(size("a"), 5.0) == {"s0": 200}
    dispatcher.forget(["s0"])
    assert dispatcher.prefixes.cached_tokens(size("a"), 5.0) == {}


def test_reported_servers_that_are_not_listed_take_no_memory():
    """Guards against reports of ever new names."""
    dispatcher = make_dispatcher(make_servers(1))
    for name in ("s0", "unlisted"):
        dispatcher.record_failure(name, FailureKind.REPORTED, 1.0)
    assert dispatcher.prefixes._valid_since == {"s0": 1.0}


def test_memory_is_bounded_and_the_least_recent_segments_go_first(monkeypatch):
    monkeypatch.setattr(prefixes, "MAX_SEGMENTS", 100)
    sent = SentPrefixes()
    for number in range(1000):
        sent.record(size("shared", f"own-{number}"), f"s{number % 40}", 0.0)
    assert len(sent._sent_at_by_key) == 100
    assert len(sent.cached_tokens(size("shared"), 0.0)) == MAX_SERVERS
    assert sent.cached_tokens(size("shared", "own-999"), 0.0)["s39"] == 400


def test_what_a_member_remembers_takes_a_few_megabytes():
    sent = SentPrefixes()
    for number in range(MAX_SEGMENTS):
        sent.record(size(f"own-{number}"), "s0", 0.0)
    assert sum(sys.getsizeof(servers) for servers in sent._sent_at_by_key.values()) < 8 << 20


def placed(dispatcher, prompt, count=200):
    """Returns how often each server is chosen for a prompt."""
    tickets = [make_ticket(str(n), 0.0, size=prompt) for n in range(count)]
    return Counter(dispatcher.choose(ticket, 0.0).name for ticket in tickets)


def test_the_next_request_of_a_session_goes_where_its_prompt_is_cached():
    dispatcher = make_dispatcher(make_servers(6, slots=8))
    dispatcher.prefixes.record(size("shared", "session"), "s3", 0.0)
    assert placed(dispatcher, size("shared", "session")) == {"s3": 200}
    ticket = make_ticket("a", 0.0, size=size("shared", "session"))
    dispatcher.choose(ticket, 0.0)
    assert ticket.estimate.log_fields()["saved_ms"] == 8.0


def test_a_session_goes_elsewhere_if_its_server_is_busy():
    """Guards against a hot segment that keeps all its calls at one server."""
    table = LoadTable()
    table.record_report(Report("other", "i", 1, {"s3": Load(6)}), 0.0)
    dispatcher = make_dispatcher(make_servers(6, slots=8), table)
    dispatcher.prefixes.record(size("shared", "session"), "s3", 0.0)
    assert "s3" not in placed(dispatcher, size("shared", "session"))


def test_a_hot_prompt_spreads_over_the_servers():
    dispatcher = make_dispatcher(make_servers(6, slots=8))
    hot = size("shared", "hot")
    for number in range(24):
        ticket = make_ticket(str(number), 0.0, size=hot)
        server = dispatcher.request(ticket, 0.0).server
        dispatcher.prefixes.record(hot, server.name, 0.0)
    loads = [dispatcher._load_table.total(f"s{n}").online for n in range(6)]
    assert max(loads) <= 6 and min(loads) >= 2


def test_a_cached_prompt_does_not_outweigh_an_excluded_or_full_server():
    table = LoadTable()
    table.record_report(Report("other", "i", 1, {"s0": Load(8)}), 0.0)
    dispatcher = make_dispatcher(make_servers(3, slots=8), table)
    prompt = size("a", tokens=20_000)
    dispatcher.prefixes.record(prompt, "s0", 0.0)
    dispatcher.prefixes.record(prompt, "s1", 0.0)
    ticket = make_ticket("a", 0.0, size=prompt, excluded={"s1"})
    assert dispatcher.choose(ticket, 0.0).name == "s2"
