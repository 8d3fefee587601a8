"""Requests that crash the backend servers of agents, on real processes."""

import pytest

from lab.fleet import Fleet, wait_until
from tests.fleets import CHAT, Streams, chat, expected
from verbenashore.remote import RemoteError

ACCOUNTS = "/v1/services/credits/accounts/"


@pytest.fixture
def fleet():
    """A running fleet with the deployment of ``association.toml``."""
    with Fleet("association.toml") as running:
        yield running


def failures(client, method, path, documents, headers=None):
    """Returns the errors of calls that follow each other."""
    errors = []
    for document in documents:
        with pytest.raises(RemoteError) as failed:
            client.request_json(method, path, document, headers or {})
        errors.append(failed.value)
    return errors


def codes(errors):
    """Returns the codes of errors, and whether each states that nothing was run."""
    return [(error.code, error.not_run) for error in errors]


def test_a_completion_that_crashes_engines_reaches_two_of_them(fleet):
    """Guards against one request that takes an engine with each of its retries."""
    depots = fleet.client("depots-key")
    whole, streamed = chat("deadly", 5), chat("deadly", 5, stream=True)
    key = {"idempotency-key": "deadly"}
    with Streams(fleet) as streams:
        errors = failures(depots, "POST", CHAT, [whole, streamed], key)
        errors += failures(depots, "POST", CHAT, [streamed, whole])
    assert len(fleet.ended()) == 2
    assert codes(errors) == [("unavailable", False)] * 2 + [("request_held", True)] * 2
    assert not streams.wrong and streams.right
    answer = depots.request_json("POST", CHAT, chat("sound", 5))
    assert answer["choices"][0]["message"]["content"] == expected("sound", 5)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_service_call_that_crashes_servers_reaches_two_of_them(fleet, method):
    """Guards against one call that takes a plain service with each of its retries."""
    cleaners = fleet.client("cleaners-key")
    sound = {"account": "7", "credit": 0}
    wait_until(lambda: cleaners.request_json("GET", ACCOUNTS + "7") == sound, 10, "an answer")
    errors = failures(cleaners, method, ACCOUNTS + "deadly", [{"amount": 1}] * 8)
    assert len(fleet.ended()) == 2
    assert codes(errors)[-4:] == [("request_held", True)] * 4
    assert errors[0].code == ("unavailable" if method == "GET" else "outcome_unknown")
    assert not errors[0].not_run
    assert cleaners.request_json("GET", ACCOUNTS + "7") == sound
