"""Detects retries by their caller timeout, which is shorter than that of first attempts."""

#: A call is a retry if its timeout is below this share of the longest timeout at its path prefix.
RETRY_SHARE = 0.97
#: Share of a caller's timeout after which a call is no longer started.
LATEST_START_SHARE = 0.8
#: Maximum number of path prefixes that are remembered; one more drops all that were remembered.
MAX_PREFIXES = 2000

HostPrefix = tuple[str, str]


class RetryDetector:
    """The longest caller timeout that was seen for each host and first segment of a path.

    Callers send their full timeout with a first attempt, and the remaining time with a retry.
    """

    def __init__(self) -> None:
        self._longest_by_prefix: dict[HostPrefix, float] = {}

    def record_timeout(self, host: str, path: str, timeout: float | None) -> bool:
        """Records a caller's timeout in seconds; returns True if the call is a retry."""
        if timeout is None:
            return False
        key = _host_prefix(host, path)
        if key not in self._longest_by_prefix and len(self._longest_by_prefix) >= MAX_PREFIXES:
            self._longest_by_prefix.clear()
        longest = max(timeout, self._longest_by_prefix.get(key, 0.0))
        self._longest_by_prefix[key] = longest
        return timeout < longest * RETRY_SHARE

    def is_retry(self, host: str, path: str, timeout: float | None) -> bool:
        """Returns whether a call is a retry, without recording its timeout."""
        if timeout is None:
            return False
        return timeout < self._longest_by_prefix.get(_host_prefix(host, path), 0.0) * RETRY_SHARE


def _host_prefix(host: str, path: str) -> HostPrefix:
    return host, path[: path.find("/", 1) + 1]
