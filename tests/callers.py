"""Live callers that check every answer they get."""

import json
import threading
import time
import uuid

import urllib3

from tests.fleet import caller_headers

TOKENS = 6


class Answer:
    """What one caller was told.

    Attributes
    ----------
    outcome : str
        ``done``, ``not_run``, ``unknown`` or ``cut`` (no end was received).
    """

    def __init__(self, request_id, outcome, status, complaint, seconds, code=""):
        self.request_id = request_id
        self.outcome = outcome
        self.status = status
        self.complaint = complaint
        self.seconds = seconds
        self.code = code
        self.at = time.monotonic()


class Callers:
    """Tasks that ask entry hosts in turn until stopped.

    Parameters
    ----------
    fleet : Fleet
    entries : list of str
    tasks : int
    marked : bool
        Whether requests are marked as not to be repeated.
    """

    def __init__(self, fleet, entries, *, tasks=6, marked=False, stream=False):
        self.fleet = fleet
        self.entries = entries
        self.tasks = tasks
        self.marked = marked
        self.stream = stream
        self.answers = []
        self._stopped = threading.Event()
        self._threads = []
        self.started_at = time.monotonic()

    def __enter__(self):
        for number in range(self.tasks):
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

    def wait_answers(self, count, seconds=20):
        goal = len(self.answers) + count
        self.fleet.wait_for(lambda: len(self.answers) >= goal, seconds)

    def complaints(self):
        """Return every wrong answer."""
        return [item.complaint for item in self.answers if item.complaint]

    def refused(self):
        """Return when and why requests got no answer."""
        return [
            f"{item.at - self.started_at:.2f} s: {item.outcome} {item.code}"
            for item in self.answers
            if item.outcome != "done"
        ]

    def count(self, outcome):
        return sum(1 for item in self.answers if item.outcome == outcome)

    def not_run_but_ran(self):
        """Return requests that were said not to be run and are in a run log."""
        counts = self.run_counts()
        return [
            item.request_id
            for item in self.answers
            if item.outcome == "not_run" and item.request_id in counts
        ]

    def ran_twice(self):
        """Return requests that stand in the engines' run logs more than once."""
        counts = self.run_counts()
        return [item for item in self.answers if counts.get(item.request_id, 0) > 1]

    def run_counts(self):
        """Return how often each request stands in the engines' run logs."""
        counts = {}
        for name in self.fleet.process_by_name:
            if not name.endswith(".engine"):
                continue
            for item in self.fleet.runs(name.removesuffix(".engine"))["runs"]:
                request_id = _run_id(item).rpartition("-")[0]
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts

    def _run(self, number):
        pool = urllib3.PoolManager(maxsize=1, retries=False)
        turn = number
        while not self._stopped.is_set():
            entry = self.entries[turn % len(self.entries)]
            turn += 1
            self.answers.append(self._ask(pool, entry))
            time.sleep(0.01)

    def _ask(self, pool, entry):
        prompt = f"damage report {uuid.uuid4().hex}"
        body = {
            "model": "redacteur",
            "prompt": prompt,
            "max_tokens": TOKENS,
            "stream": self.stream,
        }
        headers = caller_headers()
        if self.marked:
            headers["X-Idempotent"] = "false"
        started = time.monotonic()
        try:
            reply = pool.request(
                "POST",
                self.fleet.entry_url(entry) + "/v1/completions",
                body=json.dumps(body).encode(),
                headers=headers,
                timeout=20,
            )
        except urllib3.exceptions.HTTPError as error:
            # Cut before any end: the caller knows that it knows nothing.
            seconds = time.monotonic() - started
            return Answer("", "cut", 0, "", seconds, type(error).__name__)
        return _judge(reply, prompt, self.stream, time.monotonic() - started)


def _judge(reply, prompt, stream, seconds):
    request_id = reply.headers.get("X-Request-Id", "")
    if reply.status != 200:
        error = json.loads(reply.data)["error"]
        return Answer(
            request_id,
            error["outcome"],
            reply.status,
            "",
            seconds,
            f"{error['code']}: {error['message']}",
        )
    text = _stream_text(reply.data) if stream else _text(reply.data)
    if text is None:
        return Answer(request_id, "unknown", 200, "", seconds, "cut_off")
    complaint = check_text(text, prompt, reply.headers["X-Weights-Digest"])
    return Answer(request_id, "done", 200, complaint, seconds)


def check_text(text, prompt, digest):
    """Return what is wrong with an answer's text, or an empty string."""
    from hawthornspoke.base import digest_of

    name = f"{digest[:12]}:{digest_of(json.dumps(prompt).encode())[:6]}"
    expected = "".join(f"{name}:{place} " for place in range(TOKENS))
    return "" if text == expected else f"expected {expected!r}, got {text!r}"


def _text(data):
    return json.loads(data)["choices"][0]["text"]


def _stream_text(data):
    """Return a stream's text, or None if it does not end as a whole one."""
    events = data.decode().split("\n\n")
    if events[-2:] != ["data: [DONE]", ""]:
        return None
    trees = [json.loads(event.removeprefix("data: ")) for event in events[:-2]]
    return "".join(tree["choices"][0]["text"] for tree in trees)


def _run_id(item):
    return item["request_id"] if isinstance(item, dict) else item
