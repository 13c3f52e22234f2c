"""Entry hosts and agents as processes: settings, start, signals, termination."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from adapter.tests.networks import claim_network

from hawthornspoke.base import monotonic

ROOT = Path(__file__).parent.parent.parent

#: Prefix of the addresses of a run; runs at the same time have different ones.
NET, _NETWORK_CLAIM = claim_network(os.getpid())

FRONT_PORT, READY_PORT, FIRST_INTERNAL_PORT = 9000, 9002, 9400

#: Megabytes beyond which a process would be killed, by its role.
MEMORY_MB = {"entry": 300, "agent": 168}

#: Seconds from SIGTERM until a process has to end.
GRACE_SECONDS = 8

#: Share of the grace after which a process that stops may cut requests, and seconds
#: after SIGTERM until which such a request must have been sent and passed on.
GRACE_SERVE_SHARE = 5 / 6
LATEST_SEND_SECONDS = 3.0

#: Seconds after SIGTERM at which a process cuts the requests that are left.
CUT_SECONDS = GRACE_SECONDS - 0.4

#: Seconds within which callers notice that a process was killed.
NOTICE_SECONDS = 1.0

SETTINGS = """
nodeName = "{name}"
ip = "{ip}"
zone = "{zone}"
app = "{app}"
service = "llm"
internalPorts = [{inner}, {last}]
[zones]
z0 = "r0"
z1 = "r1"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
linkMbps = 80.0
memoryMb = {memory}
[bounds]
graceS = {grace}
revokeMs = 5000
version_ms = 8000
retryBudgetRatio = 0.2
retryAllowance = {retry_allowance}
[platform]
address = "{store}"
"""


class Program:
    """One process, signalled only by its process id.

    Parameters
    ----------
    role : str
        ``"entry"`` or ``"agent"``.
    name, ip, zone, app, store : str
    folder : Path
        Folder for settings and log.
    retry_allowance : int
    memory_mb : int or None, default=None
        None for that of the role.
    """

    def __init__(
        self,
        *,
        role,
        name,
        ip,
        zone,
        app,
        store,
        folder,
        retry_allowance,
        memory_mb=None,
    ):
        self.role, self.name, self.ip = role, name, ip
        self.settings_path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.settings_path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                app=app,
                store=store,
                front=FRONT_PORT,
                ready=READY_PORT,
                inner=FIRST_INTERNAL_PORT,
                last=FIRST_INTERNAL_PORT + 15,
                memory=memory_mb or MEMORY_MB[role],
                grace=GRACE_SECONDS,
                retry_allowance=retry_allowance,
            )
        )
        self.process = None
        self.peak_kilobytes = 0
        # Times of SIGKILL and SIGTERM on the monotonic clock.
        self.kills, self.terminations = [], []

    def start(self):
        """Start the process, appending its output to the log file."""
        environment = {
            "HAWTHORNSPOKE_SETTINGS": str(self.settings_path),
            "PATH": os.environ.get("PATH", ""),
        }
        with self.log_path.open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "platform", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self):
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        """Send a signal if the process is running."""
        if not self.is_running:
            return
        if number == signal.SIGKILL:
            self.kills.append(monotonic())
        elif number == signal.SIGTERM:
            self.terminations.append(monotonic())
        os.kill(self.process.pid, number)

    def was_killed(self, at):
        """Return whether a connection that ended at a time may be one of a kill."""
        return any(killed <= at <= killed + NOTICE_SECONDS for killed in self.kills)

    def may_cut(self, *, ended_at, deadline, passed_on_at):
        """Return whether a request may have been cut at the end of the grace.

        Parameters
        ----------
        ended_at : float
        deadline : float
            Until when the request might have gone on.
        passed_on_at : list of float
            When the request was sent, and each of its attempts.
        """
        first, last = GRACE_SECONDS * GRACE_SERVE_SHARE, GRACE_SECONDS + NOTICE_SECONDS
        return any(
            first <= ended_at - stopped <= last
            and deadline > stopped + first
            and max(passed_on_at) <= stopped + LATEST_SEND_SECONDS
            for stopped in self.terminations
        )

    def record_memory(self):
        """Record the peak of the process's resident memory."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                self.peak_kilobytes = max(self.peak_kilobytes, int(line.split()[1]))

    def stop(self):
        """Kill the process, also if it is suspended, and wait for it."""
        if self.process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    def internal_errors(self):
        """Return log lines that report internal errors of the program."""
        error_lines = []
        if not self.log_path.exists():
            return error_lines
        for line in self.log_path.read_text(errors="replace").splitlines():
            if line.startswith("Traceback"):
                error_lines.append(f"{self.name}: {line}")
                continue
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get("event") in ("handler_failed", "task_failed", "loop_ended"):
                error_lines.append(f"{self.name}: {line}")
        return error_lines
