"""Concurrent clients that verify every response."""

import json
import threading
import time
import uuid

import urllib3

from tests.fleet import auth_headers

TOKENS_PER_RESPONSE = 6


class ClientResult:
    """Outcome of one request, as seen by the client.

    Attributes
    ----------
    outcome : str
        ``done``, ``not_run``, ``unknown`` or ``cut`` (connection lost before the
        response was complete).
    mismatch : str
        How the response differs from the expected one; empty if it does not.
    code : str
        Error code and message, or the name of the exception.
    at : float
        Time of the outcome on the monotonic clock.
    """

    def __init__(self, request_id, outcome, status, mismatch, seconds, code=""):
        self.request_id = request_id
        self.outcome = outcome
        self.status = status
        self.mismatch = mismatch
        self.seconds = seconds
        self.code = code
        self.at = time.monotonic()


class VerifyingClients:
    """Threads that send requests to entry hosts in turn until stopped.

    Parameters
    ----------
    fleet : Fleet
    entries : list of str
    thread_count : int, default=6
        Number of threads.
    non_idempotent : bool, default=False
        Whether requests are marked as non-idempotent.
    stream : bool, default=False
        Whether responses are streamed.
    """

    def __init__(
        self, fleet, entries, *, thread_count=6, non_idempotent=False, stream=False
    ):
        self.fleet = fleet
        self.entries = entries
        self.thread_count = thread_count
        self.non_idempotent = non_idempotent
        self.stream = stream
        self.results = []
        self._stopped = threading.Event()
        self._threads = []
        self.started_at = time.monotonic()

    def __enter__(self):
        for number in range(self.thread_count):
            thread = threading.Thread(target=self._run, args=(number,), daemon=True)
            thread.start()
            self._threads.append(thread)
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join(timeout=30)

    def wait_results(self, count, seconds=20):
        """Wait until ``count`` more requests have ended."""
        expected_count = len(self.results) + count
        self.fleet.wait_for(lambda: len(self.results) >= expected_count, seconds)

    def mismatches(self):
        """Return a description of each incorrect response."""
        return [item.mismatch for item in self.results if item.mismatch]

    def failed_requests(self):
        """Return time, outcome and cause of all unsuccessful requests."""
        return [
            f"{item.at - self.started_at:.2f} s: {item.outcome} {item.code}"
            for item in self.results
            if item.outcome != "done"
        ]

    def count(self, outcome):
        return sum(1 for item in self.results if item.outcome == outcome)

    def falsely_not_run(self):
        """Return ids of requests reported as not run that an engine has run."""
        counts = self.run_counts()
        return [
            item.request_id
            for item in self.results
            if item.outcome == "not_run" and item.request_id in counts
        ]

    def repeatedly_run(self):
        """Return the requests that engines have run more than once."""
        counts = self.run_counts()
        return [item for item in self.results if counts.get(item.request_id, 0) > 1]

    def run_counts(self):
        """Return the number of runs of each request, from the engines' run logs."""
        counts = {}
        for name in self.fleet.process_by_name:
            if not name.endswith(".engine"):
                continue
            for item in self.fleet.runs(name.removesuffix(".engine"))["runs"]:
                request_id = _logged_request_id(item).rpartition("-")[0]
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts

    def _run(self, number):
        pool = urllib3.PoolManager(maxsize=1, retries=False)
        request_index = number
        while not self._stopped.is_set():
            entry = self.entries[request_index % len(self.entries)]
            request_index += 1
            self.results.append(self._send_request(pool, entry))
            time.sleep(0.01)

    def _send_request(self, pool, entry):
        prompt = f"damage report {uuid.uuid4().hex}"
        body = {
            "model": "redacteur",
            "prompt": prompt,
            "max_tokens": TOKENS_PER_RESPONSE,
            "stream": self.stream,
        }
        headers = auth_headers()
        if self.non_idempotent:
            headers["X-Idempotent"] = "false"
        started = time.monotonic()
        try:
            response = pool.request(
                "POST",
                self.fleet.entry_url(entry) + "/v1/completions",
                body=json.dumps(body).encode(),
                headers=headers,
                timeout=20,
            )
        except urllib3.exceptions.HTTPError as error:
            # Without a response, the client cannot know whether the request was run.
            seconds = time.monotonic() - started
            return ClientResult("", "cut", 0, "", seconds, type(error).__name__)
        return _evaluate_response(
            response, prompt, self.stream, time.monotonic() - started
        )


def _evaluate_response(response, prompt, stream, seconds):
    request_id = response.headers.get("X-Request-Id", "")
    if response.status != 200:
        error = json.loads(response.data)["error"]
        return ClientResult(
            request_id,
            error["outcome"],
            response.status,
            "",
            seconds,
            f"{error['code']}: {error['message']}",
        )
    text = _stream_text(response.data) if stream else _text(response.data)
    if text is None:
        return ClientResult(request_id, "unknown", 200, "", seconds, "cut_off")
    mismatch = check_text(text, prompt, response.headers["X-Weights-Digest"])
    return ClientResult(request_id, "done", 200, mismatch, seconds)


def check_text(text, prompt, digest):
    """Return how a response's text differs from the expected one, or ''."""
    from hawthornspoke.base import digest_of

    name = f"{digest[:12]}:{digest_of(json.dumps(prompt).encode())[:6]}"
    expected = "".join(f"{name}:{position} " for position in range(TOKENS_PER_RESPONSE))
    return "" if text == expected else f"expected {expected!r}, got {text!r}"


def _text(data):
    return json.loads(data)["choices"][0]["text"]


def _stream_text(data):
    """Return the text of a stream, or None if its end marker is missing."""
    events = data.decode().split("\n\n")
    if events[-2:] != ["data: [DONE]", ""]:
        return None
    trees = [json.loads(event.removeprefix("data: ")) for event in events[:-2]]
    return "".join(tree["choices"][0]["text"] for tree in trees)


def _logged_request_id(item):
    """Return the request id of a run; plain services log runs as objects."""
    return item["request_id"] if isinstance(item, dict) else item
