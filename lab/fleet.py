"""Runs a deployment as separate processes on loopback, for tests and measurements."""

import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from verbenashore import deployment
from verbenashore.deployment import Backend, Deployment
from verbenashore.exceptions import VerbenaError
from verbenashore.remote import Client
from verbenashore.types import ServiceKind

ROOT = Path(__file__).resolve().parent.parent
OPERATOR_KEY = "operator-key"
START_SECONDS = 20.0
STOP_SECONDS = 30.0


def reserve_address() -> tuple[str, socket.socket]:
    """Returns a free loopback address and the socket that reserves its port while it is open.

    Without the open socket, the kernel could assign the same port to the next outgoing connection.
    The socket has SO_REUSEADDR and doesn't listen, so that a server can still bind the address.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return f"127.0.0.1:{reservation.getsockname()[1]}", reservation


def wait_until(condition: Callable[[], Any], seconds: float, description: str) -> Any:
    """Polls a condition until its value is true, and returns that value.

    A request or connection that fails counts as a condition that isn't met yet.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if value := condition():
                return value
        except (VerbenaError, OSError):
            pass
        threading.Event().wait(0.05)
    raise AssertionError(f"condition not met within {seconds} s: {description}")


class Fleet:
    """One deployment; each process can be killed, frozen and restarted by its name.

    :param example: name of the deployment file; its addresses are replaced by free ones.
    :param trace: whether the ledger processes write traces.
    :param change: edits the text of the deployment file.
    :param launch: starts a process with a name and a command; by default as a child process.
    """

    def __init__(
        self,
        example: str,
        *,
        entries: int = 1,
        ledgers: int = 3,
        policy: str = "classes",
        engine_flags: tuple[str, ...] = (),
        trace: bool = False,
        change: Callable[[str], str] = lambda text: text,
        launch: Callable[[str, list[str]], None] | None = None,
    ) -> None:
        self._launch = launch or self._start_process
        self._reservations: list[socket.socket] = []
        self.relay_control_by_name: dict[str, str] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="verbena-"))
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.command_by_name: dict[str, list[str]] = {}
        self.address_by_name: dict[str, str] = {}
        self.text = self._assign_backend_addresses(
            change((ROOT / "examples" / example).read_text())
        )
        self.deployed: Deployment = deployment.parse(self.text)
        self._trace = trace
        self._engine_flags = engine_flags
        self._policy = policy
        self.ledger_names = [f"ledger-{number + 1}" for number in range(ledgers)]
        self.entry_names = [f"entry-{number + 1}" for number in range(entries)]
        for name in (*self.ledger_names, *self.entry_names):
            self.address_by_name[name] = self._reserve_address()

    def _reserve_address(self) -> str:
        """Returns a loopback address that is reserved until the fleet stops."""
        address, reservation = reserve_address()
        self._reservations.append(reservation)
        return address

    def _assign_backend_addresses(self, text: str) -> str:
        """Returns a deployment file in which each backend server has a free loopback address."""

        def replace(match: re.Match[str]) -> str:
            address = self._reserve_address()
            self.address_by_name[match[1]] = address
            return f'name = "{match[1]}"\naddress = "{address}"'

        return re.sub(r'name = "([^"]+)"\naddress = "[^"]+"', replace, text)

    @property
    def ledger_addresses(self) -> str:
        """The value of the setting for the addresses of all ledger processes."""
        return ",".join(self.advertised_address(name) for name in self.ledger_names)

    @property
    def initial_replicas(self) -> str:
        """The value of the setting for the initial replicas."""
        pairs = (f"{name}={self.address_by_name[name]}" for name in self.ledger_names[:3])
        return ",".join(pairs)

    def start(self) -> None:
        """Starts all processes, applies the deployment file and waits until all of them serve."""
        self.start_processes()
        client = self.client(OPERATOR_KEY)
        wait_until(
            lambda: client.apply(self.text, 0, "first", "test"),
            START_SECONDS,
            "first configuration applied",
        )
        self.wait_serving()

    def start_processes(self) -> None:
        """Starts every process of the deployment, without waiting for any."""
        for backend in self.deployed.backend:
            self.start_backend(backend)
            self.start_agent(backend)
        for name in self.ledger_names:
            self.start_ledger(name)
        for name in self.entry_names:
            self.start_entry(name)

    def wait_serving(self) -> None:
        """Waits until configuration and models are in place and every agent has its lease."""
        client = self.client(OPERATOR_KEY)
        member_count = len(self.deployed.backend) + len(self.entry_names)

        def in_force() -> bool:
            status = client.status()
            return status["in_force"] and len(status["members"]) >= member_count

        wait_until(in_force, START_SECONDS, "configuration in force on all members")
        for backend in self.deployed.backend:
            if backend.models:
                wait_until(
                    lambda b=backend: self.engine_state(b.name)["models"],
                    START_SECONDS,
                    f"models loaded on {backend.name}",
                )
        services = {backend.service for backend in self.deployed.backend}
        wait_until(
            lambda: self._all_agents_leased(len(services)),
            START_SECONDS,
            "all agents have leased their backend server",
        )

    def _all_agents_leased(self, service_count: int) -> bool:
        logs = [self.log(f"agent-{backend.name}") for backend in self.deployed.backend]
        return service_count > 0 and all("backend_leased" in log for log in logs)

    def start_backend(self, backend: Backend) -> None:
        """Starts the stand-in for one backend server."""
        kind = next(s.kind for s in self.deployed.service if s.name == backend.service)
        is_model = kind is ServiceKind.MODEL
        module = "standins.engine" if is_model else "standins.service"
        address = self.address_by_name[backend.name]
        command = [sys.executable, "-m", module, "--listen", address]
        if is_model:
            command += ["--running", str(backend.slots), *self._engine_flags]
        self.spawn(backend.name, command)

    def start_agent(self, backend: Backend, name: str = "", *extra: str) -> None:
        """Starts an agent for one backend server."""
        name = name or f"agent-{backend.name}"
        self.address_by_name.setdefault(name, self._reserve_address())
        command = self._program_command("agent", name, backend.data_centre)
        command += ["--backend", backend.name, "--ledgers", self.ledger_addresses, *extra]
        command += ["--policy", self._policy, *self._advertise_flags(name)]
        self.spawn(name, command)

    def start_ledger(self, name: str, *extra: str) -> None:
        """Starts one ledger process."""
        self.address_by_name.setdefault(name, self._reserve_address())
        command = self._program_command("ledger", name, f"dc-{name}")
        command += ["--data", str(self.folder / name), "--initial", self.initial_replicas]
        if self._trace:
            command += ["--trace", str(self.folder / f"trace-{name}")]
        self.spawn(name, [*command, *self._advertise_flags(name), *extra])

    def start_entry(self, name: str, *extra: str) -> None:
        """Starts one entry."""
        command = self._program_command("entry", name, "dc-1")
        command += ["--ledgers", self.ledger_addresses, "--policy", self._policy]
        command += ["--operator-key", deployment.hash_key(OPERATOR_KEY), *extra]
        self.spawn(name, command)

    def start_platform(self) -> str:
        """Starts the stand-in for the platform and returns its address."""
        address = self._reserve_address()
        self.spawn("platform", [sys.executable, "-m", "standins.platform", "--listen", address])
        wait_until(
            lambda: Client(address, "").request_json("GET", "/instances") == [],
            START_SECONDS,
            "platform lists instances",
        )
        return address

    def start_relay(self, name: str) -> str:
        """Starts a TCP relay in front of a process and returns the relay's address.

        An agent or ledger process that is started afterwards advertises that address.
        """
        target = self.address_by_name.setdefault(name, self._reserve_address())
        listen_address, control_address = self._reserve_address(), self._reserve_address()
        self.relay_control_by_name[name] = control_address
        command = [sys.executable, "-m", "standins.relay", "--listen", listen_address]
        self.spawn(f"relay-{name}", [*command, "--target", target, "--control", control_address])
        wait_until(
            lambda: self.tell_relay(name, "unblock"), START_SECONDS, "relay accepts commands"
        )
        self.address_by_name[f"relay-{name}"] = listen_address
        return listen_address

    def relay_before_backend(self, name: str) -> None:
        """Starts a relay in front of a backend server, and configures its address instead."""
        address = self.address_by_name[name]
        self.start_relay(name)
        relay_address = self.address_by_name[f"relay-{name}"]
        self.text = self.text.replace(f'"{address}"', f'"{relay_address}"')
        self.deployed = deployment.parse(self.text)

    def tell_relay(self, name: str, command: str) -> bool:
        """Sends a command to the relay of a process, and returns whether it was acknowledged."""
        host, _, port = self.relay_control_by_name[name].rpartition(":")
        with socket.create_connection((host, int(port)), START_SECONDS) as connection:
            connection.sendall(f"{command}\n".encode())
            return connection.recv(16) == b"ok\n"

    def advertised_address(self, name: str) -> str:
        """Returns the address that a process advertises: its relay's if it has one."""
        return self.address_by_name.get(f"relay-{name}", self.address_by_name[name])

    def _advertise_flags(self, name: str) -> list[str]:
        relay_address = self.address_by_name.get(f"relay-{name}")
        return ["--advertise", relay_address] if relay_address else []

    def _program_command(self, role: str, name: str, data_centre: str) -> list[str]:
        return [
            sys.executable,
            "-m",
            f"verbenashore.{role}",
            *("--name", name, "--data-centre", data_centre),
            *("--listen", self.address_by_name[name]),
        ]

    def spawn(self, name: str, command: list[str]) -> None:
        """Starts a process under a name, and remembers its command for a restart."""
        self.command_by_name[name] = command
        self._launch(name, command)

    def _start_process(self, name: str, command: list[str]) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=os.environ
            )

    def restart(self, name: str) -> None:
        """Starts a process again with the same command."""
        self.spawn(name, self.command_by_name[name])

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process.

        :raises AssertionError: if the process has ended by itself.
        """
        process = self.process_by_name[name]
        code = process.poll()
        assert code is None, f"{name} ended with code {code} before it was sent {number!r}"
        process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has exited."""
        self.signal(name, signal.SIGKILL)
        self.process_by_name[name].wait(STOP_SECONDS)

    def terminate(self, name: str) -> int:
        """Stops a process gracefully and returns its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.process_by_name[name].wait(STOP_SECONDS)

    def ended(self) -> dict[str, int]:
        """Returns the exit codes of the processes that have ended, by name."""
        codes = {name: process.poll() for name, process in self.process_by_name.items()}
        return {name: code for name, code in codes.items() if code is not None}

    def log(self, name: str) -> str:
        """Returns the log output of a process, including that of earlier starts."""
        return (self.folder / f"{name}.log").read_text()

    def client(self, key: str, entry: str = "entry-1") -> Client:
        """Returns a client that connects to one entry."""
        return Client(self.address_by_name[entry], key)

    def engine_state(self, backend: str) -> dict[str, Any]:
        """Returns the state that a stand-in engine reports."""
        return self.engine_state_of(backend, "/state")

    def engine_state_of(self, backend: str, path: str) -> dict[str, Any]:
        """Returns a JSON document of a backend server's stand-in."""
        return Client(self.address_by_name[backend], "").request_json("GET", path)

    def leader(self, group: int) -> str:
        """Returns the name of the process that leads a group, or an empty string."""
        status = self.client(OPERATOR_KEY).status()
        leaders = [
            ledger["name"]
            for ledger in status["ledgers"]
            for group_status in ledger.get("groups", [])
            if group_status["group"] == group and group_status["role"] == "leader"
        ]
        return leaders[0] if leaders else ""

    def stop(self) -> None:
        """Kills every process of this fleet and releases the reserved addresses."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait(STOP_SECONDS)
        for reservation in self._reservations:
            reservation.close()

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()
