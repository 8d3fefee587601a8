"""Documents that replicas don't answer for, or answer damaged."""

import asyncio

from verbenashore import transfer
from verbenashore.exceptions import LinkSilentError
from verbenashore.fetching import Fetcher
from verbenashore.transfer import Document, Part


class Replica:
    """A replica that has one document, or that answers nothing."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = 0

    async def call(self, _ask, seconds):
        """Answers a call as a link does."""
        self.asked += 1
        if not self.answers:
            await asyncio.sleep(seconds)
            raise LinkSilentError("no answer in time", step="call", peer="near")
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def ask(self, ask, seconds, attempt_seconds):
        """Answers a call as a group does."""
        return await self.call(ask, seconds)

    def to(self, _address, bulk=False):
        """Returns the link to the replica."""
        return self


def part(version, data):
    """Returns a document that fits into one part."""
    packed = transfer.pack(data)
    return Part(version, 0, len(packed), packed)


async def follow(leader, near, seconds):
    """Fetches a configuration while each heartbeat names a replica nearby; returns what came."""
    taken = []
    fetcher = Fetcher(leader, near, asyncio.get_running_loop().time)
    fetcher.on_document(Document.CONFIGURATION, lambda version, data: taken.append(data))
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end and not taken:
        fetcher.near = "near"
        fetcher.want(Document.CONFIGURATION, 1)
        await asyncio.sleep(0.5)
    await fetcher.close()
    return taken


def test_a_replica_nearby_that_does_not_answer_keeps_no_member_from_the_leader():
    assert asyncio.run(follow(Replica(part(1, b"table")), Replica(), 6.0)) == [b"table"]


def test_a_document_that_came_damaged_is_fetched_again():
    damaged = Part(1, 0, 5, b"no zl")
    assert asyncio.run(follow(Replica(), Replica(damaged, part(1, b"table")), 3.0)) == [b"table"]
