"""Transfer of documents in parts, and estimates of transfer times on slow lines; without I/O.

A member on a slow line must receive its leader's heartbeats while it fetches a document that takes
many heartbeat intervals to transfer, so parts are small.  A part that was received is not fetched
again, and a newer version doesn't interrupt the transfer of an older one.
"""

import zlib
from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec

from verbenashore.exceptions import VerbenaError
from verbenashore.types import Clock


class Document(Enum):
    """A document that members fetch from ledger processes.

    The CONFIGURATION is replicated; only the leader has the lists of MEMBERS and BACKENDS.
    """

    CONFIGURATION = "configuration"
    MEMBERS = "members"
    BACKENDS = "backends"


#: Bytes per second assumed for every transfer: half of an entry's slowest line, which has 15 Mbit/s
#: and also carries the answers to callers.
LOWEST_BYTES_PER_SECOND = 900_000
#: Bytes per second assumed between ledger processes: half of their slowest line, which has
#: 600 Mbit/s.
LEDGER_BYTES_PER_SECOND = 37_000_000
#: Seconds that the transfer of one page of a longer answer may take: half of the shortest timeout
#: of a read.
PAGE_SECONDS = 0.25
#: Bytes of one page.
PAGE_BYTES = int(PAGE_SECONDS * LOWEST_BYTES_PER_SECOND)
#: Bytes of one part: 17 ms on an entry's slowest line (15 Mbit/s), so that a heartbeat queued
#: behind it is not late.
PART_BYTES = 32 << 10
#: Latest versions of a document that are kept for transfers under way.
KEPT_VERSIONS = 8
#: The fastest level of zlib; it compresses route tables to a tenth.
COMPRESSION_LEVEL = 1

_encoder = msgspec.msgpack.Encoder()


class AskPart(msgspec.Struct, frozen=True, array_like=True, tag="ask_part"):
    """Asks for a part of a document.

    :param version: the wanted version; the answer may hold the first part of a newer one.
    :param offset: how many bytes of that version the sender has received.
    """

    document: Document
    version: int
    offset: int = 0


class Part(msgspec.Struct, frozen=True, array_like=True, tag="document_part"):
    """A part of a compressed document.

    :param total: bytes of the whole compressed document.
    """

    version: int
    offset: int
    total: int
    data: bytes


class VersionCache(msgspec.Struct):
    """The latest requested versions of one document, compressed."""

    packed_by_version: dict[int, bytes] = msgspec.field(default_factory=dict)


class PartialDocument(msgspec.Struct):
    """The received parts of one version of a document.

    :param version: negative before the first part.
    :param total: bytes of the whole compressed document.
    :param part_count: how many parts were received.
    :param data: the bytes received so far.
    """

    version: int = -1
    total: int = 0
    part_count: int = 0
    data: bytearray = msgspec.field(default_factory=bytearray)

    @property
    def complete(self) -> bool:
        """True if the whole document was received."""
        return self.version >= 0 and len(self.data) == self.total


def size_of(message: Any) -> int:
    """Returns the encoded size of a message in bytes."""
    return len(_encoder.encode(message))


def transfer_seconds(size: int, rate: float = LOWEST_BYTES_PER_SECOND) -> float:
    """Returns the transfer time of some bytes.

    :param rate: bytes per second.
    """
    return size / rate


def message_seconds(message: Any, rate: float = LOWEST_BYTES_PER_SECOND) -> float:
    """Returns the transfer time of a message.

    :param rate: bytes per second.
    """
    return transfer_seconds(size_of(message), rate)


class Backlog:
    """Estimates how long the bytes sent so far occupy a line of the lowest assumed rate.

    :param busy_until: when all bytes will have been, or were, transferred.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.busy_until = clock()

    def add(self, size: int) -> None:
        """Adds a sent message of some bytes."""
        self.busy_until = max(self.busy_until, self._clock()) + transfer_seconds(size)

    def seconds(self) -> float:
        """Returns the seconds until all bytes are transferred."""
        return max(0.0, self.busy_until - self._clock())


def compress(data: bytes) -> bytes:
    """Returns a compressed document."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(packed: bytes) -> bytes:
    """Returns the document that :func:`compress` compressed.

    :raises VerbenaError: if the data is damaged.
    """
    try:
        return zlib.decompress(packed)
    except zlib.error as error:
        raise VerbenaError(f"compressed data is damaged: {error}", step="unpack") from None


def requested_part(
    cache: VersionCache, ask: AskPart, newest: int, encode: Callable[[], bytes]
) -> Part:
    """Returns the requested part, or the first part of the newest version.

    The latter if the offset is 0 or the requested version is no longer kept.

    :param newest: the current version.
    :param encode: returns the document of the current version.
    """
    packed_by_version = cache.packed_by_version
    if newest not in packed_by_version:
        packed_by_version[newest] = compress(encode())
        while len(packed_by_version) > KEPT_VERSIONS:
            del packed_by_version[next(iter(packed_by_version))]
    resumable = ask.offset and ask.version in packed_by_version
    version, offset = (ask.version, ask.offset) if resumable else (newest, 0)
    packed = packed_by_version[version]
    return Part(version, offset, len(packed), packed[offset : offset + PART_BYTES])


def next_request(partial: PartialDocument, document: Document, wanted: int) -> AskPart:
    """Returns the next request; a version whose transfer has begun is completed first."""
    if partial.data:
        return AskPart(document, partial.version, len(partial.data))
    return AskPart(document, wanted)


def add_part(partial: PartialDocument, part: Part) -> None:
    """Adds a part; one that doesn't continue the received bytes is dropped.

    The first part of another version restarts the document.
    """
    if part.offset == 0 and (part.version != partial.version or not partial.data):
        partial.version, partial.total, partial.part_count = part.version, part.total, 0
        partial.data = bytearray()
    if (part.version, part.offset) == (partial.version, len(partial.data)):
        partial.data += part.data
        partial.part_count += 1
