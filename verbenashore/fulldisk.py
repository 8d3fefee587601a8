"""Repeats writes that the disk of a replica refuses for lack of space.

A refused write holds up its replica like a slow disk does: nothing that depends on the write is
sent or applied before the write has succeeded.  *Load*: four attempts a second for each replica.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from pathlib import Path

import msgspec

from verbenashore import logs, misc, storage
from verbenashore.exceptions import DiskFullError
from verbenashore.logs import Event
from verbenashore.storage import DataFolder, RecoveredData
from verbenashore.types import Clock, GroupId

#: Seconds between two attempts at a write of the log: less than the shortest election timeout, so
#: that a replica can vote soon after its disk has space again.
RETRY_SECONDS = 0.25
#: Seconds between two attempts to open a data folder, to write a snapshot, or to install one.  Each
#: attempt reads or writes the whole state.
LONG_RETRY_SECONDS = 2.0

OpenedFolder = tuple[DataFolder, RecoveredData]


class Step(Enum):
    """What the disk refused to write."""

    OPEN = "open"
    LOG = "log"
    INSTALL = "install"
    SNAPSHOT = "snapshot"
    PEERS = "peers"


#: The steps without which a replica can neither acknowledge anything nor vote.
LOG_STEPS = frozenset({Step.LOG, Step.INSTALL})


class Refusal(msgspec.Struct):
    """Writes that the disk refuses at present.

    :param since: when the first one was refused.
    :param count: how many attempts were refused.
    """

    since: float
    count: int = 0


class FullDisk:
    """Which writes the disk of one replica refuses, and since when.

    :param refused_count: all attempts that were refused since the start.
    """

    def __init__(self, group: GroupId, clock: Clock) -> None:
        self._group = group
        self._clock = clock
        self._refusal_by_step: dict[Step, Refusal] = {}
        self.refused_count = 0

    @property
    def refuses_log(self) -> bool:
        """True while the replica waits for a write without which it can do nothing."""
        return any(step in LOG_STEPS for step in self._refusal_by_step)

    def seconds(self) -> float:
        """Returns for how long the disk has refused writes; 0 if it doesn't."""
        begun = min((refusal.since for refusal in self._refusal_by_step.values()), default=None)
        return 0.0 if begun is None else self._clock() - begun

    def record_refused(self, step: Step, error: DiskFullError) -> bool:
        """Records a refused write; returns whether it is the first one in a row."""
        self.refused_count += 1
        is_first = step not in self._refusal_by_step
        if is_first:
            self._refusal_by_step[step] = Refusal(self._clock())
            logs.warning(
                Event.DISK_FULL,
                group=self._group,
                step=step.value,
                path=error.peer,
                error=error.message,
            )
        self._refusal_by_step[step].count += 1
        return is_first

    def record_written(self, step: Step) -> None:
        """Records a write that succeeded."""
        refusal = self._refusal_by_step.pop(step, None)
        if refusal is not None:
            logs.info(
                Event.DISK_WRITABLE,
                group=self._group,
                step=step.value,
                seconds=round(self._clock() - refusal.since, 3),
                attempts=refusal.count,
            )

    def drop_refused(self, step: Step) -> None:
        """Drops the record of a refused write that is no longer needed, and so isn't repeated."""
        self._refusal_by_step.pop(step, None)

    async def write(
        self,
        step: Step,
        write: Callable[[], None],
        on_refused: Callable[[bool], None] = lambda _is_first: None,
    ) -> None:
        """Writes in a thread until the disk has space.

        :param write: may be called again after it was refused.
        :param on_refused: called after each refused attempt, with whether it is the first one.
        :raises StorageError: if the write fails for another reason.
        """
        while True:
            try:
                await asyncio.to_thread(write)
            except DiskFullError as error:
                on_refused(self.record_refused(step, error))
            else:
                self.record_written(step)
                return
            await asyncio.sleep(RETRY_SECONDS if step is Step.LOG else LONG_RETRY_SECONDS)


async def open_folder(path: Path, disk: FullDisk, stopping: asyncio.Event) -> OpenedFolder | None:
    """Opens a data folder as soon as its disk has space; returns None if ``stopping`` is set first.

    :raises StorageError: if it can't be opened for another reason.
    """
    opened: list[OpenedFolder] = []
    opening = asyncio.create_task(
        disk.write(Step.OPEN, lambda: opened.append(storage.open_folder(path)))
    )
    stop = asyncio.create_task(stopping.wait())
    try:
        await asyncio.wait({opening, stop}, return_when=asyncio.FIRST_COMPLETED)
        if not opening.done():
            return None
        opening.result()
        return opened[0]
    finally:
        await misc.cancel_and_wait(opening, stop)
