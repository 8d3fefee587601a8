"""Fetches documents from ledger processes; the replies to heartbeats hold only their versions."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from verbenashore import logs, misc, transfer
from verbenashore.client import GroupClient, LinkPool
from verbenashore.exceptions import VerbenaError
from verbenashore.logs import Event
from verbenashore.transfer import AskPart, Document, Part, PartialDocument
from verbenashore.types import Clock

#: Timeout of one part from one replica: its transfer time when other traffic leaves 0.25 Mbit/s.
PART_TIMEOUT_SECONDS = 1.0
#: The same for a replica in the local data centre, whose line carries no traffic of other data
#: centres.
NEARBY_PART_TIMEOUT_SECONDS = 0.5
#: Delay before a failed request for a part is repeated.
RETRY_DELAY_SECONDS = 0.1
#: Seconds after which a document that is still wanted is logged as overdue: within that time, a new
#: configuration is to be in force everywhere.
OVERDUE_SECONDS = 2.0

#: Called with the version and the content of a fetched document.
DocumentHandler = Callable[[int, bytes], None]


class Fetcher:
    """Keeps a member's documents at the versions that the replies to its heartbeats report.

    :param control: client of the control group, for its leader.
    :param nearby_replica: address of a replica in the local data centre; "" if there is none.
    """

    def __init__(self, control: GroupClient, links: LinkPool, clock: Clock) -> None:
        self._control = control
        self._links = links
        self._clock = clock
        self.nearby_replica = ""
        self._handler_by_document: dict[Document, DocumentHandler] = {}
        self._wanted_version_by_document: dict[Document, int] = {}
        self._fetched_version_by_document: dict[Document, int] = {}
        self._wanted_since_by_document: dict[Document, float] = {}
        self._task_by_document: dict[Document, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def set_handler(self, document: Document, handler: DocumentHandler) -> None:
        """Registers the function that is called with each fetched version of a document."""
        self._handler_by_document[document] = handler

    def fetched_version(self, document: Document) -> int:
        """Returns the version that was fetched last; negative if there is none."""
        return self._fetched_version_by_document.get(document, -1)

    def seconds_wanted(self, document: Document) -> float:
        """Returns for how long a version that isn't here has been wanted; 0 if it is here."""
        since = self._wanted_since_by_document.get(document)
        return 0.0 if since is None else self._clock() - since

    def request_version(self, document: Document, version: int) -> None:
        """Starts to fetch a version of a document, unless it was fetched last.

        A fetch that is running goes on to this version. Nothing is fetched if the version is
        negative or the document has no handler.
        """
        if version < 0 or document not in self._handler_by_document:
            return
        self._wanted_version_by_document[document] = version
        task = self._task_by_document.get(document)
        if self.fetched_version(document) != version and (task is None or task.done()):
            fetching = self._fetch(document)
            self._task_by_document[document] = misc.spawn(fetching, self._tasks)

    def discard_version(self, document: Document) -> None:
        """Discards the number of the fetched version, so that :meth:`want` fetches it again."""
        self._fetched_version_by_document.pop(document, None)

    async def close(self) -> None:
        """Cancels all fetches."""
        await misc.cancel_and_wait(*self._tasks)

    async def _fetch(self, document: Document) -> None:
        partial, started, failures = PartialDocument(), self._clock(), 0
        self._wanted_since_by_document[document] = started
        is_overdue = False
        while self.fetched_version(document) != self._wanted_version_by_document[document]:
            request = transfer.next_request(
                partial, document, self._wanted_version_by_document[document]
            )
            try:
                part = await self._request_part(request, nearby=failures % 2 == 0)
                if not request.offset:
                    # The replica may have a newer version than the last heartbeat's reply reported.
                    self._wanted_version_by_document[document] = part.version
                transfer.add_part(partial, part)
                if partial.complete:
                    complete_document, partial = partial, PartialDocument()
                    self._deliver(document, complete_document, started)
                    started, failures = self._clock(), 0
                    self._wanted_since_by_document[document] = started
            except (VerbenaError, msgspec.DecodeError) as error:
                if not failures:
                    logs.warning(
                        Event.DOCUMENT_DELAYED,
                        document=document,
                        version=request.version,
                        offset=request.offset,
                        total=partial.total,
                        error=str(error),
                    )
                failures += 1
                if not is_overdue and self.seconds_wanted(document) > OVERDUE_SECONDS:
                    is_overdue = True
                    logs.warning(
                        Event.DOCUMENT_OVERDUE,
                        document=document,
                        wanted=self._wanted_version_by_document[document],
                        version=self.fetched_version(document),
                        seconds=round(self.seconds_wanted(document), 3),
                        failures=failures,
                        leader=self._control.leader,
                        nearby=self.nearby_replica,
                    )
                await asyncio.sleep(RETRY_DELAY_SECONDS)
        del self._wanted_since_by_document[document]

    def _deliver(self, document: Document, partial: PartialDocument, started: float) -> None:
        data = transfer.decompress(bytes(partial.data))
        self._handler_by_document[document](partial.version, data)
        self._fetched_version_by_document[document] = partial.version
        logs.info(
            Event.DOCUMENT_FETCHED,
            document=document,
            version=partial.version,
            bytes=partial.total,
            parts=partial.part_count,
            seconds=round(self._clock() - started, 4),
        )

    async def _request_part(self, request: AskPart, *, nearby: bool) -> Part:
        """Requests a part from the leader or from the nearby replica.

        :param nearby: whether to request a part of the configuration from the nearby replica; only
            the leader has the other documents.
        """
        answer: Any = None
        if nearby and self.nearby_replica and request.document is Document.CONFIGURATION:
            answer = await self._links.to(self.nearby_replica, bulk=True).call(
                request, NEARBY_PART_TIMEOUT_SECONDS
            )
        else:
            answer = await self._control.ask(
                request, PART_TIMEOUT_SECONDS, attempt_seconds=PART_TIMEOUT_SECONDS
            )
        if not isinstance(answer, Part):
            raise VerbenaError("unexpected answer", step="fetch")
        return answer
