"""Fetching of documents when replicas don't answer or send damaged data."""

import asyncio

from verbenashore import transfer
from verbenashore.exceptions import LinkSilentError
from verbenashore.fetching import Fetcher
from verbenashore.transfer import Document, Part


class FakeReplica:
    """A replica, its link and its group; gives its answers in turn, or times out without any."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = 0

    async def call(self, _ask, seconds):
        """Answers a call as :meth:`Link.call` does."""
        self.calls += 1
        if not self.answers:
            await asyncio.sleep(seconds)
            raise LinkSilentError("no answer in time", step="call", peer="near")
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def ask(self, ask, seconds, attempt_seconds):
        """Answers a call as :meth:`GroupClient.ask` does."""
        return await self.call(ask, seconds)

    def to(self, _address, bulk=False):
        """Returns the link to the replica."""
        return self


def part(version, data):
    """Compresses a document and returns it as its only part."""
    packed = transfer.compress(data)
    return Part(version, 0, len(packed), packed)


async def fetch(leader, near, seconds):
    """Fetches a configuration while each heartbeat names a nearby replica; returns the content."""
    received = []
    fetcher = Fetcher(leader, near, asyncio.get_running_loop().time)
    fetcher.set_handler(Document.CONFIGURATION, lambda version, data: received.append(data))
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end and not received:
        fetcher.nearby_replica = "near"
        fetcher.request_version(Document.CONFIGURATION, 1)
        await asyncio.sleep(0.5)
    await fetcher.close()
    return received


def test_a_document_comes_from_the_leader_if_the_nearby_replica_does_not_answer():
    assert asyncio.run(fetch(FakeReplica(part(1, b"table")), FakeReplica(), 6.0)) == [b"table"]


def test_a_damaged_document_is_fetched_again():
    damaged = Part(1, 0, 5, b"no zl")
    assert asyncio.run(fetch(FakeReplica(), FakeReplica(damaged, part(1, b"table")), 3.0)) == [
        b"table"
    ]
