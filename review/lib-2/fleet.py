"""Starts the project's programs with the commands and templates of the deploy
file on loopback addresses, and ends all that it started."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
ZONES = ["karuhatan", "malinta", "marulas", "dalandanan"]
REGION = "ncr"
HEARTBEAT_S = 1.2
# The bounds of the site valenzuela-pallet.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lostSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "retrySlack": 58, "coldOvershoot": 1.5,
    "coldSlack": 5, "evacuateMs": 5000, "recoverS": 12, "passMs": 120,
    "retryAfterS": 10, "overloadFactor": 2}
CONTACT_S = BOUNDS["contactMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000


def _value(scope, name):
    if name == ".":
        return scope[-1]
    for table in reversed(scope):
        value = table
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def render(text, scope):
    """Fills in a template as DEPLOY.md tells."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(found):
        value = _value(scope, found.group(2))
        is_absent = value is None or value is False
        if found.group(1) == "^":
            return render(found.group(3), scope) if is_absent else ""
        return "" if is_absent else render(found.group(3), scope + [value])

    def fill(found):
        name, _, form = found.group(1).partition("|")
        value = _value(scope, name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) \
            else str(value)

    text = section.sub(expand, text)
    return re.sub(r"\{\{([^}]+)\}\}", fill, text)


class Record:
    """record.txt: what was sent, answered and run, with times in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.note(text)
        self.file.flush()
        print(f"{self.now():8.3f} {text}", flush=True)


class Program:
    """One process of the system on one VM."""

    def __init__(self, fleet, role, name, ip, zone):
        self.fleet = fleet
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self.child = None
        self.bootstrap = True
        self.data = os.path.join(fleet.folder, name + "-data")
        self.log = os.path.join(fleet.folder, name + ".log")

    def fields(self):
        is_core = self.role == "control"
        ports = self.fleet.ports
        return {
            "node": self.name, "role": self.role,
            "machineClass": "core" if is_core else "front",
            "serves": ["control" if is_core else "front"], "ip": self.ip,
            "zone": self.zone, "region": REGION,
            "zones": {zone: REGION for zone in ZONES},
            "listen": {"control": f"{self.ip}:{ports['control']}"} if is_core
            else {"front": f"{self.ip}:{ports['front']}",
                  "ready": f"{self.ip}:{ports['ready']}"},
            "portRange": [ports["peers"], ports["peers"] + 15],
            "seeds": self.fleet.seeds, "bootstrap": self.bootstrap,
            "countsAsLoss": is_core,
            "limits": {"cpuShare": 0.12 if is_core else 0.25, "cores": 1,
                       "memoryMb": 256 if is_core else 260,
                       "maxFds": 4096 if is_core else 4100,
                       "linkMbps": 6.0 if is_core else 1000.0,
                       "diskMb": 128 if is_core else 0},
            "dataDir": self.data if is_core else None,
            "discovery": "registry", "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "engine", "stream", "tenants", "places"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "configMode": "highest"}

    def start(self):
        deploy = self.fleet.deploy["roles"][self.role]
        with open(os.path.join(ROOT, deploy["template"]),
                  encoding="utf-8") as file:
            settings = render(file.read(), [self.fields()])
        json.loads(settings)
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        if self.role == "control":
            os.makedirs(self.data, exist_ok=True)
        command = deploy["run"].replace("/etc/limpetpoint/settings.json", path)
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                command.split(), cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
        self.bootstrap = False

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child:
            self.child.wait()


class Fleet:
    """Control replicas and routers, spread over the zones."""

    def __init__(self, record, replicas=4, routers=4):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        for role in self.deploy["roles"].values():
            if not os.path.exists(os.path.join(ROOT, role["run"].split()[0])):
                raise RuntimeError("the build of the deploy file is missing")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="limpet-review-")
        net = f"127.{random.randint(10, 250)}"
        self.net = net
        self.replicas = [
            Program(self, "control", f"core-{i + 1}", f"{net}.2.{i + 1}",
                    ZONES[i % len(ZONES)]) for i in range(replicas)]
        self.routers = [
            Program(self, "router", f"front-{i + 1}", f"{net}.1.{i + 1}",
                    ZONES[i % len(ZONES)]) for i in range(routers)]
        self.ports = self._free_ports()
        self.seeds = [self.control_address(each) for each in self.replicas[:3]]

    def _free_ports(self):
        ips = [each.ip for each in self.replicas + self.routers]
        for _ in range(50):
            base = random.randint(15000, 29000)
            try:
                for ip in ips:
                    for port in [*range(base, base + 4), 9464, 9465]:
                        with socket.socket() as probe:
                            probe.bind((ip, port))
                return {"peers": base, "front": base + 1, "ready": base + 2,
                        "control": base + 3}
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def control_address(self, replica):
        return f"{replica.ip}:{self.ports['control']}"

    def start(self):
        for each in self.replicas + self.routers:
            each.start()

    def stop(self):
        for each in self.replicas + self.routers:
            each.signal(signal.SIGCONT)
            each.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, is_answer=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_answer else b""


async def call(ip, port, method, path, body=b"", headers=None, limit=1.0):
    """One request on a new connection: (status, headers, body)."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = {"Host": f"{ip}:{port}", "Content-Length": len(body),
                     "Connection": "close", **(headers or {})}
            text = f"{method} {path} HTTP/1.1\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(text.encode() + b"\r\n" + body)
            await writer.drain()
            first, answer = await read_head(reader)
            return (int(first.split()[1]), answer,
                    await read_body(reader, answer, True))
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), limit)


