"""Tests of processes that wait for a signal to stop."""

import os
import signal
import subprocess
import sys
import threading

import pytest

TIMEOUT_SECONDS = 10.0

#: Program with a second thread, like each of the servers.
PROGRAM = """
import signal
import threading
from hawthornspoke.base import StopSignals

signal.signal(signal.SIGUSR1, lambda *_: print("handled", flush=True))
stop_signals = StopSignals()
stop_signals.install()
stopped = threading.Event()
thread = threading.Thread(target=stopped.wait, daemon=True)
thread.start()
print(thread.native_id, flush=True)
stop_signals.wait()
print("stopping", flush=True)
"""


@pytest.fixture
def program():
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def next_line(process):
    """Return the next line that the program prints, or "" after a timeout."""
    timer = threading.Timer(TIMEOUT_SECONDS, process.kill)
    timer.start()
    line = process.stdout.readline()
    timer.cancel()
    return line.strip()


def stops(process):
    return next_line(process) == "stopping" and process.wait(TIMEOUT_SECONDS) == 0


def test_signal_on_another_thread_stops_the_process(program):
    """Guards against a process that ignores SIGTERM which another thread received.

    The kernel may deliver a signal to any thread. Python runs its handler only on the
    main thread, which a wait for a lock does not wake for that.
    """
    thread_id = int(next_line(program))
    assert thread_id != program.pid
    os.kill(thread_id, signal.SIGTERM)
    assert stops(program)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signal_on_the_main_thread_stops_the_process(program, number):
    next_line(program)
    os.kill(program.pid, number)
    assert stops(program)


def test_handler_of_a_signal_on_another_thread_runs(program):
    """Guards against a dump request that shows only after a later signal."""
    thread_id = int(next_line(program))
    os.kill(thread_id, signal.SIGUSR1)
    assert next_line(program) == "handled"
    os.kill(thread_id, signal.SIGTERM)
    assert stops(program)
