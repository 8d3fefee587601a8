"""An agent's hold on its backend server, and the orders it gives under it."""

import asyncio

from verbenashore import deployment, engine, logs
from verbenashore.client import GroupClient
from verbenashore.control import BackendLease, LeaseBackend, LoadPermit
from verbenashore.deployment import Backend, Model
from verbenashore.engine import EngineState, Order
from verbenashore.exceptions import VerbenaError
from verbenashore.files import Done
from verbenashore.logs import Event
from verbenashore.process import Process
from verbenashore.types import BackendName, MemberName
from verbenashore.view import SystemView

CHECK_SECONDS = 0.5
CONTROL_SECONDS = 2.0
#: A lease lasts longer than this after the last confirmed heartbeat.
LEASE_SECONDS = 3.0
#: An order must have been answered while the lease is certain.
ORDER_SECONDS = 1.5


class OrderKeeper:
    """Holds the lease on one backend server and brings its models to what is configured.

    :param running: the process, whose incarnation holds the lease.
    """

    def __init__(
        self, running: Process, view: SystemView, control: GroupClient, backend: BackendName
    ) -> None:
        self._process = running
        self._view = view
        self._control = control
        self._backend_name = backend
        self._holder = MemberName(running.incarnation)
        self._lease: BackendLease | None = None
        self._checked_at = float("-inf")
        self._has_permit = False

    @property
    def owns_backend(self) -> bool:
        """True unless another process is known to hold the backend server.

        Serving goes on through a loss of the control group; orders need :meth:`_is_certain`.
        """
        return self._lease is not None and self._lease.holder == self._holder

    async def run(self) -> None:
        """Keeps lease and models right until it is cancelled."""
        while True:
            try:
                await self._lease_backend()
                backend = deployment.find_backend(self._view.deployment, self._backend_name)
                if backend is not None and backend.models and self.owns_backend:
                    await self._bring_models(backend)
            except VerbenaError as error:
                logs.warning(Event.BACKEND_FAILED, step=error.step, error=error.message)
            await asyncio.sleep(CHECK_SECONDS)

    def _is_certain(self) -> bool:
        """True while the lease can't have passed to a successor before an order is answered."""
        confirmed = min(self._checked_at, self._view.confirmed_at)
        return self._process.clock() + ORDER_SECONDS < confirmed + LEASE_SECONDS

    async def _lease_backend(self) -> None:
        asked_at = self._process.clock()
        command = LeaseBackend(self._backend_name, self._holder)
        if self.owns_backend and asked_at - self._checked_at < LEASE_SECONDS / 3:
            return
        lease = await self._control.propose(command, CONTROL_SECONDS)
        if not isinstance(lease, BackendLease):
            return
        if lease != self._lease:
            mine = lease.holder == self._holder
            event = Event.BACKEND_LEASED if mine else Event.BACKEND_LEASE_LOST
            logs.info(event, backend=lease.backend, holder=lease.holder, fencing=lease.fencing)
        self._lease = lease
        self._checked_at = asked_at

    async def _bring_models(self, backend: Backend) -> None:
        """Orders what is missing; the permit is held until the engine has loaded it."""
        state = await engine.read_state(backend.address)
        orders = self._missing_orders(backend, state)
        if orders and await self._permit(wanted=True):
            for order in orders:
                await self._give(backend, order)
        elif not orders and not state.loading and self._has_permit:
            await self._permit(wanted=False)

    async def _permit(self, *, wanted: bool) -> bool:
        limit = self._view.deployment.weights.concurrent_loads
        command = LoadPermit(self._holder, wanted, limit)
        answer = await self._control.propose(command, CONTROL_SECONDS)
        self._has_permit = wanted and isinstance(answer, Done) and answer.ok
        return self._has_permit

    async def _give(self, backend: Backend, order: Order) -> None:
        if not self._is_certain():
            return
        accepted = await engine.send_order(backend.address, order, ORDER_SECONDS)
        logs.info(
            Event.ORDER_SENT,
            backend=backend.name,
            action=order.action,
            model=order.model,
            fencing=order.fencing,
            accepted=accepted,
        )
        if not accepted:
            self._lease = None

    def _missing_orders(self, backend: Backend, state: EngineState) -> list[Order]:
        assert self._lease is not None
        fencing = self._lease.fencing
        wanted = {m.name: m for m in self._view.deployment.model if m.name in backend.models}
        loaded = {m.name: m for m in state.models}
        coming = {m.name: m for m in state.loading}
        return [
            *(
                Order("unload", fencing, model.name, model.version, model.adapters)
                for name, model in loaded.items()
                if name not in wanted
            ),
            *(
                Order("load", fencing, model.name, model.version, model.adapters)
                for name, model in wanted.items()
                if not _is_loaded(model, loaded.get(name) or coming.get(name))
            ),
        ]


def _is_loaded(model: Model, loaded: engine.LoadedModel | None) -> bool:
    return (
        loaded is not None
        and loaded.version == model.version
        and set(model.adapters) <= set(loaded.adapters)
    )
