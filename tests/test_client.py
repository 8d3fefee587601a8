"""Calls to the leader of a group, after the leader has frozen."""

import asyncio

from verbenashore.client import GroupClient
from verbenashore.exceptions import LinkSilentError, NotLeaderError
from verbenashore.files import Done
from verbenashore.gateway import JOB_ATTEMPT_SECONDS, job_commit_timeout
from verbenashore.itemjobs import EndItemJob, ItemSpec, SubmitItemJob
from verbenashore.messages import Committed
from verbenashore.transfer import Backlog

#: Time from the freeze of the old leader to the election of a new one.
ELECTION_SECONDS = 0.42
#: Time within which callers require a job to be accepted.
ACCEPT_SECONDS = 0.5
END = EndItemJob("j")


class FakeLink:
    """The link to one replica; the fake clock advances only while it answers."""

    is_silent = False

    def __init__(self, links, address):
        self._links = links
        self._address = address

    async def call(self, _body, seconds):
        """Times out as the frozen leader does, or answers as the replica that is elected."""
        if self._address == "old":
            self._links.now += seconds
            raise LinkSilentError("no answer in time", step="call", peer="old")
        self._links.now += 0.002
        if self._links.now < ELECTION_SECONDS:
            raise NotLeaderError("not the leader", step="serve", peer="old")
        return Committed(Done())


class FakeLinks:
    """The links to a group whose leader has just frozen."""

    def __init__(self):
        self.now = 0.0
        self.backlog = Backlog(lambda: self.now)

    def to(self, address, *, bulk=False):
        """Returns the link to a replica."""
        return FakeLink(self, address)


async def propose(sent_at, monkeypatch, command=END, seconds=5.0):
    """Returns the seconds until a command is committed.

    :param sent_at: seconds from the freeze of the leader to the first attempt.
    """
    links = FakeLinks()
    links.now = sent_at

    async def sleep(seconds):
        links.now += seconds

    monkeypatch.setattr(asyncio, "sleep", sleep)
    client = GroupClient(0, links, ["old", "new"], lambda: links.now)
    await client.propose(command, seconds, JOB_ATTEMPT_SECONDS)
    return links.now - sent_at


def test_a_job_is_accepted_in_time_whenever_the_leader_freezes(monkeypatch):
    for sent_at in (0.0, 0.1, 0.2, 0.3, 0.4):
        assert asyncio.run(propose(sent_at, monkeypatch)) < ACCEPT_SECONDS


def test_a_large_job_sent_to_a_frozen_leader_is_accepted_by_its_successor(monkeypatch):
    items = [ItemSpec("i", "/b/x", [], b"x" * 700_000, 10)]
    job = SubmitItemJob("j", "r", "h", items, 18.0, 0.0, 3, 0, 60.0)
    caller_timeout = 5.1
    seconds = job_commit_timeout(job, caller_timeout)
    assert asyncio.run(propose(0.0, monkeypatch, job, seconds)) < seconds < caller_timeout
