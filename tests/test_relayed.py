"""Relayed calls to servers that stall or are behind a slow line: what is done and logged."""

import asyncio
import contextlib
import re
import socket
import struct
import time

import pytest

from standins.relay import Line
from tests.gateways import gateway
from tests.platforms import wire
from tests.slowlines import BYTES_PER_SECOND, start_slow_relay
from verbenashore import backendcall, logs
from verbenashore.backendcall import Call
from verbenashore.directory import BackendEntry
from verbenashore.exceptions import DeadlineError, OutcomeUnknownError, VerbenaError
from verbenashore.gateway import MAX_REFUSALS
from verbenashore.loadtable import Load, Report
from verbenashore.logs import Event
from verbenashore.routing import Route, RouteKind, Share

CALLER_TIMEOUT = 0.4


class FakeResponder:
    """Discards the answer to one call."""

    started = False

    async def start_stream_with_headers(self, _status, _headers):
        """Notes that the answer has begun."""
        self.started = True

    async def send_with_headers(self, _status, _headers, _body):
        """Discards a whole answer."""

    async def send_chunk(self, _data):
        """Discards a part of the answer."""


def stalling_server(sent):
    """Returns a backend server's handler that sends some bytes after 0.1 s and then stalls."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.write(sent)
        await writer.drain()
        await reader.read()
        writer.close()

    return answer


async def relay_unanswered_call(kind, sent, cancel_after, full=False):
    """Relays a call that gets no complete answer.

    :param kind: of the route.
    :param sent: what the backend server sends before it stalls.
    :param cancel_after: seconds after which the caller disconnects, or None.
    :param full: true if the only slot of the server is taken.
    """
    listener = await asyncio.start_server(stalling_server(sent), "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    route = Route("r", "h", "/l/", kind, 5.0, 5.0, (Share("s", 1),))
    async with gateway() as entry:
        server = BackendEntry("b", "s", f"{host}:{port}", "d", 1, False)
        entry._list_updater.install([server], entry._clock())
        if full:
            entry._load_table.add("b", online=2)
            entry._dispatcher.release(server, 0.01)
        call = Call("c", "h", "GET", "/l/x", "/l/x", [], b"", CALLER_TIMEOUT)
        relayed = asyncio.create_task(entry.relay(call, route, FakeResponder()))
        if cancel_after is not None:
            await asyncio.sleep(cancel_after)
            relayed.cancel()
        expected = asyncio.CancelledError if cancel_after is not None else DeadlineError
        with pytest.raises((expected, ConnectionResetError)):
            await relayed
    listener.close()


@pytest.fixture
def unanswered_events(monkeypatch):
    """Collects the logged events of calls that were not answered, with their fields."""
    events = []

    def record_event(event, **fields):
        if event in (Event.CALL_FAILED, Event.CALL_CANCELLED):
            events.append((event, fields))

    monkeypatch.setattr(logs, "info", record_event)
    monkeypatch.setattr(logs, "warning", record_event)
    return events


HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)


@pytest.mark.parametrize(
    ("kind", "sent", "step", "received"),
    [
        (RouteKind.ONCE, b"", "head", False),
        (RouteKind.ONCE, HEAD, "body", True),
        (RouteKind.STREAM, HEAD + CHUNK, "events", True),
    ],
    ids=["silent", "whole", "stream"],
)
def test_a_call_that_times_out_logs_its_server_and_step(
    unanswered_events, kind, sent, step, received
):
    asyncio.run(relay_unanswered_call(kind, sent, None))
    ((event, fields),) = unanswered_events
    assert (event, fields["outcome"]) == (Event.CALL_FAILED, "deadline")
    assert (fields["server"], fields["step"]) == ("b", step)
    if received:
        assert 0.1 < fields["heard_age"] < CALLER_TIMEOUT
        assert fields["step_age"] == pytest.approx(fields["heard_age"], abs=0.05)
    else:
        assert fields["heard_age"] is None and fields["step_age"] > CALLER_TIMEOUT - 0.1


def test_a_call_cancelled_in_the_queue_logs_no_server(unanswered_events):
    asyncio.run(relay_unanswered_call(RouteKind.STREAM, b"", 0.1, full=True))
    ((event, fields),) = unanswered_events
    assert event is Event.CALL_CANCELLED
    assert (fields["server"], fields["step"], fields["heard_age"]) == ("", "queued", None)


def test_a_call_cancelled_before_the_connection_is_open_logs_the_connect_step(
    unanswered_events, monkeypatch
):
    open_connection = asyncio.open_connection

    async def open_slowly(*address):
        await asyncio.sleep(1.0)
        return await open_connection(*address)

    monkeypatch.setattr(asyncio, "open_connection", open_slowly)
    monkeypatch.setattr(backendcall, "CONNECT_TIMEOUT_SECONDS", 5.0)
    asyncio.run(relay_unanswered_call(RouteKind.STREAM, b"", 0.1))
    ((event, fields),) = unanswered_events
    assert event is Event.CALL_CANCELLED
    assert (fields["server"], fields["step"]) == ("b", "connect")


async def count_servers_of_upload(size):
    """Relays a call with a body of some bytes over a slow line; returns how often it arrived."""
    heads = []

    async def answer(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        heads.append(head)
        await reader.readexactly(size)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        await writer.drain()
        writer.close()

    backend = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = backend.sockets[0].getsockname()
    relay, address = await start_slow_relay(
        f"{host}:{port}", Line(BYTES_PER_SECOND), Line(BYTES_PER_SECOND)
    )
    route = Route("r", "h", "/l/", RouteKind.REPEATABLE, 5.0, 0.5, (Share("s", 1),), max_attempts=2)
    async with gateway() as entry:
        servers = [BackendEntry(f"b{n}", "s", address, "d", 4, False) for n in range(2)]
        entry._list_updater.install(servers, entry._clock())
        call = Call("c", "h", "POST", "/l/x", "/l/x", [], b"x" * size, 5.0)
        await entry.relay(call, route, FakeResponder())
    backend.close()
    relay.close()
    return len(heads)


@pytest.mark.parametrize("size", [1_000, 400_000])
def test_a_call_with_a_long_body_is_not_moved_to_another_server_while_it_is_sent(size):
    assert asyncio.run(count_servers_of_upload(size)) == 1


async def relay_past_replaced_servers(count, kind):
    """Relays calls while the servers nearby are replaced by others; returns their answers."""
    heads = []

    def answer(head):
        async def serve(reader, writer):
            request = await reader.readuntil(b"\r\n\r\n")
            call = re.search(rb"(?i)request-id: *(\S+)", request)[1]
            heads.append(head)
            writer.write(b"HTTP/1.1 " + head + b"\r\nX-Verbenashore-Request-Id: " + call + b"\r\n")
            writer.write(b"content-length: 0\r\nconnection: close\r\n\r\n")
            await writer.drain()
            writer.close()

        return serve

    refusal = b"X-Verbenashore-Instance-Id: new\r\nX-Verbenashore-Not-Executed: 1"
    other = await asyncio.start_server(answer(b"421 Other\r\n" + refusal), "127.0.0.1", 0)
    far = await asyncio.start_server(answer(b"200 OK"), "127.0.0.1", 0)
    addresses = [":".join(map(str, one.sockets[0].getsockname())) for one in (other, far)]
    route = Route("r", "h", "/l/", kind, 5.0, 5.0, (Share("s", 1),))
    async with gateway() as entry:
        entry._dialect = wire.DIALECT
        servers = [BackendEntry(f"b{n}", "s", addresses[0], "d", 4, False) for n in range(count)]
        servers.append(BackendEntry("far", "s", addresses[1], "other", 4, False))
        entry._list_updater.install(servers, entry._clock())
        for n in range(3):
            call = Call(f"c{n}", "h", "GET", "/l/x", "/l/x", [], b"", 5.0)
            await entry.relay(call, route, FakeResponder())
    other.close()
    far.close()
    return [head.partition(b" ")[0] for head in heads]


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.REPEATABLE])
def test_a_call_passes_any_number_of_replaced_servers_and_later_ones_pass_none(kind):
    """Guards calls that got a 502 or 503 after five servers that are no longer there."""
    count = MAX_REFUSALS + 3
    answers = asyncio.run(relay_past_replaced_servers(count, kind))
    assert answers == [b"421"] * count + [b"200"] * 3


class RecordingResponder:
    """Keeps what the caller of one call gets."""

    def __init__(self):
        self.started = self.ended = False
        self.status = None
        self.body = b""

    async def start_stream_with_headers(self, status, _headers):
        """Keeps the status of a stream."""
        self.started, self.status = True, status

    async def send_with_headers(self, status, _headers, body):
        """Keeps a whole answer."""
        self.started = self.ended = True
        self.status, self.body = status, body

    async def send_chunk(self, data):
        """Keeps a part of a stream."""
        self.body += data

    async def end_stream(self):
        """Notes that the stream is complete."""
        self.ended = True


def reset(writer):
    """Makes the kernel end a connection with a reset."""
    no_linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


async def relay_call(route, answers, end, method="GET"):
    """Relays a call to servers that send the given answers, one each, and close the connection.

    Returns the responder, the last event that each server was told, and the error of the call.

    :param end: closes a connection, given its writer.
    """
    told = []

    async def serve(reader, writer):
        with contextlib.closing(writer):
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                return  # The connection only tells whether the server has crashed.
            number = re.search(rb"(?i)last-event-id: *(\d+)", head)
            told.append(int(number[1]) if number else None)
            writer.write(answers[len(told) - 1])
            await writer.drain()
            end(writer)
            with contextlib.suppress(ConnectionError):
                await reader.read()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    responder = RecordingResponder()
    async with listener, gateway(dialect=wire.DIALECT) as entry:
        servers = [
            BackendEntry(f"b{n}", "s", f"{host}:{port}", "d", 4, False) for n in range(len(answers))
        ]
        entry._list_updater.install(servers, entry._clock())
        call = Call("c", "h", method, "/l/x", "/l/x", [], b"", 5.0)
        try:
            await entry.relay(call, route, responder)
        except (VerbenaError, ConnectionResetError) as error:
            return responder, told, error
    return responder, told, None


def relayed(kind, *answers, resumable=False, end=asyncio.StreamWriter.close, method="GET"):
    """Relays a call that may be sent to as many servers as there are answers."""
    route = Route(
        "r",
        "h",
        "/l/",
        kind,
        5.0,
        5.0,
        (Share("s", 1),),
        max_attempts=len(answers),
        resumable=resumable,
    )
    return asyncio.run(relay_call(route, answers, end, method))


def head(status=200, content_type="text/event-stream", *fields):
    """Returns the head of an answer that ends with its connection."""
    lines = [f"HTTP/1.1 {status} X", "x-verbenashore-request-id: c", *fields]
    lines += [f"content-type: {content_type}"] if content_type else []
    return "\r\n".join([*lines, "", ""]).encode()


CHUNKED = "transfer-encoding: chunked"


def chunks(*parts, whole=True):
    """Returns a chunked answer with the given parts; without its end if it isn't whole."""
    body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head(200, "text/event-stream", CHUNKED) + body + (b"0\r\n\r\n" if whole else b"")


