"""Starts a deployment as separate processes on loopback, for tests and measurements."""

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
    """Returns a loopback address, and the socket that keeps its port from everybody else.

    A port that was only asked for and given back may be the next one that the kernel chooses for a
    connection.  The socket doesn't listen, so that a server may still bind the address.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    return f"127.0.0.1:{held.getsockname()[1]}", held


def wait_until(condition: Callable[[], Any], seconds: float, what: str) -> Any:
    """Waits until a condition holds and returns its value."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if value := condition():
                return value
        except (VerbenaError, OSError):
            pass
        threading.Event().wait(0.05)
    raise AssertionError(f"not in {seconds} s: {what}")


class Fleet:
    """One deployment; each process can be killed, frozen and started again by its name.

    :param example: the deployment file, whose addresses are replaced.
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
        spawn: Callable[[str, list[str]], None] | None = None,
    ) -> None:
        self._spawn = spawn or self._start_process
        self._held: list[socket.socket] = []
        self.relay_by_name: dict[str, str] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="verbena-"))
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.command_by_name: dict[str, list[str]] = {}
        self.address_by_name: dict[str, str] = {}
        self.text = self._with_addresses(change((ROOT / "examples" / example).read_text()))
        self.deployed: Deployment = deployment.parse(self.text)
        self._trace = trace
        self._engine_flags = engine_flags
        self._policy = policy
        self.ledger_names = [f"ledger-{number + 1}" for number in range(ledgers)]
        self.entry_names = [f"entry-{number + 1}" for number in range(entries)]
        for name in (*self.ledger_names, *self.entry_names):
            self.address_by_name[name] = self._free_address()

    def _free_address(self) -> str:
        """Returns an address that is this fleet's until it stops."""
        address, held = reserve_address()
        self._held.append(held)
        return address

    def _with_addresses(self, text: str) -> str:
        """Gives each backend server of a file an address of the kernel's choice."""

        def replace(match: re.Match[str]) -> str:
            address = self._free_address()
            self.address_by_name[match[1]] = address
            return f'name = "{match[1]}"\naddress = "{address}"'

        return re.sub(r'name = "([^"]+)"\naddress = "[^"]+"', replace, text)

    @property
    def ledgers(self) -> str:
        """The addresses of all ledger processes, as a setting."""
        return ",".join(self.advertised_address(name) for name in self.ledger_names)

    @property
    def initial(self) -> str:
        """The initial replicas, as a setting."""
        pairs = (f"{name}={self.address_by_name[name]}" for name in self.ledger_names[:3])
        return ",".join(pairs)

    def start(self) -> None:
        """Starts everything, applies the deployment file and waits until all serve."""
        self.start_processes()
        client = self.client(OPERATOR_KEY)
        wait_until(
            lambda: client.apply(self.text, 0, "first", "test"), START_SECONDS, "first apply"
        )
        self.wait_serving()

    def start_processes(self) -> None:
        """Starts every process of the deployment."""
        for backend in self.deployed.backend:
            self.start_backend(backend)
            self.start_agent(backend)
        for name in self.ledger_names:
            self.start_ledger(name)
        for name in self.entry_names:
            self.start_entry(name)

    def wait_serving(self) -> None:
        """Waits until the configuration is in force everywhere and the models are loaded."""
        client = self.client(OPERATOR_KEY)
        expected = len(self.deployed.backend) + len(self.entry_names)

        def ready() -> bool:
            status = client.status()
            return status["in_force"] and len(status["members"]) >= expected

        wait_until(ready, START_SECONDS, "all members in force")
        for backend in self.deployed.backend:
            if backend.models:
                wait_until(
                    lambda b=backend: self.engine_state(b.name)["models"],
                    START_SECONDS,
                    f"models of {backend.name}",
                )
        kinds = {backend.service for backend in self.deployed.backend}
        wait_until(lambda: self._serves(len(kinds)), START_SECONDS, "all agents lease")

    def _serves(self, kinds: int) -> bool:
        logs = [self.log(f"agent-{backend.name}") for backend in self.deployed.backend]
        return kinds > 0 and all("backend_leased" in log for log in logs)

    def start_backend(self, backend: Backend) -> None:
        """Starts the stand-in of one backend server."""
        kind = next(s.kind for s in self.deployed.service if s.name == backend.service)
        is_model = kind is ServiceKind.MODEL
        module = "standins.engine" if is_model else "standins.service"
        address = self.address_by_name[backend.name]
        command = [sys.executable, "-m", module, "--listen", address]
        if is_model:
            command += ["--running", str(backend.slots), *self._engine_flags]
        self.spawn(backend.name, command)

    def start_agent(self, backend: Backend, name: str = "", *extra: str) -> None:
        """Starts the agent of one backend server."""
        name = name or f"agent-{backend.name}"
        self.address_by_name.setdefault(name, self._free_address())
        command = self._program("agent", name, backend.data_centre)
        command += ["--backend", backend.name, "--ledgers", self.ledgers, *extra]
        command += ["--policy", self._policy, *self._advertised(name)]
        self.spawn(name, command)

    def start_ledger(self, name: str, *extra: str) -> None:
        """Starts one ledger process."""
        self.address_by_name.setdefault(name, self._free_address())
        command = self._program("ledger", name, f"dc-{name}")
        command += ["--data", str(self.folder / name), "--initial", self.initial]
        if self._trace:
            command += ["--trace", str(self.folder / f"trace-{name}")]
        self.spawn(name, [*command, *self._advertised(name), *extra])

    def start_entry(self, name: str, *extra: str) -> None:
        """Starts one entry."""
        command = self._program("entry", name, "dc-1")
        command += ["--ledgers", self.ledgers, "--policy", self._policy]
        command += ["--operator-key", deployment.hash_key(OPERATOR_KEY), *extra]
        self.spawn(name, command)

    def start_platform(self) -> str:
        """Starts the platform's stand-in and returns its address."""
        address = self._free_address()
        self.spawn("platform", [sys.executable, "-m", "standins.platform", "--listen", address])
        wait_until(
            lambda: Client(address, "").request_json("GET", "/instances") == [],
            START_SECONDS,
            "list",
        )
        return address

    def start_relay(self, name: str) -> str:
        """Puts a relay before a process and returns the relay's address.

        A process that is started later tells others that address instead of its own.
        """
        target = self.address_by_name.setdefault(name, self._free_address())
        public, control = self._free_address(), self._free_address()
        self.relay_by_name[name] = control
        command = [sys.executable, "-m", "standins.relay", "--listen", public]
        self.spawn(f"relay-{name}", [*command, "--target", target, "--control", control])
        wait_until(lambda: self.tell_relay(name, "unblock"), START_SECONDS, "relay")
        self.address_by_name[f"relay-{name}"] = public
        return public

    def relay_before_backend(self, name: str) -> None:
        """Puts a relay before a backend server; its agent gets the relay's address."""
        address = self.address_by_name[name]
        self.start_relay(name)
        relay = self.address_by_name[f"relay-{name}"]
        self.text = self.text.replace(f'"{address}"', f'"{relay}"')
        self.deployed = deployment.parse(self.text)

    def tell_relay(self, name: str, order: str) -> bool:
        """Gives an order to the relay before a process."""
        host, _, port = self.relay_by_name[name].rpartition(":")
        with socket.create_connection((host, int(port)), START_SECONDS) as control:
            control.sendall(f"{order}\n".encode())
            return control.recv(16) == b"ok\n"

    def advertised_address(self, name: str) -> str:
        """Returns the address that a process tells others."""
        return self.address_by_name.get(f"relay-{name}", self.address_by_name[name])

    def _advertised(self, name: str) -> list[str]:
        relay = self.address_by_name.get(f"relay-{name}")
        return ["--advertise", relay] if relay else []

    def _program(self, program: str, name: str, data_centre: str) -> list[str]:
        return [
            sys.executable,
            "-m",
            f"verbenashore.{program}",
            *("--name", name, "--data-centre", data_centre),
            *("--listen", self.address_by_name[name]),
        ]

    def spawn(self, name: str, command: list[str]) -> None:
        """Starts a process under a name."""
        self.command_by_name[name] = command
        self._spawn(name, command)

    def _start_process(self, name: str, command: list[str]) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=os.environ
            )

    def restart(self, name: str) -> None:
        """Starts a process again as it was."""
        self.spawn(name, self.command_by_name[name])

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        self.signal(name, signal.SIGKILL)
        self.process_by_name[name].wait(STOP_SECONDS)

    def terminate(self, name: str) -> int:
        """Stops a process gracefully and returns its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.process_by_name[name].wait(STOP_SECONDS)

    def log(self, name: str) -> str:
        """Returns what a process has logged."""
        return (self.folder / f"{name}.log").read_text()

    def client(self, key: str, entry: str = "entry-1") -> Client:
        """Returns a client of one entry."""
        return Client(self.address_by_name[entry], key)

    def engine_state(self, backend: str) -> dict[str, Any]:
        """Returns what an engine says of itself."""
        return self.engine_state_of(backend, "/state")

    def engine_state_of(self, backend: str, path: str) -> dict[str, Any]:
        """Returns a page of a stand-in."""
        return Client(self.address_by_name[backend], "").request_json("GET", path)

    def leader(self, group: int) -> str:
        """Returns the name of the process that leads a group."""
        status = self.client(OPERATOR_KEY).status()
        leaders = [
            ledger["name"]
            for ledger in status["ledgers"]
            for known in ledger.get("groups", [])
            if known["group"] == group and known["role"] == "leader"
        ]
        return leaders[0] if leaders else ""

    def stop(self) -> None:
        """Ends every process that this fleet started."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait(STOP_SECONDS)
        for held in self._held:
            held.close()

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()
