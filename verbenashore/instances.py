"""The client of the platform's instance list; no other module reads that list."""

import msgspec

from verbenashore import httpclient

LIST_TIMEOUT_SECONDS = 1.0


class Instance(msgspec.Struct, frozen=True):
    """An entry of the instance list, which the platform updates with a delay."""

    name: str
    leaving: bool = False


async def is_leaving(platform: str, instance: str) -> bool:
    """Returns whether the list marks an instance as leaving: the platform is about to remove it.

    :raises BackendError: if the list can't be read in time.
    """
    response = await httpclient.request(platform, "GET", "/instances", seconds=LIST_TIMEOUT_SECONDS)
    entries = msgspec.json.decode(response.body, type=list[Instance])
    return any(entry.leaving for entry in entries if entry.name == instance)
