"""``hawthornspoke demo``: a first answer in seconds."""

import json
import signal
import sys
import threading
import time
from importlib.resources import files

import urllib3

from hawthornspoke.base import monotonic
from hawthornspoke.cli._logs import set_up_logs
from hawthornspoke.demo._fleet import ADDRESS, CHUNK, CHUNKS, RUNNERS, DemoFleet
from hawthornspoke.operator import Accepted, apply_folder, read_fleet, render_status

KEY = "demo-key"
WAIT_SECONDS = 30.0
POLL_SECONDS = 0.05
ADDRESS_TAKEN = 7


def run_demo(*, once, port):
    """Run the demo.

    Parameters
    ----------
    once : bool
        End after one request and one burst, else at Ctrl-C.
    port : int

    Returns
    -------
    int
        Exit code: 0, or 1 if a step failed.
    """
    set_up_logs("WARNING")
    fleet = DemoFleet(port=port)
    try:
        fleet.start()
    except OSError as error:
        print(f"hawthornspoke: port {port} and after: {error}", file=sys.stderr)
        fleet.stop()
        return ADDRESS_TAKEN
    try:
        return _play(fleet, once=once)
    finally:
        fleet.stop()


def _play(fleet, *, once):
    print(f"1 platform stand-in, 2 entry hosts, {RUNNERS} model hosts, 1 plain service")
    seconds = _roll_out(fleet, "declarations")
    if seconds is None:
        return 1
    print(f"v1 declared, spread and live on {RUNNERS} hosts after {seconds:.2f} s")
    answer = _ask(fleet)
    if answer is None:
        return 1
    print(f"one request, answered by {answer}")
    if once:
        return _burst(fleet)
    print("try it (Ctrl-C ends the demo):\n")
    print(_curl(fleet.port))
    _wait_for_interrupt()
    return 0


def _burst(fleet):
    before = fleet.platform.origin.sent
    seconds = _roll_out(fleet, "declarations_v2")
    if seconds is None:
        return 1
    copies = (fleet.platform.origin.sent - before) / (CHUNK * CHUNKS)
    print(f"v2 live on {RUNNERS} hosts after {seconds:.2f} s", end="; ")
    print(f"{copies:.2f} copies read from the origin")
    answer = _ask(fleet)
    if answer is None:
        return 1
    print(f"one request, answered by {answer}")
    print("\n".join(render_status(read_fleet(fleet.clients))))
    return 0


def _roll_out(fleet, name):
    """Apply a folder of the package and wait until it is live everywhere."""
    started = monotonic()
    folder = files("hawthornspoke.demo") / name
    outcome = apply_folder(folder, clients=fleet.clients, author="demo")
    if not isinstance(outcome, Accepted):
        print(f"not accepted: {outcome}", file=sys.stderr)
        return None
    while monotonic() - started < WAIT_SECONDS:
        if _all_live(fleet, outcome.revision):
            return monotonic() - started
        time.sleep(POLL_SECONDS)
    print("the weights were not live in time", file=sys.stderr)
    return None


def _all_live(fleet, revision):
    hosts = read_fleet(fleet.clients)
    if not isinstance(hosts, list):
        return False
    for item in hosts:
        if item.status is None or (item.status.in_force or 0) < revision:
            return False
        progress = item.status.member.progress or {}
        if any(part < 1000 for part in progress.values()):
            return False
    return True


def _ask(fleet):
    """Make one request; return a line about its answer, or None."""
    body = {"model": "redacteur", "prompt": "A laptop with a dim screen", "stream": 0}
    deadline = monotonic() + WAIT_SECONDS
    while monotonic() < deadline:
        answer = urllib3.request(
            "POST",
            f"http://{ADDRESS}:{fleet.port}/v1/completions",
            body=json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {KEY}"},
            retries=False,
        )
        if answer.status == 200:
            headers = answer.headers
            digest = headers["X-Weights-Digest"][:12]
            version = headers.get("X-Served-Version", "?")
            return f"{headers['X-Served-By']} with {version} ({digest})"
        time.sleep(POLL_SECONDS)
    print(f"no answer: {answer.status} {answer.data!r}", file=sys.stderr)
    return None


def _curl(port):
    return (
        f"curl -N http://{ADDRESS}:{port}/v1/completions "
        f"-H 'Authorization: Bearer {KEY}' "
        "-H 'Content-Type: application/json' "
        """-d '{"model": "redacteur", "prompt": "hello", "stream": true}'"""
    )


def _wait_for_interrupt():
    woken = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: woken.set())
    signal.signal(signal.SIGINT, lambda *_: woken.set())
    woken.wait()
