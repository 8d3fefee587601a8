"""Calls to a leader that freezes."""

import asyncio

from verbenashore.client import GroupClient
from verbenashore.exceptions import LinkSilentError, NotLeaderError
from verbenashore.files import Done
from verbenashore.gateway import JOB_ATTEMPT_SECONDS, job_seconds
from verbenashore.itemjobs import EndItemJob, ItemSpec, SubmitItemJob
from verbenashore.messages import Committed
from verbenashore.transfer import Backlog

#: How long a new leader takes after the old one has frozen, in seconds.
ELECTION = 0.42
#: In which callers want a job accepted (the sheet of hanger-loop).
OBJECTIVE = 0.5
END = EndItemJob("j")


class Replica:
    """One ledger process as a client sees it; time passes in its answers only."""

    is_silent = False

    def __init__(self, group, address):
        self._group = group
        self._address = address

    async def call(self, _body, seconds):
        """Answers as a frozen leader, or as a replica that is elected at some time."""
        if self._address == "old":
            self._group.now += seconds
            raise LinkSilentError("no answer in time", step="call", peer="old")
        self._group.now += 0.002
        if self._group.now < ELECTION:
            raise NotLeaderError("not the leader", step="serve", peer="old")
        return Committed(Done())


class Replicas:
    """A group whose leader has just frozen."""

    def __init__(self):
        self.now = 0.0
        self.backlog = Backlog(lambda: self.now)

    def to(self, address, *, bulk=False):
        """Returns the link to a replica."""
        return Replica(self, address)


async def propose(sent_at, monkeypatch, command=END, seconds=5.0):
    """Returns the seconds that a command takes that is sent after the leader froze."""
    group = Replicas()
    group.now = sent_at

    async def sleep(seconds):
        group.now += seconds

    monkeypatch.setattr(asyncio, "sleep", sleep)
    client = GroupClient(0, group, ["old", "new"], lambda: group.now)
    await client.propose(command, seconds, JOB_ATTEMPT_SECONDS)
    return group.now - sent_at


def test_a_job_is_accepted_in_time_whenever_the_leader_freezes(monkeypatch):
    for sent_at in (0.0, 0.1, 0.2, 0.3, 0.4):
        assert asyncio.run(propose(sent_at, monkeypatch)) < OBJECTIVE


def test_a_large_job_that_meets_a_frozen_leader_is_accepted_by_the_next_one(monkeypatch):
    items = [ItemSpec("i", "/b/x", [], b"x" * 700_000, 10)]
    job = SubmitItemJob("j", "r", "h", items, 18.0, 0.0, 3, 0, 60.0)
    patience = 5.1
    seconds = job_seconds(job, patience)
    assert asyncio.run(propose(0.0, monkeypatch, job, seconds)) < seconds < patience
