"""Runs the real programs while some routers are cut off from all servers.

    cut_off_from_servers.py BINARIES [--seed N] [--net N] [--way WAY]
                            [--routers N] [--cut N,...]

Callers and the other routers still reach them. From contact_s after the cut
began, first attempts at the routers that are cut off must be served two thirds
as often as at the others, or no more than 10 and 1 in 50 of all first attempts
may fail there. Ways: their connections to servers are reset and new ones are
reset ("reset"), live on while new ones are reset ("refused"), fall silent, with
bytes that are acknowledged ("silent") or without ("dropped"). Exits with 1 if
the bound is broken, or another promise.
"""

import argparse
import asyncio
import ctypes
import os
import shutil
import socket
import struct
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "..", "platform", "test")]

import transport  # noqa: E402
from callers import Caller  # noqa: E402
from world import World  # noqa: E402

SERVERS = 16
CALLERS = 40
CUT_S = 12.0
WAYS = ("reset", "refused", "silent", "dropped")
SO_ATTACH_FILTER = 26
# A socket filter of one instruction, which returns 0: nothing arrives.
DROP_ALL = b"\x06\0\0\0\0\0\0\0"


def drop_what_arrives(writer):
    """To the other end, the connection's machine is silent from now on."""
    code = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
    program = struct.pack("HP", len(DROP_ALL) // 8, ctypes.addressof(code))
    # The transport's socket has no setsockopt() for buffers.
    with socket.socket(fileno=os.dup(
            writer.get_extra_info("socket").fileno())) as copy:
        copy.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def in_table(address):
    ip, port = address
    return "%08X:%04X" % (
        int.from_bytes(bytes(map(int, ip.split("."))), "little"), port)


def inode_of_peer(writer):
    """Returns the inode of the peer's socket, from the kernel's table."""
    wanted = [in_table(writer.get_extra_info(each))
              for each in ("peername", "sockname")]
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            if fields[1:3] == wanted:
                return fields[9]
    return None


def owns(process, inode):
    folder = f"/proc/{process}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return False  # It has ended.
    for each in names:
        try:
            if os.readlink(os.path.join(folder, each)) == f"socket:[{inode}]":
                return True
        except OSError:
            continue  # Closed meanwhile.
    return False


class ServerProxy(transport.Proxy):
    """Treats the connections of the routers that are cut off apart: routers do
    not bind their address, so the kernel tells whose a connection is."""

    def __init__(self, world, listen, target):
        super().__init__(listen, target)
        self.world = world
        self.cut_writers = set()

    async def _serve(self, reader, writer):
        if self.world.cut_processes:
            inode = inode_of_peer(writer)
            if any(owns(each, inode) for each in self.world.cut_processes):
                self.cut_writers.add(writer)
                if self.world.way == "dropped":
                    drop_what_arrives(writer)
                if self.world.way in ("silent", "dropped"):
                    await self.world.cut_ended.wait()
                transport.reset(writer)
                return
        await super()._serve(reader, writer)

    def cut(self):
        """Ends or silences the connections that are open when the cut begins."""
        for writer in list(self.writers):
            if writer.is_closing():
                continue
            inode = inode_of_peer(writer)
            if any(owns(each, inode) for each in self.world.cut_processes):
                if self.world.way == "reset":
                    transport.reset(writer)
                elif self.world.way in ("silent", "dropped"):
                    if self.world.way == "dropped":
                        drop_what_arrives(writer)
                    writer.transport.pause_reading()
                    self.cut_writers.add(writer)

    async def _pump(self, reader, writer, blocking):
        while True:
            data = await reader.read(65536)
            if self.world.way in ("silent", "dropped") and \
                    writer in self.cut_writers:
                await self.world.cut_ended.wait()
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


class CutWorld(World):
    def __init__(self, binaries, folder, options):
        super().__init__(binaries, folder, options.net, options.seed, {
            "replicas": 4, "routers": options.routers, "servers": SERVERS,
            "callers": CALLERS})
        self.way = options.way
        self.cut_processes = set()
        self.cut_ended = asyncio.Event()
        self.counted_from = None
        self.firsts = {True: [0, 0], False: [0, 0]}  # is cut: served, all
        self.cut_routers = set()

    async def _proxy(self, group, name, listen, target):
        if group != "servers":
            await super()._proxy(group, name, listen, target)
            return
        proxy = ServerProxy(self, listen, target)
        await proxy.start()
        self.proxies[group][name] = proxy

    def count_first(self, router, is_served):
        if self.counted_from and self.record.now() > self.counted_from and \
                self.cut_processes:
            counts = self.firsts[router in self.cut_routers]
            counts[0] += is_served
            counts[1] += 1


class CountingCaller(Caller):
    """Reports the first attempt of each request."""

    async def _exchange(self, request, sent):
        result = await super()._exchange(request, sent)
        self.status = result[0]
        return result

    async def _attempt(self, kind, stream):
        is_first = not getattr(stream, "is_tried", False)
        stream.is_tried = True
        self.status = None
        result = await super()._attempt(kind, stream)
        if is_first and self.router:
            self.world.count_first(
                self.router,
                self.status is not None and 200 <= self.status < 300)
        return result


async def play(world, cut):
    try:
        await world.start()
        await asyncio.sleep(3.0)
        world.cut_routers = {f"router-{each}" for each in cut}
        for each in world.cut_routers:
            world.record.disturb(each)
        world.cut_processes = {world.routers[each].child.pid
                               for each in world.cut_routers}
        world.counted_from = world.record.now() + world.bounds["contact_s"]
        for proxy in world.proxies["servers"].values():
            proxy.cut()
        await asyncio.sleep(CUT_S)
        world.cut_processes = set()
        world.cut_ended.set()
        for each in world.cut_routers:
            world.record.calm(each)
        await world.finish()
    finally:
        await world.abandon()
    (served, tried), (others, others_tried) = \
        world.firsts[True], world.firsts[False]
    print(f"  cut off: {served} of {tried} first attempts served, the "
          f"others {others} of {others_tried}")
    if tried == 0 or others_tried == 0:
        world.record.fail("PLAYED", "no first attempts were counted")
    elif 3 * served * others_tried < 2 * others * tried and \
            tried - served > 10 + (tried + others_tried) / 50:
        world.record.fail("RECOVER", f"{served} of {tried} first attempts "
                          f"served, the others {others} of {others_tried}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=67)
    parser.add_argument("--way", choices=WAYS, default="reset")
    parser.add_argument("--routers", type=int, default=9)
    parser.add_argument("--cut", default="1,2")
    options = parser.parse_args()
    import world as world_module
    world_module.Caller = CountingCaller
    folder = tempfile.mkdtemp(prefix="cut-off-")
    world = CutWorld(os.path.abspath(options.binaries), folder, options)
    print(f"seed {options.seed}, {options.way}:", flush=True)
    asyncio.run(play(world, options.cut.split(",")))
    for line, request in world.record.broken[:10]:
        print(f"  BROKEN {line} {request}")
    if world.record.broken:
        print(f"  logs: {folder}", flush=True)
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
