"""The ``hawthornspoke demo`` command."""

import json
import sys
import time
from importlib.resources import files

import urllib3

from hawthornspoke.base import StopSignals, monotonic
from hawthornspoke.cli._logs import configure_logging
from hawthornspoke.demo._fleet import (
    ADDRESS,
    CHUNK_COUNT,
    CHUNK_SIZE,
    N_ENGINES,
    DemoFleet,
)
from hawthornspoke.operator import (
    ApplyAccepted,
    apply_folder,
    read_fleet,
    render_status,
)

API_KEY = "demo-key"
TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05
EXIT_ADDRESS_IN_USE = 7


def run_demo(*, once, port):
    """Run the demo.

    Parameters
    ----------
    once : bool
        Exit after one request, a rollout of new weights and another request;
        otherwise run until Ctrl-C.
    port : int
        First of the ports to use.

    Returns
    -------
    int
        Exit code: 0 on success, 1 if a step failed, 7 if a port is in use.
    """
    configure_logging("WARNING")
    fleet = DemoFleet(port=port)
    try:
        fleet.start()
    except OSError as error:
        print(
            f"hawthornspoke: cannot use port {port} and the ports after it: {error}",
            file=sys.stderr,
        )
        fleet.stop()
        return EXIT_ADDRESS_IN_USE
    try:
        return _run_steps(fleet, once=once)
    finally:
        fleet.stop()


def _run_steps(fleet, *, once):
    print(
        f"1 simulated platform, 2 entry hosts, {N_ENGINES} model hosts, 1 plain service"
    )
    seconds = _apply_and_wait(fleet, "declarations")
    if seconds is None:
        return 1
    print(
        f"v1 declared, transferred and live on {N_ENGINES} hosts after {seconds:.2f} s"
    )
    response = _send_request(fleet)
    if response is None:
        return 1
    print(f"one request, answered by {response}")
    if once:
        return _run_version_change(fleet)
    print("try it (Ctrl-C ends the demo):\n")
    print(_curl_command(fleet.port))
    _wait_for_interrupt()
    return 0


def _run_version_change(fleet):
    bytes_before = fleet.platform.origin.bytes_sent
    seconds = _apply_and_wait(fleet, "declarations_v2")
    if seconds is None:
        return 1
    copies = (fleet.platform.origin.bytes_sent - bytes_before) / (
        CHUNK_SIZE * CHUNK_COUNT
    )
    print(f"v2 live on {N_ENGINES} hosts after {seconds:.2f} s", end="; ")
    print(f"{copies:.2f} copies read from the origin")
    response = _send_request(fleet)
    if response is None:
        return 1
    print(f"one request, answered by {response}")
    print("\n".join(render_status(read_fleet(fleet.clients))))
    return 0


def _apply_and_wait(fleet, name):
    """Apply the declarations of a folder and wait until all hosts serve the weights.

    Returns
    -------
    float or None
        Elapsed seconds, None if it failed.
    """
    started = monotonic()
    folder = files("hawthornspoke.demo") / name
    outcome = apply_folder(folder, clients=fleet.clients, author="demo")
    if not isinstance(outcome, ApplyAccepted):
        print(f"declarations were rejected: {outcome}", file=sys.stderr)
        return None
    while monotonic() - started < TIMEOUT_SECONDS:
        if _are_weights_live(fleet, outcome.revision):
            return monotonic() - started
        time.sleep(POLL_INTERVAL_SECONDS)
    print(
        "timed out waiting for the weights to be live on all hosts",
        file=sys.stderr,
    )
    return None


def _are_weights_live(fleet, revision):
    hosts = read_fleet(fleet.clients)
    if not isinstance(hosts, list):
        return False
    for host in hosts:
        if host.status is None or (host.status.in_force or 0) < revision:
            return False
        progress = host.status.member.progress or {}
        if any(permille < 1000 for permille in progress.values()):
            return False
    return True


def _send_request(fleet):
    """Send one request; return a summary of the response, or None on failure."""
    body = {"model": "redacteur", "prompt": "A laptop with a dim screen", "stream": 0}
    deadline = monotonic() + TIMEOUT_SECONDS
    while monotonic() < deadline:
        response = urllib3.request(
            "POST",
            f"http://{ADDRESS}:{fleet.port}/v1/completions",
            body=json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {API_KEY}"},
            retries=False,
        )
        if response.status == 200:
            headers = response.headers
            digest = headers["X-Weights-Digest"][:12]
            version = headers.get("X-Served-Version", "?")
            return f"{headers['X-Served-By']} with {version} ({digest})"
        time.sleep(POLL_INTERVAL_SECONDS)
    print(f"request failed: {response.status} {response.data!r}", file=sys.stderr)
    return None


def _curl_command(port):
    return (
        f"curl -N http://{ADDRESS}:{port}/v1/completions "
        f"-H 'Authorization: Bearer {API_KEY}' "
        "-H 'Content-Type: application/json' "
        """-d '{"model": "redacteur", "prompt": "hello", "stream": true}'"""
    )


def _wait_for_interrupt():
    stop_signals = StopSignals()
    stop_signals.install()
    stop_signals.wait()
