"""Fetches documents from ledger processes, apart from the heartbeats that tell of them."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from verbenashore import logs, misc, transfer
from verbenashore.client import GroupClient, Links
from verbenashore.exceptions import VerbenaError
from verbenashore.logs import Event
from verbenashore.transfer import AskPart, Assembly, Document, Part
from verbenashore.types import Clock

#: Seconds for one part from one replica: as long as it takes where other traffic leaves a part
#: 0.25 Mbit/s.
PART_SECONDS = 1.0
#: The same for the replica in the own data centre, whose line nobody in another one shares.
NEAR_PART_SECONDS = 0.5
#: Seconds before a part that did not come is asked for again.
RETRY_SECONDS = 0.1

#: Takes in the document of a version.
Take = Callable[[int, bytes], None]


class Fetcher:
    """Keeps a member's documents at the versions that heartbeats tell of.

    :param control: the way to the leader.
    :param near: where a replica in the own data centre is; "" if there is none.
    """

    def __init__(self, control: GroupClient, links: Links, clock: Clock) -> None:
        self._control = control
        self._links = links
        self._clock = clock
        self.near = ""
        self._take_by_document: dict[Document, Take] = {}
        self._wanted_by_document: dict[Document, int] = {}
        self._held_by_document: dict[Document, int] = {}
        self._task_by_document: dict[Document, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def on_document(self, document: Document, take: Take) -> None:
        """Fetches a document from now on, and hands it to a function."""
        self._take_by_document[document] = take

    def held(self, document: Document) -> int:
        """Returns the version that was fetched last; negative before the first."""
        return self._held_by_document.get(document, -1)

    def want(self, document: Document, version: int) -> None:
        """Fetches a version unless it is there."""
        if version < 0 or document not in self._take_by_document:
            return
        self._wanted_by_document[document] = version
        task = self._task_by_document.get(document)
        if self.held(document) != version and (task is None or task.done()):
            work = self._fetch(document)
            self._task_by_document[document] = misc.spawn(work, self._tasks)

    def forget(self, document: Document) -> None:
        """Fetches a document anew with the next heartbeat."""
        self._held_by_document.pop(document, None)

    async def close(self) -> None:
        """Ends what is under way."""
        await misc.cancel_and_wait(*self._tasks)

    async def _fetch(self, document: Document) -> None:
        assembly, started, failures = Assembly(), self._clock(), 0
        while self.held(document) != self._wanted_by_document[document]:
            ask = transfer.next_ask(assembly, document, self._wanted_by_document[document])
            try:
                part = await self._ask(ask, nearby=failures % 2 == 0)
                if not ask.offset:
                    # There may be a newer one by now than the heartbeat has told of.
                    self._wanted_by_document[document] = part.version
                transfer.take(assembly, part)
                if assembly.complete:
                    finished, assembly = assembly, Assembly()
                    self._finish(document, finished, started)
                    started, failures = self._clock(), 0
            except (VerbenaError, msgspec.DecodeError) as error:
                if not failures:
                    logs.warning(
                        Event.DOCUMENT_DELAYED,
                        document=document,
                        version=ask.version,
                        offset=ask.offset,
                        total=assembly.total,
                        error=str(error),
                    )
                failures += 1
                await asyncio.sleep(RETRY_SECONDS)

    def _finish(self, document: Document, assembly: Assembly, started: float) -> None:
        data = transfer.unpack(bytes(assembly.data))
        self._take_by_document[document](assembly.version, data)
        self._held_by_document[document] = assembly.version
        logs.info(
            Event.DOCUMENT_FETCHED,
            document=document,
            version=assembly.version,
            bytes=assembly.total,
            parts=assembly.parts,
            seconds=round(self._clock() - started, 4),
        )

    async def _ask(self, ask: AskPart, *, nearby: bool) -> Part:
        """Asks the leader, or the replica nearby for what all replicas have."""
        answer: Any = None
        if nearby and self.near and ask.document is Document.CONFIGURATION:
            answer = await self._links.to(self.near, bulk=True).call(ask, NEAR_PART_SECONDS)
        else:
            answer = await self._control.ask(ask, PART_SECONDS, attempt_seconds=PART_SECONDS)
        if not isinstance(answer, Part):
            raise VerbenaError("unexpected answer", step="fetch")
        return answer
