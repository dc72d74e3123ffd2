"""All processes are killed after a server's leaving was acknowledged, and a
heartbeat that it sent before arrives late."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import fleet as lib  # noqa: E402

SERVERS = 16
# How long the server serves after its DELETE was acknowledged.
SERVES_S = 9.0
# The heartbeat arrives so long after it was sent.
LATE_S = 3.0
# kill_all of the site's day scale-1: down for 0.95 s.
KILL_AFTER_S = 0.3
DOWN_S = 0.95


async def arrive_late(server, replica, body):
    """Delivers a heartbeat that was sent before the DELETE."""
    record = server.record
    await asyncio.sleep(LATE_S)
    try:
        status, _, _ = await lib.call(
            replica.ip, server.fleet.ports["control"], "PUT",
            f"/limpetpoint/instances/{server.name}", body,
            {"Content-Type": "application/json"})
    except lib.FAILURES as failure:
        status = type(failure).__name__
    record.say(f"a heartbeat of {server.name} arrives {LATE_S} s late at "
               f"{replica.name}: {status}")


async def play(fleet, has_trouble):
    record = fleet.record
    fleet.start()
    servers = [lib.Server(fleet, i + 1, "depot-app", lib.ZONES[i % 4])
               for i in range(SERVERS)]
    if not await lib.apply(fleet, lib.document(7, [
            lib.route("stock-lookup", "/stock/", "idempotent", 2),
            lib.route("repair-order", "/order/", "non_idempotent", 2)])):
        return 2
    for each in servers:
        await each.start()
    if not await lib.ready(fleet):
        return 2
    lookups = lib.Callers(fleet, "depot.example", "/stock/1", rate=100)
    orders = lib.Callers(fleet, "depot.example", "/order/1", "POST", rate=60)
    lookups.start()
    orders.start()
    await asyncio.sleep(lib.CONTACT_S + 3)

    leaving = servers[1]
    replica = fleet.replicas[1]
    leaving.beats.cancel()
    late = asyncio.create_task(
        arrive_late(leaving, replica, leaving.body()))
    await asyncio.sleep(0.05)
    if not await leaving.deregister(replica):
        return 2
    acked_at = record.now()
    await asyncio.sleep(KILL_AFTER_S)
    touch_from = 0.0
    if has_trouble:
        for each in fleet.replicas + fleet.routers:
            each.kill()
        record.say("all processes are killed")
        await asyncio.sleep(DOWN_S)
        for each in fleet.replicas + fleet.routers:
            each.start()
        record.say("all processes start again")
        # Twice contactMs, as after a final fault that took most of the core.
        touch_from = record.now() + 2 * lib.CONTACT_S
    await late
    await asyncio.sleep(max(0, acked_at + SERVES_S - record.now()))
    await leaving.end()
    await lookups.stop()
    await orders.stop()
    for each in servers:
        await each.end()

    since = max(acked_at + lib.DRAIN_S, touch_from) + 0.1
    sent = {**lookups.sent, **orders.sent}
    found = [(when, request) for when, request in leaving.ran
             if when >= since and sent[request][0] >= since]
    for when, request in found[:5]:
        record.say(f"DRAIN: {leaving.name} gets {request} from "
                   f"{sent[request][1].name} {when - acked_at:.2f} s after "
                   "its DELETE was acknowledged")
    record.say(f"requests that reach the server that has left, from "
               f"{since - acked_at:.1f} to {SERVES_S:.1f} s after the ack: "
               f"{len(found)}")
    return 1 if found else 0


sys.exit(lib.main(HERE, play))
