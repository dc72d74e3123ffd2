"""Upgrades a fleet from one build to another, program by program, and back.

    rolling_upgrade.py OLD_BINARIES NEW_BINARIES [--entries N]

Not part of CI, which has one build only. Checks that
- every accepted revision survives each restart, also on data folders that the
  other build wrote, with a snapshot if N is over the snapshot interval;
- a keyed request that ran under one build is replayed under the other, both
  ways, not run again;
- a control group of both builds elects a leader and accepts changes, and
  routers of both builds put them in force;
- requests take the hop between routers of different builds, both ways;
- limpetctl of one build prints the same as the other's, from either group.
"""

import argparse
import collections
import concurrent.futures
import json
import os
import subprocess
import sys
import tempfile

from callers import events_of
from fleet import ADMIN, CALLERS, OPERATORS, PARTNERS, Fleet, call

PARALLEL_CHANGES = 32
CHATS_PER_ROUTER = 12


def require(holds, text):
    if not holds:
        raise AssertionError(text)


class Upgrade:
    """A fleet whose programs change from one build to the other."""

    def __init__(self, fleet, builds):
        self.fleet = fleet
        self.builds = builds
        self.changes = 0
        self.alerts = {}
        self.build_of = {name: "old"
                         for name in [*fleet.routers, *fleet.replicas]}

    def read(self, target):
        """Returns what the leader answers, once there is one."""
        while True:
            for name in self.fleet.replicas:
                try:
                    status, _, body = call(
                        self.fleet.replica_address(name), OPERATORS, "GET",
                        target, headers={"Authorization": "Bearer " + ADMIN})
                except OSError:
                    continue
                if status == 200:
                    return json.loads(body)

    def state(self):
        """Returns the accepted objects and the last accepted changes."""
        return self.read("/v1/objects"), self.read("/v1/history?limit=100")

    def change(self):
        """Submits a change and waits until it is in force at all routers."""
        self.changes += 1
        partner = PARTNERS[self.changes % len(PARTNERS)]
        self.fleet.put({"kind": "service_route",
                        "id": f"{partner}/upgrade-{self.changes}",
                        "service": f"{partner}-alerts"})
        self.fleet.wait_in_force()

    def add_entries(self, count):
        """Fills the log with accepted changes."""
        def put(number):
            command = {"operation": f"fill-{number}", "expected_revision": 0,
                       "put": {"kind": "service_route",
                               "id": f"bureau/fill-{number}",
                               "service": "bureau-alerts"}}
            while True:
                for name in self.fleet.replicas:
                    status, answer = self.fleet.submit_at(name, command)
                    if status == 200:
                        return answer["revision"]
        with concurrent.futures.ThreadPoolExecutor(PARALLEL_CHANGES) as pool:
            revisions = list(pool.map(put, range(count)))
        self.fleet.revision = max([self.fleet.revision, *revisions])
        self.fleet.wait_in_force()

    def restart(self, name, build):
        """Restarts a program as that of the build, with the same settings
        and data."""
        programs = (self.fleet.routers if name in self.fleet.routers
                    else self.fleet.replicas)
        program = programs[name]
        code = program.stop()
        require(code == 0, f"{name} of the {self.build_of[name]} build "
                f"ended with {code}")
        binary = os.path.basename(program.command[0])
        program.command[0] = os.path.join(self.builds[build], binary)
        program.start()
        self.build_of[name] = build
        if name in self.fleet.replicas:
            program.wait_for_event("control.start")
        else:
            program.wait_for_revision(self.fleet.revision)

    def restart_replicas(self, build):
        """Restarts one replica after the other, with a change after each."""
        for name in self.fleet.replicas:
            before = self.state()
            self.restart(name, build)
            require(self.state() == before,
                    f"changes were lost when {name} became {build}")
            self.change()

    def restart_group(self, build):
        """Stops all replicas and starts them as those of the build."""
        before = self.state()
        for program in self.fleet.replicas.values():
            program.kill()
        for name, program in self.fleet.replicas.items():
            binary = os.path.basename(program.command[0])
            program.command[0] = os.path.join(self.builds[build], binary)
            program.start()
            self.build_of[name] = build
        require(self.state() == before,
                f"changes were lost when all replicas became {build}")
        self.change()

    def send_alert(self, router, key):
        """Returns the answer and whether it was the recorded one."""
        while True:
            status, headers, body = call(
                self.fleet.router_address(router), CALLERS, "POST",
                "/services/alerts/send", "alert " + key,
                {"Authorization": "Bearer key-bureau-team-0",
                 "Idempotency-Key": key})
            if status == 200:
                return json.loads(body), "Limpet-Replayed" in headers

    def send_new_alert(self, key):
        answer, is_replayed = self.send_alert("router-1", key)
        require(not is_replayed, f"the first alert {key} was replayed")
        self.alerts[key] = answer

    def repeat_alerts(self):
        """Requires that all earlier alerts are replayed, not run again."""
        for key, answer in self.alerts.items():
            require(self.send_alert("router-2", key) == (answer, True),
                    f"alert {key} was not replayed")

    def send_chats(self):
        """Sends chats through each router and returns how many each pair of
        entry and owner served, by their builds."""
        owners = {engine["engine"]: engine["owner"]
                  for engine in self.fleet.status("router-1")["engines"]}
        served = collections.Counter()
        for router in self.fleet.routers:
            for number in range(CHATS_PER_ROUTER):
                partner = PARTNERS[number % len(PARTNERS)]
                engine = self.send_chat(router, partner, number)
                served[self.build_of[router],
                       self.build_of[owners[engine]]] += 1
        return served

    def send_chat(self, router, partner, number):
        body = json.dumps({"stream": True, "messages": [
            {"role": "user", "content": f"chat {number} of {router}"}]})
        while True:
            status, headers, content = call(
                self.fleet.router_address(router), CALLERS, "POST",
                "/v1/chat/completions", body,
                {"Authorization": f"Bearer key-{partner}-team-0",
                 "Limpet-Chat": f"upgrade-{router}-{number}"})
            if status == 200:
                ids, _, whole = events_of(content)
                require(whole and ids == list(range(1, len(ids) + 1)),
                        f"{router}: a stream was cut: {ids}")
                return headers["Limpet-Placement"]

    def compare_tools(self):
        """Requires that limpetctl of both builds prints the same."""
        addresses = ",".join(
            f"{self.fleet.replica_address(name)}:{OPERATORS}"
            for name in self.fleet.replicas)
        for words in (["show"], ["history"], ["in-force"], ["--json", "show"]):
            printed = [subprocess.run(
                [os.path.join(self.builds[build], "limpetctl"),
                 "--control=" + addresses, "--token=" + ADMIN, *words],
                capture_output=True, text=True, check=True).stdout
                for build in ("old", "new")]
            require(printed[0] and printed[0] == printed[1],
                    f"limpetctl {' '.join(words)} differs between builds")


