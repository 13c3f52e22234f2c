"""Open-loop load generator that records the outcome of each request."""

import json
import random
import threading
import time

import urllib3

from benchmarks.report import quantile
from tests.fleet import auth_headers


class Load:
    """Sends requests at a constant rate, independent of responses (open loop).

    Parameters
    ----------
    fleet : Fleet
    rate : float
        Total requests per second over all entry hosts.
    seconds : float
        Duration of the load.
    prompts : int, default=0
        Number of shared prompt prefixes; 0 makes every prompt unique.
    headers : callable or None, default=None
        Called for each request; returns its additional headers.
    tokens : int, default=8
        Tokens to generate per request.
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
        """Send all requests and wait for their completion; return self."""
        entries = self.fleet.host_names("entry")
        threads = []
        started = time.monotonic()
        count = int(self.rate * self.seconds)
        for request_index in range(count):
            due_at = started + request_index / self.rate
            time.sleep(max(0.0, due_at - time.monotonic()))
            thread = threading.Thread(
                target=self._send_request,
                args=(
                    entries[request_index % len(entries)],
                    self._prompt(request_index),
                ),
                daemon=True,
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join(timeout=30)
        return self

    def _prompt(self, request_index):
        if not self.prompts:
            return f"{request_index} new"
        chosen = min(
            self._rng.randrange(self.prompts), self._rng.randrange(self.prompts)
        )
        return f"{chosen:03d} " + "the same long system prompt of this workshop " * 3

    def _send_request(self, entry, prompt):
        body = {
            "model": "redacteur",
            "prompt": prompt,
            "max_tokens": self.tokens,
            "stream": True,
        }
        extra_headers = self.headers() if self.headers else {}
        sent_at = time.monotonic()
        try:
            response = self.fleet.http.request(
                "POST",
                self.fleet.entry_url(entry) + "/v1/completions",
                body=json.dumps(body).encode(),
                headers={**auth_headers(), **extra_headers},
                preload_content=False,
                timeout=20,
            )
            response.read1(1)
            first_byte_seconds = time.monotonic() - sent_at
            data = response.read()
            response.release_conn()
        except urllib3.exceptions.HTTPError:
            self.results.append(Result(0, 0.0, time.monotonic(), "", extra_headers))
            return
        is_complete = response.status == 200 and b"[DONE]" in data
        status = response.status if is_complete or response.status != 200 else 0
        host = response.headers.get("X-Served-By", "")
        self.results.append(
            Result(status, first_byte_seconds, time.monotonic(), host, extra_headers)
        )

    def completed(self):
        """Return the results of completely answered requests."""
        return [result for result in self.results if result.status == 200]

    def first_token(self, share):
        """Return a quantile of the time to first token, in seconds."""
        return quantile(
            [result.first_byte_seconds for result in self.completed()], share
        )

    def by_host(self):
        """Return the number of complete responses by host."""
        counts = {}
        for result in self.completed():
            counts[result.host] = counts.get(result.host, 0) + 1
        return counts


class Result:
    """Outcome of one request.

    Parameters
    ----------
    status : int
        HTTP status; 0 if the request failed or the response is incomplete.
    first_byte_seconds : float
        Time from sending the request to the first byte of the body.
    ended_at : float
        Time on the monotonic clock.
    host : str
        Host that served the request; empty if the response does not name it.
    extra_headers : dict of str to str
    """

    def __init__(self, status, first_byte_seconds, ended_at, host, extra_headers):
        self.status = status
        self.first_byte_seconds = first_byte_seconds
        self.ended_at = ended_at
        self.host = host
        self.extra_headers = extra_headers
