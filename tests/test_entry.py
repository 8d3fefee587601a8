"""End-to-end tests: callers, entry, agents, ledger and engines as separate processes."""

import json
import socket
import threading

import pytest

from lab.fleet import OPERATOR_KEY, Fleet
from lab.traffic import collect_stream
from tests.fleets import MODEL, Streams, chat, expected
from verbenashore.exceptions import BackendError
from verbenashore.remote import RemoteError


@pytest.fixture(scope="module")
def fleet():
    """A running fleet with the deployment of ``association.toml``."""
    with Fleet("association.toml") as running:
        yield running


def test_a_streamed_answer_is_complete(fleet):
    entry = fleet.address_by_name["entry-1"]
    text = collect_stream(entry, "depots-key", chat("hello", 7, stream=True))
    assert text == expected("hello", 7)


def test_a_result_is_readable_by_its_own_workspace_only(fleet):
    depots = fleet.client("depots-key")
    answer = depots.request_json("POST", "/v1/chat/completions", chat("read me", 3))
    result = depots.result(answer["id"])
    assert json.loads(result["body"]) == answer
    with pytest.raises(RemoteError) as refused:
        fleet.client("mills-key").result(answer["id"])
    assert refused.value.code == "not_found"


def test_token_counts_are_reported_to_the_caller(fleet):
    answer = fleet.client("depots-key").request_json(
        "POST", "/v1/chat/completions", chat("x" * 40, 3)
    )
    assert answer["usage"]["completion_tokens"] == 3
    assert answer["usage"]["prompt_tokens"] == len("user: " + "x" * 40) // 4 + 1


def refusal(ask):
    """Returns the typed error that a call raises."""
    with pytest.raises(RemoteError) as refused:
        ask()
    return refused.value


@pytest.mark.parametrize(
    ("document", "field"),
    [
        ({}, "model"),
        ({"model": MODEL}, "messages"),
        ({"model": MODEL, "messages": [{"role": 1}]}, "messages[0].role"),
        (chat("x", 0), "max_tokens"),
        (chat("x", 1, n=2), "n"),
        (chat("x", 1, tools=[{}]), "tools"),
    ],
)
def test_an_invalid_field_is_named_in_the_error(fleet, document, field):
    depots = fleet.client("depots-key")
    error = refusal(lambda: depots.request_json("POST", "/v1/chat/completions", document))
    assert (error.code, error.field, error.not_run) == ("bad_request", field, True)


def test_an_unknown_model_key_or_path_gets_a_typed_error(fleet):
    depots = fleet.client("depots-key")
    unknown = chat("x", 1) | {"model": "other"}
    ask = depots.request_json
    assert refusal(lambda: ask("POST", "/v1/chat/completions", unknown)).code == "not_found"
    assert refusal(lambda: ask("GET", "/v1/nothing")).code == "not_found"
    assert refusal(lambda: ask("GET", "/v1/results/req-9.x")).code == "bad_request"
    unknown_client = fleet.client("wrong-key")
    assert refusal(lambda: unknown_client.request_json("GET", "/v1/models")).code == "unauthorized"
    assert refusal(lambda: depots.status()).code == "unauthorized"


def send_raw(fleet, data, seconds=20.0):
    """Sends bytes and returns the response; stops at the first typed error."""
    host, _, port = fleet.address_by_name["entry-1"].rpartition(":")
    with socket.create_connection((host, int(port)), seconds) as connection:
        connection.sendall(data)
        parts = []
        while part := connection.recv(65536):
            parts.append(part)
            if b'"not_run"' in part:
                break
    return b"".join(parts)


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (b"GET / HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n", b"400", b"bad_request"),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 40_000, b"413", b"too_large"),
        (
            b"POST /v1/files HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n",
            b"413",
            b"too_large",
        ),
        (b"nonsense\r\n\r\n", b"400", b"bad_request"),
    ],
)
def test_a_malformed_message_gets_a_typed_error(fleet, data, status, code):
    answer = send_raw(fleet, data)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert b'"code":"' + code + b'"' in answer


def test_slow_clients_time_out_without_affecting_others(fleet):
    host, _, port = fleet.address_by_name["entry-1"].rpartition(":")
    idle = [socket.create_connection((host, int(port)), 20) for _ in range(50)]
    for connection in idle:
        connection.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n")
    entry = fleet.address_by_name["entry-1"]
    assert collect_stream(entry, "depots-key", chat("others", 3, stream=True))
    answers = [connection.recv(65536) for connection in idle]
    assert all(answer.startswith(b"HTTP/1.1 408") for answer in answers)
    for connection in idle:
        connection.close()


def test_the_same_key_gives_the_same_answer_streamed_or_whole(fleet):
    entry = fleet.address_by_name["entry-1"]
    headers = {"idempotency-key": "same"}
    document = chat("once", 4, stream=True)
    first = collect_stream(entry, "depots-key", document, headers)
    repeated = collect_stream(entry, "depots-key", document, headers)
    assert first == repeated == expected("once", 4)
    whole = fleet.client("depots-key").request_json(
        "POST", "/v1/chat/completions", chat("once", 4), headers
    )
    assert whole["choices"][0]["message"]["content"] == first


def test_a_disconnected_caller_can_retry_with_the_same_key(fleet):
    host, _, port = fleet.address_by_name["entry-1"].rpartition(":")
    body = json.dumps(chat("gone", 40, stream=True)).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer depots-key\r\n"
        f"idempotency-key: gone\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), 10) as connection:
        connection.sendall(head.encode() + body)
        connection.recv(100)
    headers = {"idempotency-key": "gone"}
    entry = fleet.address_by_name["entry-1"]
    text = collect_stream(entry, "depots-key", chat("gone", 40, stream=True), headers)
    assert text == expected("gone", 40)


def test_every_error_of_an_invalid_deployment_file_is_reported(fleet):
    text = fleet.text.replace("slots = 16", "slots = 0", 1) + "\n[nonsense]\nx = 1\n"
    error = refusal(lambda: fleet.client(OPERATOR_KEY).apply(text, 1, "bad", "me"))
    assert error.code == "bad_deployment"
    assert "nonsense: unknown key" in error.message
    assert "backend[0].slots" in error.message


def test_the_reason_of_an_engines_refusal_is_returned_to_the_caller(fleet):
    depots = fleet.client("depots-key")
    ask = depots.request_json
    error = refusal(lambda: ask("POST", "/v1/chat/completions", chat("long", 100_000)))
    assert (error.code, error.not_run) == ("backend_refused", True)
    assert "context is too long" in error.message


def test_a_retry_after_a_silent_caller_link_gets_the_whole_answer(fleet):
    relay = fleet.start_relay("entry-1")
    headers = {"idempotency-key": "silent"}
    document = chat("silent", 60, stream=True)
    errors = []

    def ask():
        try:
            collect_stream(relay, "depots-key", document, headers, seconds=1.5)
        except BackendError as error:
            errors.append(error)

    caller = threading.Thread(target=ask)
    caller.start()
    threading.Event().wait(0.6)
    fleet.tell_relay("entry-1", "silence")
    caller.join()
    assert errors and not errors[0].not_run
    text = collect_stream(relay, "depots-key", document, headers)
    assert text == expected("silent", 60)


def test_a_stopping_entry_finishes_its_streams(fleet):
    with Streams(fleet, callers=6, tokens=60) as streams:
        threading.Event().wait(0.5)
        code = fleet.terminate("entry-1")
        streams.stop()
    fleet.restart("entry-1")
    assert code == 0 and streams.right >= 6
    assert not streams.wrong
