"""Runs the real programs while servers fall over if they turn too many away.

    brittle_servers.py BINARIES [--seed N] [--net N] [--routers N]

The servers of one service say in their answers how many requests they may turn
away in a second, and let none wait. More requests come than they have room
for. Exits with 1 if they fall over more often than 2 + a tenth of their number
while routers know of it, or if another promise is broken.
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

SERVERS = 16
ROOM = 2
TURNED_AWAY_IN_A_SECOND = 2
# Requests a second, about twice what the servers of the service can run.
RATE = 90
CALM_S = 2.0
BRITTLE_S = 12.0
DOWN_S = 3.0
KIND = "resume"
EVENTS = 12


class BrittleWorld(World):
    falls = 0
    is_full = True  # as long as servers turn away

    def of_service(self):
        return [each for each in self.servers if each.service == "model"]

    def set_brittle(self, server, is_brittle):
        server.room = ROOM
        server.brittle = TURNED_AWAY_IN_A_SECOND if is_brittle else None

    async def fall_over(self, server):
        if server not in self.servers:
            return
        self.falls += 1
        self.servers.remove(server)
        self.record.note(f"{server.name} falls over")
        await server.crash()
        self.tasks.append(asyncio.create_task(self._restart(server)))

    async def _restart(self, server):
        await asyncio.sleep(DOWN_S)
        if not self.is_over:
            started = await self.add_server(server.number, server.service)
            if self.is_full:
                self.set_brittle(started, True)


async def send(world, number):
    await Caller(world, 0, number).probe(
        world.pick_router(world.random), KIND, f"/{KIND}/{number}",
        {"events": EVENTS})


async def play(world, seed):
    source = random.Random(seed)
    senders = set()
    try:
        await world.start()
        for each in world.of_service():
            world.set_brittle(each, False)
        count = len(world.of_service())
        begun = world.record.now()
        is_brittle = False
        falls_before = 0
        while world.record.now() < begun + CALM_S + BRITTLE_S:
            if not is_brittle and world.record.now() > begun + CALM_S:
                is_brittle = True
                for each in world.of_service():
                    world.set_brittle(each, True)
            if world.record.now() < \
                    begun + CALM_S + world.bounds["contact_s"]:
                falls_before = world.falls
            senders.add(asyncio.create_task(
                send(world, source.randrange(1 << 30))))
            await asyncio.sleep(source.expovariate(RATE))
        falls = world.falls - falls_before
        print(f"  {falls} falls of {count} servers, {falls_before} before "
              f"they count")
        if falls > 2 + count / 10:
            world.record.fail("LIMIT", f"{falls} falls of {count} servers")
        world.is_full = False
        for each in world.of_service():
            each.room = each.brittle = None
        await asyncio.gather(*senders)
        await world.finish()
    finally:
        await world.abandon()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=68)
    parser.add_argument("--routers", type=int, default=8)
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="brittle-servers-")
    world = BrittleWorld(
        os.path.abspath(options.binaries), folder, options.net, options.seed,
        {"replicas": 4, "routers": options.routers, "servers": SERVERS,
         "callers": 0})
    print(f"seed {options.seed}, {options.routers} routers:", flush=True)
    asyncio.run(play(world, options.seed))
    for line, request in world.record.broken[:10]:
        print(f"  BROKEN {line} {request}")
    if world.record.broken:
        print(f"  logs: {folder}", flush=True)
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
