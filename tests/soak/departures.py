"""Runs the real programs while servers leave and replicas are lost.

    departures.py BINARIES [--seed N] [--seeds N] [--case NAME]... [--net N]
                  [--old BINARIES]

A server that was told that its departure is acknowledged gets no request later
than the platform allows, whichever replicas end after the acknowledgement and
whatever arrives late. Exits with 1 if one does.
"""

import argparse
import asyncio
import itertools
import os
import shutil
import signal
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "..", "platform", "test")]

import platform_peer as peer  # noqa: E402
import processes  # noqa: E402
import servers  # noqa: E402
import transport  # noqa: E402
import world as fleet  # noqa: E402

SIZES = {"replicas": 4, "routers": 4, "servers": 0, "callers": 0}
SERVERS = 12
# Of the platform's sheets. A server is taken for silent after five of them.
HEARTBEAT_S = 1.2
# Between two requests, through the routers in turn.
GAP_S = 0.006
# For which the fleet runs before a server leaves, and a server that has left
# goes on to serve.
BEFORE_S = 2.0
SERVES_S = 8.0
# How long replicas are down, and how late a message arrives.
DOWN_S = 3.5
ALL_DOWN_S = 0.95
LATE_S = 3.0
# How often a server asks for an acknowledgement.
TRIES = 4
# The sheets' bound for an acknowledgement.
ACKED_WITHIN_S = 4.0
# Routers and replicas that have started again serve after this long.
ALL_READY_S = 2.0
# For which a deregistration after a later start is refused.
AMBIGUOUS_S = 5.5
# A server that starts again gets requests so soon.
SERVED_WITHIN_S = 2.0


class Leaver:
    """A server that leaves, and what it sends to chosen replicas."""

    def __init__(self, world, server):
        self.world = world
        self.server = server
        self.acked_at = None

    async def call(self, replica, method, body=""):
        """Returns the status, None if no answer came."""
        host, port = self.world.replicas[replica].settings[
            "operators"].split(":")
        try:
            status, _, _ = await transport.call(
                (host, int(port)), method,
                peer.registration_path(self.server.name), body, {}, 1.0)
        except transport.Broken:
            status = None
        self.world.record.note(f"{self.server.name} {method} at {replica}: "
                               f"{status}")
        return status

    def report(self, state):
        """Returns the server's next heartbeat."""
        server = self.server
        server.sequence += 1
        return peer.registration(
            server.service, "%s:%d" % server.place[1], server.data_centre,
            server.version, state, server.sequence, server.born_ms)

    async def leave(self, *replicas):
        """Deregisters at the replicas in turn, until one acknowledges it."""
        return await self._until_acked(replicas, lambda: ("DELETE",))

    async def drain(self, replica):
        """Says that it drains, until that is acknowledged."""
        return await self._until_acked(
            [replica], lambda: ("PUT", self.report("draining")))

    async def _until_acked(self, replicas, message):
        """A replica may refuse, as during an election."""
        self.server.beats.cancel()
        for each in itertools.islice(itertools.cycle(replicas), TRIES):
            if await self.call(each, *message()) == 200:
                self.acked_at = self.world.record.now()
                return True
        return False

    def late_runs(self):
        since = self.acked_at + self.world.bounds["drain_s"]
        return sorted(
            when - self.acked_at
            for runs in self.world.record.runs.values()
            for name, when in runs
            if name == self.server.name and when > since)


def end(world, names, number=signal.SIGKILL):
    for name in names:
        world.record.disturb(name)
        {**world.replicas, **world.routers}[name].signal(number)


async def replica_lost(world, leavers, number=signal.SIGKILL):
    """A replica ends right after it has acknowledged two departures."""
    processes.RESTART_S = DOWN_S
    replica = world.random.choice(list(world.replicas))
    first = asyncio.create_task(leavers[0].leave(replica))
    await asyncio.sleep(0.01)
    states = await asyncio.gather(first, leavers[1].leave(replica))
    end(world, [replica], number)
    return all(states)


async def replica_stopped(world, leavers):
    """As before, but the replica is stopped as planned."""
    return await replica_lost(world, leavers, signal.SIGTERM)


