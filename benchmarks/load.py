"""Load on a fleet at a steady arrival rate, and what callers were told."""

import json
import random
import threading
import time

import urllib3

from benchmarks.report import quantile
from tests.fleet import caller_headers


class Load:
    """Arrivals at a rate that does not wait for answers (open loop).

    Parameters
    ----------
    fleet : Fleet
    rate : float
        Requests a second over all entry hosts.
    seconds : float
    prompts : int, default=0
        Number of shared prompt prefixes; 0 makes every prompt new.
    headers : callable or None, default=None
        Returns further headers for a request.
    tokens : int, default=8
    """

    def __init__(self, fleet, *, rate, seconds, prompts=0, headers=None, tokens=8):
        self.fleet = fleet
        self.rate = rate
        self.seconds = seconds
        self.prompts = prompts
        self.headers = headers
        self.tokens = tokens
        self.results = []
        self._rng = random.Random(11)

    def run(self):
        """Send all requests and wait for their ends; return self."""
        entries = self.fleet.names("entry")
        threads = []
        started = time.monotonic()
        count = int(self.rate * self.seconds)
        for number in range(count):
            due = started + number / self.rate
            time.sleep(max(0.0, due - time.monotonic()))
            thread = threading.Thread(
                target=self._ask,
                args=(entries[number % len(entries)], self._prompt(number)),
                daemon=True,
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join(timeout=30)
        return self

    def _prompt(self, number):
        if not self.prompts:
            return f"{number} new"
        chosen = min(
            self._rng.randrange(self.prompts), self._rng.randrange(self.prompts)
        )
        return f"{chosen:03d} " + "the same long system prompt of this workshop " * 3

    def _ask(self, entry, prompt):
        body = {
            "model": "redacteur",
            "prompt": prompt,
            "max_tokens": self.tokens,
            "stream": True,
        }
        extra = self.headers() if self.headers else {}
        sent = time.monotonic()
        try:
            answer = self.fleet.http.request(
                "POST",
                self.fleet.entry_url(entry) + "/v1/completions",
                body=json.dumps(body).encode(),
                headers={**caller_headers(), **extra},
                preload_content=False,
                timeout=20,
            )
            answer.read1(1)
            first = time.monotonic() - sent
            data = answer.read()
            answer.release_conn()
        except urllib3.exceptions.HTTPError:
            self.results.append(Result(0, 0.0, time.monotonic(), "", extra))
            return
        whole = answer.status == 200 and b"[DONE]" in data
        status = answer.status if whole or answer.status != 200 else 0
        host = answer.headers.get("X-Served-By", "")
        self.results.append(Result(status, first, time.monotonic(), host, extra))

    def done(self):
        """Return the results that were whole answers."""
        return [item for item in self.results if item.status == 200]

    def first_token(self, share):
        """Return a quantile of the times to the first token."""
        return quantile([item.first for item in self.done()], share)

    def by_host(self):
        """Return how many whole answers each host gave."""
        counts = {}
        for item in self.done():
            counts[item.host] = counts.get(item.host, 0) + 1
        return counts


class Result:
    """One request's end."""

    def __init__(self, status, first, ended, host, extra):
        self.status = status
        self.first = first
        self.ended = ended
        self.host = host
        self.extra = extra
