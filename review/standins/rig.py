"""Starts the project's programs and the stand-ins on loopback, and ends them."""

import http.client
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from names import N

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent

#: Bounds of a small deployment, as its sheet has them.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "partitionMaxMs": 5000,
    "strictRevocation": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryAllowance": 102,
    "recoveryS": 12,
    "eventDelayMs": 120,
    "version_ms": 8000,
}
ZONES = {"anderlecht": "bruxelles", "gent-noord": "flandre", "herstal": "wallonie"}


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Rig:
    """Processes of one case, in a loopback network of its own, and its record."""

    def __init__(self, folder):
        self.net = f"127.{10 + os.getpid() % 200}"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        self.started_at = time.time()
        self._record = open(Path(folder) / "record.txt", "w")
        self.front_port, self.ready_port, self.store_port, self.app_port = (
            self._free_ports(4)
        )
        self.internal_port = self._free_ports(1)[0]
        self.store_ip = f"{self.net}.9.1"

    def _free_ports(self, count):
        sockets = [socket.socket() for _ in range(count)]
        for item in sockets:
            item.bind((f"{self.net}.9.1", 0))
        ports = [item.getsockname()[1] for item in sockets]
        for item in sockets:
            item.close()
        return ports

    def note(self, text):
        """Write a line to the record, with the seconds since the start."""
        line = f"{time.time() - self.started_at:8.3f} {text}"
        print(line, flush=True)
        self._record.write(line + "\n")
        self._record.flush()

    # Processes.

    def start_standin(self, name, *arguments):
        command = [sys.executable, str(STANDINS / f"{name}.py"), *map(str, arguments)]
        return self._start(name, command, {})

    def start_role(self, role, settings, *, name):
        """Start a program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        path = self.folder / f"{name}.toml"
        path.write_text(settings)
        command = shlex.split(deploy["roles"][role]["run"])
        dependencies = str(ROOT / "target" / "deps")
        environment = {"HAWTHORNSPOKE_SETTINGS": str(path), "PYTHONPATH": dependencies}
        return self._start(name, command, environment)

    def _start(self, name, command, environment):
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, **environment},
            stdout=log,
            stderr=log,
        )
        self.processes.append(process)
        return process

    def log_lines(self, name):
        """Return what a program has logged so far."""
        return (self.folder / f"{name}.log").read_text(errors="replace").splitlines()

    def close(self):
        """End all processes that this case started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self._record.close()

    # Settings.

    def settings(self, *, name, ip, machine, zone="anderlecht", listen=None, **extra):
        """Return the settings file of a process, in the platform's format."""
        fields = {
            N.node: name,
            "role": machine,
            "machineClass": machine,
            "serves": [machine],
            "ip": ip,
            "zone": zone,
            "region": ZONES[zone],
            N.ports: [self.internal_port, self.internal_port + 15],
            "bootstrap": True,
            "discovery": "platform",
            "heartbeatMs": 1200,
            **extra,
        }
        tables = {
            "zones": ZONES,
            "listen": listen or {},
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                N.link: 1000.0,
                "diskMb": 0,
            },
            "bounds": BOUNDS,
            "platform": {"address": f"{self.store_ip}:{self.store_port}"},
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        for title, table in tables.items():
            lines.append(f"[{title}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        return "\n".join(lines) + "\n"

    def start_entry(self, number=1, zone="anderlecht"):
        """Start an entry host; return its process and IP."""
        ip = f"{self.net}.1.{number}"
        settings = self.settings(
            name=f"edge-{number}",
            ip=ip,
            machine="edge",
            zone=zone,
            listen={
                "front": f"{ip}:{self.front_port}",
                "ready": f"{ip}:{self.ready_port}",
            },
        )
        return self.start_role("entry", settings, name=f"edge-{number}"), ip

    # Calls.

    def call(self, ip, port, method, target, *, fields=None, body=None, timeout=5.0):
        """Send one request on a new connection; return status, fields and body."""
        connection = http.client.HTTPConnection(ip, port, timeout=timeout)
        try:
            connection.request(method, target, body=body, headers=fields or {})
            response = connection.getresponse()
            return response.status, dict(response.getheaders()), response.read()
        finally:
            connection.close()

    def put(self, table, key, value):
        """Write a row as the operator or a runner does."""
        body = json.dumps({"table": table, "key": key, "value": value})
        status, _, _ = self.call(
            self.store_ip, self.store_port, "POST", "/_put", body=body
        )
        if status != 200:
            raise CannotRun(f"the store answered {status}")

    def wait_for(self, what, condition, seconds=20.0):
        """Wait until a condition holds."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        raise CannotRun(f"{what}: not within {seconds} s")

    def is_ready(self, ip):
        """Ask an entry host as the platform does whether it is ready."""
        return self.call(ip, self.ready_port, "GET", "/v1/readyz")[0] == 200

    def start_store(self):
        self.start_standin("store", self.store_ip, self.store_port)
        self.wait_for(
            "the store",
            lambda: (
                self.call(
                    self.store_ip, self.store_port, "GET", f"/v1/{N.get_rows}?table=op"
                )[0]
                == 200
            ),
        )


def run_case(folder, play):
    """Play a case and exit as the users ask: 1 broken, 0 held, 2 couldn't run."""
    rig = Rig(folder)
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = play(rig, is_troubled)
        rig.note(f"result: {'the rule was broken' if broken else 'the rule held'}")
        code = 1 if broken else 0
    except (CannotRun, OSError, http.client.HTTPException) as error:
        rig.note(f"result: the case could not run: {error!r}")
        code = 2
    finally:
        rig.close()
    sys.exit(code)