async def draining_replica_lost(world, leavers):
    """The same for servers that say that they drain, and say it once."""
    processes.RESTART_S = DOWN_S
    replica = world.random.choice(list(world.replicas))
    states = [await each.drain(replica) for each in leavers]
    end(world, [replica])
    return all(states)


async def all_restarted(world, leavers):
    """All processes end after the acknowledgement; then heartbeats arrive that
    were sent before."""
    processes.RESTART_S = ALL_DOWN_S
    names = list(world.replicas)
    world.random.shuffle(names)
    beats = [each.report("ready") for each in leavers]
    states = [await leavers[0].leave(names[0]),
              await leavers[1].drain(names[1])]
    await asyncio.sleep(world.random.choice((0.0, 0.001, 0.3)))
    end(world, [*world.replicas, *world.routers])
    await asyncio.sleep(world.random.choice((1.2, LATE_S)))
    for each, beat in zip(leavers, beats):
        await each.call(names[2], "PUT", beat)
    return all(states)


async def replica_started(world, leavers):
    """A replica that has just started is told that a server leaves."""
    processes.RESTART_S = 0.2
    name = world.random.choice(list(world.replicas))
    replica = world.replicas[name]
    others = [each for each in world.replicas if each != name]
    end(world, [name])
    await replica.restarted()
    until = world.record.now() + 5.0
    leaver = leavers[0]
    while not await leaver.leave(name) and world.record.now() < until:
        await asyncio.sleep(0.002)
    return leaver.acked_at is not None and await leavers[1].leave(*others)


async def replica_frozen(world, leavers):
    """A replica stands still from before two departures to after them, and then
    finds heartbeats of before in its queue."""
    names = list(world.replicas)
    world.random.shuffle(names)
    beats = [each.report("ready") for each in leavers]
    world.record.disturb(names[0])
    world.replicas[names[0]].signal(signal.SIGSTOP)
    late = [asyncio.create_task(each.call(names[0], "PUT", beat))
            for each, beat in zip(leavers, beats)]
    states = await asyncio.gather(leavers[0].leave(*names[1:]),
                                  leavers[1].leave(*names[1:]))
    await asyncio.sleep(world.random.choice((0.5, DOWN_S)))
    world.replicas[names[0]].signal(signal.SIGCONT)
    await asyncio.gather(*late)
    return all(states)


async def disk_lost(world, leavers):
    """The replica that acknowledged departures comes back with an empty disk,
    and is sent heartbeats of before as soon as it listens."""
    processes.RESTART_S = 0.2
    name = world.random.choice(list(world.replicas))
    replica = world.replicas[name]
    beats = [each.report("ready") for each in leavers]
    states = [await leavers[0].leave(name), await leavers[1].drain(name)]
    world.record.disturb(name)
    child = replica.child
    await replica.wipe()
    while replica.child is child:
        await asyncio.sleep(0.002)
    until = world.record.now() + 5.0
    for each, beat in zip(leavers, beats):
        while await each.call(name, "PUT", beat) is None and \
                world.record.now() < until:
            await asyncio.sleep(0.002)
    return all(states)


async def no_majority(world, leavers):
    """Two of four replicas stand still: a departure is refused in time, and
    takes effect at the routers, which hear from the others."""
    names = list(world.replicas)
    world.random.shuffle(names)
    for name in names[:2]:
        world.record.disturb(name)
        world.replicas[name].signal(signal.SIGSTOP)
    await asyncio.sleep(world.random.choice((0.0, 1.0, LATE_S)))
    for leaver, replica in zip(leavers, names[2:]):
        leaver.server.beats.cancel()
        begun = world.record.now()
        status = await leaver.call(replica, "DELETE")
        # Servers wait for a second.
        if status != 503 or world.record.now() > begun + 0.9:
            world.record.fail("ACK", f"{replica} answers {status} without a "
                              f"majority, {world.record.now() - begun:.2f} s")
        leaver.acked_at = world.record.now()
    await asyncio.sleep(SERVES_S)
    for name in names[:2]:
        world.replicas[name].signal(signal.SIGCONT)
    return True


