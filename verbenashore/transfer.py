"""How long messages take on slow lines, and documents in parts of bounded size; without I/O.

The load that this answers: members on slow lines, which must hear of their leader while they fetch
what takes many times longer than a heartbeat.  A part that was fetched is never fetched again, and
a newer version does not interrupt one that is under way.
"""

import zlib
from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec

from verbenashore.exceptions import VerbenaError
from verbenashore.types import Clock


class Document(Enum):
    """What members fetch from ledger processes.

    The CONFIGURATION is replicated; the lists of MEMBERS and of BACKENDS are the leader's.
    """

    CONFIGURATION = "configuration"
    MEMBERS = "members"
    BACKENDS = "backends"


#: Bytes per second at which messages are sure to move: half of the slowest line of an entry, of
#: 15 Mbit/s, which they share with answers to callers.
LOWEST_BYTES_PER_SECOND = 900_000
#: The same between ledger processes: half of their slowest line, of 600 Mbit/s.
LEDGER_BYTES_PER_SECOND = 37_000_000
#: Seconds that one page of a longer answer may take: half of the shortest time for a read.
PAGE_SECONDS = 0.25
#: Bytes of one page.
PAGE_BYTES = int(PAGE_SECONDS * LOWEST_BYTES_PER_SECOND)
#: Bytes of one part: 17 ms on a line of 15 Mbit/s (the slowest of spsc-gj-grown), so that a
#: heartbeat behind it is not late.
PART_BYTES = 32 << 10
#: Versions of a document that are kept for members which are fetching them.
KEPT_VERSIONS = 8
#: Fast compression; tables of routes shrink to a tenth.
COMPRESSION_LEVEL = 1

_encoder = msgspec.msgpack.Encoder()


class AskPart(msgspec.Struct, frozen=True, array_like=True, tag="ask_part"):
    """Asks for a document from a position on.

    :param version: the one that is wanted; the answer may be of a newer one, from its start.
    :param offset: bytes that the asker has.
    """

    document: Document
    version: int
    offset: int = 0


class Part(msgspec.Struct, frozen=True, array_like=True, tag="document_part"):
    """Some bytes of a packed document.

    :param total: bytes of the whole.
    """

    version: int
    offset: int
    total: int
    data: bytes


class Shelf(msgspec.Struct):
    """The newest versions of one document, packed."""

    packed_by_version: dict[int, bytes] = msgspec.field(default_factory=dict)


class Assembly(msgspec.Struct):
    """The parts of one version that have come.

    :param parts: how many those are.
    """

    version: int = -1
    total: int = 0
    parts: int = 0
    data: bytearray = msgspec.field(default_factory=bytearray)

    @property
    def complete(self) -> bool:
        """True if the whole document is there."""
        return self.version >= 0 and len(self.data) == self.total


def size_of(message: Any) -> int:
    """Returns the bytes of a message."""
    return len(_encoder.encode(message))


def seconds(size: int, rate: float = LOWEST_BYTES_PER_SECOND) -> float:
    """Returns the seconds that some bytes take at some bytes per second."""
    return size / rate


def seconds_for(message: Any, rate: float = LOWEST_BYTES_PER_SECOND) -> float:
    """Returns the seconds that a message takes between processes, at some bytes per second."""
    return seconds(size_of(message), rate)


class Backlog:
    """How long what this process has sent lately still takes on its line, at the lowest rate."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until = clock()

    def add(self, size: int) -> None:
        """Notes a message of some bytes."""
        self._until = max(self._until, self._clock()) + seconds(size)

    def seconds(self) -> float:
        """Returns the seconds that are left."""
        return max(0.0, self._until - self._clock())


def pack(data: bytes) -> bytes:
    """Returns a document as it travels."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Returns the document that :func:`pack` packed.

    :raises VerbenaError: if it is damaged.
    """
    try:
        return zlib.decompress(packed)
    except zlib.error as error:
        raise VerbenaError(f"damaged: {error}", step="unpack") from None


def part_of(shelf: Shelf, ask: AskPart, newest: int, encode: Callable[[], bytes]) -> Part:
    """Returns the part that was asked for.

    :param newest: the version that there is now.
    :param encode: returns the document of that version.
    """
    packed_by_version = shelf.packed_by_version
    if newest not in packed_by_version:
        packed_by_version[newest] = pack(encode())
        while len(packed_by_version) > KEPT_VERSIONS:
            del packed_by_version[next(iter(packed_by_version))]
    known = ask.offset and ask.version in packed_by_version
    version, offset = (ask.version, ask.offset) if known else (newest, 0)
    packed = packed_by_version[version]
    return Part(version, offset, len(packed), packed[offset : offset + PART_BYTES])


def next_ask(assembly: Assembly, document: Document, wanted: int) -> AskPart:
    """Returns what to ask for next; a version that has begun is finished first."""
    if assembly.data:
        return AskPart(document, assembly.version, len(assembly.data))
    return AskPart(document, wanted)


def take(assembly: Assembly, part: Part) -> None:
    """Takes in a part; one of another version begins the document anew."""
    if part.offset == 0 and (part.version != assembly.version or not assembly.data):
        assembly.version, assembly.total, assembly.parts = part.version, part.total, 0
        assembly.data = bytearray()
    if (part.version, part.offset) == (assembly.version, len(assembly.data)):
        assembly.data += part.data
        assembly.parts += 1