def event(number):
    """Returns one event."""
    return b"id: %d\ndata: x%d\n\n" % (number, number)


@pytest.mark.parametrize("resumable", [False, True], ids=["once", "resumable"])
@pytest.mark.parametrize(
    "rest", [b"id: 2\ndata: x", b"id: 2\ndata: x2\n", b"id: 2\r\ndata: x2\r\n", b"i"]
)
@pytest.mark.parametrize("framed", [False, True], ids=["unframed", "chunked"])
def test_a_stream_that_ends_inside_an_event_is_not_complete_for_its_caller(resumable, rest, framed):
    sent = event(1) + rest
    answer = chunks(sent) if framed else head() + sent
    responder, _, error = relayed(RouteKind.STREAM, answer, resumable=resumable)
    assert isinstance(error, ConnectionResetError) and not responder.ended
    assert responder.body == (event(1) if resumable else sent)


@pytest.mark.parametrize("resumable", [False, True], ids=["once", "resumable"])
@pytest.mark.parametrize("rest", [b"", b"\n", b": the end", b": one\n: two\r\n"])
def test_an_unframed_stream_that_ends_after_an_event_is_complete(resumable, rest):
    answer = head() + event(1) + rest
    responder, _, error = relayed(RouteKind.STREAM, answer, resumable=resumable)
    assert error is None and responder.ended
    assert responder.body == event(1) + rest


