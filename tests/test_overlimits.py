"""Clients that exceed the limits, at every HTTP address of the processes of a deployment.

Each test checks that the process stays alive, that its memory and its descriptors stay within the
limits of its instance, and that it answers an ordinary request afterwards.
"""

import contextlib
import json

import pytest

from tests.crowds import Watcher, reading_slowly, request, run_crowd, sending
from tests.platforms import JOBS, LOOKUP, METRICS_PORT, STREAM, Platform, route, wait_until

#: The limits of the smallest instance.
MEMORY_MB, MAX_FDS = 128, 1638
#: What the configuration allows in a body, a head.
MAX_BODY_BYTES, MAX_HEADER_BYTES = 4 << 20, 16384
ENTRY, LEDGER = "entry-1", "ledger-2"
BLOCK = b"x" * (64 << 10)
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
CONFIGURATION_PATH = "/verbenashore/config"
USUAL_FIELDS = (
    "X-Verbenashore-Request-Id: crowd",
    "X-Verbenashore-Deadline-Ms: 5000",
    "X-Verbenashore-Model: m",
)
#: Instance, port offset (None for the metrics), and a path that is served there.  The metrics of a
#: ledger process are served by the same code as those of an entry.
ADDRESSES = {
    "callers": (ENTRY, 20, f"{LOOKUP}x"),
    "readiness": (ENTRY, 21, "/verbenashore/ready"),
    "metrics": (ENTRY, None, "/metrics"),
    "operators": (LEDGER, 22, CONFIGURATION_PATH),
}
every_address = pytest.mark.parametrize("where", ADDRESSES)
big_body_addresses = pytest.mark.parametrize("where", ["callers", "operators"])


