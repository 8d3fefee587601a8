"""What a member knows of the system: the configuration in force and the live members."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from verbenashore import deployment, logs
from verbenashore.client import ATTEMPT_SECONDS, GroupClient
from verbenashore.control import Change, read_document
from verbenashore.exceptions import DeploymentError, VerbenaError
from verbenashore.fetching import Fetcher
from verbenashore.logs import Event
from verbenashore.messages import Heartbeat, HeartbeatReply, LiveMembers, Member
from verbenashore.process import Process
from verbenashore.transfer import Document
from verbenashore.types import BackendName, MemberName, MemberRole, MemberState, Revision

HEARTBEAT_SECONDS = 0.5
HEARTBEAT_DEADLINE = 2.0
#: Seconds after an answered heartbeat in which the configuration that it named counts as the one in
#: force; one that is acknowledged meanwhile must be in force everywhere only later (2 s and more).
FRESH_SECONDS = 1.5


class SystemView:
    """Keeps a process's knowledge fresh by heartbeats; it never goes back to an older revision.

    :param parse: reads the text of a configuration.
    :param attempt: seconds for each replica that a heartbeat is sent to.
    :param confirmed_at: when the newest answered heartbeat was sent, on the process's clock.
    :param newest: the newest revision that a leader has told of.
    :param deployment: the configuration in force, as ``parse`` gave it.
    """

    def __init__(
        self,
        running: Process,
        control: GroupClient,
        role: MemberRole,
        address: str,
        backend: BackendName,
        parse: Callable[[str], Any] = deployment.parse,
        attempt: float = ATTEMPT_SECONDS,
    ) -> None:
        self._process = running
        self._control = control
        self._role = role
        self._address = address
        self._backend = backend
        self.fetcher = Fetcher(control, running.links, running.clock)
        self.fetcher.on_document(Document.CONFIGURATION, self._take_configuration)
        self.fetcher.on_document(Document.MEMBERS, self._take_members)
        self.newest = Revision(0)
        self._wake = asyncio.Event()
        self.state = MemberState.SERVING
        self.confirmed_at = float("-inf")
        self.change: Change | None = None
        self._parse = parse
        self._attempt = attempt
        self._lost = False
        self.deployment: Any = parse("")
        self.members: dict[MemberName, Member] = {}
        self.on_change: list[Callable[[], None]] = []
        self.on_reply: list[Callable[[HeartbeatReply], None]] = []

    @property
    def revision(self) -> Revision:
        """The configuration in force here."""
        return self.change.revision if self.change is not None else Revision(0)

    @property
    def drained(self) -> bool:
        """True if operators have drained this process."""
        return self.change is not None and self._process.name in self.change.drained

    def is_current(self) -> bool:
        """Tells whether the configuration here is the one in force, as far as can be known."""
        fresh = self._process.clock() - self.confirmed_at < FRESH_SECONDS
        return fresh and self.revision >= self.newest

    def set_state(self, state: MemberState) -> None:
        """Changes what this member says of itself, and says it at once."""
        self.state = state
        self._wake.set()

    async def run(self) -> None:
        """Sends heartbeats until it is cancelled."""
        try:
            while True:
                try:
                    await self.beat()
                except VerbenaError as error:
                    self._note_lost(error)
                await self._pause()
        finally:
            await self.fetcher.close()

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(HEARTBEAT_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def beat(self) -> None:
        """Sends one heartbeat, takes in its answer, and fetches what that names as new."""
        sent_at = self._process.clock()
        heartbeat = Heartbeat(self._member())
        reply = await self._control.ask(
            heartbeat, HEARTBEAT_DEADLINE, attempt_seconds=self._attempt
        )
        if not isinstance(reply, HeartbeatReply):
            raise VerbenaError("unexpected answer", step="heartbeat")
        self.confirmed_at = sent_at
        if self._lost:
            self._lost = False
            logs.info(Event.CONTROL_REGAINED, revision=self.revision)
        self._control.keep_addresses(reply.ledgers)
        self.newest = max(self.newest, reply.revision)
        for tell in self.on_reply:
            tell(reply)
        self.fetcher.nearby_replica = reply.near
        if self.newest > self.revision:
            self.fetcher.want(Document.CONFIGURATION, self.newest)
        self.fetcher.want(Document.MEMBERS, reply.members_version)
        self.fetcher.want(Document.BACKENDS, reply.backends_version)

    def _note_lost(self, error: VerbenaError) -> None:
        if not self._lost:
            age = round(self._process.clock() - self.confirmed_at, 3)
            logs.warning(Event.CONTROL_LOST, error=error.message, confirmed_age=age)
        self._lost = True

    def _member(self) -> Member:
        settings = self._process.settings
        return Member(
            self._process.name,
            self._process.incarnation,
            self._role,
            self._address,
            settings.data_centre,
            settings.region,
            self.state,
            self.revision,
            self._backend,
        )

    def _take_configuration(self, _version: int, data: bytes) -> None:
        self._install(read_document(data))

    def _install(self, change: Change) -> None:
        if change.revision <= self.revision:
            return
        started = self._process.clock()
        try:
            parsed = self._parse(change.text)
        except (DeploymentError, msgspec.DecodeError) as error:
            logs.warning(Event.CONFIGURATION_REFUSED, revision=change.revision, error=str(error))
            return
        self.change = change
        self.deployment = parsed
        self._process.revision = change.revision
        logs.info(
            Event.CONFIGURATION_INSTALLED,
            revision=change.revision,
            change=change.change,
            bytes=len(change.packed),
            seconds=round(self._process.clock() - started, 4),
        )
        # The next heartbeat tells at once that it is in force here.
        self._wake.set()
        self._tell()

    def _take_members(self, _version: int, data: bytes) -> None:
        """Takes in the list of members; an incomplete one removes nobody."""
        live = msgspec.msgpack.decode(data, type=LiveMembers)
        heard = {member.name: member for member in live.members}
        self.members = heard if live.complete else self.members | heard
        self._tell()

    def _tell(self) -> None:
        for tell in self.on_change:
            tell()