@pytest.mark.parametrize("resumable", [False, True], ids=["once", "resumable"])
@pytest.mark.parametrize("content_type", ["application/json", "text/plain"])
def test_an_answer_that_is_no_event_stream_is_complete_without_a_blank_line(
    content_type, resumable
):
    answer = head(200, content_type) + b'{"a": 1}'
    responder, _, error = relayed(RouteKind.STREAM, answer, resumable=resumable)
    assert error is None and responder.ended and responder.body == b'{"a": 1}'


@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.ONCE])
@pytest.mark.parametrize("sent", [b"", b"id: 1\ndata: x1\n\n"], ids=["head", "event"])
def test_an_unframed_answer_that_is_reset_is_not_complete(kind, sent):
    responder, _, error = relayed(kind, head() + sent, end=reset)
    assert isinstance(error, (ConnectionResetError, OutcomeUnknownError)) and not responder.ended


def test_an_unframed_answer_that_is_not_a_stream_ends_with_its_connection():
    responder, _, error = relayed(RouteKind.ONCE, head(200, "text/plain") + b"whole")
    assert error is None and responder.ended and responder.body == b"whole"


def test_a_stream_with_a_gap_resumes_after_the_last_event_that_its_caller_has():
    first = chunks(event(1), event(2) + event(4))
    responder, told, error = relayed(
        RouteKind.STREAM, first, chunks(event(2), event(3)), resumable=True
    )
    assert error is None and told == [None, 1]
    assert responder.body == event(1) + event(2) + event(3)


