"""Callers with returning chats and keyed alerts, and what they check."""

import json
import random
import threading

from fleet import CALLERS, STANDIN_ADDRESS, call

TRIES = 40


class Violations:
    """Collects what must not have happened. Thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self.found = []

    def add(self, text):
        with self._lock:
            self.found.append(text)


def events_of(body):
    """Returns the ids and the text of a stream, and whether it is whole."""
    ids, text, whole = [], "", False
    for event in body.decode().split("\n\n"):
        fields = dict(line.split(": ", 1)
                      for line in event.split("\n") if ": " in line)
        if fields.get("data") == "[DONE]":
            whole = True
        elif "data" in fields:
            ids.append(int(fields["id"]))
            delta = json.loads(fields["data"])["choices"][0]["delta"]
            text += delta.get("content", "")
    return ids, text, whole


class Caller(threading.Thread):
    """Sends requests for one team through changing routers."""

    def __init__(self, fleet, partner, team, seed, turns, violations):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.partner = partner
        self.team = f"{partner}-team-{team}"
        self.random = random.Random(seed)
        self.seed = seed
        self.turns = turns
        self.violations = violations
        self.answered = 0
        self.refused = 0
        self.not_run_requests = []

    def headers(self, more):
        return {"Authorization": f"Bearer key-{self.team}", **more}

    def run(self):
        for turn in range(self.turns):
            if self.seed % 2:
                self.send_alert(f"{self.team}-{self.seed}-{turn}")
            else:
                self.send_chat(turn)

    def send(self, target, body, headers):
        """Sends to a router that answers, as a balancer would; returns None
        if the connection broke after the request was sent."""
        router = self.random.choice(list(self.fleet.routers))
        try:
            return call(self.fleet.router_address(router), CALLERS, "POST",
                        target, body, headers)
        except (OSError, ValueError) as broken:
            return None if not isinstance(broken, ConnectionRefusedError) \
                else self.send(target, body, headers)
        except Exception:  # an answer that was cut off
            return None

    def note_refusal(self, headers):
        self.refused += 1
        if headers.get("Limpet-Outcome") == "not-run":
            self.not_run_requests.append(headers["Limpet-Request"])
            if "Retry-After" not in headers:
                self.violations.add(f"{self.team}: refusal without a time")

    def send_chat(self, turn):
        chat = f"chat-{self.seed}"
        messages = [{"role": "user", "content": f"{chat} turn {n} of many"}
                    for n in range(turn + 1)]
        body = json.dumps({"messages": messages, "stream": True})
        for _ in range(TRIES):
            answer = self.send("/v1/chat/completions", body,
                               self.headers({"Limpet-Chat": chat}))
            if answer is None:
                continue
            status, headers, content = answer
            if status != 200:
                self.note_refusal(headers)
                continue
            self.check_stream(messages, content)
            self.answered += 1
            return
        self.violations.add(f"{self.team}: a chat was never answered")

    def check_stream(self, messages, content):
        ids, text, whole = events_of(content)
        if not whole or ids != list(range(1, len(ids) + 1)):
            self.violations.add(f"{self.team}: stream {ids} whole={whole}")
        body = json.dumps({"messages": messages, "stream": True,
                           "model": f"{self.partner}-model"})
        port = self.fleet.servers[f"{self.partner}-engine-1"]
        direct = call(STANDIN_ADDRESS, port, "POST", "/v1/chat/completions",
                      body, {"Limpet-Request": f"direct-{self.seed}"})[2]
        if events_of(direct)[1] != text:
            self.violations.add(f"{self.team}: an answer to another request")

    def send_alert(self, key):
        """Sends the same alert twice, through whichever routers."""
        answers = []
        for _ in range(TRIES):
            answer = self.send("/services/alerts/send", "alert " + key,
                               self.headers({"Idempotency-Key": key}))
            if answer is None:
                continue
            status, headers, content = answer
            if status == 200:
                answers.append(json.loads(content))
                if len(answers) == 2:
                    break
                continue
            self.note_refusal(headers)
            if headers.get("Limpet-Outcome") == "unknown":
                return
        if not answers:
            return
        self.answered += 1
        for answer in answers:
            if answer["key"] != key or answer["body"] != "alert " + key:
                self.violations.add(f"{key}: answered with {answer}")


def run_callers(fleet, violations, seed, count, turns, partner=None):
    """Starts callers of both partners, or of one, and returns them."""
    partners = [partner] if partner else ["bureau", "utility"]
    callers = [Caller(fleet, partners[n % len(partners)], n % 10,
                      seed * 1000 + n, turns, violations)
               for n in range(count)]
    for caller in callers:
        caller.start()
    return callers


def check_records(fleet, callers, violations):
    """Checks that no key ran twice and that no refused request ran."""
    records = fleet.records()
    runs = {}
    ran = set()
    for record in records.values():
        for key, count in record["runs_by_key"].items():
            runs[key] = runs.get(key, 0) + count
        ran.update(entry["request"] for entry in record["requests"])
    for key, count in runs.items():
        if count > 1:
            violations.add(f"key {key} ran {count} times")
    for caller in callers:
        for request in caller.not_run_requests:
            if request in ran:
                violations.add(f"refused request {request} ran")
