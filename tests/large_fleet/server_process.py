"""One backend server as a process of its own, which signals may end.

    server_process.py SETTINGS    (JSON, see fleet.py)

Its answers end at drawn moments in drawn ways: the process kills itself, or
the connection is closed, reset or half closed. Paths name what is to be sent:
/KIND/ID/EVENTS. SIGUSR1 stops the early ends. A line of JSON on each run and each early end goes to the log.
"""

import asyncio
import json
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "soak"),
                os.path.join(HERE, "..", "..", "platform", "test")]

import platform_peer as peer  # noqa: E402
import transport  # noqa: E402

EVENT_GAP_S = 0.03
FRAMINGS = ("chunks", "connection", "length")
# Where an answer ends early, as an index of the event and a place in it.
PLACES = ("before", "inside", "after", "before_end")
WAYS = ("kill", "close", "reset", "half_close")


def event_text(number, request, version):
    return f"id: {number}\ndata: {request} {version}\n\n".encode()


class EarlyEnd:
    """Where and how one answer ends before its end."""

    def __init__(self, source, first, last, ways):
        self.way = source.choice(ways)
        self.place = source.choice(PLACES)
        self.event = last if self.place == "before_end" else \
            source.randint(first, max(first, last))


class Server:
    def __init__(self, settings):
        self.settings = settings
        self.random = random.Random(settings["seed"])
        self.log = open(settings["log"], "a", buffering=1, encoding="utf-8")
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.active = 0
        self.early_ends = settings["early_ends"]

    def note(self, what, **fields):
        self.log.write(json.dumps({"what": what, "at": time.time(),
                                   "server": self.settings["id"], **fields})
                       + "\n")

    async def run(self):
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGUSR1, self._end_faults)
        ip, port = self.settings["address"]
        server = await asyncio.start_server(self._serve, ip, port)
        async with server:
            while True:
                await self._report(f"{ip}:{port}")
                await asyncio.sleep(self.settings["heartbeat_s"])

    def _end_faults(self):
        self.early_ends = 0.0

    async def _report(self, address):
        self.sequence += 1
        body = peer.registration(
            self.settings["service"], address, self.settings["data_centre"],
            self.settings["version"], "ready", self.sequence, self.born_ms)
        try:
            await transport.call(
                tuple(self.random.choice(self.settings["replicas"])), "PUT",
                peer.registration_path(self.settings["id"]), body, {}, 1.0)
        except transport.Broken:
            pass  # The next heartbeat goes to another replica.

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await transport.read_head(reader)
                await transport.read_body(reader, headers)
                await self._answer(writer, first.split(" ")[1], headers)
        except (transport.Broken, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, path, headers):
        message = peer.read_request(headers)
        request = message["request"]
        if message["expected_server"] not in (None, self.settings["id"]):
            writer.write(transport.head_text(
                "HTTP/1.1 421 x", {**peer.not_run_headers(request),
                                   "Content-Length": 0}))
            return
        _, kind, _, events = path.split("/")
        self.active += 1
        try:
            first, last = message["last_event"] + 1, int(events)
            self.note("runs", request=request, kind=kind, first=first)
            await self._send(writer, request, kind, first, last)
        finally:
            self.active -= 1

    async def _send(self, writer, request, kind, first, last):
        framing = self.random.choices(
            FRAMINGS, self.settings["framings"])[0]
        end = None
        if self.random.random() < self.early_ends:
            end = EarlyEnd(self.random, first, last, self.settings["ways"])
        is_stream = kind in ("stream", "resume")
        parts = [event_text(number, request, self.settings["version"])
                 for number in range(first, last + 1)]
        headers = peer.answer_headers(request, f"seal.{request}", self.active)
        if is_stream:
            headers["Content-Type"] = "text/event-stream"
        if framing == "chunks":
            headers["Transfer-Encoding"] = "chunked"
        elif framing == "length":
            headers["Content-Length"] = sum(map(len, parts))
        writer.write(transport.head_text("HTTP/1.1 200 x", headers))
        written_together = self.random.choice((1, 1, 1, 3))
        for number, part in enumerate(parts, first):
            if number % written_together == 0:
                await asyncio.sleep(
                    EVENT_GAP_S * written_together if is_stream else 0.002)
            await self._write(writer, request, framing, number, part, end)
        if end and end.event >= last and end.place in ("after", "before_end"):
            await self._end_early(writer, request, framing, end)
        if framing == "chunks":
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        if framing == "connection":
            raise transport.Broken("the connection ends the answer")

    async def _write(self, writer, request, framing, number, part, end):
        is_here = end is not None and end.event == number
        if is_here and end.place == "before":
            await self._end_early(writer, request, framing, end)
        sent = part
        if is_here and end.place == "inside":
            sent = part[:self.random.randint(1, len(part) - 1)]
        writer.write(b"%x\r\n%s\r\n" % (len(sent), sent)
                     if framing == "chunks" else sent)
        await writer.drain()
        if is_here and end.place in ("inside", "after"):
            await self._end_early(writer, request, framing, end)

    async def _end_early(self, writer, request, framing, end):
        self.note("ends early", request=request, framing=framing, way=end.way,
                  place=end.place, event=end.event)
        await writer.drain()
        if end.way == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        if end.way == "reset":
            transport.reset(writer)
        if end.way == "half_close":
            writer.write_eof()
            await asyncio.sleep(1.0)
        raise transport.Broken("ended early")


def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        server = Server(json.load(file))
    asyncio.run(server.run())


if __name__ == "__main__":
    main()
