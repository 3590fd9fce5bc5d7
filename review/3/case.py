"""Unsafe requests while servers reject some, and some answers come twice.

Two of five servers reject 0.55 of their requests for 8.5 s. For 5 s of these
they send an extra copy of 0.03 of their answers, late: where the next answer on
that connection is expected.
"""

import collections
import random
import threading
import time

import harness

SHED, SHED_FOR_S = 0.55, 8.5
EXTRA, EXTRA_FOR_S = 0.03, 5.0
FAULTY = 2
"""Servers of five that do both."""

MAX_TRIES, PAUSE_S = 4, 8.0
"""The trouble comes again until it shows, with a pause between."""

DROPS_PER_S, RATE_PER_S = 78.7, 160.0
"""Unsafe requests a second, as on the site, and those of both kinds."""


class Extras:
    """Chooses the answers of one server that come twice, within the share."""

    def __init__(self, until_s):
        self._until_s = until_s
        self._lock = threading.Lock()
        self._answers = self._extras = 0

    def must_follow(self, request_id, status):
        with self._lock:
            if time.monotonic() >= self._until_s:
                return False
            self._answers += 1
            is_chosen = status == 503 and request_id.startswith("drop-")
            if not is_chosen or self._extras + 1 > EXTRA * self._answers:
                return False
            self._extras += 1
            return True


class Caller:
    """Sends requests of both kinds at random moments."""

    def __init__(self, case):
        self._case = case
        self._chance = random.SystemRandom()
        self.sent = 0
        self.answers = {}

    def run(self, duration_s):
        """Sends for some seconds, and waits for the answers."""
        threads = []
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            self.sent += 1
            thread = threading.Thread(
                target=self._send, args=(self.sent,), daemon=True
            )
            thread.start()
            threads.append(thread)
            time.sleep(self._chance.expovariate(RATE_PER_S))
        for thread in threads:
            thread.join(8)

    def _send(self, number):
        chance = self._chance
        is_drop = chance.random() < DROPS_PER_S / RATE_PER_S
        kind = "drop" if is_drop else "booking"
        request_id = f"{kind}-{number}"
        status, _, _ = harness.call(
            chance.choice(self._case.nodes), "POST" if is_drop else "GET",
            f"/{kind}/{number}", request_id, 5000 if is_drop else 4000,
            headers=[
                ("X-Rhubarblead-Shard-Key", chance.randrange(65_536)),
                ("X-Work-Ms", f"{chance.uniform(200, 400):.0f}"),
            ],
            body=b"x" * 4_000 if is_drop else b"",
        )
        if is_drop:
            self.answers[request_id] = status
        self._case.record(f"client: {request_id}: {status}")


def find_broken(case, answers):
    """Finds unsafe requests that ran twice, or ran and were refused."""
    runs = collections.Counter(
        run["id"]
        for server in case.servers
        for run in server.runs
        if run["id"].startswith("drop-")
    )
    twice = sorted(i for i, count in runs.items() if count > 1)
    refused = sorted(
        i for i, status in answers.items() if status in (429, 503) and runs[i]
    )
    return twice, refused


def main(folder):
    with harness.Case(folder, ["dispatch"] * 5, sharded={"dispatch"}) as case:
        case.configure([
            ("drop", "/drop/", "unsafe", 2500, "dispatch"),
            ("booking", "/booking/", "safe", 2000, "dispatch"),
        ])
        case.start()
        case.wait_for_keys()
        time.sleep(4)
        chance = random.SystemRandom()
        caller = Caller(case)
        for _ in range(MAX_TRIES):
            now = time.monotonic()
            if harness.TROUBLE:
                for server in case.servers[:FAULTY]:
                    server.must_shed = lambda now=now: (
                        time.monotonic() < now + SHED_FOR_S
                        and chance.random() < SHED
                    )
                    server.has_extra = Extras(now + EXTRA_FOR_S).must_follow
            caller.run(SHED_FOR_S)
            time.sleep(1)
            twice, refused = find_broken(case, caller.answers)
            if twice or refused:
                break
            time.sleep(PAUSE_S)
        statuses = collections.Counter(caller.answers.values())
        case.record(f"unsafe requests, answers {dict(statuses)}")
        case.record(f"TWICE: ran more than once: {twice}")
        case.record(f"REFUSED: answered 429 or 503 and ran: {refused}")
        return bool(twice or refused)


harness.run(__file__, main)
