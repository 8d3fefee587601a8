"""The identity of one request, which all members compute alike; without I/O.

Two calls are the same request if they have the same method, host, target, caller and body; their
ids, timeouts and other headers differ between attempts.  A fingerprint is a digest of these, so
that neither a log line nor a message between members holds a body or a key.
"""

import hashlib
from collections.abc import Collection, Iterable
from typing import NewType

from verbenashore.types import WorkspaceId

#: Sizes in bytes of the two parts of a fingerprint: the digest without the body, and with it.
HEAD_BYTES = 4
WHOLE_BYTES = 12
#: Headers that state who sent a call that has no workspace.
CALLER_HEADERS = frozenset({b"authorization", b"cookie"})

#: The digest of one request, and its first part.
Fingerprint = NewType("Fingerprint", bytes)
HeadDigest = NewType("HeadDigest", bytes)


class Identity:
    """One call's fingerprint; its body, which may have megabytes, is read only when needed.

    :param workspace: whose call it is; None if it has no workspace.
    :param headers: those of the call; only some of them are part of its identity.
    """

    def __init__(
        self,
        method: str,
        host: str,
        target: str,
        workspace: WorkspaceId | None,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        self._fields = (method, host, target, workspace or "")
        self._headers = headers
        self._body = body
        self._digest: hashlib.blake2b | None = None
        self._head = HeadDigest(b"")
        self._whole: Fingerprint | None = None

    def fingerprint(self) -> Fingerprint:
        """Returns the call's fingerprint."""
        if self._whole is None:
            digest = self._digest_head().copy()
            digest.update(self._body)
            self._whole = Fingerprint(self._head + digest.digest()[:WHOLE_BYTES])
        return self._whole

    def fingerprint_among(self, heads: Collection[HeadDigest]) -> Fingerprint | None:
        """Returns the fingerprint if its head is one of the given ones."""
        if not heads:
            return None
        self._digest_head()
        return self.fingerprint() if self._head in heads else None

    def _digest_head(self) -> "hashlib.blake2b":
        if self._digest is None:
            digest = hashlib.blake2b(digest_size=HEAD_BYTES + WHOLE_BYTES)
            callers = (value for name, value in self._headers if name.lower() in CALLER_HEADERS)
            for field in (*(text.encode() for text in self._fields), *callers):
                # With its length, so that different fields never give the same bytes.
                digest.update(b"%d:%b" % (len(field), field))
            self._digest = digest
            self._head = HeadDigest(digest.digest()[:HEAD_BYTES])
        return self._digest


def head_of(fingerprint: Fingerprint) -> HeadDigest:
    """Returns the part of a fingerprint that doesn't depend on the body."""
    return HeadDigest(fingerprint[:HEAD_BYTES])


def log_name(fingerprint: Fingerprint) -> str:
    """Returns the short name of a request in log lines and errors."""
    return fingerprint[HEAD_BYTES : 2 * HEAD_BYTES].hex()
