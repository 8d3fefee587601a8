"""The whole path: callers, entry, agents, ledger and engines as separate processes."""

import json

import pytest

from lab.fleet import Fleet
from lab.traffic import collect_stream
from standins import batching
from verbenashore.remote import RemoteError

MODEL = "notes-7b"


@pytest.fixture(scope="module")
def fleet():
    """The association's deployment of today."""
    with Fleet("association.toml") as running:
        yield running


def chat(prompt, tokens, **options):
    """Returns a chat request."""
    messages = [{"role": "user", "content": prompt}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, **options}


def test_a_streamed_answer_comes_whole(fleet):
    entry = fleet.address_by_name["entry-1"]
    text = collect_stream(entry, "depots-key", chat("hello", 7, stream=True))
    assert text == batching.expected_answer("user: hello", 7)


def test_an_answer_stays_readable_by_its_own_workspace_only(fleet):
    depots = fleet.client("depots-key")
    answer = depots.ask_json("POST", "/v1/chat/completions", chat("read me", 3))
    kept = depots.result(answer["id"])
    assert json.loads(kept["body"]) == answer
    with pytest.raises(RemoteError) as refused:
        fleet.client("mills-key").result(answer["id"])
    assert refused.value.code == "not_found"


def test_token_counts_are_passed_on(fleet):
    answer = fleet.client("depots-key").ask_json("POST", "/v1/chat/completions", chat("x" * 40, 3))
    assert answer["usage"]["completion_tokens"] == 3
    assert answer["usage"]["prompt_tokens"] == len("user: " + "x" * 40) // 4 + 1
