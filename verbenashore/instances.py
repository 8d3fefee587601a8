"""The platform's list of live and leaving instances; the only module that reads it."""

import msgspec

from verbenashore import httpclient

LIST_SECONDS = 1.0


class Instance(msgspec.Struct, frozen=True):
    """One line of the list, which lags."""

    name: str
    leaving: bool = False


async def is_leaving(platform: str, instance: str) -> bool:
    """Asks whether the platform is about to take an instance away.

    :raises BackendError: if the list can't be read.
    """
    answer = await httpclient.request(platform, "GET", "/instances", seconds=LIST_SECONDS)
    listed = msgspec.json.decode(answer.body, type=list[Instance])
    return any(item.leaving for item in listed if item.name == instance)
