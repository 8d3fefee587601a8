"""The model engines' published interface; the only module that speaks it."""

from collections.abc import AsyncIterator

import msgspec

from verbenashore import httpclient
from verbenashore.exceptions import BackendError, BackendRefusedError
from verbenashore.types import FencingNumber

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
LAST_EVENT = b"[DONE]"
STATE_SECONDS = 1.0
#: Statuses by which an engine says that the request itself is at fault.
REQUEST_FAULTS = frozenset({400, 413, 422})
#: Statuses by which it says that it has not begun.
NOT_TAKEN = frozenset({404, 429, 503})


class EngineCall(msgspec.Struct, frozen=True):
    """One generation.

    :param body: the caller's JSON document.
    :param resume_text: what has been produced already, to be gone on from.
    """

    path: str
    body: bytes
    resume_text: str = ""
    resume_tokens: int = 0


class Generated(msgspec.Struct):
    """What came in one piece from the engine.

    :param finish: why the answer ended; empty while it goes on.
    """

    text: str = ""
    tokens: int = 0
    finish: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0


class LoadedModel(msgspec.Struct, frozen=True):
    """A model in an engine's memory."""

    name: str
    version: str
    adapters: list[str] = []


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself; its load lags.

    :param loading: the models that were ordered and are not there yet.
    """

    models: list[LoadedModel] = []
    loading: list[LoadedModel] = []
    running: int = 0
    waiting: int = 0


class Order(msgspec.Struct, frozen=True):
    """An order to load or unload a model."""

    action: str
    fencing: FencingNumber
    model: str
    version: str
    adapters: list[str]


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    prompt_tokens_details: _Details | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None


_event_decoder = msgspec.json.Decoder(_Event)


async def generate(address: str, call: EngineCall, progress: float) -> AsyncIterator[Generated]:
    """Runs one generation and yields what comes; leaving early cancels it at the engine.

    :param progress: seconds in which each further part must come.
    :raises BackendRefusedError: if the engine refuses the request itself.
    :raises BackendError: if it fails, stalls or ends without its final marker.
    """
    body = _with_stream(call)
    async with httpclient.exchange(address, "POST", call.path, body, progress) as running:
        if running.status != 200:
            answer = b"".join([part async for part in running.parts()])
            if running.status in REQUEST_FAULTS:
                text = answer.decode("utf-8", "replace")
                raise BackendRefusedError(text, address, running.status)
            # An engine that has just started answers 404, for its models are not loaded yet.
            not_run = running.status in NOT_TAKEN
            problem = f"status {running.status}"
            raise BackendError(problem, step="engine", peer=address, not_run=not_run)
        buffer = b""
        generated = Generated()
        async for part in running.parts():
            *events, buffer = (buffer + part).split(EVENT_END)
            ended = [_take_event(event, generated) for event in events]
            if any(ended) and generated.finish:
                yield generated
                return
            # The last part waits for the marker, with the token counts that come before it.
            if generated.tokens and not generated.finish:
                yield generated
                generated = Generated()
    raise BackendError("the stream ended without its marker", step="engine", peer=address)


async def read_state(address: str) -> EngineState:
    """Asks an engine what it has loaded."""
    answer = await httpclient.request(address, "GET", "/state", seconds=STATE_SECONDS)
    return msgspec.json.decode(answer.body, type=EngineState)


async def send_order(address: str, order: Order, seconds: float) -> bool:
    """Gives an order; false if the engine refused its fencing number.

    :raises BackendError: if there was no answer in time.
    """
    body = msgspec.json.encode(order)
    answer = await httpclient.request(address, "POST", "/orders", body, seconds=seconds)
    return answer.status == 200


def _with_stream(call: EngineCall) -> bytes:
    document = msgspec.json.decode(call.body)
    document["stream"] = True
    document["stream_options"] = {"include_usage": True}
    if call.resume_tokens:
        document["resume_text"] = call.resume_text
        document["resume_tokens"] = call.resume_tokens
    return msgspec.json.encode(document)


def _take_event(event: bytes, generated: Generated) -> bool:
    """Adds one event to what came; true for the final marker."""
    data = event.strip().removeprefix(DATA_PREFIX)
    if data == LAST_EVENT:
        return True
    if not data:
        return False
    decoded = _event_decoder.decode(data)
    for choice in decoded.choices:
        text = choice.delta.content if choice.delta is not None else choice.text
        if text:
            generated.text += text
            generated.tokens += 1
        generated.finish = choice.finish_reason or generated.finish
    if decoded.usage is not None:
        generated.prompt_tokens = decoded.usage.prompt_tokens
        details = decoded.usage.prompt_tokens_details
        generated.cached_tokens = details.cached_tokens if details is not None else 0
    return False