@pytest.mark.parametrize("number", [0, 1, 4], ids=["from zero", "again", "skip"])
def test_a_resumed_stream_that_goes_on_elsewhere_is_not_joined(number):
    broken = chunks(event(1), event(2), whole=False)
    answers = (broken, chunks(event(number), event(number + 1)), chunks(event(3)))
    responder, told, error = relayed(RouteKind.STREAM, *answers, resumable=True)
    assert error is None and told == [None, 2, 2]
    assert responder.body == event(1) + event(2) + event(3)


def whole_answer(status, content_type, body):
    """Returns an answer with a length."""
    return head(status, content_type, f"content-length: {len(body)}") + body


ERROR_TEXT = b'{"error": "overloaded"}\n\n'


@pytest.mark.parametrize("body", [b"", ERROR_TEXT, event(3)], ids=["empty", "text", "event"])
@pytest.mark.parametrize("status", [201, 204, 206, 301, 400, 404, 408, 421, 422, 429, 500, 503])
def test_an_error_instead_of_a_resumed_stream_is_not_joined_to_it(status, body):
    broken = chunks(event(1), whole=False)
    answers = (broken, whole_answer(status, "text/event-stream", body), chunks(event(2)))
    responder, told, error = relayed(RouteKind.STREAM, *answers, resumable=True)
    assert error is None and told == [None, 1, 1]
    assert (responder.status, responder.body) == (200, event(1) + event(2))


@pytest.mark.parametrize("status", [400, 429, 500])
def test_a_stream_whose_last_server_answers_with_an_error_is_not_complete(status):
    broken = chunks(event(1), whole=False)
    answers = (broken, whole_answer(status, "application/json", ERROR_TEXT))
    responder, _, error = relayed(RouteKind.STREAM, *answers, resumable=True)
    assert isinstance(error, ConnectionResetError) and not responder.ended
    assert responder.body == event(1)


OTHER_TEXTS = {
    "json": ERROR_TEXT,
    "data": b"data: overloaded\n\n",
    "error event": b"event: error\ndata: overloaded\n\n",
    "head": b"HTTP/1.1 500 X\r\ncontent-type: text/plain\r\n\r\n",
}


@pytest.mark.parametrize("text", OTHER_TEXTS.values(), ids=OTHER_TEXTS.keys())
@pytest.mark.parametrize("begins", [b"", event(2)], ids=["at once", "after an event"])
def test_text_without_a_number_is_not_joined_to_a_resumed_stream(text, begins):
    broken = chunks(event(1), whole=False)
    answers = (broken, head() + begins + text, chunks(event(2), event(3)))
    responder, told, error = relayed(RouteKind.STREAM, *answers, resumable=True)
    assert error is None and told == [None, 1, 1]
    assert responder.body == event(1) + event(2) + event(3)


@pytest.mark.parametrize("neutral", [b": wait\n\n", b"retry: 1000\n\n", b"\n\n"])
def test_a_comment_in_a_resumed_stream_is_relayed(neutral):
    answers = (chunks(event(1), whole=False), chunks(neutral, event(2)))
    responder, _, error = relayed(RouteKind.STREAM, *answers, resumable=True)
    assert error is None and responder.body == event(1) + neutral + event(2)


