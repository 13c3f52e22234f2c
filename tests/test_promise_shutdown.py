"""Guarantee: a graceful shutdown of a host aborts no running request."""

import os
import signal

from tests.callers import VerifyingClients
from tests.test_promise_answers import open_stream

TOKENS = 400


def read_all(connection):
    """Read to the end of a chunked response or of the connection."""
    data = b""
    while True:
        chunk = connection.recv(65536)
        data += chunk
        if not chunk or data.endswith(b"0\r\n\r\n"):
            return data


def is_complete(data):
    return data.count(b"data: {") == TOKENS and b"data: [DONE]" in data


def test_entry_host_finishes_its_streams(fresh_fleet):
    """Guards against streams that are aborted when an entry host is redeployed.

    SIGTERM is sent twice while streams are running. Neither signal must make the
    process exit immediately.
    """
    fleet = fresh_fleet
    streams = [open_stream(fleet, "entry-0", tokens=TOKENS) for _ in range(5)]
    for stream in streams:
        assert stream.recv(1024, 2)  # 2 is MSG_PEEK; read_all needs the data.
    fleet.signal("entry-0", signal.SIGTERM)
    fleet.wait_for(lambda: not fleet.is_ready("entry-0"), seconds=2)
    fleet.signal("entry-0", signal.SIGTERM)
    assert all(is_complete(read_all(stream)) for stream in streams)
    fleet.wait_for(lambda: not fleet.is_running("entry-0"))
    assert fleet.process_by_name["entry-0"].returncode == 0


def test_signal_on_any_thread_shuts_an_entry_host_down(fresh_fleet):
    """Guards against an entry host that never leaves after SIGTERM.

    The kernel delivered the signal to a thread other than the main one, which kept
    waiting for a lock.
    """
    fleet = fresh_fleet
    process = fleet.process_by_name["entry-0"]
    thread_ids = {int(name) for name in os.listdir(f"/proc/{process.pid}/task")}
    os.kill(max(thread_ids - {process.pid}), signal.SIGTERM)
    fleet.wait_for(lambda: not fleet.is_ready("entry-0"), seconds=2)
    assert process.wait(10) == 0


def test_agent_finishes_its_streams_also_during_a_load(fresh_fleet):
    """Guards against aborted streams and partially loaded weights at shutdown.

    An agent gets SIGTERM twice while streams are running on all hosts and a new
    version is being loaded. It must wait for the streams, but not for the load.
    """
    fleet = fresh_fleet
    streams = [
        open_stream(
            fleet, entry, tokens=TOKENS, prompt=f"{entry}{number}", non_idempotent=True
        )
        for entry in fleet.host_names("entry")
        for number in range(3)
    ]
    for stream in streams:
        assert stream.recv(1024, 2)  # 2 is MSG_PEEK; read_all needs the data.
    for name in fleet.host_names("runner"):
        fleet.set_engine_faults(name, load_seconds=3.0)
    fleet.write_declaration(
        "20-version.toml",
        '[models.redac.versions.v2]\nsource = "redac-v2"\n'
        '[services.redacteur]\nversion = "v2"\n',
    )
    fleet.apply()
    fleet.signal("runner-1", signal.SIGTERM)
    fleet.signal("runner-1", signal.SIGTERM)
    with VerifyingClients(fleet, fleet.host_names("entry"), thread_count=3) as clients:
        assert all(is_complete(read_all(stream)) for stream in streams)
    assert clients.mismatches() == []
    assert clients.failed_requests() == []
    fleet.wait_for(lambda: not fleet.is_running("runner-1"))
    assert fleet.process_by_name["runner-1"].returncode == 0