async def disk_full(world, leavers):
    """A replica's disk takes no writes: it answers, and lives on."""
    names = list(world.replicas)
    world.random.shuffle(names)
    full = world.replicas[names[0]]
    child = full.child
    full.refuse_writes(True)
    await asyncio.sleep(world.random.choice((0.0, 1.0)))
    is_left = await leavers[0].leave(*names)
    is_drained = await leavers[1].drain(names[1])
    ready = await leavers[1].call(names[0], "PUT", leavers[1].report("ready"))
    full.refuse_writes(False)
    if ready != 200 or child.returncode is not None:
        world.record.fail("EXIT", f"{names[0]} answers a heartbeat {ready} "
                          f"with a full disk, and ends with "
                          f"{child.returncode}")
    del leavers[1:]  # It is ready again.
    return is_left and is_drained


async def server_restarted(world, leavers, are_all_ended=False):
    """A server that has left starts again under its name; its former
    deregistration and a heartbeat arrive again, late."""
    names = list(world.replicas)
    world.random.shuffle(names)
    leaver = leavers[0]
    beat = leaver.report("ready")
    if not await leaver.leave(names[0]):
        return False
    server = leaver.server
    await asyncio.sleep(0.2)
    if are_all_ended:
        processes.RESTART_S = ALL_DOWN_S
        end(world, [*world.replicas, *world.routers])
    await server.crash()
    former, leavers[:] = server.name, []
    again = await world.add_server(server.number, "desk")
    again.name = former
    if are_all_ended:
        await asyncio.gather(*(each.restarted()
                               for each in world.routers.values()))
        await asyncio.sleep(ALL_READY_S)
    started_at = world.record.now()
    await asyncio.sleep(world.random.uniform(0.5, LATE_S))
    for name in names[1:]:
        await leaver.call(name, "PUT", beat)
        await leaver.call(name, "DELETE")
    await asyncio.sleep(SERVED_WITHIN_S)
    runs = sorted(when for each in world.record.runs.values()
                  for name, when in each
                  if name == former and when > started_at)
    if not runs or runs[0] > started_at + SERVED_WITHIN_S or \
            runs[-1] < world.record.now() - 0.5:
        world.record.fail("SERVED", f"{former} is not served after its start")
    return True


async def server_restarted_after_all(world, leavers):
    """The same, and all processes end after the acknowledgement."""
    return await server_restarted(world, leavers, are_all_ended=True)


async def restarted_server_leaves(world, leavers):
    """A server that left and started again leaves once more, at a replica that
    has just started and knows its former departure only."""
    leaver = leavers[0]
    names = list(world.replicas)
    if not await leaver.leave(*names):
        return False
    await leaver.server.crash()
    again = await world.add_server(leaver.server.number, "desk")
    again.name = leaver.server.name
    # Until then a deregistration may be one of the former start.
    await asyncio.sleep(AMBIGUOUS_S)
    processes.RESTART_S = 0.2
    name = world.random.choice(names)
    end(world, [name])
    await world.replicas[name].restarted()
    leavers[:] = [Leaver(world, again)]
    until = world.record.now() + 5.0
    while not await leavers[0].leave(name) and world.record.now() < until:
        await asyncio.sleep(0.002)
    return leavers[0].acked_at is not None


def is_new(world, name):
    return world.replicas[name].binary.startswith(world.binaries)


async def change_build(world, name, binaries):
    """Stops the replica as planned and starts it with another build."""
    replica = world.replicas[name]
    world.record.disturb(name)
    replica.binary = os.path.join(binaries, "limpet-control")
    replica.signal(signal.SIGTERM)
    await replica.restarted()
    world.record.calm(name)


async def leave_somewhere(world, leaver, names):
    """Deregisters at one replica after the other; the one that acknowledges
    ends at once if it is of the new build."""
    begun = world.record.now()
    leaver.server.beats.cancel()
    for name in itertools.chain(names, names):
        if await leaver.call(name, "DELETE") == 200:
            leaver.acked_at = world.record.now()
            if is_new(world, name) and is_new_majority(world):
                end(world, [name])
            break
    if not leaver.acked_at or world.record.now() > begun + ACKED_WITHIN_S:
        world.record.fail("ACK", f"{leaver.server.name} has no "
                          f"acknowledgement in {ACKED_WITHIN_S} s")