FAILURES = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError)


class Server:
    """A sound server of a plain service. It registers at a control replica,
    runs what is sent to it, and does not answer for other servers."""

    def __init__(self, fleet, number, service, zone, work_s=0.03):
        self.fleet = fleet
        self.record = fleet.record
        self.name = f"i-{number:04d}"
        self.ip = f"{fleet.net}.3.{number}"
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.control = fleet.replicas[number % len(fleet.replicas)]
        self.left_at = None  # when its leaving was acknowledged
        self.ran = []  # (when, request)
        self.writers = set()
        self.beats = None
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self._beat())

    def body(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"{self.ip}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 6,
            "state": self.state, "coldRemainingMs": 0, "seq": self.sequence,
            "born": self.born}).encode()

    async def _control(self, replica, method, body=b""):
        status, _, _ = await call(
            replica.ip, self.fleet.ports["control"], method,
            f"/limpetpoint/instances/{self.name}", body,
            {"Content-Type": "application/json"})
        return 200 <= status < 300

    async def report(self):
        """One heartbeat; after a failure the next replica is called."""
        first = self.fleet.replicas.index(self.control)
        for i in range(len(self.fleet.replicas)):
            replica = self.fleet.replicas[
                (first + i) % len(self.fleet.replicas)]
            try:
                if await self._control(replica, "PUT", self.body()):
                    self.control = replica
                    return True
            except FAILURES:
                continue
        return False

    async def _beat(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def deregister(self, replica):
        """Says that it leaves, without having reported that it drains."""
        self.beats.cancel()
        try:
            done = await self._control(replica, "DELETE")
        except FAILURES:
            done = False
        self.left_at = self.record.now() if done else None
        self.record.say(f"{self.name} sent DELETE to {replica.name}: "
                        f"{'acknowledged' if done else 'no answer'}")
        return done

    async def end(self):
        """Ends; what it runs is cut off."""
        if self.beats:
            self.beats.cancel()
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.note(f"{self.name} has ended")

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                await self._answer(writer, first.split()[0], headers)
        except FAILURES:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, writer, method, headers):
        request = headers.get("request-id", "")
        expected = headers.get("expect-instance")
        if expected not in (None, self.name):
            await self._send(writer, 421, {"Request-Id": request,
                                           "Not-Executed": "1"}, b"")
            return
        self.ran.append((self.record.now(), request))
        self.record.note(f"{self.name} runs {request}")
        await asyncio.sleep(self.work_s)
        body = f"{request} run by {self.name}".encode()
        await self._send(writer, 200, {
            "Request-Id": request, "Server-Seal": f"seal.{self.name}.{request}"
        }, body)

    async def _send(self, writer, status, headers, body):
        headers = {**headers, "Content-Length": len(body)}
        writer.write((f"HTTP/1.1 {status} x\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in headers.items())
            + "\r\n").encode() + body)
        await writer.drain()


