"""A control replica acknowledges that servers have left and dies before it
has told anybody."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import fleet as lib  # noqa: E402

# How long a server serves after its DELETE was acknowledged.
SERVES_S = 8.0
# node_kill on the core: it is down for at most 3.5 seconds.
DOWN_S = 3.5
# scale_in: a share of at most 0.13 of the servers leave.
SERVERS = 16
LEAVING = 2
LEAVE_GAP_S = 0.01


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
    lookups = lib.Callers(fleet, "depot.example", "/stock/1", rate=160)
    orders = lib.Callers(fleet, "depot.example", "/order/1", "POST", rate=80)
    lookups.start()
    orders.start()
    await asyncio.sleep(lib.CONTACT_S + 3)

    # Servers are taken away. They never report that they drain.
    replica = fleet.replicas[3]
    leaving = servers[1:1 + LEAVING]
    for each in leaving:
        await asyncio.sleep(LEAVE_GAP_S)
        if not await each.deregister(replica):
            return 2
    acked_at = record.now()
    if has_trouble:
        replica.kill()
        record.say(f"{replica.name} is killed "
                   f"{1000 * (record.now() - acked_at):.1f} ms after the ack")
    killed_at = record.now()
    await asyncio.sleep(max(0, killed_at + DOWN_S - record.now()))
    if has_trouble:
        replica.start()
        record.say(f"{replica.name} starts again")
    # From here on the core is not stable again until contactMs have passed.
    until = record.now() if has_trouble else acked_at + SERVES_S
    await asyncio.sleep(max(0, acked_at + SERVES_S - record.now()))
    for each in leaving:
        await each.end()
    await asyncio.sleep(1.0)
    await lookups.stop()
    await orders.stop()
    for each in servers:
        await each.end()

    # All routers ran without a disruption. They are in touch once contactMs
    # have passed since the last event at the core.
    since = max(acked_at + lib.DRAIN_S,
                killed_at + lib.CONTACT_S if has_trouble else 0) + 0.1
    sent = {**lookups.sent, **orders.sent}
    late = [(when, each.name, request) for each in leaving
            for when, request in each.ran
            if since <= when < until and sent[request][0] >= since]
    for when, name, request in late[:5]:
        record.say(f"DRAIN: {name} gets {request} from "
                   f"{sent[request][1].name} {when - acked_at:.2f} s after "
                   "its DELETE was acknowledged")
    record.say(f"requests that reach the servers that have left, from "
               f"{since - acked_at:.1f} to {until - acked_at:.1f} s after the "
               f"last ack: {len(late)}")
    return 1 if late else 0


sys.exit(lib.main(HERE, play))