@pytest.mark.parametrize("body", [b"", ERROR_TEXT], ids=["empty", "text"])
@pytest.mark.parametrize("content_type", ["application/json", "text/plain; charset=utf-8"])
def test_an_answer_that_is_no_event_stream_is_not_joined_to_a_resumed_stream(content_type, body):
    broken = chunks(event(1), whole=False)
    answers = (broken, whole_answer(200, content_type, body), chunks(event(2)))
    responder, told, error = relayed(RouteKind.STREAM, *answers, resumable=True)
    assert error is None and told == [None, 1, 1]
    assert responder.body == event(1) + event(2)


@pytest.mark.parametrize("rest", [b"", b": wait\n\n", b": wait"], ids=["head", "comment", "part"])
def test_an_unframed_answer_without_an_event_does_not_complete_a_resumed_stream(rest):
    answers = (chunks(event(1), whole=False), head() + rest, chunks(event(2)))
    responder, told, error = relayed(RouteKind.STREAM, *answers, resumable=True)
    assert error is None and told == [None, 1, 1]
    assert responder.body.replace(b": wait\n\n", b"") == event(1) + event(2)


@pytest.mark.parametrize("rest", [b"", b": wait\n\n"], ids=["head", "comment"])
def test_an_unframed_stream_without_an_event_is_run_at_another_server(rest):
    answers = (head() + rest, chunks(event(1)))
    responder, told, error = relayed(RouteKind.STREAM, *answers, resumable=True)
    assert error is None and told == [None, None]
    assert responder.body == rest + event(1)


def test_an_unframed_stream_without_an_event_is_no_complete_answer():
    responder, _, error = relayed(RouteKind.STREAM, head())
    assert isinstance(error, OutcomeUnknownError) and not responder.started


def test_an_answer_to_head_is_complete_without_a_length_or_an_event():
    responder, _, error = relayed(RouteKind.STREAM, head(), method="HEAD")
    assert error is None and responder.ended and responder.status == 200


def test_a_framed_answer_without_an_event_completes_a_stream_whose_events_have_all_arrived():
    answers = (chunks(event(1), whole=False), chunks())
    responder, _, error = relayed(RouteKind.STREAM, *answers, resumable=True)
    assert error is None and responder.ended and responder.body == event(1)


def test_a_stream_of_events_without_numbers_is_not_begun_again_at_another_server():
    broken = chunks(b"data: a\n\n", whole=False)
    answers = (broken, chunks(event(1)), chunks(b"data: a\n\n", b"data: b\n\n"))
    responder, told, error = relayed(RouteKind.STREAM, *answers, resumable=True)
    assert isinstance(error, ConnectionResetError) and told == [None]
    assert responder.body == b"data: a\n\n" and not responder.ended


def cut_heads():
    """Returns an answer's head, cut in its status line, in and after a line and before its end."""
    whole = head(200, "text/event-stream", "x-a: b")
    sizes = (0, 4, 12, whole.index(b"x-a") + 5, whole.index(b"content") - 1, len(whole) - 2)
    return [whole[:size] for size in (*sizes, whole.index(b"content"), len(whole) - 1)]


@pytest.mark.parametrize("end", [asyncio.StreamWriter.close, reset], ids=["close", "reset"])
@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.STREAM])
def test_a_head_that_ends_early_is_no_answer(kind, end):
    for cut in cut_heads():
        responder, _, error = relayed(kind, cut, end=end)
        assert isinstance(error, OutcomeUnknownError) and not responder.started


@pytest.mark.parametrize("end", [asyncio.StreamWriter.close, reset], ids=["close", "reset"])
def test_a_head_that_ends_early_does_not_complete_a_resumed_stream(end):
    for cut in cut_heads():
        ends = iter([asyncio.StreamWriter.close, end, asyncio.StreamWriter.close])
        responder, told, error = relayed(
            RouteKind.STREAM,
            chunks(event(1), whole=False),
            cut,
            chunks(event(2)),
            resumable=True,
            end=lambda writer, ends=ends: next(ends)(writer),
        )
        assert error is None and told == [None, 1, 1]
        assert responder.body == event(1) + event(2)


REFUSALS = (421, 429, 503, 400)
NOT_RUN = "x-verbenashore-not-executed: 1"


