"""A small deployment on loopback, for the scripts of the second review.

It starts the entry and ledger processes by the ``run`` lines of ``deploy/system.toml``, each with
a loopback IP address and a settings file of its own.  The provider, the engines, the clients and
the operator are stand-ins that need only the standard library and follow the users' pages.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
STREAM, JOBS, LOOKUP = "/lohu930/", "/pule252/", "/puxa403/"
METRICS_PORT = 9464
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Request:
    """One HTTP request as an engine or the provider received it."""

    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.reader = None
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)


async def read_message(reader):
    """Returns the first line, the fields by lower-case name and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif first.startswith("HTTP/") and fields.get("connection", "").lower() == "close":
        body = await reader.read()
    else:
        body = b""
    return first, fields, body


def head(status, fields, length=None):
    """Returns the head of an answer; chunked if no length is given."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(
        f"Content-Length: {length}" if length is not None else "Transfer-Encoding: chunked"
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def chunk(data):
    """Returns a piece of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def ask(address, method, target, fields=None, body=b"", seconds=5.0):
    """Makes one request on a new connection.

    Returns the status, the fields and the body, or None in place of the status if there was no
    complete answer in time.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 26)
            lines = {"Host": address, "Content-Length": str(len(body)), "Connection": "close"}
            lines |= fields or {}
            writer.write(f"{method} {target} HTTP/1.1\r\n".encode())
            writer.write("".join(f"{n}: {v}\r\n" for n, v in lines.items()).encode() + b"\r\n")
            writer.write(body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, {}, b""
            return int(message[0].split()[1]), message[1], message[2]
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Engine:
    """A model engine: streams numbered events, and answers health checks.

    :param behave: an async function that is called with this engine, the request and the writer,
        and may answer in place of the engine; it returns whether it has.
    :param runs: the id, the first event and the time of each request that it began to run.
    """

    def __init__(self, rig, name, address, zone, slots, service="huvo11a", events=12, gap=0.01):
        self.rig, self.name, self.address, self.zone = rig, name, address, zone
        self.slots, self.service, self.events, self.gap = slots, service, events, gap
        self.state, self.behave, self.runs, self.running = "ready", None, [], 0
        self.born = int(time.time() * 1000)
        self._server, self._writers = None, set()

    async def start(self):
        """Begins to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 24)

    def crash(self):
        """Closes the port and resets all connections, as a process that crashes does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def is_up(self):
        """Whether it listens."""
        return self._server is not None

    def entry(self):
        """Returns its entry in the provider's list."""
        return {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ")
                request = Request(method, target, message[1], message[2])
                request.reader = reader
                await self._answer(request, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request, writer):
        own = {"X-Verbenashore-Instance-Id": self.name}
        call = request.fields.get("x-verbenashore-request-id", "")
        expected = request.fields.get("x-verbenashore-expect-instance", self.name)
        refusal = {"X-Verbenashore-Not-Executed": "1", "X-Verbenashore-Request-Id": call}
        if request.path == "/health":
            writer.write(head(200, own, 0))
        elif expected != self.name:
            writer.write(head(421, own | refusal, 0))
        elif not call:
            writer.write(head(400, own | refusal, 0))
        elif self.running >= self.slots + 24:
            writer.write(head(503, own | refusal, 0))
        else:
            self.running += 1
            try:
                after = int(request.fields.get("last-event-id", "0"))
                self.runs.append((call, after + 1, time.monotonic()))
                if self.behave is None or not await self.behave(self, request, writer):
                    await self.stream(call, after, writer)
            finally:
                self.running -= 1
        await writer.drain()

    def stamped(self, call):
        """Returns the fields of an answer of this engine."""
        return {
            "Content-Type": "text/event-stream",
            "X-Verbenashore-Request-Id": call,
            "X-Verbenashore-Response-Stamp": f"stamp.{self.name}.{call}",
        }

    async def stream(self, call, after, writer):
        """Answers with the events after a number."""
        writer.write(head(200, self.stamped(call)))
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.gap)
            writer.write(chunk(event(call, number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def event(call, number):
    """Returns one event of an answer."""
    return b"id: %d\ndata: %s says %d\n\n" % (number, call.encode(), number)


def text(call, events=12):
    """Returns the whole output of an item."""
    return "\n".join(f"{call} says {number}" for number in range(1, events + 1))


class Rig:
    """The processes, the provider and the engines.

    The defaults are those of ``sites/spsc-gj.toml``, with fewer entries and engines.

    :param memory_mb: memory of an entry's and of a ledger process's machine; the provider kills a
        process that uses more, and starts it again, if ``enforces_memory`` is set.
    :param memory_ends: how often it has done that, by machine.
    """

    def __init__(
        self, folder, ledgers=4, entries=2, engines=6, slots=8, tolerated=1, memory_mb=(150, 170)
    ):
        self.folder = Path(folder)
        self.tolerated = tolerated
        self.log = (self.folder / "record.txt").open("w", buffering=1)
        self.began = time.monotonic()
        self.data = Path(tempfile.mkdtemp(prefix="rig-"))
        self.net, self._reserved = _reserve_net()
        self.port = 20000 + random.randrange(120) * 100
        self.memory_mb = dict(zip(("entry", "ledger"), memory_mb, strict=True))
        self.enforces_memory, self.memory_ends, self.peak_mb = False, {}, {}
        self.ips, self.zones = {}, {}
        zones = ["guj-west-a", "guj-west-b", "guj-west-c", "guj-west-d"]
        for role, count, first in (("ledger", ledgers, 10), ("entry", entries, 50)):
            for number in range(count):
                name = f"{role}-{number + 1}"
                self.ips[name] = f"127.{self.net}.1.{first + number}"
                self.zones[name] = zones[number % 4]
        self.seeds = [self.ips[f"ledger-{n + 1}"] for n in range(min(3, ledgers))]
        self.bootstrap = True
        self.processes, self.stopped = {}, set()
        self._all_processes, self._restarts = [], set()
        self.list_address = f"127.{self.net}.3.1:{self.port}"
        self.engines = [
            Engine(
                self, f"i-{n + 1:04x}", f"127.{self.net}.2.{n + 1}:{self.port}", zones[n % 4], slots
            )
            for n in range(engines)
        ]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.run_lines = {
            role: deploy["roles"][role]["run"].split() for role in ("entry", "ledger")
        }

    def note(self, *words):
        """Writes a line to ``record.txt``."""
        line = f"{time.monotonic() - self.began:8.3f} " + " ".join(str(word) for word in words)
        self.log.write(line + "\n")

    async def __aenter__(self):
        for engine in self.engines:
            await engine.start()
        host, _, port = self.list_address.rpartition(":")
        await asyncio.start_server(self._serve_list, host, int(port))
        for name in self.ips:
            await self.start(name)
        self.bootstrap = False
        self._watch = asyncio.create_task(self._watch_processes())
        return self

    async def __aexit__(self, *_):
        self._watch.cancel()
        await asyncio.gather(self._watch, *self._restarts, return_exceptions=True)
        for process in self._all_processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for name in self.processes:
            with contextlib.suppress(OSError):
                self._copy_warnings(self.data / f"{name}.log")
        for engine in self.engines:
            engine.crash()
        self._reserved.close()
        shutil.rmtree(self.data, ignore_errors=True)

    def _copy_warnings(self, source):
        """Copies the last errors of a process into the record."""
        lines = source.read_text(errors="replace").splitlines()
        for line in [line for line in lines if '"warning"' in line or "Error" in line][-5:]:
            self.note("log of", source.stem, line[:300])

    async def _serve_list(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await read_message(reader) is not None:
                entries = [engine.entry() for engine in self.engines]
                body = json.dumps({"instances": entries, "next": None}).encode()
                writer.write(head(200, {"Content-Type": "application/json"}, len(body)) + body)
                await writer.drain()
        writer.close()

    def _settings(self, name):
        role, ip = name.partition("-")[0], self.ips[name]
        if role == "entry":
            listen = {"front": 20, "readiness_addr": 21}
        else:
            listen = {"control": 22}
        data_dir = self.data / name
        lines = [
            f'node_name = "{name}"',
            f'role = "{role}"',
            f'ip = "{ip}"',
            f'zone = "{self.zones[name]}"',
            'region = "guj-west"',
            f"internal_ports = [{self.port + 1}, {self.port + 16}]",
            f"seeds = {json.dumps([f'{seed}:{self.port + 22}' for seed in self.seeds])}",
            f"bootstrap = {str(self.bootstrap).lower()}",
            f"counts_as_loss = {str(role == 'ledger').lower()}",
            f'data_dir = "{data_dir}"' if role == "ledger" else "",
            'contracts = ["base","drain","config","cost","recover","batch","stream","engine"]',
            'config_mode = "highest"',
            "[listen]",
            *(f'{key} = "{ip}:{self.port + offset}"' for key, offset in listen.items()),
            "[limits]",
            f"memory_mb = {self.memory_mb[role]}",
            f"max_fds = {4100 if role == 'entry' else 8200}",
            "[fault_tolerance]",
            f"machines = {self.tolerated}",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            "seed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.7",
            "drain_ms = 3000\ngrace_s = 8\nlost_ms = 200\nconfig_apply_ms = 2000",
            "rollback_slack_ms = 250\nouter_ms = 5000\nrecover_s = 12\nfinish_s = 18",
            "status_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\nquota_over = 0.1",
            "[cloud]",
            f'address = "{self.list_address}"',
            "rate_per_s = 47.0\nlag_ms = 800",
        ]
        return "\n".join(lines)

    async def start(self, name):
        """Starts the process of a machine, as the provider does."""
        role = name.partition("-")[0]
        path = self.data / f"{name}.toml"
        path.write_text(self._settings(name))
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["VERBENASHORE_SETTINGS"] = str(path)
        with (self.data / f"{name}.log").open("ab") as output:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *self.run_lines[role], cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self._all_processes.append(self.processes[name])
        self.note("start", name)

    async def kill(self, name, *, wipe=False):
        """Kills the process of a machine; with ``wipe`` its disk is lost as well."""
        self.stopped.add(name)
        process = self.processes[name]
        if process.returncode is None:
            process.kill()
            await process.wait()
        if wipe:
            shutil.rmtree(self.data / name, ignore_errors=True)
        self.note("kill", name, "and its disk" if wipe else "")

    async def restart(self, name):
        """Starts a killed process again."""
        await self.start(name)
        self.stopped.discard(name)

    def memory_of(self, name):
        """Returns the resident memory of a process in MiB; 0 if it doesn't run."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.processes[name].pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def _watch_processes(self):
        """Kills what uses more memory than its machine has; starts again what has ended."""
        while True:
            await asyncio.sleep(0.1)
            for name, process in list(self.processes.items()):
                if name in self.stopped:
                    continue
                used, limit = self.memory_of(name), self.memory_mb[name.partition("-")[0]]
                self.peak_mb[name] = max(used, self.peak_mb.get(name, 0.0))
                if self.enforces_memory and used > limit and process.returncode is None:
                    self.note(f"{name} uses {used:.0f} MiB of {limit}: the provider kills it")
                    self.memory_ends[name] = self.memory_ends.get(name, 0) + 1
                    process.kill()
                    await process.wait()
                if process.returncode is not None:
                    self.note(name, "has ended with", process.returncode)
                    self.stopped.add(name)
                    task = asyncio.create_task(self._restart_soon(name))
                    self._restarts.add(task)
                    task.add_done_callback(self._restarts.discard)

    async def _restart_soon(self, name):
        await asyncio.sleep(1.0)
        await self.restart(name)

    def front(self, number=1):
        """Returns the address at which an entry serves clients."""
        return f"{self.ips[f'entry-{number}']}:{self.port + 20}"

    def control(self, name):
        """Returns the address at which a ledger process serves the operator."""
        return f"{self.ips[name]}:{self.port + 22}"

    @property
    def ledgers(self):
        """The names of the ledger machines."""
        return [name for name in self.ips if name.startswith("ledger")]

    @property
    def entries(self):
        """The names of the entry machines."""
        return [name for name in self.ips if name.startswith("entry")]

    async def operate(self, method, path, document=None, seconds=4.0):
        """Makes an order of the operator, at one ledger process after the other until one answers.

        Returns the status and the document.
        """
        body = json.dumps(document).encode() if document is not None else b""
        end = time.monotonic() + seconds
        status, answer = None, b""
        while time.monotonic() < end:
            for name in [n for n in self.ledgers if n not in self.stopped]:
                status, _, answer = await ask(
                    self.control(name),
                    method,
                    path,
                    {"Content-Type": "application/json"},
                    body,
                    1.0,
                )
                if status is not None and status < 500:
                    return status, json.loads(answer or b"null")
            await asyncio.sleep(0.1)
        return status, None

    async def settle(self, document):
        """Sends the first desired state and waits until all entries are ready and serve.

        :raises CannotRun: if that takes too long.
        """
        status, _ = await self.operate("PUT", "/verbenashore/config", document, 20.0)
        if status != 200:
            raise CannotRun("the first desired state was not acknowledged")
        end = time.monotonic() + 20.0
        for number, name in enumerate(self.entries, 1):
            ready = f"{self.ips[name]}:{self.port + 21}"
            while time.monotonic() < end:
                status, _, _ = await ask(ready, "GET", "/verbenashore/ready", seconds=1.0)
                if status == 200 and (await self.call(f"settle-{number}", number))[0] == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{name} did not become ready")
        self.note("settled")

    async def call(self, call, entry=1, prefix=STREAM, fields=None, seconds=5.0):
        """Makes one request for tokens; returns the status, the fields and the body."""
        sent = {
            "Host": HOST,
            "X-Verbenashore-Request-Id": call,
            "X-Verbenashore-Model": "m",
            "X-Verbenashore-Token-Usage": "450,40",
            "X-Verbenashore-Deadline-Ms": str(int(seconds * 1000)),
        }
        return await ask(
            self.front(entry),
            "POST",
            f"{prefix}{call}",
            sent | (fields or {}),
            f"prompt of {call}".encode(),
            seconds + 0.5,
        )

    async def submit(self, job, items, entry=1, seconds=4.0):
        """Submits a batch job once; returns the status.

        :param items: the id, the body and the tokens of each.
        """
        document = {
            "items": [
                {
                    "id": item,
                    "path": f"{JOBS}3/{item}",
                    "headers": {
                        "X-Verbenashore-Model": "m",
                        "X-Verbenashore-Token-Usage": f"{tokens - 40},40",
                    },
                    "body": base64.b64encode(body).decode(),
                    "tokens": tokens,
                }
                for item, body, tokens in items
            ]
        }
        data = json.dumps(document).encode()
        sent = {
            "Host": HOST,
            "X-Verbenashore-Request-Id": job,
            "Content-Type": "application/json",
            "X-Verbenashore-Deadline-Ms": str(int(seconds * 1000)),
        }
        status, _, _ = await ask(
            self.front(entry), "POST", f"{JOBS}{job}", sent, data, seconds + 0.5
        )
        self.note("job", job, f"{len(items)} items, {len(data)} bytes:", status)
        return status

    async def results(self, job, after=0, entry=1, seconds=4.0):
        """Reads results of a job; returns the status and the document."""
        status, _, body = await ask(
            self.front(entry),
            "GET",
            f"/verbenashore/lots/{job}?after={after}",
            {"Host": HOST},
            seconds=seconds,
        )
        return status, json.loads(body) if status == 200 else None


def _reserve_net():
    """Returns the second number of a loopback network that nothing else here uses."""
    for number in random.sample(range(20, 250), 200):
        reserved = socket.socket()
        with contextlib.suppress(OSError):
            reserved.bind((f"127.{number}.254.254", METRICS_PORT))
            return number, reserved
        reserved.close()
    raise CannotRun("no loopback network is free")


def desired_state(version, cap=2_100_000, **changes):
    """Returns a desired state with a resumable stream route and a batch route."""

    def route(name, prefix, kind, **more):
        return {
            "name": name,
            "host": HOST,
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": 5000,
            "target_latency_ms": 300,
            "priority": 0,
            "service": "huvo11a",
            "max_attempts": 2,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 250,
        } | more

    jobs = {"timeout_ms": 15000, "target_latency_ms": 400, "max_attempts": 3, "priority": 2}
    jobs |= {"cap": cap, "completion_target_ms": 18000, "queue_ttl_s": 60}
    return {
        "version": version,
        "routes": [
            route("r-stream", STREAM, "streaming"),
            route("r-jobs", JOBS, "batch", **jobs),
        ],
        "services": [
            {
                "name": "huvo11a",
                "health_path": "/health",
                "max_connections": 260,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 8, "kv_capacity_tokens": 72000, "models": [{"name": "m"}]},
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    } | changes


def run(case, folder, **shape):
    """Runs a case and exits as the review asks: 1 broken, 0 held, 2 not run.

    :param case: an async function of the rig and of whether the trouble is made; it returns what
        broke the rule, or "".
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        rig = Rig(folder, **shape)
        stop = asyncio.current_task().cancel
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop)
        try:
            async with asyncio.timeout(115), rig:
                return rig, await case(rig, has_trouble)
        except CannotRun as error:
            rig.note("not run:", error)
            return rig, None
        except (TimeoutError, asyncio.CancelledError):
            rig.note("not run: the case took too long or was stopped")
            return rig, None

    rig, finding = asyncio.run(play())
    rig.note("peak memory in MiB:", {name: round(mb) for name, mb in rig.peak_mb.items()})
    if finding is None:
        sys.exit(NOT_RUN)
    rig.note("broken: " + finding if finding else "held")
    print("broken: " + finding if finding else "held")
    sys.exit(BROKEN if finding else HELD)
