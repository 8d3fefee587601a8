"""Which parts of prompts a server probably has in its cache, from what was sent there; no I/O.

It is made for entries with 160 MB of memory that place a hundred prompts a second, each of some
segments of some hundred tokens.  A server doesn't process a segment again while it caches it and
all segments before it.  Prompts share their first segments; the last one belongs to a request or
its session.  A member remembers only what it has sent itself: what others have sent isn't known,
and a segment that many prompts share is soon cached everywhere.
"""

from collections.abc import Iterable

import msgspec

from verbenashore.loadtable import MAX_TOKENS
from verbenashore.types import BackendName, Prompt

#: Tokens of prompts that a server of mean speed processes in a second.
PREFILL_TOKENS_PER_SECOND = 50_000
#: Largest saving in seconds that is assumed: callers state the tokens, and no server caches more.
MAX_SAVED_SECONDS = 2.0
#: Segments that a member remembers; one takes some 500 bytes, and two more for each prompt of the
#: last ``CACHE_SECONDS`` are enough at 400 prompts a second.
MAX_SEGMENTS = 16_384
#: Servers that are remembered for each segment, the latest ones.
MAX_SERVERS = 8
#: Seconds after which a segment that wasn't sent again may have been evicted: in which some 3,000
#: tokens a second, prompts and answers, fill a server's memory of 72,000.
CACHE_SECONDS = 20.0
#: Most segments of a prompt that are kept.
MAX_PROMPT_SEGMENTS = 16
#: Most tokens that a call or item counts for.  More than any server has memory for, so that a
#: larger call is refused all the same; 64 of them are within the bounds of a load report.
MAX_CALL_TOKENS = MAX_TOKENS // 64


class PromptSize(msgspec.Struct, frozen=True):
    """How large a call is, as its caller states it; all numbers are 0 if it states nothing.

    Only the first ``MAX_PROMPT_SEGMENTS`` segments are kept; all of them count for ``tokens``.

    :param segments: the segments of the prompt, in order.
    :param segment_tokens: the tokens of each of them.
    :param prompt: the tokens of the whole prompt.
    :param output: the tokens that the answer is expected to have.
    :param tokens: the tokens for which a server needs memory; computed from the others.
    """

    segments: Prompt = ()
    segment_tokens: tuple[int, ...] = ()
    prompt: int = 0
    output: int = 0
    tokens: int = 0

    def __post_init__(self) -> None:
        stated = max(self.prompt, sum(self.segment_tokens)) + self.output
        msgspec.structs.force_setattr(self, "tokens", min(MAX_CALL_TOKENS, stated))
        if len(self.segments) > MAX_PROMPT_SEGMENTS:
            kept = self.segments[:MAX_PROMPT_SEGMENTS]
            msgspec.structs.force_setattr(self, "segments", kept)
        if len(self.segment_tokens) > MAX_PROMPT_SEGMENTS:
            kept_tokens = self.segment_tokens[:MAX_PROMPT_SEGMENTS]
            msgspec.structs.force_setattr(self, "segment_tokens", kept_tokens)


NO_SIZE = PromptSize()


class SentPrefixes:
    """The segments that this member has lately sent to each server."""

    def __init__(self) -> None:
        # By a hash of the segment and all before it, the least recently sent one first.
        self._sent_at_by_key: dict[int, dict[BackendName, float]] = {}
        self._valid_since: dict[BackendName, float] = {}

    def record(self, size: PromptSize, server: BackendName, now: float) -> None:
        """Records that a call was sent to a server."""
        for key, _ in _keys(size):
            sent_at = self._sent_at_by_key.pop(key, None)
            if sent_at is None:
                sent_at = {}
                if len(self._sent_at_by_key) >= MAX_SEGMENTS:
                    del self._sent_at_by_key[next(iter(self._sent_at_by_key))]
            sent_at.pop(server, None)
            sent_at[server] = now
            if len(sent_at) > MAX_SERVERS:
                del sent_at[next(iter(sent_at))]
            self._sent_at_by_key[key] = sent_at

    def cached_tokens(self, size: PromptSize, now: float) -> dict[BackendName, int]:
        """Returns how many tokens of a prompt each server probably has cached."""
        tokens_by_server: dict[BackendName, int] = {}
        for key, tokens in _keys(size):
            sent_at = self._sent_at_by_key.get(key)
            if sent_at is None:
                break
            for server, at in sent_at.items():
                # A call that sent this segment sent those before it too.
                if now - CACHE_SECONDS <= at and at >= self._valid_since.get(server, at):
                    tokens_by_server[server] = tokens
        return tokens_by_server

    def clear(self, server: BackendName, now: float) -> None:
        """Records that a server has lost its cache, as after a crash."""
        self._valid_since[server] = now

    def forget(self, servers: Iterable[BackendName]) -> None:
        """Drops servers that are no longer listed."""
        gone = set(servers)
        for server in gone:
            self._valid_since.pop(server, None)
        if gone:
            for sent_at in self._sent_at_by_key.values():
                for server in gone & sent_at.keys():
                    del sent_at[server]


def _keys(size: PromptSize) -> list[tuple[int, int]]:
    """Returns a key for each segment with those before it, and their tokens together."""
    key = total = 0
    keys = []
    for segment, tokens in zip(size.segments, size.segment_tokens, strict=False):
        key = hash((key, segment))
        total += tokens
        keys.append((key, total))
    return keys