def refusal(status, *fields):
    """Returns a server's answer that it did not run the call, if the fields say so."""
    lines = [f"HTTP/1.1 {status} X", *fields, "content-length: 0", "", ""]
    return "\r\n".join(lines).encode()


def one(number):
    """Returns a whole answer."""
    return whole_answer(200, "text/plain", b"%d" % number)


@pytest.mark.parametrize("status", REFUSALS)
def test_a_refusal_that_names_the_call_is_believed(status):
    answers = (refusal(status, NOT_RUN, "x-verbenashore-request-id: c"), one(2))
    responder, told, error = relayed(RouteKind.ONCE, *answers)
    assert error is None and len(told) == 2 and responder.body == b"2"


@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("named", [(), ("x-verbenashore-request-id: d",)], ids=["none", "other"])
@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 102 X\r\n\r\n"], ids=["first", "interim"])
def test_a_refusal_that_does_not_name_the_call_does_not_say_that_it_was_not_run(
    status, named, interim
):
    answers = (interim + refusal(status, NOT_RUN, *named), one(2))
    responder, told, error = relayed(RouteKind.ONCE, *answers)
    assert isinstance(error, OutcomeUnknownError) and not error.not_run
    assert len(told) == 1 and not responder.started


@pytest.mark.parametrize("status", [421, 429, 503, 408])
def test_a_status_alone_does_not_say_that_the_call_was_not_run(status):
    answers = (refusal(status, "x-verbenashore-request-id: c"), one(2))
    responder, told, error = relayed(RouteKind.ONCE, *answers)
    assert isinstance(error, OutcomeUnknownError) and not error.not_run
    assert len(told) == 1 and not responder.started


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.REPEATABLE])
@pytest.mark.parametrize("named", [(), ("x-verbenashore-request-id: c",)], ids=["none", "own"])
def test_a_refusal_behind_a_whole_answer_is_not_read(kind, named):
    responder, told, error = relayed(kind, one(1) + refusal(503, NOT_RUN, *named), one(2))
    assert error is None and len(told) == 1 and responder.body == b"1"


@pytest.mark.parametrize("framed", [False, True], ids=["unframed", "chunked"])
def test_a_refusal_in_the_middle_of_an_answer_does_not_say_that_the_call_was_not_run(framed):
    text = refusal(503, NOT_RUN, "x-verbenashore-request-id: c")
    begun = chunks(event(1), whole=False) + text if framed else head() + event(1) + text + b"x"
    responder, told, error = relayed(RouteKind.STREAM, begun, chunks(event(1)))
    assert isinstance(error, ConnectionResetError) and len(told) == 1 and not responder.ended


def test_a_refusal_after_a_run_at_another_server_does_not_say_that_the_call_was_not_run():
    refused = refusal(503, NOT_RUN, "x-verbenashore-request-id: c")
    answers = (b"HTTP/1.1 2", *[refused] * 6)
    responder, told, error = relayed(RouteKind.REPEATABLE, *answers)
    assert isinstance(error, OutcomeUnknownError) and len(told) == 6


def test_a_stream_does_not_wait_for_the_body_of_an_error_before_it_resumes():
    stalled = head(500, "text/plain", "content-length: 9")
    ends = iter([asyncio.StreamWriter.close, lambda _writer: None, asyncio.StreamWriter.close])
    started = time.monotonic()
    responder, told, error = relayed(
        RouteKind.STREAM,
        chunks(event(1), whole=False),
        stalled,
        chunks(event(2)),
        resumable=True,
        end=lambda writer: next(ends)(writer),
    )
    assert error is None and told == [None, 1, 1] and responder.body == event(1) + event(2)
    assert time.monotonic() - started < 1.5


@pytest.mark.parametrize("framing", [b"", b"transfer-encoding: chunked\r\n"])
def test_a_crash_in_an_answer_without_a_length_is_evidence_against_the_prompt(framing):
    """Guards against unframed answers, whose early end looks like an end."""

    async def play():
        async def serve(reader, writer):
            with contextlib.closing(writer):
                await reader.readuntil(b"\r\n\r\n")
                listener.close()
                head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                writer.write(head + framing + b"\r\n")

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        async with gateway(dialect=wire.DIALECT) as entry:
            server = BackendEntry("b", "s", f"{host}:{port}", "d", 4, False)
            entry._list_updater.install([server], entry._clock())
            headers = [(b"x-verbenashore-prompt-prefix", b"a:1,own:1")]
            call = Call("c", "h", "GET", "/l/x", "/l/x", headers, b"", 5.0)
            route = Route("r", "h", "/l/", RouteKind.STREAM, 5.0, 5.0, (Share("s", 1),))
            with pytest.raises(OutcomeUnknownError):
                await entry.relay(call, route, RecordingResponder())
            return [crash.prompt for crash in entry.guard.quarantine.evidence().crashes]

    assert asyncio.run(play()) == [("a", "own")]