@pytest.fixture
def platform(tmp_path):
    with Platform(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as running:
        for engine in running.engines:
            engine.slots = 64
        running.settle()
        yield running


def address_of(platform, where):
    name, offset, _ = ADDRESSES[where]
    if offset is None:
        return f"{platform.ip_by_name[name]}:{METRICS_PORT}"
    return platform.address(name, offset)


@contextlib.contextmanager
def within_limits(platform, where):
    """Checks the process at an address while a crowd is there, and that it answers afterwards."""
    name, _, path = ADDRESSES[where]
    process = platform.process_by_name[name]
    with Watcher(process.pid, platform.ip_by_name[name]) as watcher:
        yield
    memory_mb = watcher.memory_bytes / (1 << 20)
    print(f"{where}: {memory_mb:.1f} MB, {watcher.descriptors} descriptors")
    assert process.poll() is None
    if where == "callers":
        wait_until(lambda: platform.call(path, "afterwards", name)[0] == 200)
    else:
        wait_until(lambda: platform.ask(address_of(platform, where), "GET", path)[0] == 200)
    assert process.poll() is None
    assert memory_mb <= MEMORY_MB
    assert watcher.descriptors <= MAX_FDS


@every_address
def test_bodies_over_the_limit_with_a_declared_length(platform, where):
    address, path = address_of(platform, where), ADDRESSES[where][2]
    head = request(path, [*USUAL_FIELDS, f"Content-Length: {64 << 20}"])
    with within_limits(platform, where):
        run_crowd((address, 32, sending(head, BLOCK)))


@every_address
def test_bodies_over_the_limit_without_a_true_length(platform, where):
    address, path = address_of(platform, where), ADDRESSES[where][2]
    chunked = request(path, [*USUAL_FIELDS, "Transfer-Encoding: chunked"])
    too_short = request(path, [*USUAL_FIELDS, "Content-Length: 1000"])
    unknown = request("/no/route", ["Transfer-Encoding: chunked"])
    with within_limits(platform, where):
        run_crowd(
            (address, 16, sending(chunked, CHUNK)),
            (address, 8, sending(too_short, BLOCK)),
            (address, 16, sending(unknown, CHUNK)),
        )


@big_body_addresses
def test_bodies_within_the_limit_that_do_not_end(platform, where):
    """Each client keeps its limit, but all of them together exceed the memory."""
    address, path = address_of(platform, where), ADDRESSES[where][2]
    size = MAX_BODY_BYTES
    declared = request(path, [*USUAL_FIELDS, f"Content-Length: {size}"]) + b"x" * (size - 1)
    unknown = request("/no/route", [f"Content-Length: {size}"]) + b"x" * (size - 1)
    with within_limits(platform, where):
        run_crowd((address, 24, sending(declared)), (address, 24, sending(unknown)))


def test_large_jobs(platform):
    """A job is decoded, encoded for the ledger and sent there, so it is in memory several times."""
    document = {"id": "i", "path": STREAM, "headers": {}, "body": "A" * (3 << 20), "tokens": 1}
    body = json.dumps({"items": [document]}).encode()
    job = request(f"{JOBS}x", USUAL_FIELDS, body)
    with within_limits(platform, "callers"):
        run_crowd((address_of(platform, "callers"), 24, sending(job, job)))


PIPELINED = {
    "usual-headers": (f"{LOOKUP}x", USUAL_FIELDS, b"x"),
    "no-headers": (f"{LOOKUP}x", (), b"x"),
    "no-route": ("/no/route", USUAL_FIELDS, b""),
    "no-route-no-headers": ("/no/route", (), b""),
}


@pytest.mark.parametrize("kind", PIPELINED)
def test_pipelined_requests_whose_answers_are_not_read(platform, kind):
    requests = request(*PIPELINED[kind]) * 400
    with within_limits(platform, "callers"):
        run_crowd((address_of(platform, "callers"), 32, sending(requests, requests)))


@pytest.mark.parametrize("where", [name for name in ADDRESSES if name != "callers"])
def test_pipelined_requests_at_other_addresses(platform, where):
    known = request(ADDRESSES[where][2], method="GET") * 400
    unknown = request("/no/route", method="GET") * 400
    address = address_of(platform, where)
    with within_limits(platform, where):
        run_crowd(
            (address, 16, sending(known, known)),
            (address, 16, sending(unknown, unknown)),
        )


@every_address
def test_heads_and_trailers_without_end(platform, where):
    address, path = address_of(platform, where), ADDRESSES[where][2]
    chunked = request(path, ["Transfer-Encoding: chunked"])
    field = b"a-field: " + b"v" * 1000 + b"\r\n"
    with within_limits(platform, where):
        run_crowd(
            (address, 40, sending(b"POST ", b"/x" * (16 << 10))),
            (address, 40, sending(b"POST / HTTP/1.1\r\n", field * 16)),
            (address, 40, sending(chunked + b"0\r\n", field * 16)),
            (address, 40, sending(chunked + b"1;", b"extension" * 2000)),
            (address, 100, sending(b"POST / HTTP/1.1\r\n", b"a", 1.0)),
            (address, 100, sending(chunked + b"3e8\r\n", b"a", 1.0)),
        )


@every_address
def test_heads_of_many_short_fields_before_bodies_that_do_not_end(platform, where):
    path = ADDRESSES[where][2]
    fields = ["ab:c"] * ((MAX_HEADER_BYTES - 200) // len("ab:c\r\n"))
    head = request(path, [*fields, "Content-Length: 2"]) + b"x"
    with within_limits(platform, where):
        run_crowd((address_of(platform, where), 256, sending(head)))


@pytest.mark.parametrize("where", ["callers", "operators"])
def test_more_connections_than_descriptors(platform, where):
    """The crowd is at every address of the process, with and without a request."""
    name, _, _ = ADDRESSES[where]
    addresses = [address_of(platform, key) for key in ADDRESSES if ADDRESSES[key][0] == name]
    answered = request("/no/route", USUAL_FIELDS)
    count = 2000 // (2 * len(addresses))
    groups = [(address, count, sending(head)) for address in addresses for head in (b"", answered)]
    with within_limits(platform, where):
        run_crowd(*groups)


@big_body_addresses
def test_half_closed_connections(platform, where):
    address, path = address_of(platform, where), ADDRESSES[where][2]
    whole = request(path, USUAL_FIELDS, b"x")
    with within_limits(platform, where):
        run_crowd(
            (address, 200, sending(whole, half_closed=True)),
            (address, 200, sending(whole[:20], half_closed=True)),
            (address, 200, sending(request(path, ["Content-Length: 9"]), half_closed=True)),
        )


def test_slow_readers_of_long_answers(platform):
    """The stand-in engine echoes the body, so each answer has the longest permitted length."""
    body = b"x" * (MAX_BODY_BYTES - 16)
    with within_limits(platform, "callers"):
        run_crowd(
            (
                address_of(platform, "callers"),
                24,
                reading_slowly(request(f"{LOOKUP}x", USUAL_FIELDS, body)),
            )
        )


def test_slow_readers_of_a_long_configuration(platform):
    routes = [route(f"r-{n}", f"/r/{n}/", "streaming") for n in range(4000)]
    platform.configure(6, [*routes, route("lookup", LOOKUP, "idempotent", "forms")])
    with within_limits(platform, "operators"):
        run_crowd(
            (
                address_of(platform, "operators"),
                96,
                reading_slowly(request(CONFIGURATION_PATH, method="GET")),
            )
        )
