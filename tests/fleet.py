"""A fleet of separate processes on loopback addresses.

Run by tests and benchmarks, and by hand::

    python -m tests.fleet --entries 3 --agents 6
"""

import argparse
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import urllib3

DOMAINS = ("anderlecht", "gent-noord", "herstal")
REGIONS = {
    "anderlecht": "bruxelles",
    "gent-noord": "flandre",
    "herstal": "wallonie",
}
KEY = "federation-key"

#: Endpoints of other failure domains that an entry host hears of at least.
FAR_KNOWN = 4


class Fleet:
    """Processes by host name, with what a test does to them.

    Parameters
    ----------
    entries : int, default=3
    agents : int, default=5
        Hosts with a model engine.
    plain : int, default=1
        Hosts with a plain service.
    domains : tuple of str, default=DOMAINS
    platform_options, engine_options : list of str
        Further options of the stand-ins.
    entry_settings, agent_settings : dict
        Further settings.
    start_agents : bool, default=True
    engines_together : int, default=0
        Engines in one process; 0 gives each its own.
    log : bool, default=False
        Whether to keep the processes' standard error in files.
    """

    def __init__(
        self,
        *,
        entries=3,
        agents=5,
        plain=1,
        domains=DOMAINS,
        platform_options=(),
        engine_options=(),
        entry_settings=None,
        agent_settings=None,
        start_agents=True,
        engines_together=0,
        log=False,
    ):
        self.domains = domains
        self.platform_options = list(platform_options)
        self.engine_options = list(engine_options)
        self.entry_settings = entry_settings or {}
        self.agent_settings = agent_settings or {}
        self.start_agents = start_agents
        self.engines_together = engines_together
        self.log = log
        self.folder = Path(tempfile.mkdtemp(prefix="hawthornspoke-"))
        self.process_by_name = {}
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        net = random.randrange(1, 250)
        self.net = f"127.{net}"
        self.base_port = random.randrange(20000, 30000)
        self.platform_url = f"http://{self.net}.0.1:{self.base_port}"
        self.hosts = []
        self._plan(entries, agents, plain)

    def _plan(self, entries, agents, plain):
        for number in range(entries):
            self._add_host("entry", f"entry-{number}", f"1.{number + 1}", number)
        for number in range(agents):
            self._add_host("agent", f"runner-{number}", f"2.{number + 1}", number)
        for number in range(plain):
            self._add_host("agent", f"billing-{number}", f"3.{number + 1}", number)

    def _add_host(self, role, name, place, number):
        self.hosts.append(
            {
                "host": name,
                "role": role,
                "failure_domain": self.domains[number % len(self.domains)],
                "address": f"{self.net}.{place}",
                "port": self.base_port + 1,
            }
        )

    def host(self, name):
        return next(item for item in self.hosts if item["host"] == name)

    def names(self, prefix):
        return [item["host"] for item in self.hosts if item["host"].startswith(prefix)]

    # Starting and stopping.

    def start(self):
        self.start_platform()
        self.list_hosts()
        if self.engines_together:
            self._start_engines_together()
        else:
            for host in self.hosts:
                if host["role"] == "agent":
                    self.start_engine(host["host"])
        for host in self.hosts:
            if host["role"] == "entry" or self.start_agents:
                self.start_node(host["host"])
        return self

    def start_platform(self):
        self._start(
            "platform",
            "standin",
            "platform",
            f"{self.net}.0.1",
            str(self.base_port),
            *self.platform_options,
        )
        self.wait_for(lambda: self.get(f"{self.platform_url}/_counts") is not None)

    def _start_engines_together(self):
        """Let some engines share a process: a benchmark's machine is finite."""
        names = self.names("runner")
        size = self.engines_together
        for first in range(0, len(names), size):
            group = names[first : first + size]
            addresses = [self.host(name)["address"] for name in group]
            port = ["--port", str(self.base_port + 4)]
            self._start(f"engines-{first}", "standin", "engines", *addresses, *port)
        for name in self.names("billing"):
            self.start_engine(name)

    def start_engine(self, name):
        host = self.host(name)
        kind = "plain" if name.startswith("billing") else "engine"
        options = [] if kind == "plain" else self.engine_options
        engine = f"{name}.engine"
        port = str(self.base_port + 4)
        self._start(engine, "standin", kind, host["address"], port, *options)

    def start_node(self, name, **extra):
        host = self.host(name)
        common = {
            "node": name,
            "failure_domain": host["failure_domain"],
            "address": host["address"],
            "port": host["port"],
            "operator_port": self.base_port + 2,
            "allow_faults": True,
        }
        if host["role"] == "entry":
            settings = {**common, "http_port": self.base_port + 3, "threads": 64}
            settings.update(self.entry_settings)
        else:
            settings = {**common, "engine_url": self.engine_url(name)}
            if name.startswith("billing"):
                settings["engine_kind"] = "plain"
            settings.update(self.agent_settings)
        settings.update(extra)
        file = self.folder / f"{name}.toml"
        file.write_text(_toml(settings) + self.platform_toml())
        self._start(name, host["role"], str(file))

    def platform_toml(self):
        url = self.platform_url
        lines = [
            "[platform]",
            f'table_url = "{url}"',
            f'objects_url = "{url}"',
            f'hosts_url = "{url}"',
            f'origin_url = "{url}/origin"',
            "hosts_every = 1.0",
        ]
        return "\n".join(lines) + "\n"

    def platform_file(self):
        file = self.folder / "platform.toml"
        file.write_text(self.platform_toml())
        return file

    def _start(self, name, *arguments):
        stderr = subprocess.DEVNULL
        if self.log or os.environ.get("FLEET_LOG"):
            stderr = open(self.folder / f"{name}.log", "ab")
        self.process_by_name[name] = subprocess.Popen(
            [sys.executable, "-m", "hawthornspoke", *arguments],
            stdout=subprocess.DEVNULL,
            stderr=stderr,
        )

    def signal(self, name, number):
        self.process_by_name[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.process_by_name[name].wait()

    def freeze(self, name):
        self.signal(name, signal.SIGSTOP)

    def wake(self, name):
        self.signal(name, signal.SIGCONT)

    def stop(self):
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()

    def __enter__(self):
        try:
            return self.start()
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *_):
        self.stop()

    # Cuts.

    def cut_off(self, domain, *, from_platform=True, from_domains=True):
        """Cut a failure domain off from the others and from the platform."""
        inside = [host for host in self.hosts if host["failure_domain"] == domain]
        outside = [host for host in self.hosts if host["failure_domain"] != domain]
        platform = [f"{self.net}.0.1"] if from_platform else []
        others = outside if from_domains else []
        for host in inside:
            self._partition(host, platform + [item["address"] for item in others])
        for host in others:
            self._partition(host, [item["address"] for item in inside])

    def heal(self):
        """End every cut."""
        for host in self.hosts:
            self._partition(host, [])

    def _partition(self, host, addresses):
        url = f"http://{host['address']}:{self.base_port + 2}/_partition"
        if self.is_running(host["host"]):
            self.post(url, addresses)

    # The platform.

    def list_hosts(self, leaving=(), missing=()):
        hosts = [
            {**host, "leaving": host["host"] in leaving}
            for host in self.hosts
            if host["host"] not in missing
        ]
        self.post(f"{self.platform_url}/endpointslices", hosts)

    def faults(self, **changes):
        self.post(f"{self.platform_url}/_faults", changes)

    def engine_faults(self, name, **changes):
        self.post(self.engine_url(name) + "/_faults", changes)

    def publish(self, source, data):
        url = f"{self.platform_url}/origin/{source}/weights"
        assert self.http.request("PUT", url, body=data).status == 200

    def counts(self):
        return self.get(f"{self.platform_url}/_counts")

    # Operators.

    def command(self, *arguments):
        file = str(self.platform_file())
        return subprocess.run(
            [sys.executable, "-m", "hawthornspoke", *arguments, "--platform", file],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def declare(self, name, text):
        folder = self.folder / "declarations"
        folder.mkdir(exist_ok=True)
        (folder / name).write_text(text)
        return folder

    def apply(self, *options):
        folder = self.folder / "declarations"
        done = self.command("apply", str(folder), *options)
        assert done.returncode == 0, done.stderr + done.stdout
        return done.stdout

    def dump(self, name):
        url = f"http://{self.host(name)['address']}:{self.base_port + 2}/dump"
        return self.get(url)

    def ready(self, name):
        url = f"http://{self.host(name)['address']}:{self.base_port + 2}/readyz"
        try:
            return self.http.request("GET", url, timeout=2).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    # Callers.

    def engine_url(self, name):
        return f"http://{self.host(name)['address']}:{self.base_port + 4}"

    def entry_url(self, name):
        return f"http://{self.host(name)['address']}:{self.base_port + 3}"

    def ask(self, entry="entry-0", *, model="redacteur", headers=None, **body):
        tree = {"model": model, "prompt": "grade this laptop", **body}
        return self.http.request(
            "POST",
            self.entry_url(entry) + "/v1/completions",
            body=json.dumps(tree).encode(),
            headers={**caller_headers(), **(headers or {})},
            timeout=30,
        )

    def call(self, entry, path, *, method="POST", headers=None, body=b"{}"):
        return self.http.request(
            method,
            self.entry_url(entry) + path,
            body=body,
            headers={**caller_headers(), **(headers or {})},
            timeout=30,
        )

    def runs(self, name):
        return self.get(self.engine_url(name) + "/runs")

    # Helpers.

    def get(self, url):
        try:
            answer = self.http.request("GET", url, timeout=5)
        except urllib3.exceptions.HTTPError:
            return None
        return json.loads(answer.data) if answer.status == 200 else None

    def post(self, url, tree):
        for _ in range(100):
            try:
                body = json.dumps(tree).encode()
                answer = self.http.request("POST", url, body=body, timeout=5)
            except urllib3.exceptions.HTTPError:
                time.sleep(0.05)
                continue
            assert answer.status == 200, answer.data
            return
        raise AssertionError(f"no answer from {url}")

    def wait_for(self, condition, seconds=30.0):
        return wait_for(condition, seconds)

    def wait_ready(self, names=None, seconds=30.0):
        names = names or [host["host"] for host in self.hosts]
        for name in names:
            self.wait_for(lambda name=name: self.ready(name), seconds)
        self.wait_for(self.all_known, seconds)

    def all_known(self):
        """Tell whether every running entry host has heard of every live service."""
        return all(
            self._knows_all(host["host"])
            for host in self.hosts
            if host["role"] == "entry" and self.is_running(host["host"])
        )

    def _knows_all(self, entry):
        state = self.dump(entry)
        if state is None:
            return False
        by_id = state["membership"]["by_id"]
        domain = self.host(entry)["failure_domain"]
        known = {name for name, view in by_id.items() if view["live"]}
        agents = [
            host
            for host in self.hosts
            if host["role"] == "agent" and self.is_running(host["host"])
        ]
        # Of other failure domains an entry host hears a summary only.
        own = {host["host"] for host in agents if host["failure_domain"] == domain}
        far = {host["host"] for host in agents} - own
        return own <= known and len(far & known) >= min(len(far), FAR_KNOWN)

    def is_running(self, name):
        process = self.process_by_name.get(name)
        return process is not None and process.poll() is None


def wait_for(condition, seconds=30.0):
    """Wait until a condition holds; return the seconds it took."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise AssertionError("condition did not come to hold in time")
        time.sleep(0.05)
    return time.monotonic() - started


def caller_headers():
    return {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}


def _toml(settings):
    return "".join(f"{key} = {json.dumps(item)}\n" for key, item in settings.items())


def declarations(*, version="v1", hosts="runner-*", source="redac-v1", extra=""):
    """Return the text of a small folder's one file."""
    import hashlib

    key = hashlib.sha256(KEY.encode()).hexdigest()
    domains = "".join(
        f'[failure_domains.{name}]\nregion = "{region}"\n'
        for name, region in REGIONS.items()
    )
    return f"""
{domains}
[models.redac.versions.{version}]
source = "{source}"

[services.redacteur]
kind = "model"
model = "redac"
version = "{version}"
hosts = ["{hosts}"]
organisations = ["federation"]

[services.billing]
kind = "plain"
hosts = ["billing-*"]
organisations = ["federation"]

[organisations.federation]
key_sha256 = "{key}"
{extra}
"""


def main():
    """Start a fleet, say where it is, and wait for Ctrl-C."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=5)
    options = parser.parse_args()
    with Fleet(entries=options.entries, agents=options.agents, log=True) as fleet:
        fleet.publish("redac-v1", random.Random(1).randbytes(400 * 16384))
        fleet.declare("10-all.toml", declarations())
        print(fleet.apply("--wait", "20"))
        fleet.wait_ready()
        url = fleet.entry_url("entry-0")
        print(f"logs and settings: {fleet.folder}")
        print(
            f"curl -N {url}/v1/completions -H 'Authorization: Bearer {KEY}' "
            '-d \'{"model": "redacteur", "prompt": "hello", "stream": true}\''
        )
        try:
            signal.pause()
        except KeyboardInterrupt:
            pass


if __name__ == "__main__":
    main()
