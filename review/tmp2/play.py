"""Engines fail part of the requests that they run, with status 503."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

import engine  # noqa: E402
import fleet as base  # noqa: E402

DEADLINE_MS = 2500
REQUESTS = 120
RATE = 20
GREY_S = 4.0            # on all engines, as the site file has it
FAILING_X = 0.4         # of their requests
PROMISES = (408, 421, 429, 503)


class GreyEngine(engine.Engine):
    """Runs each request. A grey one fails some of them afterwards."""

    is_grey = False
    taken = 0

    async def run(self, reader, writer, method, path, headers, body):
        self.taken += 1
        if not self.is_grey or self.taken % 5 >= 5 * FAILING_X:
            await super().run(reader, writer, method, path, headers, body)
            return
        request = headers["request-id"]
        self.begin(request, method, path)
        await asyncio.sleep(self.work_s)
        self.record.note(f"engine {self.name} has run {request} and answers "
                         "503, without Not-Executed")
        await self.answer(writer, 503, {
            "Request-Id": request,
            "Server-Seal": f"{self.name}.{request}.503"}, b"not dispatched")


async def client(fleet, number, answers):
    """Tries again after a promise, as PROTOCOL.md tells clients to."""
    for attempt in (1, 2):
        request = f"alert{number:03d}-{attempt}"
        try:
            status, headers, _ = await asyncio.wait_for(base.call(
                (fleet.routers[number % 2].ip, fleet.front_port), "POST",
                "/alerts/1", b"alert %d" % number,
                {"Host": "calls.example", "Request-Id": request,
                 "Deadline-Ms": DEADLINE_MS,
                 "Authorization": "Bearer key-one"}), DEADLINE_MS / 1000)
        except (OSError, EOFError, asyncio.TimeoutError) as failure:
            fleet.record.note(f"client {request}: {failure!r}")
            return
        answers[request] = status
        fleet.record.note(f"client {request}: {status}, seal "
                          f"{headers.get('server-seal')}")
        if status not in PROMISES:
            return


async def play(record):
    fleet = base.Fleet(record, routers=2, controls=3)
    try:
        await fleet.start()
        for zone in ("zone-1", "zone-2", "zone-3", "zone-3"):
            await GreyEngine(fleet, "desk", zone, slots=6).start()
        await fleet.order("PUT", "/limpetpoint/config", base.document(
            1, [base.route("alerts", "desk", "non_idempotent", 1200, 150)],
            ["desk"]))
        for router in fleet.routers:
            await fleet.wait_ready(router)
        await asyncio.sleep(4)      # contactMs
        answers = {}
        clients = []
        begin = record.now() + 1
        for number in range(REQUESTS):
            for each in fleet.engines:
                each.is_grey = (base.TROUBLE and
                                begin <= record.now() < begin + GREY_S)
            clients.append(asyncio.create_task(
                client(fleet, number, answers)))
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*clients)
        ran = [request for each in fleet.engines
               for _, request, *_ in each.runs]
        broken = [request for request, status in answers.items()
                  if status in PROMISES and request in ran]
        alerts = [request.split("-")[0] for request in ran]
        doubled = sorted({each for each in alerts if alerts.count(each) > 1})
        record.note(f"{len(broken)} requests were answered with a promise "
                    f"that they have not run, and have run: {broken}; so "
                    f"these alerts were sent twice: {doubled}")
        return base.BROKEN if broken else base.HELD
    finally:
        await fleet.stop()


base.run(HERE, play)
