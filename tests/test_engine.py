"""Generations at a model engine: an answer is complete only with its finish reason and marker."""

import asyncio
import json

import pytest

from verbenashore import engine
from verbenashore.engine import EngineCall
from verbenashore.exceptions import BackendError

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
MARKER = b"data: [DONE]\n\n"


def token(text, finish_reason=None):
    """Returns the event of one token."""
    choice = {"index": 0, "text": text, "finish_reason": finish_reason}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


LAST_TOKEN = token("b", "stop")


def ask_engine(answer, ask):
    """Asks an engine that sends an answer and closes the connection; returns what that gives.

    :param ask: asks the engine at an address.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with server:
            return await ask(f"{host}:{port}")

    return asyncio.run(run())


def generate(answer):
    """Runs a generation on an engine that sends an answer and closes the connection.

    Returns the text of all parts, whether the last one had a finish reason, and the error, if any.
    """

    async def ask(address):
        parts = []
        call = EngineCall("/v1/completions", b'{"model": "m", "prompt": "p"}')
        try:
            async for part in engine.generate(address, call, 5.0):
                parts.append(part)
        except BackendError as error:
            return parts, error
        return parts, None

    parts, error = ask_engine(answer, ask)
    return "".join(part.text for part in parts), bool(parts and parts[-1].finish_reason), error


@pytest.mark.parametrize("between", [b"", b": ping\n\n", b":\n\n: ping\n\n", b"\n\n"])
def test_comments_do_not_end_a_generation(between):
    answer = HEAD + between + token("a") + between + LAST_TOKEN + between + MARKER
    assert generate(answer) == ("ab", True, None)


def test_a_generation_with_other_line_ends_is_complete():
    answer = HEAD + (token("a") + LAST_TOKEN + MARKER).replace(b"\n", b"\r\n")
    assert generate(answer) == ("ab", True, None)
    assert generate(answer.replace(b"data: ", b"data:")) == ("ab", True, None)


ENDS = {
    "nothing": b"",
    "marker alone": MARKER,
    "no marker": LAST_TOKEN,
    "inside an event": LAST_TOKEN[:-10],
    "inside the marker": LAST_TOKEN + MARKER[:-2],
    "error event": b'data: {"error": {"message": "x"}}\n\n' + MARKER,
    "error text": b"data: overloaded\n\n",
    "another document": b'data: {"choices": 1}\n\n',
    "document": b'{"error": {"message": "x"}}\n\n',
    "another head": b"HTTP/1.1 500 X\r\ncontent-type: text/plain\r\n\r\noverloaded",
}


@pytest.mark.parametrize("begun", [b"", token("a")], ids=["at once", "begun"])
@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS.keys())
def test_a_generation_without_its_end_has_failed(begun, end):
    text, finished, error = generate(HEAD + begun + end)
    assert not finished and text in ({"", "a"} if begun else {""})
    assert error is not None and not error.not_run


@pytest.mark.parametrize("size", range(len(HEAD)))
def test_a_head_that_ends_early_is_no_answer_of_an_engine(size):
    text, _, error = generate(HEAD[:size])
    assert error is not None and not error.not_run and not text


@pytest.mark.parametrize(
    ("status", "body"),
    [(503, b"{}"), (404, b'{"error": {"message": "x"}}'), (200, b"starting"), (200, b"[]")],
)
def test_an_error_is_not_taken_for_the_state_of_an_engine_without_models(status, body):
    answer = b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s" % (status, len(body), body)
    with pytest.raises(BackendError):
        ask_engine(answer, engine.read_state)
