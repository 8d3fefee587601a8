"""The client of the model engines' HTTP interface; no other module uses that interface."""

from collections.abc import AsyncIterator

import msgspec

from verbenashore import httpclient
from verbenashore.events import EventSplitter
from verbenashore.exceptions import BackendError, BackendRefusedError
from verbenashore.types import FencingNumber

LAST_EVENT = "[DONE]"
STATE_TIMEOUT_SECONDS = 1.0
#: Longest body in bytes of an error.
MAX_ERROR_BYTES = 1 << 20
#: Statuses by which an engine rejects the request itself, so that a retry would fail, too.
REJECTED_STATUSES = frozenset({400, 413, 422})
#: Statuses by which an engine reports that it did not run the request.
NOT_RUN_STATUSES = frozenset({404, 429, 503})


class EngineCall(msgspec.Struct, frozen=True):
    """A request for one generation.

    :param body: the caller's JSON document.
    :param resume_text: the text generated so far, from which the engine continues.
    :param resume_tokens: the number of tokens in that text; 0 to start from the prompt alone.
    """

    path: str
    body: bytes
    resume_text: str = ""
    resume_tokens: int = 0


class GeneratedPart(msgspec.Struct):
    """One part of a generation.

    :param finish_reason: the finish reason; empty in all parts but the last.
    """

    text: str = ""
    tokens: int = 0
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0


class LoadedModel(msgspec.Struct, frozen=True):
    """A model in an engine's memory."""

    name: str
    version: str
    adapters: list[str] = []


class EngineState(msgspec.Struct, frozen=True):
    """The state that an engine reports; its counts of running and waiting requests lag.

    :param loading: the models that were ordered and are not loaded yet.
    """

    models: list[LoadedModel] = []
    loading: list[LoadedModel] = []
    running: int = 0
    waiting: int = 0


class Order(msgspec.Struct, frozen=True):
    """An order to load or unload a model.

    :param action: ``load`` or ``unload``.
    """

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


async def generate(
    address: str, call: EngineCall, progress_seconds: float
) -> AsyncIterator[GeneratedPart]:
    """Runs one generation and yields its parts; closing the iterator cancels it at the engine.

    :param progress_seconds: seconds for which each read of the response waits for more data.
    :raises BackendRefusedError: if the engine rejects the request itself.
    :raises BackendError: if the engine can't be reached or answers with another error, or its
        response stalls or ends without the final marker.
    """
    body = _streaming_body(call)
    async with httpclient.exchange(address, "POST", call.path, body, progress_seconds) as exchange:
        if exchange.status != 200:
            answer = await exchange.read_body(MAX_ERROR_BYTES)
            if exchange.status in REJECTED_STATUSES:
                text = answer.decode("utf-8", "replace")
                raise BackendRefusedError(text, address, exchange.status)
            # A freshly started engine answers 404 because its models are not loaded yet.
            not_run = exchange.status in NOT_RUN_STATUSES
            problem = f"status {exchange.status}"
            raise BackendError(problem, step="engine", peer=address, not_run=not_run)
        splitter = EventSplitter()
        pending = GeneratedPart()
        async for part in exchange.parts():
            try:
                final_markers = [_add_event(event.data, pending) for event in splitter.feed(part)]
            except msgspec.DecodeError as error:
                raise BackendError(f"unreadable: {error}", step="engine", peer=address) from None
            if any(final_markers) and pending.finish_reason:
                yield pending
                return
            # Once a finish reason has arrived, ``pending``, which holds it, is kept back until the
            # final marker, since the token counts arrive between the two.
            if pending.tokens and not pending.finish_reason:
                yield pending
                pending = GeneratedPart()
    raise BackendError("the stream ended without its final marker", step="events", peer=address)


async def read_state(address: str) -> EngineState:
    """Reads the state that an engine reports.

    :raises BackendError: if no answer was received in time, or it isn't a state.
    """
    answer = await httpclient.request(address, "GET", "/state", seconds=STATE_TIMEOUT_SECONDS)
    if answer.status != 200:
        raise BackendError(f"status {answer.status}", step="state", peer=address)
    try:
        return msgspec.json.decode(answer.body, type=EngineState)
    except msgspec.DecodeError as error:
        raise BackendError(f"unreadable: {error}", step="state", peer=address) from None


async def send_order(address: str, order: Order, seconds: float) -> bool:
    """Sends an order; returns false if the engine refused it, as it does an old fencing number.

    :param seconds: timeout of the answer.
    :raises BackendError: if no answer was received in time.
    """
    body = msgspec.json.encode(order)
    answer = await httpclient.request(address, "POST", "/orders", body, seconds=seconds)
    return answer.status == 200


def _streaming_body(call: EngineCall) -> bytes:
    document = msgspec.json.decode(call.body)
    document["stream"] = True
    document["stream_options"] = {"include_usage": True}
    if call.resume_tokens:
        document["resume_text"] = call.resume_text
        document["resume_tokens"] = call.resume_tokens
    return msgspec.json.encode(document)


def _add_event(data: str, pending: GeneratedPart) -> bool:
    """Adds the data of one event to the part being collected; returns true for the final marker.

    :raises msgspec.DecodeError: if it is neither the marker nor a part of a generation.
    """
    if data == LAST_EVENT:
        return True
    if not data:
        return False
    decoded = _event_decoder.decode(data)
    for choice in decoded.choices:
        text = choice.delta.content if choice.delta is not None else choice.text
        if text:
            pending.text += text
            pending.tokens += 1
        pending.finish_reason = choice.finish_reason or pending.finish_reason
    if decoded.usage is not None:
        pending.prompt_tokens = decoded.usage.prompt_tokens
        details = decoded.usage.prompt_tokens_details
        pending.cached_tokens = details.cached_tokens if details is not None else 0
    return False
