"""Runs the real programs while a request crashes each server that runs it.

    crashing_request.py BINARIES [--case NAME ...] [--seed N] [--net N] [--faults]

The request comes again with the same path, caller and body at any router, and
sound ones go on beside it. Prints what broke, and exits with 1 if anything did.
With --faults, routers are killed in turn.
"""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "..", "platform", "test")]

import transport  # noqa: E402
from callers import Caller  # noqa: E402
from world import World  # noqa: E402

SIZES = {"replicas": 4, "routers": 4, "servers": 8, "callers": 0}
CALM_S = 2.0
STORM_S = 14.0
# What the users' sheets allow.
FREE_CRASHES = 3
FREE_REQUESTS = 3
# From the first crash: time until sound requests are served again.
RECOVERY_S = 6.0
SOUND_RATE = 30

# service, servers, kind of requests, number of crashing requests, how many a
# second, whether a part of the answer comes before the crash, and the share of
# sound requests that are served from RECOVERY_S after the first crash.
CASES = {
    "idempotent": ("desk", "repeat", 1, 8, False, 0.9),
    "not_repeatable": ("desk", "single", 1, 8, False, 0.9),
    "stream": ("model", "stream", 1, 8, False, 0.9),
    "two": ("desk", "repeat", 2, 8, False, 0.9),
    "rare": ("desk", "repeat", 1, 1, False, 0.9),
    "at_once": ("model", "stream", 1, 200, False, 0.9),
    "amid_text": ("desk", "repeat", 1, 8, True, 0.9),
    "amid_stream": ("model", "stream", 1, 8, True, 0.9),
}


class CrashingRequests:
    """The requests that crash servers, the crashes, and the sound requests."""

    def __init__(self, world, seed, case):
        self.world = world
        self.random = random.Random(seed)
        (self.service, self.kind, count, self.rate, amid,
         self.least_served) = case
        self.paths = [f"/{self.kind}/crash-{n}" for n in range(count)]
        self.crashes = {path: [] for path in self.paths}
        self.late = {path: [] for path in self.paths}
        self.sound = []  # (when, status)
        self.senders = []
        world.crashing_paths = set(self.paths)
        world.crash_under = self.crash
        world.crashes_amid_answer = amid

    async def crash(self, server, request):
        """Handles a request that crashes the server."""
        sent = self.world.record.sent[request]
        path, now = sent["path"], self.world.record.now()
        crashes = self.crashes[path]
        if len(crashes) >= FREE_CRASHES and now > \
                crashes[FREE_CRASHES - 1] + self.world.bounds["contact_s"] \
                and self.world.is_in_touch(sent["router"]):
            self.late[path].append(request)
        await asyncio.sleep(0.02)
        if server not in self.world.servers:
            raise transport.Broken("it has crashed")
        self.world.servers.remove(server)
        crashes.append(self.world.record.now())
        await server.crash()
        self.world.tasks.append(asyncio.create_task(self._restart(server)))
        raise transport.Broken("crashed by a request")

    async def _restart(self, server):
        await asyncio.sleep(self.random.uniform(1.5, 3.0))
        if not self.world.is_over:
            await self.world.add_server(server.number, server.service)

    async def run(self):
        until = self.world.record.now() + CALM_S + STORM_S
        sound = asyncio.create_task(self._send_sound(until))
        await asyncio.sleep(CALM_S)
        await asyncio.gather(*(self._send_crashing(path, until)
                               for path in self.paths))
        await sound
        await asyncio.gather(*self.senders)

    async def _send_crashing(self, path, until):
        while self.world.record.now() < until:
            self._start(path, {"tenant": "tenant-1", "key": "key-1",
                               "body": b"the same", "events": 5,
                               "parts": []}, None)
            await asyncio.sleep(self.random.expovariate(self.rate))

    async def _send_sound(self, until):
        while self.world.record.now() < until:
            path = f"/{self.kind}/{self.random.randrange(1 << 30)}"
            self._start(path, {}, self.sound)
            await asyncio.sleep(self.random.expovariate(SOUND_RATE))

    def _start(self, path, expected, results):
        async def send():
            begun = self.world.record.now()
            status = await Caller(self.world, 0, begun).probe(
                self.world.pick_router(self.random), self.kind, path,
                expected)
            if results is not None:
                results.append((begun, status))
        self.senders.append(asyncio.create_task(send()))

    async def kill_routers(self):
        """Kills the routers one after the other."""
        await asyncio.sleep(CALM_S)
        for router in self.world.routers.values():
            await asyncio.sleep(2.0)
            self.world.record.disturb(router.name)
            router.signal(signal.SIGKILL)
            await router.restarted()
            self.world.record.calm(router.name)

    def check(self):
        first = min((times[0] for times in self.crashes.values() if times),
                    default=0)
        after = [status for when, status in self.sound
                 if when >= first + RECOVERY_S]
        served = sum(status == 200 for status in after) / len(after)
        for path in self.paths:
            late = self.late[path]
            print(f"  {path}: {len(self.crashes[path])} crashes, "
                  f"{len(late)} too late")
            if len(late) > FREE_REQUESTS:
                self.world.record.fail(
                    "BUDGET", f"{path} reached servers {len(late)} times too "
                    "late", late[FREE_REQUESTS])
        print(f"  sound requests: {served:.3f} of {len(after)} served")
        if served < self.least_served:
            self.world.record.fail("LOST", f"only {served:.3f} of the sound "
                                   "requests were served")


async def play(world, options, case):
    try:
        await world.start()
        storm = CrashingRequests(world, options.seed, case)
        if options.faults:
            await asyncio.gather(storm.run(), storm.kill_routers())
        else:
            await storm.run()
        storm.check()
        await world.finish()
    finally:
        await world.abandon()


def run_case(options, name):
    """Returns whether every promise was kept."""
    folder = tempfile.mkdtemp(prefix="crashing-request-")
    world = World(os.path.abspath(options.binaries), folder, options.net,
                  options.seed, SIZES)
    print(f"{name}, seed {options.seed}:", flush=True)
    asyncio.run(play(world, options, CASES[name]))
    for line, request in world.record.broken[:10]:
        print(f"  BROKEN {line} {request}")
    if world.record.broken:
        print(f"  logs: {folder}", flush=True)
        return False
    shutil.rmtree(folder)
    return True


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("--case", choices=sorted(CASES), action="append")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=63)
    parser.add_argument("--faults", action="store_true")
    options = parser.parse_args()
    names = options.case or list(CASES)
    kept = [run_case(options, name) for name in names]
    print(f"{sum(kept)} passed, {len(kept) - sum(kept)} failed")
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
