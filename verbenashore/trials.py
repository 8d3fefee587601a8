"""When one member may try what all members refuse, without asking the others; without I/O.

Whatever crashed servers is refused by all members for a time, and then tried by one call.  Each
member decides for itself: at first only a small share of the members may try, and the share doubles
every second.  With one arrival a second or a thousand, at eight members or at a thousand, mostly
one of them arrives at a member that may, and the others hear of it before their turn.
"""

import xxhash

from verbenashore.types import MemberName

#: Seconds after the end of a hold from which every member may try; :func:`may_try` lets the share
#: ``2 ** -WIDENING_SECONDS`` of the members try at once.
WIDENING_SECONDS = 10.0


def may_try(member: MemberName, subject: bytes, held_until: float, now: float) -> bool:
    """Returns whether a member may make the trial that follows a hold.

    :param subject: what is held; another one falls to other members first.
    :param held_until: Unix time in seconds of the end of the hold, the same at all members.
    :param now: Unix time in seconds.
    """
    if now < held_until:
        return False
    share = 2.0 ** min(0.0, now - held_until - WIDENING_SECONDS)
    draw = xxhash.xxh64_intdigest(subject + b"%.3f " % held_until + member.encode())
    return draw < share * 2.0**64
