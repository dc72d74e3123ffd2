"""Runs the real programs as a fleet on loopback addresses.

One address stands for each VM. The programs' log lines are the events that
the tests wait for; no wait has a time limit of its own, the test runner's
limit ends a test that hangs.
"""

import hashlib
import http.client
import json
import os
import re
import signal
import subprocess
import threading

DATA_CENTRES = ["north-1", "north-2", "north-3", "north-4"]
PARTNERS = ["bureau", "utility"]
TEAMS_PER_PARTNER = 10
ENGINES_PER_PARTNER = 10
SERVICES_PER_PARTNER = 2
ROUTERS = 9
REPLICAS = 5
ADMIN = "admin-token"
CALLERS, BACKENDS, OPERATORS, PEERS = 7100, 7200, 7300, 7400
STANDIN_ADDRESS = "127.0.2.100"
STANDIN_FIRST_PORT = 9001


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def call(address, port, method, target, body=None, headers=None, limit=60):
    """Sends one request and returns (status, headers, body)."""
    connection = http.client.HTTPConnection(address, port, timeout=limit)
    try:
        connection.request(method, target, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


class Program:
    """One process and its log lines."""

    def __init__(self, name, command):
        self.name = name
        self.command = command
        self.lines = []
        self.changed = threading.Condition()
        self.process = None

    def start(self):
        with self.changed:
            self.lines = []
        self.process = subprocess.Popen(
            self.command, stdout=subprocess.PIPE, text=True)
        threading.Thread(
            target=self._read, args=(self.process,), daemon=True).start()

    def _read(self, process):
        for line in process.stdout:
            with self.changed:
                self.lines.append(line)
                self.changed.notify_all()
        with self.changed:
            self.changed.notify_all()

    def wait_for(self, predicate):
        """Waits until a log line satisfies the predicate."""
        with self.changed:
            self.changed.wait_for(
                lambda: any(predicate(line) for line in self.lines))

    def wait_for_event(self, name):
        self.wait_for(lambda line: f"event={name}" in line)

    def wait_for_revision(self, revision):
        def reached(line):
            found = re.search(r"event=config.in_force revision=(\d+)", line)
            return found and int(found.group(1)) >= revision
        self.wait_for(reached)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def stop(self):
        """Stops gracefully and returns the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait()


class Fleet:
    """Four data centres, nine routers, five control replicas, 20 engines, 4
    plain services, two partners with ten teams each."""

    def __init__(self, binaries, folder):
        self.binaries = binaries
        self.folder = folder
        self.routers = {}
        self.replicas = {}
        self.standin = None
        self.violations = None
        self.revision = 0
        self.operations = 0

    def router_address(self, name):
        return "127.0.2." + name.split("-")[1]

    def replica_address(self, name):
        return "127.0.2.2" + name.split("-")[1]

    def data_centre_of(self, name):
        return DATA_CENTRES[(int(name.split("-")[1]) - 1) % len(DATA_CENTRES)]

    def start(self):
        for number in range(1, REPLICAS + 1):
            self._prepare_replica(f"control-{number}")
        for number in range(1, ROUTERS + 1):
            self._prepare_router(f"router-{number}")
        self._prepare_standin()
        for program in [*self.replicas.values(), *self.routers.values()]:
            program.start()
        for program in self.replicas.values():
            program.wait_for_event("control.start")
        self._apply_configuration()
        self.wait_in_force()
        self.standin.start()
        self.wait_for_engines()

    def stop(self):
        """Stops all programs and returns their exit codes by name."""
        codes = {"standin": self.standin.stop()}
        for programs in (self.routers, self.replicas):
            for program in programs.values():
                program.process.send_signal(signal.SIGTERM)
            for name, program in programs.items():
                codes[name] = program.process.wait()
        return codes

    def kill_all(self):
        for program in [self.standin, *self.routers.values(),
                        *self.replicas.values()]:
            if program and program.process and program.process.poll() is None:
                program.kill()

    def _write(self, name, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return path

    def _program(self, binary, name, settings):
        path = self._write(name, settings)
        return Program(
            name, [os.path.join(self.binaries, binary), "--settings=" + path])

    def _prepare_replica(self, name):
        data = os.path.join(self.folder, name)
        os.makedirs(data, exist_ok=True)
        others = [f"control-{n}" for n in range(1, REPLICAS + 1)
                  if f"control-{n}" != name]
        address = self.replica_address(name)
        self.replicas[name] = self._program("limpet-control", name, {
            "vm": name, "data_centre": self.data_centre_of(name),
            "operators": f"{address}:{OPERATORS}",
            "peers": f"{address}:{PEERS}",
            "group": [{"vm": other,
                       "address": f"{self.replica_address(other)}:{PEERS}"}
                      for other in others],
            "data_folder": data})

    def _prepare_router(self, name):
        def peer(other):
            return {"vm": other, "data_centre": self.data_centre_of(other),
                    "region": "north",
                    "address": f"{self.router_address(other)}:{PEERS}"}
        address = self.router_address(name)
        self.routers[name] = self._program("limpet-router", name, {
            "vm": name, "data_centre": self.data_centre_of(name),
            "region": "north",
            "callers": f"{address}:{CALLERS}",
            "backends": f"{address}:{BACKENDS}",
            "peers": f"{address}:{PEERS}",
            "seeds": [peer(f"router-{n}") for n in range(1, ROUTERS + 1)],
            "control": [
                {"vm": replica,
                 "address": f"{self.replica_address(replica)}:{PEERS}"}
                for replica in self.replicas]})

    def _prepare_standin(self):
        servers = []
        self.servers = {}
        self.places = {}

        def add(name, place, details):
            port = STANDIN_FIRST_PORT + len(servers)
            self.servers[name] = port
            self.places[name] = DATA_CENTRES[place % 4]
            servers.append({
                "id": name, "data_centre": DATA_CENTRES[place % 4],
                "listen": f"{STANDIN_ADDRESS}:{port}",
                "checks_fencing": place % 2 == 0, **details})

        for partner in PARTNERS:
            for number in range(ENGINES_PER_PARTNER):
                add(f"{partner}-engine-{number}", number, {
                    "models": [f"{partner}-model"], "slots": 8,
                    "token_delay_us": 2000, "answer_tokens": 24})
            for number in range(SERVICES_PER_PARTNER):
                add(f"{partner}-service-{number}", number, {
                    "kind": "service", "services": [f"{partner}-alerts"]})
        self.standin = self._program("limpet-standin", "standin", {
            "announce_to": [f"{self.router_address(name)}:{BACKENDS}"
                            for name in self.routers],
            "servers": servers})

    def submit(self, document):
        """Submits a change and returns its revision once it is accepted."""
        self.operations += 1
        command = {"operation": f"fleet-{self.operations}", **document}
        while True:
            for name in self.replicas:
                status, answer = self.submit_at(name, command)
                if status == 200:
                    self.revision = answer["revision"]
                    return self.revision
                if status not in (0, 503):
                    raise AssertionError(f"{command}: {status} {answer}")

    def submit_at(self, name, command):
        try:
            status, _, body = call(
                self.replica_address(name), OPERATORS, "POST", "/v1/commands",
                json.dumps(command), {"Authorization": "Bearer " + ADMIN}, 5)
            return status, json.loads(body)
        except OSError:
            return 0, None

    def put(self, value, expected=0):
        return self.submit({"expected_revision": expected, "put": value})

    def _apply_configuration(self):
        self.put({"kind": "operator", "id": "admin",
                  "token_sha256": digest(ADMIN)})
        self.data_centre_revisions = {}
        for name in DATA_CENTRES:
            self.data_centre_revisions[name] = self.put(
                {"kind": "data_centre", "id": name, "region": "north"})
        for partner in PARTNERS:
            self.put({"kind": "partner", "id": partner, "share": 100,
                      "guaranteed_percent": 40})
            self.put({"kind": "template", "id": f"{partner}-chats",
                      "partner": partner, "parameters": {
                          "models": [f"{partner}-model"],
                          "deadline_ms": 30000, "queue_time_ms": 10000,
                          "max_open_requests": 64,
                          "routes": [{"kind": "chat", "repeatable": True}]}})
            self.put({"kind": "service_route", "id": f"{partner}/alerts",
                      "service": f"{partner}-alerts"})
            for number in range(TEAMS_PER_PARTNER):
                team = f"{partner}-team-{number}"
                self.put({"kind": "team", "id": team, "partner": partner,
                          "template": f"{partner}-chats",
                          "keys_sha256": [digest("key-" + team)]})

    def set_in_service(self, data_centre, in_service):
        revision = self.submit({
            "expected_revision": self.data_centre_revisions[data_centre],
            "set_service": {"kind": "data_centre", "id": data_centre,
                            "in_service": in_service}})
        self.data_centre_revisions[data_centre] = revision

    def wait_in_force(self, without=()):
        for name, program in self.routers.items():
            if name not in without:
                program.wait_for_revision(self.revision)

    def status(self, router):
        _, _, body = call(
            self.router_address(router), BACKENDS, "GET", "/v1/status")
        return json.loads(body)

    def wait_for_engines(self, without=()):
        """Waits until each router knows all backend servers."""
        for name in self.routers:
            while name not in without:
                known = self.status(name)["engines"]
                if len(known) == len(self.servers) and all(
                        engine["owner"] for engine in known):
                    break

    def set_fault(self, first, second, fault):
        """Lets the links between two VMs fail, in both directions."""
        for name, peer in ((first, second), (second, first)):
            if name in self.routers:
                address, port = self.router_address(name), BACKENDS
            else:
                address, port = self.replica_address(name), OPERATORS
            status, _, body = call(
                address, port, "POST", "/v1/faults",
                json.dumps({"peer": peer, "fault": fault}))
            if status != 200:
                raise AssertionError(f"{name}: {status} {body}")

    def records(self):
        """Returns what reached each backend server."""
        return {name: json.loads(call(
            STANDIN_ADDRESS, port, "GET", "/v1/standin/record")[2])
            for name, port in self.servers.items()}

    def runs_in(self, data_centre):
        """Returns how many requests of callers reached the data centre."""
        return sum(
            not entry["request"].startswith("direct-")
            for name, record in self.records().items()
            if self.places[name] == data_centre
            for entry in record["requests"])
