"""A member's view of the system: the configuration in force and the live members."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from verbenashore import deployment, logs, members
from verbenashore.client import ATTEMPT_SECONDS, GroupClient
from verbenashore.control import Change, decode_change
from verbenashore.exceptions import DeploymentError, UnavailableError, VerbenaError
from verbenashore.fetching import Fetcher
from verbenashore.logs import Event
from verbenashore.messages import Heartbeat, HeartbeatReply, LiveMembers, Member
from verbenashore.process import Process
from verbenashore.transfer import Document
from verbenashore.types import BackendName, MemberName, MemberRole, MemberState, Revision

HEARTBEAT_INTERVAL_SECONDS = 0.5
#: Timeout of one heartbeat, over all attempts.
HEARTBEAT_TIMEOUT_SECONDS = 2.0
#: Seconds after the sending of an answered heartbeat for which the revision in its answer counts as
#: the newest. A newer revision that is acknowledged in that time need not be in force everywhere
#: before the time is over: 2 s or more are allowed for that.
FRESH_SECONDS = 1.5


class SystemView:
    """Updates a process's view by heartbeats; never returns to an older revision.

    :param parse: parses the text of a configuration.
    :param attempt_seconds: timeout of one attempt to send a heartbeat.
    :param state: the state that this member reports in its heartbeats.
    :param change: the change that created the revision in force here; None before the first.
    :param confirmed_at: when the newest answered heartbeat was sent, on the process's clock;
        negative infinity before the first.
    :param confirmed_unix_at: the same as a Unix time, which goes on while the machine is suspended.
    :param confirmed_by: the address of the leader that answered it.
    :param confirmed_term: the term of that leader.
    :param newest_revision: the newest revision that a leader has reported.
    :param deployment: the configuration in force here, as returned by ``parse``.
    """

    def __init__(
        self,
        process: Process,
        control: GroupClient,
        role: MemberRole,
        address: str,
        backend: BackendName,
        parse: Callable[[str], Any] = deployment.parse,
        attempt_seconds: float = ATTEMPT_SECONDS,
    ) -> None:
        self._process = process
        self._control = control
        self._role = role
        self._address = address
        self._backend = backend
        self.fetcher = Fetcher(control, process.links, process.clock)
        self.fetcher.set_handler(Document.CONFIGURATION, self._receive_configuration)
        self.fetcher.set_handler(Document.MEMBERS, self._receive_members)
        for document in Document:
            process.metrics.set_gauge(
                f"{document.value}.seconds_wanted", partial(self.fetcher.seconds_wanted, document)
            )
        self.newest_revision = Revision(0)
        self._wake = asyncio.Event()
        self.state = MemberState.SERVING
        self.confirmed_at = float("-inf")
        self.confirmed_unix_at = float("-inf")
        self.confirmed_by = ""
        self.confirmed_term = 0
        self.change: Change | None = None
        self._parse = parse
        self._attempt_seconds = attempt_seconds
        self._control_lost = False
        self.deployment: Any = parse("")
        self.members: dict[MemberName, Member] = {}
        self.on_change: list[Callable[[], None]] = []
        self.on_reply: list[Callable[[HeartbeatReply], None]] = []

    @property
    def revision(self) -> Revision:
        """The revision of the configuration in force here."""
        return self.change.revision if self.change is not None else Revision(0)

    @property
    def drained(self) -> bool:
        """True if operators have drained this process."""
        return self.change is not None and self._process.name in self.change.drained

    def is_current(self) -> bool:
        """Returns whether the configuration here is the newest, according to a recent heartbeat."""
        fresh = self._process.clock() - self.confirmed_at < FRESH_SECONDS
        return fresh and self.revision >= self.newest_revision

    def confirmation_fields(self) -> dict[str, object]:
        """Returns by whom and when the newest revision was last confirmed, as log fields."""
        return {
            "newest": self.newest_revision,
            "confirmed_by": self.confirmed_by,
            "confirmed_term": self.confirmed_term,
            "confirmed_age": _rounded(self._process.clock() - self.confirmed_at),
            "confirmed_unix_age": _rounded(self._process.unix_clock() - self.confirmed_unix_at),
        }

    def set_state(self, state: MemberState) -> None:
        """Changes the state that this member reports, and sends a heartbeat at once."""
        self.state = state
        self._wake.set()

    async def run(self) -> None:
        """Sends heartbeats until it is cancelled."""
        try:
            while True:
                try:
                    await self.send_heartbeat()
                except VerbenaError as error:
                    self._record_control_lost(error)
                await self._wait_for_next_heartbeat()
        finally:
            await self.fetcher.close()

    async def _wait_for_next_heartbeat(self) -> None:
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def send_heartbeat(self) -> None:
        """Sends one heartbeat, and starts to fetch the new versions that its answer reports."""
        sent_at, sent_unix_at = self._process.clock(), self._process.unix_clock()
        heartbeat = Heartbeat(self._describe_member())
        reply = await self._control.ask(
            heartbeat, HEARTBEAT_TIMEOUT_SECONDS, attempt_seconds=self._attempt_seconds
        )
        if not isinstance(reply, HeartbeatReply):
            raise VerbenaError("unexpected answer", step="heartbeat")
        term = members.term_of(reply.members_version)
        if term < self.confirmed_term:
            raise UnavailableError(
                f"a leader of term {term} answered after one of term {self.confirmed_term}",
                step="heartbeat",
                peer=self._control.leader,
            )
        self.confirmed_at, self.confirmed_unix_at = sent_at, sent_unix_at
        self._record_leader(term, reply)
        if self._control_lost:
            self._control_lost = False
            logs.info(Event.CONTROL_REGAINED, revision=self.revision)
        self._control.set_addresses(reply.ledgers)
        self.newest_revision = max(self.newest_revision, reply.revision)
        for callback in self.on_reply:
            callback(reply)
        self.fetcher.nearby_replica = reply.nearby_replica
        if self.newest_revision > self.revision:
            self.fetcher.request_version(Document.CONFIGURATION, self.newest_revision)
        self.fetcher.request_version(Document.MEMBERS, reply.members_version)
        self.fetcher.request_version(Document.BACKENDS, reply.backends_version)

    def _record_leader(self, term: int, reply: HeartbeatReply) -> None:
        leader = self._control.leader
        if (leader, term) != (self.confirmed_by, self.confirmed_term):
            logs.info(
                Event.LEADER_CHANGED,
                leader=leader,
                term=term,
                revision=reply.revision,
                former=self.confirmed_by,
                former_term=self.confirmed_term,
            )
        self.confirmed_by, self.confirmed_term = leader, term

    def _record_control_lost(self, error: VerbenaError) -> None:
        if not self._control_lost:
            age = round(self._process.clock() - self.confirmed_at, 3)
            logs.warning(Event.CONTROL_LOST, error=error.message, confirmed_age=age)
        self._control_lost = True

    def _describe_member(self) -> Member:
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

    def _receive_configuration(self, _version: int, data: bytes) -> None:
        self._install_configuration(decode_change(data))

    def _install_configuration(self, change: Change) -> None:
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
        # Sends a heartbeat at once, which reports that the revision is in force here.
        self._wake.set()
        self._notify()

    def _receive_members(self, _version: int, data: bytes) -> None:
        """Updates the members from a fetched list; an incomplete list removes none."""
        live = msgspec.msgpack.decode(data, type=LiveMembers)
        listed = {member.name: member for member in live.members}
        self.members = listed if live.complete else self.members | listed
        self._notify()

    def _notify(self) -> None:
        for callback in self.on_change:
            callback()


def _rounded(seconds: float) -> float | None:
    """Returns an age for the logs; None for that of something that never was."""
    return None if seconds == float("inf") else round(seconds, 3)
