"""Finds the requests that crash backend servers, and refuses them at all members; without I/O.

The load: a request that crashes each server that runs it comes again and again, at any member, and
each time takes up to seven sound calls with it.  A crash breaks all calls that run on the server,
of which at most one is the cause; so a request is suspected after one crash, held after two, and
sound as soon as one of its runs is answered.  Items of jobs are never the cause.

All members hold the same records: they tell each other a digest of them in their load reports, and
the records only while the digests differ.  All times are Unix times in seconds, because members
compare them.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NewType

import msgspec
import xxhash

from verbenashore import trials
from verbenashore.fingerprints import Fingerprint, HeadDigest, Identity, head_of
from verbenashore.types import BackendName, MemberName, UnixClock

#: Crashes after which a request is held: if none of its answers had begun, and in any case.  A call
#: that had begun is a weaker suspect, since its server had already run it for a time.
MIN_CRASHES = 2
MIN_CRASHES_IF_BEGUN = 3
#: Seconds for which a request is held after the crash that makes it held, and after each of its
#: trials, of which two fall into the day after the third crash.
HOLD_SECONDS = (60.0, 3600.0, 6 * 3600.0, 24 * 3600.0)
#: Seconds within which crashes of one server, as several members saw them by clocks that differ,
#: are the same.
SAME_CRASH_SECONDS = 2.0
#: Seconds within which crashes of several servers count as one, unless the same call met them:
#: servers that share a cause, such as a rack, fail together, and copies may run on two of them.
INCIDENT_SECONDS = 0.02
#: Seconds for which a request that isn't held stays suspected.
SUSPICION_SECONDS = 24 * 3600.0
#: Seconds after the end of a hold for which the request stays known; longer than any hold.
MEMORY_SECONDS = 48 * 3600.0
#: Most requests that a member knows; eight are suspected at each crash.
MAX_RECORDS = 128
#: Most crashes of one request that are kept; more don't make its hold longer.
MAX_CRASHES = len(HOLD_SECONDS) + 1

#: Seconds for which an item waits after its second crash that no held request explains, doubled
#: with each further one.
ITEM_WAIT_SECONDS = 5.0
MAX_ITEM_WAIT_SECONDS = 15.0

#: Stands for a server's name in a record.
ServerHash = NewType("ServerHash", int)


class CallCrash(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A crash of a server that ran the request.

    :param again: whether the same call had met a crash before, so that this is another one.
    :param begun: whether the server had begun to answer it.
    """

    at: float
    again: bool
    server: ServerHash
    begun: bool


class CallRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one request.

    :param crashes: the newest ones since its last answer, in order.
    :param trials: how often it was tried after a hold since its last answer.
    :param tried_at: when it was tried last.
    :param answered_at: when it was last answered in full.
    """

    crashes: tuple[CallCrash, ...] = ()
    trials: int = 0
    tried_at: float = 0.0
    answered_at: float = 0.0

    @property
    def is_held(self) -> bool:
        """Whether calls with the request are refused, but for trials."""
        unbegun = [crash for crash in self.crashes if not crash.begun]
        return (
            _incidents(unbegun) >= MIN_CRASHES or _incidents(self.crashes) >= MIN_CRASHES_IF_BEGUN
        )

    @property
    def held_until(self) -> float:
        """When the next trial may be made; only for a request that is held."""
        step = max(_incidents(self.crashes) - MIN_CRASHES, self.trials)
        seconds = HOLD_SECONDS[min(step, len(HOLD_SECONDS) - 1)]
        return max(self.crashes[-1].at, self.tried_at) + seconds

    @property
    def forgotten_at(self) -> float:
        """When the record may be dropped."""
        if self.is_held:
            return self.held_until + MEMORY_SECONDS
        newest = self.crashes[-1].at if self.crashes else self.answered_at
        return newest + SUSPICION_SECONDS


class ItemCrash(msgspec.Struct, frozen=True):
    """A crash of a server that ran an item of a job."""

    at: float
    server: BackendName


Records = dict[Fingerprint, CallRecord]


class CrashedCalls:
    """The requests under which servers crashed, as far as one member knows.

    :param member: decides who makes a trial.
    :param on_change: called with a request and its record when it is held or held longer, and with
        None in place of the record when an answer has cleared it.
    """

    def __init__(
        self,
        clock: UnixClock,
        member: MemberName,
        on_change: Callable[[Fingerprint, CallRecord | None], None] = lambda _name, _new: None,
    ) -> None:
        self._clock = clock
        self._member = member
        self._on_change = on_change
        self._records: Records = {}
        self._heads: set[HeadDigest] = set()
        self._digest: int | None = 0
        self._forgets_at = float("inf")

    def record_crash(
        self, identity: Identity, server: BackendName, *, begun: bool, again: bool = False
    ) -> None:
        """Records that a server crashed while it ran a call.

        :param begun: as in :class:`CallCrash`.
        :param again: as in :class:`CallCrash`.
        """
        crash = CallCrash(self._clock(), again, server_hash(server), begun)
        self._add(identity.fingerprint(), CallRecord((crash,)))

    def record_answer(self, identity: Identity) -> bool:
        """Records that a server answered a call in full; returns whether that is news."""
        request = identity.fingerprint_among(self._heads)
        record = self._records.get(request) if request is not None else None
        if request is None or record is None or not record.crashes:
            return False
        # Members' clocks differ, but the crashes were known before the answer ended.
        answered_at = max(self._clock(), record.crashes[-1].at, record.tried_at)
        return self._add(request, CallRecord(answered_at=answered_at))

    def held_request(self, identity: Identity) -> tuple[Fingerprint, float] | None:
        """Returns the request and the seconds until its next trial if a call must not run now."""
        request = identity.fingerprint_among(self._heads)
        record = self._records.get(request) if request is not None else None
        if request is None or record is None or not record.is_held:
            return None
        now, until = self._clock(), record.held_until
        if trials.may_try(self._member, request, until, now):
            return None
        return request, max(until - now, trials.WIDENING_SECONDS)

    def is_suspected(self, identity: Identity) -> bool:
        """Returns whether servers crashed under a call since its last answer."""
        request = identity.fingerprint_among(self._heads)
        return request in self._records and bool(self._records[request].crashes)

    def record_start(self, identity: Identity) -> bool:
        """Records that a call is sent to a server; returns whether it is the trial of a request."""
        request = identity.fingerprint_among(self._heads)
        record = self._records.get(request) if request is not None else None
        if request is None or record is None or not record.is_held:
            return False
        trial = CallRecord(record.crashes, record.trials + 1, self._clock(), record.answered_at)
        return self._add(request, trial)

    def item_crash(self, server: BackendName) -> ItemCrash:
        """Returns the record of a crash that an item meets now."""
        return ItemCrash(self._clock(), server)

    def item_wait(self, crashes: Sequence[ItemCrash]) -> float:
        """Returns the seconds until an item may run again, given the crashes that it has met.

        Those that a held request explains don't count: it ran on the same server.
        """
        unexplained = [crash.at for crash in crashes if not self._explains(crash)]
        if len(unexplained) < MIN_CRASHES:
            return 0.0
        # An exponent above 1023 is an error.
        wait = ITEM_WAIT_SECONDS * 2.0 ** min(len(unexplained) - MIN_CRASHES, 16)
        return unexplained[-1] + min(wait, MAX_ITEM_WAIT_SECONDS) - self._clock()

    def _explains(self, met: ItemCrash) -> bool:
        same = CallCrash(met.at, False, server_hash(met.server), False)
        return any(
            record.is_held and any(_is_same(crash, same) for crash in record.crashes)
            for record in self._records.values()
        )

    def merge(self, records: Records) -> bool:
        """Adds what another member knows; returns whether any of it is news."""
        news = [self._add(request, record) for request, record in records.items()]
        return any(news)

    @property
    def digest(self) -> int:
        """The same at all members that know the same; 0 if nothing is known."""
        self._forget()
        if self._digest is None:
            ordered = sorted(self._records.items())
            self._digest = xxhash.xxh64_intdigest(msgspec.msgpack.encode(ordered))
        return self._digest

    def records(self) -> Records:
        """Returns what this process knows, for other members."""
        self._forget()
        return dict(self._records)

    def held_requests(self) -> list[Fingerprint]:
        """Returns the requests that are refused, but for trials."""
        return [request for request, record in self._records.items() if record.is_held]

    def _add(self, request: Fingerprint, addition: CallRecord) -> bool:
        """Joins a record with the known one; returns whether that changed it."""
        known = self._records.get(request, CallRecord())
        joined = _join(known, addition)
        if joined == known or joined.forgotten_at <= self._clock():
            return False
        self._records[request] = joined
        if len(self._records) > MAX_RECORDS:
            least = min(self._records.items(), key=_rank)
            del self._records[least[0]]
        self._index()
        if joined.is_held and (not known.is_held or joined.held_until > known.held_until):
            self._on_change(request, joined)
        elif known.is_held and not joined.is_held:
            self._on_change(request, None)
        return request in self._records

    def _forget(self) -> None:
        now = self._clock()
        if now < self._forgets_at:
            return
        self._records = {
            request: record
            for request, record in self._records.items()
            if record.forgotten_at > now
        }
        self._index()

    def _index(self) -> None:
        self._heads = {head_of(request) for request in self._records}
        self._digest = None if self._records else 0
        self._forgets_at = min(
            (record.forgotten_at for record in self._records.values()), default=float("inf")
        )


def server_hash(server: BackendName) -> ServerHash:
    """Returns what stands for a server in the records."""
    return ServerHash(xxhash.xxh32_intdigest(server.encode()))


def _incidents(crashes: Iterable[CallCrash]) -> int:
    """Returns how many of some crashes, in order, count separately."""
    count, start = 0, float("-inf")
    for crash in crashes:
        if crash.again or crash.at - start >= INCIDENT_SECONDS:
            count, start = count + 1, crash.at
    return count


def _rank(item: tuple[Fingerprint, CallRecord]) -> tuple[bool, float, Fingerprint]:
    """Returns the order in which records are kept; the lowest is dropped first."""
    request, record = item
    return record.is_held, record.forgotten_at, request


def _join(first: CallRecord, second: CallRecord) -> CallRecord:
    """Returns what two members know together; the order doesn't matter."""
    answered_at = max(first.answered_at, second.answered_at)
    crashes: list[CallCrash] = []
    for crash in sorted({*first.crashes, *second.crashes}):
        if crash.at > answered_at and not any(_is_same(crash, known) for known in crashes):
            crashes.append(crash)
    tried = [record for record in (first, second) if record.tried_at > answered_at]
    return CallRecord(
        tuple(crashes[-MAX_CRASHES:]),
        max((record.trials for record in tried), default=0),
        max((record.tried_at for record in tried), default=0.0),
        answered_at,
    )


def _is_same(first: CallCrash, second: CallCrash) -> bool:
    return first.server == second.server and abs(first.at - second.at) < SAME_CRASH_SECONDS
