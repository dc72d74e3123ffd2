"""A stand-in for an engine, as PROTOCOL.md tells what engines do."""

import asyncio
import itertools
import json
import random
import socket
import time

import fleet as base

numbers = itertools.count(1)


class Engine:
    def __init__(self, owner, service, zone, slots=6, version="v1"):
        self.fleet = owner
        self.record = owner.record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.version = version
        self.name = f"i-{next(numbers)}{random.randrange(16 ** 6):06x}"
        self.ip = f"{owner.net}.{150 + len(owner.engines)}"
        self.address = None
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []          # (time, request id, method, path)
        self.listener = None
        self.beats = None
        self.tasks = set()
        self.writers = set()
        self.work_s = 0.03
        self.limit = 2 ** 16
        self.receive_bytes = 0  # 0: as the system has it
        owner.engines.append(self)

    async def start(self, port=None):
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_bytes:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                              self.receive_bytes)
        server.bind((self.ip, port or 0))
        self.listener = await asyncio.start_server(
            self.accept, sock=server, limit=self.limit)
        self.address = self.listener.sockets[0].getsockname()
        self.beats = asyncio.create_task(self.beat())
        self.record.note(f"engine {self.name} of {self.service} starts at "
                         f"{self.ip}:{self.address[1]}")

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.listener:
            self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    def registration(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service,
            "address": "%s:%d" % self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots,
            "state": self.state, "coldRemainingMs": self.cold_ms(),
            "seq": self.sequence, "born": self.born}).encode()

    def cold_ms(self):
        return 0

    async def report(self, start=0):
        status, _, who = await self.fleet.control_call(
            "PUT", f"/limpetpoint/instances/{self.name}",
            self.registration(), start=start)
        return status, who

    async def beat(self):
        while True:
            await self.report(random.randrange(len(self.fleet.controls)))
            await asyncio.sleep(self.fleet.heartbeat_ms / 1000)

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                first, headers = await base.read_head(reader)
                await self.take(reader, writer, first, headers)
        except (EOFError, ConnectionError, asyncio.CancelledError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def take(self, reader, writer, first, headers):
        """Reads one request's body, runs it and answers."""
        body = b""
        if "content-length" in headers:
            body = await base.read_body(reader, headers)
        method, path, _ = first.split(" ", 2)
        if path == "/health":
            await self.answer(writer, 200, {"Instance-Id": self.name}, b"")
            return
        request = headers.get("request-id", "")
        if headers.get("expect-instance") not in (None, self.name):
            await self.answer(writer, 421, {"Request-Id": request,
                                            "Not-Executed": "1"}, b"")
            return
        await self.run(reader, writer, method, path, headers, body)

    async def run(self, reader, writer, method, path, headers, body):
        request = headers.get("request-id", "")
        self.begin(request, method, path)
        await asyncio.sleep(self.work_s)
        await self.answer(writer, 200, {
            "Request-Id": request,
            "Server-Seal": f"{self.name}.{request}"}, b"done " + request.encode())

    def begin(self, request, method, path):
        self.runs.append((self.record.now(), request, method, path))
        self.record.note(f"engine {self.name} runs {request} {method} {path}")

    async def answer(self, writer, status, headers, body):
        writer.write(base.head_text(
            f"HTTP/1.1 {status} x",
            {**headers, "Content-Length": len(body)}) + body)
        await writer.drain()
