"""The runtime round an agent's admission: pieces wait here for their slot."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from verbenashore import admission, health
from verbenashore.admission import Admission, Piece, PieceId
from verbenashore.deployment import BatchPolicy, OnlinePolicy
from verbenashore.exceptions import BackendError, OverloadedError
from verbenashore.health import Health
from verbenashore.types import Clock


class Slots:
    """Owns an agent's admission and wakes the pieces whose turn has come."""

    def __init__(self, clock: Clock, classless: bool) -> None:
        self._clock = clock
        self._turn_by_id: dict[PieceId, asyncio.Future[None]] = {}
        self._yield_by_id: dict[PieceId, Callable[[], None]] = {}
        self.state = Admission(1, OnlinePolicy(), BatchPolicy(), classless)
        self.health = Health()

    @property
    def is_paused(self) -> bool:
        """True while the backend server is left alone after a failure."""
        return health.is_paused(self.health, self._clock())

    def configure(self, slots: int, online: OnlinePolicy, batch: BatchPolicy) -> None:
        """Takes over a new configuration."""
        self.state.slots = slots
        self.state.online = online
        self.state.batch = batch
        self.pump()

    @contextlib.asynccontextmanager
    async def taken(
        self, piece: Piece, on_yield: Callable[[], None] | None = None
    ) -> AsyncIterator[None]:
        """Waits for a slot and holds it.

        :param on_yield: called when the piece has to leave the engine for online work.
        :raises OverloadedError: if the piece could not be served in time; it was not run.
        """
        if not admission.offer(self.state, piece, self._clock()):
            raise self._too_late(piece)
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._turn_by_id[piece.id] = turn
        if on_yield is not None:
            self._yield_by_id[piece.id] = on_yield
        try:
            self.pump()
            await turn
            yield
            health.note_success(self.health)
        except BackendError:
            health.note_failure(self.health, self._clock())
            raise
        finally:
            self._turn_by_id.pop(piece.id, None)
            self._yield_by_id.pop(piece.id, None)
            if not admission.withdraw(self.state, piece.id):
                admission.note_end(self.state, piece.id, self._clock())
            self.pump()

    def note_tokens(self, piece_id: PieceId, tokens: int) -> None:
        """Notes tokens of a running piece."""
        admission.note_tokens(self.state, piece_id, tokens, self._clock())

    def pump(self) -> None:
        """Starts what may start, and makes batch pieces yield."""
        now = self._clock()
        for piece_id in admission.yielding(self.state, now):
            on_yield = self._yield_by_id.pop(piece_id, None)
            if on_yield is not None:
                on_yield()
        for piece in admission.overdue(self.state, now):
            turn = self._turn_by_id.get(piece.id)
            if turn is not None and not turn.done():
                turn.set_exception(self._too_late(piece))
        for piece in admission.start_next(self.state, now):
            turn = self._turn_by_id.get(piece.id)
            if turn is not None and not turn.done():
                turn.set_result(None)

    def _too_late(self, piece: Piece) -> OverloadedError:
        wait = admission.expected_wait(self.state, piece.workspace, self._clock())
        return OverloadedError("the queue is too long", step="admit", retry_after=wait)