def is_new_majority(world):
    """Whether an acknowledgement of the new build has its full promise: the
    replicas that store it apply it."""
    return sum(is_new(world, each) for each in world.replicas) >= 3


async def builds_mixed(world, leavers):
    """Replicas change from the old build to the new one and back, one after the
    other, while servers leave."""
    processes.RESTART_S = 0.3
    names = list(world.replicas)
    order = world.random.sample(names, len(names))
    for binaries in (world.binaries, world.old_binaries):
        for name in order:
            await change_build(world, name, binaries)
            world.record.note(f"{name} runs {binaries}")
            await asyncio.sleep(2.5)
            server = world.servers.pop(0)
            leaver = Leaver(world, server)
            await leave_somewhere(
                world, leaver, world.random.sample(names, len(names)))
            if leaver.acked_at:
                leavers.append(leaver)
            if await world.operator.put(lambda version: None) is None:
                world.record.fail("CONFIG", "no version is acknowledged")
            # The one that has left goes on serving.
            await world.add_server(server.number + 2 * SERVERS, "desk")
    del leavers[:2]  # They have not left.
    await world.operator.check_read_back()
    return True


CASES = {each.__name__: each for each in (
    replica_lost, replica_stopped, draining_replica_lost, all_restarted,
    replica_started, replica_frozen, disk_lost, no_majority, disk_full,
    server_restarted, server_restarted_after_all, restarted_server_leaves,
    builds_mixed)}


async def send_requests(world):
    """Sends requests to the routers in turn."""
    async def send(router):
        try:
            await world.probe(router, "/repeat/x")
        except (transport.Broken, OSError, asyncio.TimeoutError):
            pass

    tasks = set()
    routers = list(world.routers)
    while not world.is_over:
        task = asyncio.create_task(
            send(routers[world.random.randrange(len(routers))]))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)


async def play(world, case):
    try:
        start = asyncio.create_task(world.start())
        desks = [await world.add_server(n, "desk")
                 for n in range(1, SERVERS + 1)]
        await world.add_server(SERVERS + 1, "model")
        await start
        load = asyncio.create_task(send_requests(world))
        await asyncio.sleep(BEFORE_S)
        leavers = [Leaver(world, each) for each in desks[:2]]
        is_acked = await CASES[case](world, leavers)
        if not is_acked:
            world.record.fail("ACK", "a departure was not acknowledged")
        await asyncio.sleep(SERVES_S if leavers and is_acked else 0.0)
        for each in leavers if is_acked else []:
            late = each.late_runs()
            if late:
                world.record.fail(
                    "DRAIN", f"{each.server.name} gets {len(late)} requests "
                    f"{late[0]:.2f} to {late[-1]:.2f} s after it had left")
        world.is_over = True
        await load
    finally:
        await world.abandon()


def run(options, case, seed):
    folder = tempfile.mkdtemp(prefix="departures-")
    processes.RESTART_S = 0.2
    servers.HEARTBEAT_S = fleet.HEARTBEAT_S = HEARTBEAT_S
    world = fleet.World(os.path.abspath(options.binaries), folder,
                        options.net, seed, SIZES)
    world.old_binaries = os.path.abspath(options.old or options.binaries)
    asyncio.run(play(world, case))
    print(f"seed {seed}, {case}: {len(world.record.runs)} requests, "
          f"{'BROKEN' if world.record.broken else 'held'}", flush=True)
    for line, request in world.record.broken[:5]:
        print(f"  BROKEN {line} {request}")
    if world.record.broken:
        print("  " + "\n  ".join(world.record.events[-20:]))
        print(f"  logs: {folder}", flush=True)
        return 1
    shutil.rmtree(folder)
    return 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--case", action="append", choices=CASES)
    parser.add_argument("--net", type=int, default=68)
    parser.add_argument("--old", help="of the release before, for the case "
                        "builds_mixed")
    options = parser.parse_args()
    cases = options.case or [
        each for each in CASES if each != "builds_mixed" or options.old]
    return max(run(options, case, seed)
               for seed in range(options.seed, options.seed + options.seeds)
               for case in cases)


if __name__ == "__main__":
    sys.exit(main())