@pytest.mark.parametrize("status", [500, 200])
def test_an_error_of_a_server_does_not_clear_a_request_that_crashed_others(status):
    """Guards against a failing server that makes a request that crashes the others look sound."""

    async def play():
        async def serve(reader, writer):
            with contextlib.closing(writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head(status, "text/plain", "content-length: 1") + b"x")

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        async with listener, gateway(dialect=wire.DIALECT) as entry:
            server = BackendEntry("b", "s", f"{host}:{port}", "d", 4, False)
            entry._list_updater.install([server], entry._clock())
            call = Call("c", "h", "GET", "/l/x", "/l/x", [], b"", 5.0)
            route = Route("r", "h", "/l/", RouteKind.REPEATABLE, 5.0, 5.0, (Share("s", 1),), 1)
            records = entry.guard.crashed_calls
            records.record_crash(entry.guard.guard(call, ()).identity, "a", begun=False)
            await entry.relay(call, route, RecordingResponder())
            return [len(record.crashes) for record in records.records().values()]

    assert asyncio.run(play()) == ([1] if status == 500 else [0])


def test_a_suspected_call_whose_server_only_stalls_moves_on():
    """Guards sound calls that share a part with one crash, and lost their retry by any failure."""

    async def play():
        runs = []

        async def serve(reader, writer):
            with contextlib.closing(writer):
                await reader.readuntil(b"\r\n\r\n")
                runs.append(writer)
                if len(runs) == 1:
                    await asyncio.sleep(5.0)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        async with listener, gateway(dialect=wire.DIALECT) as entry:
            servers = [BackendEntry(f"b{n}", "s", f"{host}:{port}", "d", 4, False) for n in (1, 2)]
            entry._list_updater.install(servers, entry._clock())
            entry.guard.quarantine.record_crash("other", ("a", "own-1"))
            headers = [(b"x-verbenashore-prompt-prefix", b"a:1,own-2:1")]
            call = Call("c", "h", "GET", "/l/x", "/l/x", headers, b"", 5.0)
            route = Route(
                "r", "h", "/l/", RouteKind.REPEATABLE, 5.0, 0.5, (Share("s", 1),), max_attempts=2
            )
            responder = RecordingResponder()
            await entry.relay(call, route, responder)
            return responder.status

    assert asyncio.run(play()) == 200


def test_a_stream_that_left_a_silent_server_is_not_cut_for_the_queue_behind_it():
    async def play():
        runs = []

        async def serve(reader, writer):
            with contextlib.closing(writer):
                await reader.readuntil(b"\r\n\r\n")
                runs.append(writer)
                is_first = len(runs) == 1
                writer.write(chunks(event(len(runs)), whole=not is_first))
                await asyncio.sleep(5.0 if is_first else 0.0)

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        async with listener, gateway(dialect=wire.DIALECT) as entry:
            servers = [BackendEntry(f"b{n}", "s", f"{host}:{port}", "d", 4, False) for n in (1, 2)]
            entry._list_updater.install(servers, entry._clock())
            full = Report("m", "i", 1, {"b2": Load(4, 0)}, waiting_by_service={"s": 500})
            entry._load_table.record_report(full, entry._clock())

            def free_slots():
                entry._load_table.record_report(Report("m", "i", 2, {}), entry._clock())
                entry._call_queue.poll()

            asyncio.get_running_loop().call_later(0.5, free_slots)
            call = Call("c", "h", "GET", "/l/x", "/l/x", [], b"", 5.0)
            shares = (Share("s", 1),)
            route = Route("r", "h", "/l/", RouteKind.STREAM, 5.0, 5.0, shares, 0, 2, True, 0.2)
            responder = RecordingResponder()
            await entry.relay(call, route, responder)
            return responder

    responder = asyncio.run(play())
    assert responder.ended and responder.body == event(1) + event(2)
