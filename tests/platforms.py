"""A whole deployment on loopback: real entry and ledger processes, stand-in list and engines."""

import asyncio
import contextlib
import http.client
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from lab.fleet import ROOT
from verbenashore import httpserver, misc

sys.path.insert(0, str(ROOT / "platform"))

import wire  # noqa: E402

HOST = "notes.example"
STREAM, ONCE_STREAM, LOOKUP, JOBS = "/s/", "/o/", "/l/", "/j/"
WAIT_SECONDS = 20.0
METRICS_PORT = 9464
_reservations = []


def wait_until(check, seconds=WAIT_SECONDS):
    """Waits until a check returns a true value, and returns the value.

    Connection errors count as a check that fails.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, http.client.HTTPException):
            value = check()
            if value:
                return value
        threading.Event().wait(0.05)
    raise AssertionError("the condition did not become true in time")


def free_port():
    """Returns a port that the kernel chose.

    The ports above it are free as well, since each instance has its own loopback IP address.
    """
    with socket.socket() as probe:
        probe.bind(("127.4.0.1", 0))
        return min(probe.getsockname()[1], 65000)


def reserve_net():
    """Returns the number of a loopback network that no other deployment on this host uses.

    The metrics port is fixed, so each deployment needs IP addresses of its own, also while another
    checkout runs its tests.  The network is reserved until this process ends.
    """
    for number in range(1, 255):
        reservation = socket.socket()
        with contextlib.suppress(OSError):
            reservation.bind((f"127.4.{number}.254", METRICS_PORT))
            _reservations.append(reservation)
            return number
        reservation.close()
    raise AssertionError("no loopback network is free")


def own_address():
    """Returns an address whose IP nothing else uses, not even for outgoing connections."""
    number = next(_address_numbers)
    return f"127.5.{number // 250}.{number % 250 + 1}:{free_port()}"


class Engine:
    """A stand-in engine whose events depend on the call's id, with faults on demand.

    :param runs: the id, first event, outcome and headers of each call that it began to run.
    :param faults: by path prefix: ``break:N`` after N events, ``reset``, ``not-run``, ``500``,
        ``422``, or ``silent``.
    :param deadly_part: a part of prompts; a call with it crashes the engine as its answer begins.
    :param deadly_body: the body of calls that crash the engine as their answer begins.
    :param listed_name: the name in the list, which lags behind the engine's own.
    :param misdirected: how many calls it answered that were meant for another engine.
    :param says_leaving: whether its answers say that it leaves, whatever the list says.
    :param states_rate: the rate of requests that its answers state, as text; "" for none.
    :param on_answer: called for each call that it answers, whether or not it runs it.
    """

    def __init__(self, name, service, address, zone, gap=0.01, events=12):
        self.name, self.service, self.address, self.zone = name, service, address, zone
        self.gap, self.events = gap, events
        self.state = "ready"
        self.slots = 4
        self.runs = []
        self.faults = {}
        self.deadly_part = ""
        self.deadly_body = None
        self.crashed = False
        self.listed_name = None
        self.misdirected = 0
        self.says_leaving = False
        self.states_rate = ""
        self.on_answer = lambda: None
        self.stopping = asyncio.Event()

    def list_entry(self):
        """Returns the engine's entry in the platform's list."""
        return {
            "id": self.listed_name or self.name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
        }

    async def handle_request(self, request, respond):
        """Answers one call or health check."""
        expected = request.headers.get(wire.EXPECT_INSTANCE, self.name)
        stated = {"server-leaving": "1"} if self.says_leaving else {}
        stated |= {"server-limit": self.states_rate} if self.states_rate else {}
        own = {"x-verbenashore-instance-id": self.name} | stated
        call = request.headers.get(wire.REQUEST_ID, "")
        not_run = {wire.NOT_EXECUTED: "1", wire.REQUEST_ID: call}
        if expected != self.name:
            self.misdirected += request.path != "/health"
            await respond.send_json(421, {}, own | not_run)
            return
        if request.path == "/health":
            await respond.send_json(503 if self.says_leaving else 200, {}, own)
            return
        fault = next((f for p, f in self.faults.items() if request.path.startswith(p)), "")
        self.on_answer()
        if fault == "not-run":
            await respond.send_json(503, {}, not_run | stated)
            return
        first_event = int(request.headers.get(wire.LAST_EVENT_ID, "0")) + 1
        run = {"call": call, "first": first_event, "outcome": "cut", "headers": request.headers}
        self.runs.append(run)
        has_part = self.deadly_part and self.deadly_part in request.headers.get(
            wire.PROMPT_PREFIX, ""
        )
        if has_part or request.body == self.deadly_body:
            await self._crash(respond)
        headers = {wire.RESPONSE_STAMP: f"stamp-{self.name}", wire.REQUEST_ID: call} | stated
        if fault == "reset":
            raise ConnectionResetError
        if fault == "silent":
            await asyncio.sleep(30.0)
        if fault.isdigit():
            await respond.send_json(int(fault), {}, headers)
            run["outcome"] = fault
        elif request.path.startswith(LOOKUP):
            await respond.send_response(200, "text/plain", b"answer " + request.body, headers)
            run["outcome"] = "whole"
        else:
            await self._stream(run, first_event, fault, headers, respond)

    async def _crash(self, respond):
        """Closes the port and breaks the call after the head of its answer."""
        self.crashed = True
        self.stopping.set()
        await respond.start_stream(200, "text/event-stream", {})
        await asyncio.sleep(0.05)
        raise ConnectionResetError

    async def _stream(self, run, first_event, fault, headers, respond):
        await respond.start_stream(200, "text/event-stream", headers)
        break_at = int(fault.partition(":")[2]) if fault.startswith("break") else self.events + 1
        for number in range(first_event, self.events + 1):
            if number >= break_at:
                await respond.send_chunk(b"id: %d\nda" % number)
                raise ConnectionResetError
            await asyncio.sleep(self.gap)
            await respond.send_chunk(event(run["call"], number))
        await respond.end_stream()
        run["outcome"] = "whole"


def event(call, number):
    """Returns one event of a call's answer."""
    return f"id: {number}\ndata: {call} says {number}\n\n".encode()


