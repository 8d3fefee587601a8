"""The batch interface, called by an unmodified OpenAI client and by ``verbena``'s own client."""

import json

import openai
import pytest

from lab.fleet import Fleet, wait_until
from tests.fleets import CHAT, MODEL, batch_file, expected, right_outcomes
from verbenashore.remote import RemoteError


@pytest.fixture(scope="module")
def fleet():
    """The deployment of association.toml."""
    with Fleet("association.toml") as running:
        yield running


@pytest.fixture
def client(fleet):
    """An unmodified OpenAI client."""
    base = f"http://{fleet.address_by_name['entry-1']}/v1"
    return openai.OpenAI(api_key="mills-key", base_url=base)


def test_an_openai_client_chats_and_streams(client):
    messages = [{"role": "user", "content": "hello"}]
    completion = client.chat.completions.create(model=MODEL, messages=messages, max_tokens=5)
    assert completion.choices[0].message.content == expected("hello", 5)
    assert completion.usage.completion_tokens == 5
    parts = client.chat.completions.create(
        model=MODEL,
        messages=messages,
        max_tokens=5,
        stream=True,
        stream_options={"include_usage": True},
    )
    parts = list(parts)
    text = "".join(part.choices[0].delta.content or "" for part in parts if part.choices)
    assert text == expected("hello", 5)
    assert parts[-1].usage.completion_tokens == 5


def test_an_openai_client_runs_a_batch(client):
    file = client.files.create(file=("in.jsonl", batch_file(20)), purpose="batch")
    batch = client.batches.create(
        input_file_id=file.id, endpoint=CHAT, completion_window="24h", metadata={"name": "x"}
    )
    ended = wait_until(
        lambda: (b := client.batches.retrieve(batch.id)).status == "completed" and b,
        20,
        "the batch completes",
    )
    assert ended.request_counts.completed == 20
    lines = client.files.content(ended.output_file_id).text.splitlines()
    text_by_custom_id = {
        line["custom_id"]: line["response"]["body"]["choices"][0]["message"]["content"]
        for line in map(json.loads, lines)
    }
    assert text_by_custom_id == right_outcomes(20)
    assert batch.id in [listed.id for listed in client.batches.list()]
    assert client.files.retrieve(file.id).filename == "in.jsonl"
    assert client.files.content(file.id).content == batch_file(20)


def test_a_resent_batch_returns_the_first_job(fleet):
    mills = fleet.client("mills-key")
    first = mills.submit(batch_file(3, prefix="again"), "a.jsonl", CHAT, "24h")
    again = mills.submit(batch_file(3, prefix="again"), "a.jsonl", CHAT, "24h")
    assert again["id"] == first["id"]
    other = mills.submit(batch_file(4, prefix="again"), "a.jsonl", CHAT, "24h")
    assert other["id"] != first["id"]


def test_invalid_items_fail_without_the_rest_of_the_batch(fleet):
    mills = fleet.client("mills-key")
    lines = batch_file(6, prefix="some").decode().splitlines()
    lines[1] = lines[1].replace(MODEL, "no-such-model")
    lines[4] = lines[4].replace('"max_tokens": 20', '"max_tokens": 100000')
    batch = mills.submit("\n".join(lines).encode(), "s.jsonl", CHAT, "24h")
    ended = mills.wait(batch["id"], 20)
    assert ended["request_counts"] == {"total": 6, "completed": 4, "failed": 2}
    failed = [json.loads(line) for line in mills.content(ended["error_file_id"]).splitlines()]
    assert [line["custom_id"] for line in failed] == ["some-1", "some-4"]
    assert all(line["error"]["message"] for line in failed)


@pytest.mark.parametrize(
    ("content", "field"),
    [
        (b"not json", "line 1"),
        (batch_file(2) + b"\n" + batch_file(1), "line 3: custom_id"),
        (batch_file(1).replace(b"/v1/chat/completions", b"/v1/other"), "line 1: url"),
        (b"", "input_file_id"),
    ],
)
def test_a_malformed_file_is_refused_as_a_whole_with_the_invalid_line(fleet, content, field):
    with pytest.raises(RemoteError) as refused:
        fleet.client("mills-key").submit(content, "bad.jsonl", CHAT, "24h")
    assert (refused.value.code, refused.value.field) == ("bad_request", field)
    assert refused.value.not_run


def test_another_workspace_sees_neither_batch_nor_file(fleet):
    mills = fleet.client("mills-key")
    batch = mills.submit(batch_file(2, prefix="mine"), "m.jsonl", CHAT, "24h")
    depots = fleet.client("depots-key")
    for send_request in (
        lambda: depots.batch(batch["id"]),
        lambda: depots.cancel(batch["id"]),
        lambda: depots.content(batch["input_file_id"]),
        lambda: depots.content(f"file-{batch['id']}-output"),
    ):
        with pytest.raises(RemoteError) as refused:
            send_request()
        assert refused.value.code == "not_found"
    assert depots.request_json("GET", "/v1/batches")["data"] == []
