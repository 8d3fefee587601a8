"""Tells first attempts from those of callers who come back, by the time that they still have."""

#: A caller who waits for less than this part of what others wait at the same place has come back.
RETURNED_SHARE = 0.97
#: Places that are remembered; past that all are forgotten and learned again.
MAX_PLACES = 2000

Place = tuple[str, str]


class ReturningCallers:
    """The longest patience that was seen at each host and first part of a path.

    Callers give the whole of their time with a first attempt, and what is left with a later one.
    """

    def __init__(self) -> None:
        self._longest_by_place: dict[Place, float] = {}

    def note(self, host: str, path: str, patience: float | None) -> bool:
        """Notes a caller's patience in seconds; true if the caller has come back."""
        if patience is None:
            return False
        place = _place(host, path)
        if place not in self._longest_by_place and len(self._longest_by_place) >= MAX_PLACES:
            self._longest_by_place.clear()
        longest = max(patience, self._longest_by_place.get(place, 0.0))
        self._longest_by_place[place] = longest
        return patience < longest * RETURNED_SHARE

    def has_returned(self, host: str, path: str, patience: float | None) -> bool:
        """Tells whether a caller has come back, without noting it."""
        if patience is None:
            return False
        return patience < self._longest_by_place.get(_place(host, path), 0.0) * RETURNED_SHARE


def _place(host: str, path: str) -> Place:
    return host, path[: path.find("/", 1) + 1]
