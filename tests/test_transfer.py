"""Transfer of documents in parts, with lost parts and changing versions."""

import os

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from verbenashore import transfer
from verbenashore.transfer import PART_BYTES, AskPart, Document, PartialDocument, VersionCache

TABLE = Document.CONFIGURATION


def content(version):
    """Returns a document that still has several parts after compression."""
    return b"%d/" % version + os.urandom(3 * PART_BYTES)


class Source:
    """A replica that serves a changing document."""

    def __init__(self, content_by_version):
        self.cache = VersionCache()
        self.newest = 1
        self.content_by_version = content_by_version

    def answer(self, ask):
        """Returns the part that a member requests."""
        return transfer.requested_part(
            self.cache, ask, self.newest, lambda: self.content_by_version[self.newest]
        )


def test_a_document_that_changes_after_every_part_is_still_received_whole():
    source = Source({version: content(version) for version in range(1, 20)})
    partial = PartialDocument()
    for _ in range(4):
        ask = transfer.next_request(partial, TABLE, source.newest)
        transfer.add_part(partial, source.answer(ask))
        source.newest += 1
    assert partial.complete and partial.version == 1
    assert transfer.decompress(bytes(partial.data)) == source.content_by_version[1]


def test_a_version_that_is_no_longer_kept_is_abandoned_for_the_newest():
    source = Source({version: content(version) for version in range(1, 40)})
    partial = PartialDocument()
    transfer.add_part(partial, source.answer(AskPart(TABLE, 1)))
    other = Source(source.content_by_version)
    other.newest = 9
    while not partial.complete:
        transfer.add_part(partial, other.answer(transfer.next_request(partial, TABLE, 9)))
    assert transfer.decompress(bytes(partial.data)) == source.content_by_version[9]


@hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(
    st.lists(st.sampled_from(["ask", "lost", "again", "change"]), max_size=40), st.integers(0, 9)
)
def test_lost_doubled_and_stale_parts_never_make_a_wrong_document(steps, seed):
    source = Source({version: bytes([seed]) * version + content(version) for version in range(60)})
    partial, newest = PartialDocument(), None
    for step in [*steps, *["ask"] * 12]:
        if step == "change":
            source.newest += 1
            continue
        if step == "again" and newest is not None:
            transfer.add_part(partial, newest)
            continue
        part = source.answer(transfer.next_request(partial, TABLE, source.newest))
        if step == "ask":
            newest = part
            transfer.add_part(partial, part)
        if partial.complete:
            whole = transfer.decompress(bytes(partial.data))
            assert whole == source.content_by_version[partial.version]
            partial = PartialDocument()
