"""Runs the real programs while a router is stopped as planned, in calm.

    planned_stop.py BINARIES [--seed N] [--net N]

Callers go on sending to the router until it has ended. Its grace is shorter
than the time that requests are given, and servers are slow. Exits with 1 if a
request that a server has run gets no answer, or if the router does not serve
some requests and refuse others.
"""

import argparse
import asyncio
import os
import shutil
import signal
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "..", "platform", "test")]

import transport  # noqa: E402
import world as fleet  # noqa: E402
from callers import Caller  # noqa: E402
from servers import Server  # noqa: E402

SIZES = {"replicas": 3, "routers": 2, "servers": 8, "callers": 0}
ROUTER = "router-1"
GRACE_S = 3
WORK_S = 2.2
# Time between two requests, and for which they are sent before the stop.
GAP_S = 0.08
BEFORE_S = 1.0
KINDS = ("single", "repeat")


class SlowServer(Server):
    async def _send_text(self, writer, request, seal, answer, crashes):
        if "ready" not in self.world.record.sent[request]["path"]:
            await asyncio.sleep(WORK_S)
        await super()._send_text(writer, request, seal, answer, crashes)


class LastCaller(Caller):
    """Sends one request over a connection of its own."""

    async def send(self, kind):
        """Returns the request and its status, which is None without an
        answer."""
        self.router = ROUTER
        request, sent = self._register(kind)
        try:
            self.connection = await asyncio.wait_for(
                asyncio.open_connection(*self.world.caller_address(ROUTER)),
                1.0)
            status, _ = await asyncio.wait_for(
                self._exchange(request, sent), 2.0 * GRACE_S)
            return request, status
        except (transport.Broken, OSError, asyncio.TimeoutError):
            return request, None
        finally:
            self._drop()


async def send_for(world, span):
    """Returns the tasks of the requests sent in this time."""
    sent = []
    until = world.record.now() + span
    while world.record.now() < until:
        caller = LastCaller(world, 0, world.random.randrange(1 << 30))
        kind = KINDS[len(sent) % len(KINDS)]
        sent.append(asyncio.create_task(caller.send(kind)))
        await asyncio.sleep(GAP_S)
    return sent


def check(world, results):
    runs = world.record.runs
    cut_off = [request for request, status in results
               if status is None and request in runs]
    statuses = [status for _, status in results]
    counts = {str(each): statuses.count(each) for each in set(statuses)}
    print(f"  {len(results)} requests to the router that ends: {counts}, "
          f"{len(cut_off)} ran and got no answer")
    for request in cut_off:
        world.record.fail("LOST", "it ran and got no answer", request)
    if 200 not in statuses or 503 not in statuses:
        world.record.fail("LOST", f"statuses {counts}: some served and some "
                          "refused were expected")


async def play(world):
    try:
        await world.start()
        sent = await send_for(world, BEFORE_S)
        process = world.routers[ROUTER]
        process.is_ending = True
        process.signal(signal.SIGTERM)
        sent += await send_for(world, GRACE_S)
        await asyncio.wait_for(process.ended(), GRACE_S)
        check(world, await asyncio.gather(*sent))
        await asyncio.gather(*(
            each.stop()
            for each in [*world.routers.values(), *world.replicas.values()]))
    finally:
        await world.abandon()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=66)
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="planned-stop-")
    fleet.GRACE_S = GRACE_S
    fleet.Server = SlowServer
    world = fleet.World(os.path.abspath(options.binaries), folder, options.net,
                        options.seed, SIZES)
    print(f"seed {options.seed}:", flush=True)
    asyncio.run(play(world))
    for line, request in world.record.broken[:10]:
        print(f"  BROKEN {line} {request}")
    if world.record.broken:
        print(f"  logs: {folder}", flush=True)
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