def whole(call, events=12):
    """Returns the body of the complete answer to a streamed call."""
    return b"".join(event(call, number) for number in range(1, events + 1))


def text(call, events=12):
    """Returns the result text of a job's item."""
    return "\n".join(f"{call} says {number}" for number in range(1, events + 1))


_address_numbers = itertools.count()


class Platform:
    """Ledger processes, two entries and the stand-ins, each instance with its own loopback IP.

    :param folder: holds the settings files, the logs and the data folders.
    :param limits: the limits of each instance, as the settings files state them.
    """

    def __init__(self, folder, ledgers=3, **limits):
        self.folder = Path(folder)
        self.limits = limits
        net = self.net = reserve_net()
        self.port = free_port()
        self.engines = [
            Engine(f"i-{n}", "lm", f"127.3.{net}.{n + 1}:{self.port}", "dc") for n in range(3)
        ]
        self.engines.append(Engine("i-9", "forms", f"127.3.{net}.9:{self.port}", "dc"))
        self.malformed_entries = [{"id": 3}, "nothing", {"id": "x", "state": "odd"}]
        self.ip_by_name = {f"ledger-{n}": f"127.1.{net}.{n + 1}" for n in range(ledgers)}
        self.ip_by_name |= {f"entry-{n}": f"127.2.{net}.{n + 1}" for n in range(2)}
        self.seeds = [self.ip_by_name[f"ledger-{n}"] for n in range(ledgers)]
        self.process_by_name = {}
        self.first_start = True
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self):
        self._thread.start()
        for engine in self.engines:
            self.serve(engine)
        self._start_server(f"127.4.{self.net}.1:{self.port}", self._answer_list, asyncio.Event())
        for name in self.ip_by_name:
            self.start(name)
        self.first_start = False
        return self

    def __exit__(self, *_):
        for process in self.process_by_name.values():
            process.kill()
            process.wait()
        asyncio.run_coroutine_threadsafe(self._cancel_tasks(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _cancel_tasks(self):
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        await misc.cancel_and_wait(*tasks)

    def serve(self, engine):
        """Starts a stand-in engine."""
        engine.stopping = asyncio.Event()
        engine.crashed = False
        self._start_server(engine.address, engine.handle_request, engine.stopping)

    def _start_server(self, address, handler, stopping):
        serving = httpserver.serve(address, handler, stopping)
        asyncio.run_coroutine_threadsafe(serving, self._loop)

    async def _answer_list(self, request, respond):
        entries = [engine.list_entry() for engine in self.engines]
        if "page_token" in request.query:
            await respond.send_json(
                200, {"instances": [*self.malformed_entries, *entries[2:]], "next": None}
            )
        else:
            await respond.send_json(200, {"instances": entries[:2], "next": "p-2"})

    @staticmethod
    def zone_of(name):
        """Returns the data centre of an instance; the engines are in that of the first ones."""
        number = name.rpartition("-")[2]
        return "dc" if number == "0" else f"dc-{number}"

    def start(self, name):
        """Writes the settings file of an instance and starts its process."""
        ip, role = self.ip_by_name[name], name.partition("-")[0]
        data_dir = self.folder / name
        listen = {"front": 20, "readiness_addr": 21} if role == "entry" else {"control": 22}
        lines = [
            f'node_name = "{name}"',
            f'ip = "{ip}"',
            f'zone = "{self.zone_of(name)}"',
            f"internal_ports = [{self.port + 1}, {self.port + 9}]",
            f"seeds = {json.dumps([f'{seed}:{self.port + 22}' for seed in self.seeds])}",
            f"bootstrap = {str(self.first_start).lower()}",
            f'data_dir = "{data_dir}"',
            "[listen]",
            *(f'{key} = "{ip}:{self.port + offset}"' for key, offset in listen.items()),
            "[fault_tolerance]",
            "machines = 1",
            "[bounds]",
            "grace_s = 8",
            "status_s = 120",
            "[cloud]",
            f'address = "127.4.{self.net}.1:{self.port}"',
            "[limits]",
            *(f"{key} = {value}" for key, value in self.limits.items()),
        ]
        settings_path = self.folder / f"{name}.toml"
        settings_path.write_text("\n".join(lines))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, "platform/run.py", role],
                cwd=ROOT,
                env={**os.environ, "VERBENASHORE_SETTINGS": str(settings_path)},
                stdout=log,
                stderr=log,
            )

    def signal(self, name, number):
        """Sends a signal to a process."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name, *, wipe=False):
        """Kills a process.

        :param wipe: also removes its data folder.
        """
        self.signal(name, signal.SIGKILL)
        self.process_by_name[name].wait()
        if wipe:
            shutil.rmtree(self.folder / name)

    def events(self, name):
        """Returns the log events of a process."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def address(self, name, offset):
        """Returns the address of a port of an instance."""
        return f"{self.ip_by_name[name]}:{self.port + offset}"

    def ask(self, address, method, path, body=b"", headers=None):
        """Makes one HTTP request; returns the status, the headers by lower-case name, the body."""
        connection = http.client.HTTPConnection(address, timeout=10.0)
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            fields = {name.lower(): value for name, value in response.getheaders()}
            return response.status, fields, response.read()
        finally:
            connection.close()

    def call(self, path, call, entry="entry-0", body=b"x", **headers):
        """Makes one online call."""
        fields = {"Host": HOST, "X-Verbenashore-Request-Id": call}
        fields |= {"X-Verbenashore-Deadline-Ms": "5000", "X-Verbenashore-Model": "m"} | headers
        return self.ask(self.address(entry, 20), "POST", path, body, fields)

    def operate(self, method, path, document=None, ledger="ledger-0"):
        """Makes one HTTP request as an operator."""
        body = json.dumps(document).encode() if document is not None else b""
        return self.ask(self.address(ledger, 22), method, path, body)

    def configure(self, version, routes=None, ledger="ledger-0", **limits):
        """Sends a configuration until it is acknowledged."""
        document = configuration(version, routes, **limits)
        path = "/verbenashore/config"
        wait_until(lambda: self.operate("PUT", path, document, ledger)[0] == 200)

    def is_ready(self, entry):
        """Returns whether an entry reports that it is ready."""
        return self.ask(self.address(entry, 21), "GET", "/verbenashore/ready")[0] == 200

    def settle(self):
        """Configures the deployment and waits until both entries are ready and a call succeeds."""
        self.configure(5)
        for name in ("entry-0", "entry-1"):
            wait_until(lambda name=name: self.is_ready(name))
        wait_until(lambda: self.call(f"{LOOKUP}x", f"settle-{time.monotonic_ns()}")[0] == 200)

    def runs(self, call):
        """Returns the runs of a call at all engines."""
        return [run for engine in self.engines for run in engine.runs if run["call"] == call]


def route(name, prefix, kind, service="lm", **changes):
    """Returns a route as operators write it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 300,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "sticky": True,
        "resumable": False,
        "gap_aim_ms": 250,
    } | changes


def configuration(version, routes=None, **limits):
    """Returns a configuration as operators send it."""
    default = [
        route("stream", STREAM, "streaming", resumable=True),
        route("once", ONCE_STREAM, "streaming", max_attempts=1),
        route("lookup", LOOKUP, "idempotent", "forms", timeout_ms=1500),
        route(
            "jobs",
            JOBS,
            "batch",
            max_attempts=2,
            completion_target_ms=18000,
            queue_ttl_s=60,
            cap=2000,
        ),
    ]
    return {
        "version": version,
        "routes": default if routes is None else routes,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1"}
            for name in ("lm", "forms")
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        | limits,
    }
