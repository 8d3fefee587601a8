"""Fetching of documents when replicas don't answer or send damaged data."""

import asyncio

from verbenashore import fetching, logs, transfer
from verbenashore.exceptions import LinkSilentError
from verbenashore.fetching import Fetcher
from verbenashore.logs import Event
from verbenashore.transfer import Document, Part


class FakeReplica:
    """A replica, its link and its group; gives its answers in turn, or times out without any."""

    leader = "leader"

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


def test_a_document_that_is_wanted_for_too_long_is_logged_and_measured(monkeypatch):
    """Nothing told of entries that could not fetch a version for the rest of their lives."""
    monkeypatch.setattr(fetching, "OVERDUE_SECONDS", 0.8)
    logged = []
    monkeypatch.setattr(logs, "warning", lambda event, **fields: logged.append((event, fields)))

    async def run():
        fetcher = Fetcher(FakeReplica(), FakeReplica(), asyncio.get_running_loop().time)
        fetcher.set_handler(Document.CONFIGURATION, lambda version, data: None)
        assert fetcher.seconds_wanted(Document.CONFIGURATION) == 0.0
        fetcher.request_version(Document.CONFIGURATION, 7)
        await asyncio.sleep(2.5)
        seconds = fetcher.seconds_wanted(Document.CONFIGURATION)
        await fetcher.close()
        return seconds

    assert asyncio.run(run()) > 2.0
    overdue = [fields for event, fields in logged if event is Event.DOCUMENT_OVERDUE]
    assert [(fields["wanted"], fields["version"]) for fields in overdue] == [(7, -1)]


def test_a_fetched_document_is_no_longer_wanted():
    async def run():
        leader = FakeReplica(part(1, b"table"))
        fetcher = Fetcher(leader, leader, asyncio.get_running_loop().time)
        fetcher.set_handler(Document.CONFIGURATION, lambda version, data: None)
        fetcher.request_version(Document.CONFIGURATION, 1)
        await asyncio.sleep(0.2)
        seconds = fetcher.seconds_wanted(Document.CONFIGURATION)
        await fetcher.close()
        return seconds

    assert asyncio.run(run()) == 0.0
