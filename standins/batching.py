"""A model of an engine with continuous batching; without I/O."""

from collections import OrderedDict

import msgspec

from verbenashore.misc import quick_hash

#: Characters of prompt that one cached block holds.
BLOCK_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4


class Parameters(msgspec.Struct, frozen=True):
    """How fast the engine is.

    :param base_ms: time of a step, whatever the size of the batch.
    :param sequence_ms: added for each sequence in the batch.
    :param prefill_ms: added for each prompt token that isn't cached.
    :param running: most sequences in a batch.
    :param cache_blocks: prompt blocks that fit into the cache.
    :param context: most tokens of prompt and answer together.
    """

    base_ms: float = 20.0
    sequence_ms: float = 0.2
    prefill_ms: float = 0.05
    running: int = 16
    cache_blocks: int = 400
    context: int = 8192


class Sequence(msgspec.Struct, eq=False):
    """One generation.

    :param produced: tokens produced so far, including those that it was resumed with.
    """

    prompt: str
    max_tokens: int
    produced: int = 0
    prefilled: bool = False
    cached_tokens: int = 0
    cancelled: bool = False

    @property
    def prompt_tokens(self) -> int:
        """The size of the prompt in tokens."""
        return len(self.prompt) // CHARACTERS_PER_TOKEN + 1

    @property
    def done(self) -> bool:
        """True if nothing is left to produce."""
        return self.produced >= self.max_tokens


class Batch(msgspec.Struct):
    """The sequences that an engine runs or queues, and its prompt cache."""

    parameters: Parameters
    waiting: list[Sequence] = msgspec.field(default_factory=list)
    running: list[Sequence] = msgspec.field(default_factory=list)
    cache: OrderedDict[int, None] = msgspec.field(default_factory=OrderedDict)


def token_text(prompt: str, position: int) -> str:
    """Returns the token at a position; the same on all engines, so that answers can be checked."""
    return f"{quick_hash(f'{position}/{prompt}') % 10_000:04d} "


def expected_answer(prompt: str, tokens: int) -> str:
    """Returns the whole answer to a prompt."""
    return "".join(token_text(prompt, position) for position in range(tokens))


def admit(batch: Batch) -> None:
    """Drops cancelled sequences and fills the batch in the order of arrival."""
    batch.running = [s for s in batch.running if not s.cancelled]
    batch.waiting = [s for s in batch.waiting if not s.cancelled]
    while batch.waiting and len(batch.running) < batch.parameters.running:
        batch.running.append(batch.waiting.pop(0))


def step_seconds(batch: Batch) -> float:
    """Returns how long the next step takes, and fills the prompt cache."""
    parameters = batch.parameters
    new = [sequence for sequence in batch.running if not sequence.prefilled]
    prefill_tokens = sum(_prefill_tokens(batch, sequence) for sequence in new)
    milliseconds = parameters.base_ms + parameters.sequence_ms * len(batch.running)
    return (milliseconds + parameters.prefill_ms * prefill_tokens) / 1000


def advance(batch: Batch) -> list[Sequence]:
    """Produces one token for each running sequence, and returns those sequences."""
    advanced = [sequence for sequence in batch.running if not sequence.cancelled]
    for sequence in advanced:
        sequence.produced += 1
    batch.running = [sequence for sequence in advanced if not sequence.done]
    return advanced


def _prefill_tokens(batch: Batch, sequence: Sequence) -> int:
    """Returns the number of prompt and resumed tokens to compute, and caches the prompt."""
    sequence.prefilled = True
    hits = 0
    is_prefix_cached = True
    for end in range(BLOCK_CHARACTERS, len(sequence.prompt) + 1, BLOCK_CHARACTERS):
        block = quick_hash(sequence.prompt[:end])
        is_prefix_cached = is_prefix_cached and block in batch.cache
        hits += is_prefix_cached
        batch.cache[block] = None
        batch.cache.move_to_end(block)
    while len(batch.cache) > batch.parameters.cache_blocks:
        batch.cache.popitem(last=False)
    sequence.cached_tokens = hits * BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
    return sequence.prompt_tokens + sequence.produced - sequence.cached_tokens
