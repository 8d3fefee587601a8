"""An agent's lease on its backend server, and the orders to load models that it sends under it."""

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

CHECK_INTERVAL_SECONDS = 0.5
CONTROL_TIMEOUT_SECONDS = 2.0
#: The control group keeps a lease for longer than this after the holder's last heartbeat.
MIN_LEASE_SECONDS = 3.0
#: Timeout of an order, which must be answered while the lease is still certain.
ORDER_TIMEOUT_SECONDS = 1.5


class BackendController:
    """Holds the lease on one backend server and orders the models that are configured for it.

    :param running: the process; the lease is held by its incarnation.
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
        self._lease_confirmed_at = float("-inf")
        self._has_permit = False

    @property
    def owns_backend(self) -> bool:
        """True if the control group last named this process as the holder of the lease.

        It stays true while the control group is unavailable, so that serving continues; orders are
        sent only while :meth:`_lease_outlasts_order` holds. It becomes false when the engine
        refuses an order, until the control group confirms the lease again.
        """
        return self._lease is not None and self._lease.holder == self._holder

    async def run(self) -> None:
        """Renews the lease and sends the missing orders until it is cancelled."""
        while True:
            try:
                await self._lease_backend()
                backend = deployment.find_backend(self._view.deployment, self._backend_name)
                if backend is not None and backend.models and self.owns_backend:
                    await self._reconcile_models(backend)
            except VerbenaError as error:
                logs.warning(Event.BACKEND_FAILED, step=error.step, error=error.message)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _lease_outlasts_order(self) -> bool:
        """Returns whether an order sent now ends before the lease can pass to a successor."""
        confirmed_at = min(self._lease_confirmed_at, self._view.confirmed_at)
        return self._process.clock() + ORDER_TIMEOUT_SECONDS < confirmed_at + MIN_LEASE_SECONDS

    async def _lease_backend(self) -> None:
        asked_at = self._process.clock()
        command = LeaseBackend(self._backend_name, self._holder)
        if self.owns_backend and asked_at - self._lease_confirmed_at < MIN_LEASE_SECONDS / 3:
            return
        lease = await self._control.propose(command, CONTROL_TIMEOUT_SECONDS)
        if not isinstance(lease, BackendLease):
            return
        if lease != self._lease:
            is_holder = lease.holder == self._holder
            event = Event.BACKEND_LEASED if is_holder else Event.BACKEND_LEASE_LOST
            logs.info(event, backend=lease.backend, holder=lease.holder, fencing=lease.fencing)
        self._lease = lease
        self._lease_confirmed_at = asked_at

    async def _reconcile_models(self, backend: Backend) -> None:
        """Sends the missing orders; holds the load permit until the models are loaded."""
        state = await engine.read_state(backend.address)
        orders = self._missing_orders(backend, state)
        if orders and await self._update_permit(wanted=True):
            for order in orders:
                await self._send_order(backend, order)
        elif not orders and not state.loading and self._has_permit:
            await self._update_permit(wanted=False)

    async def _update_permit(self, *, wanted: bool) -> bool:
        limit = self._view.deployment.weights.concurrent_loads
        command = LoadPermit(self._holder, wanted, limit)
        reply = await self._control.propose(command, CONTROL_TIMEOUT_SECONDS)
        self._has_permit = wanted and isinstance(reply, Done) and reply.ok
        return self._has_permit

    async def _send_order(self, backend: Backend, order: Order) -> None:
        if not self._lease_outlasts_order():
            return
        accepted = await engine.send_order(backend.address, order, ORDER_TIMEOUT_SECONDS)
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
        configured = {m.name: m for m in self._view.deployment.model if m.name in backend.models}
        loaded = {m.name: m for m in state.models}
        loading = {m.name: m for m in state.loading}
        return [
            *(
                Order("unload", fencing, model.name, model.version, model.adapters)
                for name, model in loaded.items()
                if name not in configured
            ),
            *(
                Order("load", fencing, model.name, model.version, model.adapters)
                for name, model in configured.items()
                if not _matches(model, loaded.get(name) or loading.get(name))
            ),
        ]


def _matches(model: Model, reported: engine.LoadedModel | None) -> bool:
    return (
        reported is not None
        and reported.version == model.version
        and set(model.adapters) <= set(reported.adapters)
    )
