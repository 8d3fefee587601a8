"""The JSON documents of chat and text completions, as OpenAI clients send and expect them."""

from typing import Any

import msgspec

from verbenashore.exceptions import BadRequestError, bad_field

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
PATHS = frozenset({CHAT_PATH, TEXT_PATH})
DEFAULT_MAX_TOKENS = 256
CHARACTERS_PER_TOKEN = 4
#: Options that change how an answer is sent, but not the answer.
DELIVERY_OPTIONS = ("stream", "stream_options")
#: Options that are rejected, except with a value that leaves them unused, such as null or false.
UNSUPPORTED = frozenset(
    {"tools", "functions", "tool_choice", "logprobs", "top_logprobs", "best_of", "audio"}
)


class ModelCall(msgspec.Struct, frozen=True):
    """A validated completion request of a caller.

    :param prompt: the prompt as one string, for its estimated size and for placement by prefix.
    :param stream: whether the caller wants the answer as a stream of events.
    :param include_usage: whether that stream ends with the token counts.
    :param body: the JSON document as received.
    """

    path: str
    model: str
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    body: bytes

    @property
    def prompt_tokens(self) -> int:
        """The estimated size of the prompt, in tokens."""
        return len(self.prompt) // CHARACTERS_PER_TOKEN + 1


class Completion(msgspec.Struct):
    """An answer, which may still be incomplete.

    :param created: seconds since 1970.
    :param tokens: the number of tokens in the text.
    :param finish: the finish reason; empty while the answer is incomplete.
    """

    id: str
    model: str
    created: int
    text: str = ""
    tokens: int = 0
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0


def parse_call(path: str, body: bytes) -> ModelCall:
    """Parses and validates a request.

    :raises BadRequestError: naming the invalid field.
    """
    document = decode_object(body)
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise bad_field("model", "must be the name of a model")
    prompt = _chat_prompt(document) if path == CHAT_PATH else _text_prompt(document)
    _check_options(document)
    options = document.get("stream_options") or {}
    return ModelCall(
        path,
        model,
        prompt,
        _max_tokens(document),
        bool(document.get("stream", False)),
        isinstance(options, dict) and bool(options.get("include_usage", False)),
        body,
    )


def canonical_request(call: ModelCall) -> bytes:
    """Returns a request in canonical form: path and sorted JSON, without delivery options."""
    document = decode_object(call.body)
    for name in DELIVERY_OPTIONS:
        document.pop(name, None)
    return call.path.encode() + msgspec.json.encode(document, order="sorted")


def decode_object(body: bytes) -> dict[str, Any]:
    """Parses a JSON object.

    :raises BadRequestError: if the body is not one.
    """
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequestError(
            f"malformed JSON: {error}", step="parse", field="body", not_run=True
        ) from None


def response_document(path: str, answer: Completion) -> dict[str, Any]:
    """Returns the response document of a complete answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": answer.finish_reason or None}
    if path == CHAT_PATH:
        choice["message"] = {"role": "assistant", "content": answer.text}
    else:
        choice["text"] = answer.text
    return {
        "id": answer.id,
        "object": "chat.completion" if path == CHAT_PATH else "text_completion",
        "created": answer.created,
        "model": answer.model,
        "choices": [choice],
        "usage": usage(answer),
    }


def usage(answer: Completion) -> dict[str, Any]:
    """Returns the token counts of an answer."""
    return {
        "prompt_tokens": answer.prompt_tokens,
        "completion_tokens": answer.tokens,
        "total_tokens": answer.prompt_tokens + answer.tokens,
        "prompt_tokens_details": {"cached_tokens": answer.cached_tokens},
    }


def stream_event(
    path: str, answer: Completion, text: str, finish: str | None, *, first: bool
) -> bytes:
    """Returns one server-sent event of a streamed answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if path == CHAT_PATH:
        choice["delta"] = {"role": "assistant", "content": text} if first else {"content": text}
    else:
        choice["text"] = text
    return _encode_event(_chunk_document(path, answer, [choice]))


def usage_event(path: str, answer: Completion) -> bytes:
    """Returns the server-sent event with the token counts."""
    return _encode_event(_chunk_document(path, answer, []) | {"usage": usage(answer)})


def event_stream(path: str, body: bytes, include_usage: bool) -> bytes:
    """Returns a committed response document as a complete event stream."""
    document = decode_object(body)
    choice = document["choices"][0]
    text = choice["message"]["content"] if path == CHAT_PATH else choice["text"]
    answer = Completion(document["id"], document["model"], document["created"], text)
    answer.prompt_tokens = document["usage"]["prompt_tokens"]
    answer.tokens = document["usage"]["completion_tokens"]
    events = [stream_event(path, answer, text, None, first=True)]
    events.append(stream_event(path, answer, "", choice["finish_reason"], first=False))
    if include_usage:
        events.append(usage_event(path, answer))
    return b"".join([*events, LAST_EVENT])


LAST_EVENT = b"data: [DONE]\n\n"


def _encode_event(document: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(document) + b"\n\n"


def _chunk_document(path: str, answer: Completion, choices: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "id": answer.id,
        "object": "chat.completion.chunk" if path == CHAT_PATH else "text_completion",
        "created": answer.created,
        "model": answer.model,
        "choices": choices,
    }


def _chat_prompt(document: dict[str, Any]) -> str:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise bad_field("messages", "must be a list with at least one message")
    parts = []
    for position, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise bad_field(f"messages[{position}].role", "must be a string")
        content = message.get("content")
        if not isinstance(content, str):
            raise bad_field(f"messages[{position}].content", "must be a string")
        parts.append(f"{message['role']}: {content}")
    return "\n".join(parts)


def _text_prompt(document: dict[str, Any]) -> str:
    prompt = document.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise bad_field("prompt", "must be a non-empty string")
    return prompt


def _max_tokens(document: dict[str, Any]) -> int:
    field = "max_completion_tokens" if "max_completion_tokens" in document else "max_tokens"
    value = document.get(field)
    if value is None:
        return DEFAULT_MAX_TOKENS
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise bad_field(field, "must be a whole number of at least 1")
    return value


def _check_options(document: dict[str, Any]) -> None:
    if document.get("n") not in (None, 1):
        raise bad_field("n", "only 1 is supported")
    for name in sorted(UNSUPPORTED & set(document)):
        if document[name] not in (None, False, [], "none"):
            raise bad_field(name, "is not supported")
