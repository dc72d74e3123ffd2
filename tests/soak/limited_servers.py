"""Runs the real programs while servers limit the requests that they take.

    limited_servers.py BINARIES [--case NAME] [--seed N] [--net N]

Prints what each case showed, and exits with 1 if a promise was broken.
"""

import argparse
import asyncio
import os
import random
import shutil
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "..", "platform", "test")]

from callers import Caller  # noqa: E402
from world import World  # noqa: E402

SIZES = {"replicas": 4, "routers": 4, "servers": 24, "callers": 0}
CALM_S = 4.0
LIMITED_S = 11.0
# After the limits end: time until servers get their usual share again, and
# time for which that is measured.
RECOVERY_S = 3.0
AFTER_S = 3.0
# What the users' sheets allow: arrivals at a server in any window, as a
# multiple of its limit and a constant, of routers that knew the limit.
WINDOW_S = 4.0
FREE_FACTOR = 1.5
FREE_REQUESTS = 5
KNOWN_AFTER_S = 0.5
# A request that no server may take is refused at once.
REFUSAL_S = 0.25

# service and kinds of requests, limited servers, limit, requests a second,
# and the least share that is served while the limits hold.
CASES = {
    "two_thirds": ("model", ("stream", "resume"), 8, 2.0, 100, 0.9),
    "few_below_one": ("model", ("stream", "resume"), 2, 0.5, 100, 0.9),
    "all": ("model", ("stream", "resume"), 12, 5.0, 120, 0.3),
    "plain": ("desk", ("single", "repeat"), 9, 3.0, 120, 0.9),
}


class LimitedServers:
    """Requests at a steady rate, before, while and after servers name
    limits."""

    def __init__(self, world, seed, case):
        self.world = world
        self.random = random.Random(seed)
        (self.service, self.kinds, self.count, self.limit, self.rate,
         self.least_served) = case
        self.senders = []
        self.results = []  # (when sent, status, how long it took)
        self.named_at = {}  # server -> when it began to name the limit
        self.ended_at = None

    def servers(self):
        return [each for each in self.world.servers
                if each.service == self.service]

    async def run(self):
        sending = asyncio.create_task(self._send_all())
        await asyncio.sleep(CALM_S)
        for each in self.servers()[:self.count]:
            each.limit = str(self.limit)
            self.named_at[each] = self.world.record.now()
        await asyncio.sleep(LIMITED_S)
        for each in self.named_at:
            each.limit = None
        self.ended_at = self.world.record.now()
        await asyncio.sleep(RECOVERY_S + AFTER_S)
        sending.cancel()
        await asyncio.gather(*self.senders)

    async def _send_all(self):
        while True:
            self.senders.append(asyncio.create_task(self._send()))
            await asyncio.sleep(self.random.expovariate(self.rate))

    async def _send(self):
        number = self.random.randrange(1 << 30)
        kind = self.random.choice(self.kinds)
        router = self.world.pick_router(self.random)
        begun = self.world.record.now()
        status = await Caller(self.world, 0, number).probe(
            router, kind, f"/{kind}/{number}", {})
        self.results.append((begun, status, self.world.record.now() - begun))

    def check(self):
        self.check_limits()
        self.check_service()
        self.check_recovery()

    def worst_window(self, server):
        """Returns the most arrivals in a window of routers that knew the
        limit."""
        since = self.named_at[server] + self.world.bounds["contact_s"]
        first = {}
        counted = []
        for when, router in server.arrivals:
            if when < self.named_at[server] or when > self.ended_at:
                continue
            if when >= since and when >= first.get(router, when) + \
                    KNOWN_AFTER_S:
                counted.append(when)
            first.setdefault(router, when)
        return max((sum(begin <= each < begin + WINDOW_S for each in counted)
                    for begin in counted), default=0)

    def check_limits(self):
        allowed = FREE_FACTOR * self.limit * WINDOW_S + FREE_REQUESTS
        worst = max(self.worst_window(each) for each in self.named_at)
        print(f"  {worst} requests in {WINDOW_S} s at one server, "
              f"{allowed} allowed")
        if worst > allowed:
            self.world.record.fail(
                "LIMIT", f"{worst} requests reached a server that allows "
                f"{allowed}")

    def check_service(self):
        since = next(iter(self.named_at.values())) + \
            self.world.bounds["contact_s"]
        sent = [each for each in self.results
                if since <= each[0] < self.ended_at]
        served = sum(status == 200 for _, status, _ in sent) / len(sent)
        slow = [took for _, status, took in sent
                if status == 503 and took > REFUSAL_S]
        print(f"  {served:.3f} served of {len(sent)}, "
              f"{len(slow)} refused late")
        if served < self.least_served:
            self.world.record.fail("LIMIT", f"only {served:.3f} served")
        if self.count == len(self.servers()) and slow:
            self.world.record.fail(
                "LIMIT", f"{len(slow)} requests refused after {max(slow)} s")

    def check_recovery(self):
        """Compares what the servers get with what they got before."""
        def rate(since):
            return sum(since <= when < since + AFTER_S
                       for each in self.named_at for when, _ in each.arrivals)

        usual = rate(min(self.named_at.values()) - AFTER_S)
        now = rate(self.ended_at + RECOVERY_S)
        print(f"  after the end: {now} requests at servers that had limits, "
              f"{usual} before")
        if now < usual / 2:
            self.world.record.fail(
                "LIMIT", "servers without limit get less than half their "
                "share")


async def play(world, seed, case):
    try:
        await world.start()
        limited = LimitedServers(world, seed, case)
        await limited.run()
        limited.check()
        await world.finish()
    finally:
        await world.abandon()


def run_case(options, name):
    """Returns whether every promise was kept."""
    folder = tempfile.mkdtemp(prefix="limited-servers-")
    world = World(os.path.abspath(options.binaries), folder, options.net,
                  options.seed, SIZES)
    print(f"{name}, seed {options.seed}:", flush=True)
    asyncio.run(play(world, options.seed, CASES[name]))
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
    parser.add_argument("--case", choices=sorted(CASES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=62)
    options = parser.parse_args()
    names = [options.case] if options.case else list(CASES)
    kept = [run_case(options, name) for name in names]
    print(f"{sum(kept)} passed, {len(kept) - sum(kept)} failed")
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