def has_snapshot(fleet, name):
    return os.path.exists(os.path.join(fleet.folder, name, "snapshot"))


def run(upgrade, entries):
    fleet = upgrade.fleet
    upgrade.add_entries(entries)
    print("snapshots of the old build:",
          sum(has_snapshot(fleet, name) for name in fleet.replicas))
    upgrade.send_new_alert("before-upgrade")
    upgrade.compare_tools()

    for build in ("new", "old"):
        upgrade.restart_replicas(build)
        upgrade.repeat_alerts()
        upgrade.send_new_alert(f"run-by-{build}")
        upgrade.compare_tools()
        upgrade.restart_group("old" if build == "new" else "new")
        upgrade.restart_group(build)

    halves = list(fleet.routers)[:len(fleet.routers) // 2]
    for name in halves:
        upgrade.restart(name, "new")
    fleet.wait_for_engines()
    upgrade.change()
    served = upgrade.send_chats()
    for pair in (("old", "new"), ("new", "old")):
        require(served[pair], f"no chat took the hop {' to '.join(pair)}")
    print("chats by build of entry and owner:", dict(served))
    for name in fleet.routers:
        if name not in halves:
            upgrade.restart(name, "new")
    upgrade.restart_replicas("new")
    upgrade.repeat_alerts()


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("old")
    parser.add_argument("new")
    parser.add_argument("--entries", type=int, default=10_500)
    words = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(words.old, folder)
        try:
            fleet.start()
            run(Upgrade(fleet, {"old": words.old, "new": words.new}),
                words.entries)
            codes = fleet.stop()
            require(not any(codes.values()), f"exit codes {codes}")
        finally:
            fleet.kill_all()
    print("all revisions, keyed requests and hops held")
    return 0


if __name__ == "__main__":
    sys.exit(main())
