"""The estimated time until a call's first event at each server, by which calls are placed; no I/O.

It is made for callers that expect a first event within some hundred milliseconds, and for members
that choose among some tens of servers a hundred times a second with a third of a core, by reports
that are some exchanges old.  The terms are in seconds, so that they can be weighed against each
other.
"""

import msgspec

from verbenashore.directory import BackendEntry
from verbenashore.loadtable import Load
from verbenashore.prefixes import MAX_SAVED_SECONDS, PREFILL_TOKENS_PER_SECOND
from verbenashore.speeds import LOAD_SLOWDOWN, Speeds
from verbenashore.types import BackendName

#: Seconds that a server in another data centre costs.  The round trip takes 1 to 2 ms; the rest
#: stands for the bytes between data centres, and for reports from there, which are older.
FAR_SECONDS = 0.07
#: Seconds that it costs to stop an item of a job for a call: until the member that runs the item
#: hears of the call and the server has the slot free, and for the item's prompt, which is processed
#: again.
STOP_SECONDS = 0.12
#: Exponent of the share of used slots in the expected wait.  Reports are some exchanges old, so the
#: last slots of a server are often taken by calls that aren't known yet; the first ones aren't.
WAIT_EXPONENT = 2
#: Servers whose estimates differ by less than these seconds are taken for equally good.
MARGIN_SECONDS = 0.06


class Estimate(msgspec.Struct, frozen=True):
    """The terms of the estimate for one call and server, in seconds.

    :param factor: how much slower the server is than the mean of its service.
    :param first: the time to the first event at this speed, under the load of the server.
    :param wait: the expected wait for a slot, if members that don't know of each other's calls
        place them there at the same time.
    :param distance: for a server in another data centre.
    :param stop: for an item of a job that has to make room.
    :param saved: for the part of the prompt that the server has cached.
    """

    factor: float
    first: float
    wait: float
    distance: float
    stop: float
    saved: float = 0.0

    @property
    def seconds(self) -> float:
        """The sum of the terms."""
        return self.first + self.wait + self.distance + self.stop - self.saved

    def log_fields(self) -> dict[str, object]:
        """Returns the terms as log fields, in milliseconds."""
        return {
            "estimate_ms": round(self.seconds * 1000, 1),
            "factor": round(self.factor, 2),
            "first_ms": round(self.first * 1000, 1),
            "wait_ms": round(self.wait * 1000, 1),
            "distance_ms": round(self.distance * 1000, 1),
            "stop_ms": round(self.stop * 1000, 1),
            "saved_ms": round(self.saved * 1000, 1),
        }


class Costs:
    """The estimates for the servers of one service; each is kept while the server's load stays.

    :param speeds: how fast the servers are.
    :param data_centre: where the calls are placed.
    :param first: the time to the first event at an idle server of mean speed, in seconds.
    :param hold: for how long a call holds a slot there, in seconds.
    """

    def __init__(self, speeds: Speeds, data_centre: str, first: float, hold: float) -> None:
        self._speeds = speeds
        self._version = speeds.version
        self._data_centre = data_centre
        self._first = first
        self._hold = hold
        self._known: dict[BackendName, tuple[Load, float]] = {}

    def is_based_on(self, version: int, first: float, hold: float) -> bool:
        """Returns whether the estimates hold for other inputs, within a tenth."""
        return (
            version == self._version
            and 0.9 * self._first < first < 1.1 * self._first
            and 0.9 * self._hold < hold < 1.1 * self._hold
        )

    def seconds(self, server: BackendEntry, load: Load) -> float:
        """Returns the estimate for a server under some load."""
        known = self._known.get(server.name)
        if known is not None and known[0] is load:
            return known[1]
        seconds = self.estimate(server, load).seconds
        self._known[server.name] = (load, seconds)
        return seconds

    def saved_seconds(self, server: BackendEntry, tokens: int) -> float:
        """Returns the time that a server saves by some cached tokens of a prompt."""
        seconds = min(MAX_SAVED_SECONDS, tokens / PREFILL_TOKENS_PER_SECOND)
        return self._speeds.factor(server.name) * seconds

    def estimate(self, server: BackendEntry, load: Load, cached_tokens: int = 0) -> Estimate:
        """Returns the terms of the estimate for a server under some load.

        :param cached_tokens: the tokens of the prompt that the server has cached.
        """
        factor, slots = self._speeds.factor(server.name), server.slots
        used = (load.online + load.batch) / slots
        # Where items use all slots, each call makes one of them stop.
        waiting = used if used < 1 else load.online / slots
        return Estimate(
            factor,
            factor * self._first * (1 + LOAD_SLOWDOWN * min(1.0, used)),
            factor * self._hold / slots * waiting**WAIT_EXPONENT,
            FAR_SECONDS if server.data_centre != self._data_centre else 0.0,
            STOP_SECONDS if used >= 1 else 0.0,
            self.saved_seconds(server, cached_tokens),
        )
