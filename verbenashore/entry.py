"""``verbena-entry``: serves callers and operators, and assigns online requests to agents."""

import argparse
import asyncio
import sys
from collections.abc import Sequence

from verbenashore import httpserver, logs, placement, process, settings
from verbenashore.admin import AdminInterface
from verbenashore.agentguard import AgentGuard
from verbenashore.batches import BatchInterface
from verbenashore.callers import CallerDirectory
from verbenashore.exceptions import NotFoundError
from verbenashore.httpserver import Request, Responder
from verbenashore.limits import WorkspaceUsageTable
from verbenashore.logs import Event
from verbenashore.online import OnlineInterface
from verbenashore.placement import Location, Placement, Target
from verbenashore.process import Process
from verbenashore.settings import Setting
from verbenashore.shards import ShardClients, renew_session
from verbenashore.streams import StreamRunner
from verbenashore.types import BackendName, MemberName, MemberRole, MemberState
from verbenashore.view import SystemView

PROGRAM = "verbena-entry"

SETTINGS = (
    *settings.COMMON,
    Setting("listen", settings.parse_address, "IP:PORT to listen on for callers and operators"),
    Setting(
        "ledgers",
        settings.parse_addresses,
        "addresses of the ledger processes, IP:PORT separated by commas",
    ),
    Setting("shards", settings.parse_count, "number of shards of the work ledger", "1"),
    Setting("operator-key", str, "SHA-256 of the operators' key, as sha256:HEX"),
    Setting(
        "subset",
        settings.parse_count,
        "maximum number of agents of each service that this entry uses",
        "400",
    ),
    Setting(
        "lame-duck",
        settings.parse_seconds,
        "seconds at a stop for which requests are still accepted after /readyz reports not ready",
        "1",
    ),
    Setting(
        "policy",
        settings.parse_choice("classes", "baseline"),
        "baseline assigns requests to agents round-robin; for comparison only",
        "classes",
    ),
)


class EntryProcess:
    """The HTTP interfaces of one entry and the state that they share."""

    def __init__(self, running: Process) -> None:
        self._process = running
        self._settings = running.settings
        self._shards = ShardClients(
            running.links, self._settings.ledgers, self._settings.shards, running.clock
        )
        self._view = SystemView(
            running,
            self._shards.control,
            MemberRole.ENTRY,
            str(self._settings.listen),
            BackendName(""),
        )
        self._view.on_change.append(self._apply_changes)
        self._placement = Placement(self._settings.region, self._settings.policy == "baseline")
        self._limits = WorkspaceUsageTable()
        self._callers = CallerDirectory(self._view)
        streams = StreamRunner(running.links, self._placement, running.clock)
        streams.count = running.metrics.count
        running.start_task(streams.poll_avoided_agents())
        guard = AgentGuard(process.new_crashed_calls(running), running.metrics)
        self._online = OnlineInterface(
            running,
            self._view,
            self._shards,
            self._callers,
            self._limits,
            streams,
            self._placement,
            guard,
        )
        self._batches = BatchInterface(running, self._view, self._shards, self._callers)
        self._admin = AdminInterface(running, self._shards)

    async def run(self) -> None:
        """Serves until stopped, then finishes the requests in progress."""
        closing = asyncio.Event()
        stop_serving = asyncio.Event()
        server_task = asyncio.create_task(
            httpserver.serve(
                str(self._settings.listen),
                self.handle,
                stop_serving,
                closing,
                httpserver.ServerLimits(budget=self._process.budget),
            )
        )
        self._process.start_task(server_task)
        self._process.start_task(self._view.run())
        holder = MemberName(self._process.incarnation)
        for client in self._shards.by_group.values():
            self._process.start_task(renew_session(client, holder, lambda: [], lambda _: None))
        await self._process.wait_for_stop()
        logs.info(Event.STOPPING)
        self._process.ready = False
        self._view.set_state(MemberState.DRAINING)
        closing.set()
        await asyncio.sleep(self._settings.lame_duck)
        stop_serving.set()
        await server_task
        await self._shards.release(holder)

    async def handle(self, request: Request, respond: Responder) -> None:
        """Passes one request to the interface that serves its path."""
        if await process.answer_health(self._process, request, respond):
            return
        for interface in (self._online, self._batches, self._admin):
            if await interface.handle_request(request, respond):
                return
        raise NotFoundError(
            f"no route for {request.method} {request.path}",
            step="route",
            field="path",
            not_run=True,
        )

    def _apply_changes(self) -> None:
        """Applies a new configuration or member list."""
        deployment = self._view.deployment
        backend_by_name = {backend.name: backend for backend in deployment.backend}
        targets: list[Target] = []
        for member in self._view.members.values():
            backend = backend_by_name.get(member.backend)
            if backend is None or member.state is not MemberState.SERVING:
                continue
            target = placement.new_target(member, backend.slots, backend.models, backend.service)
            targets.append(target)
        place = Location(self._settings.data_centre, self._settings.region)
        chosen_targets = placement.choose_subset(
            targets, self._process.name, place, self._settings.subset
        )
        placement.update_targets(self._placement, chosen_targets)
        entries = [m for m in self._view.members.values() if m.role is MemberRole.ENTRY]
        self._limits.entry_count = max(1, len(entries))
        self._callers.update(deployment)
        self._process.ready = self._view.state is MemberState.SERVING and bool(deployment.workspace)


async def _run_entry(running: Process) -> None:
    await EntryProcess(running).run()


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program; returns its exit code."""
    values: argparse.Namespace = settings.read_or_exit(
        PROGRAM,
        "Serves callers and operators, and assigns online requests to agents.",
        SETTINGS,
        arguments,
    )
    return process.run(values, _run_entry)


if __name__ == "__main__":
    sys.exit(main())
