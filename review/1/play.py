"""A client hides a request in the body of another one."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

import engine  # noqa: E402
import fleet as base  # noqa: E402

ATTEMPTS = 6
COMMON = ("Host: calls.example\r\nDeadline-Ms: 2500\r\n"
          "Authorization: Bearer key-one\r\n")
CODINGS = ("gzip", "identity", "deflate")


def hidden(number):
    return (f"POST /alerts/hidden HTTP/1.1\r\n{COMMON}"
            f"Request-Id: hidden{number}\r\nContent-Length: 4\r\n\r\nruns"
            ).encode()


class BodyEngine(engine.Engine):
    """Notes the bodies that it gets, too."""

    async def run(self, reader, writer, method, path, headers, body):
        self.record.note(f"engine {self.name} gets {len(body)} bytes with "
                         f"{headers.get('request-id')}")
        await super().run(reader, writer, method, path, headers, body)


async def attempt(fleet, number):
    """Sends one request; its body is the text of another one."""
    body = hidden(number)
    coding = CODINGS[number % len(CODINGS)]
    framing = (f"Transfer-Encoding: {coding}\r\n" if base.TROUBLE
               else f"Content-Length: {len(body)}\r\n")
    fleet.record.note(f"client sends outer{number}, {framing.strip()!r}, with "
                      f"a body of {len(body)} bytes that reads like the "
                      f"request hidden{number}")
    reader, writer = await asyncio.open_connection(
        fleet.routers[0].ip, fleet.front_port)
    writer.write(f"POST /alerts/outer HTTP/1.1\r\n{COMMON}"
                 f"Request-Id: outer{number}\r\n{framing}\r\n".encode() + body)
    answers = b""
    try:
        while True:
            part = await asyncio.wait_for(reader.read(65536), 1)
            if not part:
                break
            answers += part
    except (OSError, asyncio.TimeoutError):
        pass
    writer.close()
    lines = [line.decode() for line in answers.split(b"\r\n")
             if line.startswith((b"HTTP/", b"Request-Id"))]
    fleet.record.note(f"client gets {lines}")


async def play(record):
    fleet = base.Fleet(record, routers=1, controls=3)
    try:
        await fleet.start()
        await BodyEngine(fleet, "desk", "zone-1").start()
        await fleet.order("PUT", "/limpetpoint/config", base.document(
            1, [base.route("alerts", "desk", "non_idempotent", 1200, 150)],
            ["desk"]))
        await fleet.wait_ready(fleet.routers[0])
        await asyncio.sleep(4)      # contactMs
        for number in range(ATTEMPTS):
            await attempt(fleet, number)
        ran = [request for each in fleet.engines
               for _, request, *_ in each.runs]
        smuggled = [each for each in ran if each.startswith("hidden")]
        if not base.TROUBLE and len(ran) != ATTEMPTS:
            raise base.CannotRun("the requests did not run")
        record.note(f"requests that ran and were only in the body of another: "
                    f"{smuggled}")
        return base.BROKEN if smuggled else base.HELD
    finally:
        await fleet.stop()


base.run(HERE, play)
