"""Which calls are the same request."""

import pytest

from verbenashore.fingerprints import HEAD_BYTES, WHOLE_BYTES, Identity, head_of, log_name

FIELDS = {
    "method": "POST",
    "host": "h",
    "target": "/credit/5?full=1",
    "workspace": "w",
    "headers": [(b"Authorization", b"key"), (b"X-Id", b"1")],
    "body": b"body",
}


def fingerprint(**changes):
    """Returns the fingerprint of a call, with some fields changed."""
    return Identity(**(FIELDS | changes)).fingerprint()


def test_attempts_that_differ_in_other_headers_are_the_same_request():
    assert fingerprint(headers=[(b"x-id", b"2"), (b"authorization", b"key")]) == fingerprint()


@pytest.mark.parametrize(
    "change",
    [
        {"method": "GET"},
        {"host": "g"},
        {"target": "/credit/5"},
        {"workspace": "v"},
        {"workspace": None},
        {"headers": [(b"authorization", b"other")]},
        {"body": b""},
        {"body": b"x" * (4 << 20)},
        {"host": "h/credit", "target": "/5?full=1"},
    ],
)
def test_calls_that_differ_in_what_is_asked_or_by_whom_are_different_requests(change):
    assert fingerprint(**change) != fingerprint()


def test_a_fingerprint_is_short_and_its_head_does_not_depend_on_the_body():
    whole, other = fingerprint(), fingerprint(body=b"other")
    assert len(whole) == HEAD_BYTES + WHOLE_BYTES and head_of(whole) == head_of(other)
    assert log_name(whole) != log_name(other)
    identity = Identity(**FIELDS)
    assert identity.fingerprint_among({head_of(whole)}) == whole
    assert identity.fingerprint_among({b"else"}) is None
