"""A small deployment on loopback addresses, for the scripts of the review.

It starts the project's programs with the templates of the deploy file, plays
the operator and the clients, and holds the record. Engines are in engine.py.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


started = []            # children, so that none is left behind


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, in order."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def note(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def render(text, fields):
    """Fills in a template of the deploy file as DEPLOY.md tells it."""
    def value_at(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = value_at(match.group(1))
        if not value:
            return ""
        return match.group(2).replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                  flags=re.S)

    def place(match):
        value = value_at(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class Machine:
    """One process of the project; only its own child gets signals."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.child = None
        self.bootstrap = True
        self.data = os.path.join(fleet.folder, name + "-data")

    async def start(self):
        fleet = self.fleet
        serves = "front" if self.role == "router" else "control"
        fields = {
            "node": self.name, "role": self.role, "serves": [serves],
            "ip": self.ip, "zone": self.zone,
            "listen": {"front": f"{self.ip}:{fleet.front_port}",
                       "ready": f"{self.ip}:{fleet.ready_port}",
                       "control": f"{self.ip}:{fleet.control_port}"},
            "portRange": [fleet.peer_port, fleet.peer_port + 15],
            "seeds": fleet.seeds(), "bootstrap": self.bootstrap,
            "dataDir": self.data, "heartbeatMs": fleet.heartbeat_ms,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"graceS": 8}}
        template = os.path.join(ROOT, "deploy", self.role + ".json.template")
        with open(template, encoding="utf-8") as file:
            text = render(file.read(), fields)
        path = os.path.join(fleet.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        if self.role == "control":
            os.makedirs(self.data, exist_ok=True)
        program = os.path.join(ROOT, "target", "bin", "limpet-" + self.role)
        with open(os.path.join(fleet.folder, self.name + ".log"), "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                program, "--settings=" + path, stdout=log, stderr=log,
                cwd=ROOT)
        started.append(self.child)
        self.bootstrap = False
        fleet.record.note(f"{self.name} starts at {self.ip}")

    def signal(self, number):
        if self.child and self.child.returncode is None:
            self.fleet.record.note(f"{self.name} gets {number.name}")
            self.child.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.child.wait()

    async def stop(self):
        if self.child and self.child.returncode is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            await self.child.wait()


class Fleet:
    def __init__(self, record, routers=1, controls=3, heartbeat_ms=1200):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="limpet-review-")
        self.heartbeat_ms = heartbeat_ms
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        ports = random.sample(range(20000, 30000, 20), 4)
        (self.front_port, self.ready_port, self.control_port,
         self.peer_port) = ports
        self.controls = [Machine(self, f"core-{i}", "control",
                                 f"{self.net}.{10 + i}", f"zone-{i}")
                         for i in range(1, controls + 1)]
        self.routers = [Machine(self, f"front-{i}", "router",
                                f"{self.net}.{100 + i}",
                                f"zone-{1 + (i - 1) % controls}")
                        for i in range(1, routers + 1)]
        self.engines = []

    def seeds(self):
        return [f"{each.ip}:{self.control_port}" for each in self.controls[:3]]

    async def start(self):
        for name in ("limpet-router", "limpet-control"):
            if not os.access(os.path.join(ROOT, "target", "bin", name),
                             os.X_OK):
                raise CannotRun(f"target/bin/{name} is not built")
        for machine in self.controls + self.routers:
            await machine.start()

    async def stop(self):
        for engine in self.engines:
            await engine.stop()
        for machine in self.routers + self.controls:
            await machine.stop()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def control_call(self, method, path, body=b"", limit=1.0, start=0):
        """One call as the operator or an engine makes it, with redirects."""
        order = self.controls[start:] + self.controls[:start]
        for machine in order:
            address = (machine.ip, self.control_port)
            for _ in range(3):
                try:
                    status, headers, data = await asyncio.wait_for(
                        call(address, method, path, body), limit)
                except (OSError, asyncio.TimeoutError, EOFError):
                    break
                if status == 307:
                    host = headers["location"].split("/")[2]
                    ip, port = host.split(":")
                    address = (ip, int(port))
                    continue
                if status in (408, 429) or status >= 500:
                    break
                return status, data, address[0]
        return None, b"", ""

    async def order(self, method, path, body=b"", limit_s=15.0):
        """Sends an order until it is acknowledged or refused."""
        until = time.monotonic() + limit_s
        turn = 0
        while time.monotonic() < until:
            status, data, who = await self.control_call(
                method, path, body, start=turn % len(self.controls))
            if status is not None:
                self.record.note(f"operator: {method} {path} "
                                 f"({len(body)} bytes) -> {status} by {who}")
                return status, data
            turn += 1
            await asyncio.sleep(0.1)
        raise CannotRun(f"{method} {path} has no answer")

    async def wait_ready(self, machine, limit_s=20.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                status, _, _ = await asyncio.wait_for(
                    call((machine.ip, self.ready_port), "GET",
                         "/limpetpoint/ready", b""), 1)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{machine.name} does not get ready")


def parse_head(raw):
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as failure:
        raise EOFError("the connection ended") from failure
    return parse_head(raw)


async def read_body(reader, headers, on_part=None):
    """Returns the whole body. Raises EOFError if it ends early."""
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += part[:size]
                if on_part:
                    on_part(part[:size])
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            if on_part and body:
                on_part(body)
            return body
    except asyncio.IncompleteReadError as failure:
        raise EOFError("the body is cut off") from failure
    return await reader.read()


def head_text(first, headers):
    lines = [first] + [f"{n}: {v}" for n, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def call(address, method, path, body, headers=None):
    reader, writer = await asyncio.open_connection(*address)
    try:
        fields = {"Host": "control", "Content-Type": "application/json",
                  "Content-Length": len(body), **(headers or {})}
        writer.write(head_text(f"{method} {path} HTTP/1.1", fields) + body)
        first, answer = await read_head(reader)
        return int(first.split()[1]), answer, await read_body(reader, answer)
    finally:
        writer.close()


def route(name, service, kind, timeout_ms, slo_ms, attempts=1, **more):
    return {"name": name, "host": "calls.example",
            "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": timeout_ms,
            "sloMs": slo_ms, "priority": 0, "service": service,
            "attempts": attempts, "anonymous": False, "sticky": False,
            "resumable": False, "gapTargetMs": 400, **more}


def document(version, routes, services, keys=("key-one",), **more):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": each, "healthPath": "/health", "maxConns": 110,
                      "protocol": "h1", "tls": False, "coldS": 0.0,
                      "coldPerS": 0.0} for each in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-one", "apiKeys": list(keys)}],
        **more}).encode()


def free_address(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()


def end_children():
    """Ends children that are left, as after a time-out in the clean-up."""
    for child in started:
        if child.returncode is None:
            try:
                os.kill(child.pid, signal.SIGKILL)
                os.waitpid(child.pid, 0)
            except (ProcessLookupError, ChildProcessError):
                pass


def run(case_folder, play):
    """Plays a case: play(record) returns HELD or BROKEN."""
    record = Record(os.path.join(case_folder, "record.txt"))

    async def limited():
        return await asyncio.wait_for(play(record), 110)

    try:
        result = asyncio.run(limited())
    except (CannotRun, asyncio.TimeoutError) as failure:
        record.note(f"cannot run: {failure!r}")
        result = CANNOT_RUN
    end_children()
    record.note({HELD: "the rule held", BROKEN: "the rule was broken",
                 CANNOT_RUN: "the case could not run"}[result])
    print(open(record.file.name, encoding="utf-8").read().splitlines()[-1])
    sys.exit(result)
