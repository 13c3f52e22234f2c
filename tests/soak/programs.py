"""The real programs as processes: settings, start, signals, end."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
FRONT, READY, FIRST_INNER = 9000, 9002, 9400

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
[bounds]
graceS = 8
revokeMs = 5000
version_ms = 8000
retryBudgetRatio = 0.2
retryAllowance = 100
[platform]
address = "{store}"
"""


class Program:
    """One process of ours, started and ended by its id only.

    Parameters
    ----------
    role : str
        ``"entry"`` or ``"agent"``.
    name, ip, zone, app, store : str
    folder : Path
        For its settings and its log.
    """

    def __init__(self, *, role, name, ip, zone, app, store, folder):
        self.role, self.name, self.ip = role, name, ip
        self.path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                app=app,
                store=store,
                front=FRONT,
                ready=READY,
                inner=FIRST_INNER,
                last=FIRST_INNER + 15,
            )
        )
        self.process = None
        self.stopping_until = 0.0

    def start(self):
        """Start the process, its lines going to a file."""
        environment = {
            "HAWTHORNSPOKE_SETTINGS": str(self.path),
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
    def alive(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        """Send a signal, if the process still runs."""
        if self.alive:
            os.kill(self.process.pid, number)

    def end(self):
        """Kill the process and wait for it."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()

    def own_faults(self):
        """Return lines by which the program says that it failed itself."""
        found = []
        if not self.log_path.exists():
            return found
        for line in self.log_path.read_text(errors="replace").splitlines():
            if line.startswith("Traceback"):
                found.append(f"{self.name}: {line}")
                continue
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get("event") in ("handler_failed", "task_failed", "loop_ended"):
                found.append(f"{self.name}: {line}")
        return found