class Callers:
    """Callers that send at a steady rate to the routers in turn. Each request
    has an id and a connection of its own."""

    def __init__(self, fleet, host, path, method="GET", rate=40,
                 patience_s=1.0):
        self.fleet = fleet
        self.record = fleet.record
        self.host = host
        self.path = path
        self.method = method
        self.rate = rate
        self.patience_s = patience_s
        self.numbers = 0
        self.sent = {}  # id: (when, router)
        self.answers = {}  # id: (when, status or failure)
        self.tasks = set()
        self.loop = None

    def start(self):
        self.loop = asyncio.create_task(self._run())

    async def stop(self):
        self.loop.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _run(self):
        begun = time.monotonic()
        while True:
            self.numbers += 1
            router = self.fleet.routers[self.numbers % len(self.fleet.routers)]
            task = asyncio.create_task(self.send(router))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            due = begun + self.numbers / self.rate
            await asyncio.sleep(max(0, due - time.monotonic()))

    async def send(self, router):
        request = f"{random.getrandbits(64):016x}"
        self.sent[request] = (self.record.now(), router)
        self.record.note(f"{request} sent to {router.name} "
                         f"({self.method} {self.path})")
        body = b"{}" if self.method == "POST" else b""
        try:
            status, headers, text = await call(
                router.ip, self.fleet.ports["front"], self.method, self.path,
                body, {"Host": self.host, "Request-Id": request,
                       "Deadline-Ms": int(self.patience_s * 1000)},
                self.patience_s + 0.5)
            if status == 200 and not text.decode().startswith(request):
                status = "foreign"
        except FAILURES as failure:
            status = type(failure).__name__
        self.answers[request] = (self.record.now(), status)
        self.record.note(f"{request} answered: {status}")
        return status


async def apply(fleet, document, limit=15):
    """Sends a configuration until it is acknowledged."""
    body = json.dumps(document).encode()
    until = time.monotonic() + limit
    while time.monotonic() < until:
        for replica in fleet.replicas:
            ip, port = replica.ip, fleet.ports["control"]
            try:
                for _ in range(3):
                    status, headers, _ = await call(
                        ip, port, "PUT", "/limpetpoint/config", body,
                        {"Content-Type": "application/json"})
                    if status != 307:
                        break
                    ip, port = headers["location"].split("/")[2].split(":")
                if status == 200:
                    fleet.record.say(
                        f"configuration {document['version']} acknowledged")
                    return True
            except FAILURES:
                pass
        await asyncio.sleep(0.2)
    return False


async def ready(fleet, limit=20):
    """Waits until all routers say that they are ready."""
    until = time.monotonic() + limit
    while time.monotonic() < until:
        try:
            states = [
                (await call(each.ip, fleet.ports["ready"], "GET",
                            "/limpetpoint/ready"))[0]
                for each in fleet.routers]
            if all(state == 200 for state in states):
                return True
        except FAILURES:
            pass
        await asyncio.sleep(0.2)
    return False


def document(version, routes):
    """A configuration with one plain service, depot-app."""
    return {
        "version": version, "routes": routes,
        "services": [{"name": "depot-app", "healthPath": "/health",
                      "maxConns": 110, "protocol": "h1", "tls": False,
                      "coldS": 0.0, "coldPerS": 0.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": []}


def route(name, prefix, kind, attempts, timeout_ms=1000):
    return {"name": name, "host": "depot.example", "pathPrefix": prefix,
            "kind": kind, "timeoutMs": timeout_ms, "sloMs": 150, "priority": 2,
            "service": "depot-app", "attempts": attempts, "anonymous": True,
            "sticky": False, "resumable": False}


def main(folder, play):
    """Runs a case; its exit code is 1 if the rule was broken, 0 if it held
    and 2 if the case couldn't run."""
    record = Record(folder)
    fleet = None
    code = 2
    # A script that is ended also ends what it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        fleet = Fleet(record)
        code = asyncio.run(
            play(fleet, os.environ.get("TROUBLE", "1") != "0"))
    except Exception as failure:  # whatever it is, the case couldn't run
        record.say(f"the case couldn't run: {failure!r}")
    finally:
        if fleet:
            fleet.stop()
        record.file.close()
    return code
