"""Fleets of separate processes on loopback addresses, for tests and benchmarks.

Can also be run by hand::

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

from hawthornspoke.base.tests.addresses import random_net

FAILURE_DOMAINS = ("anderlecht", "gent-noord", "herstal")
REGIONS = {
    "anderlecht": "bruxelles",
    "gent-noord": "flandre",
    "herstal": "wallonie",
}
API_KEY = "federation-key"

#: Minimum number of endpoints of other failure domains known to an entry host.
MIN_REMOTE_KNOWN = 4


class Fleet:
    """Starts the processes of a fleet, controls them and injects faults.

    Parameters
    ----------
    entries : int, default=3
        Number of entry hosts.
    agents : int, default=5
        Number of hosts with a model engine.
    plain : int, default=1
        Number of hosts with a plain service.
    domains : tuple of str, default=FAILURE_DOMAINS
        Failure domains, assigned to the hosts of each kind in turn.
    platform_options, engine_options : list of str
        Additional command-line options of the simulated platform and engines.
    entry_settings, agent_settings : dict
        Additional settings of entry hosts and agents.
    start_agents : bool, default=True
        Whether ``start`` starts the agents.
    engines_per_process : int, default=0
        Number of engines per process; 0 for a separate process each.
    log : bool, default=False
        Whether to write the processes' standard error to files.
    """

    def __init__(
        self,
        *,
        entries=3,
        agents=5,
        plain=1,
        domains=FAILURE_DOMAINS,
        platform_options=(),
        engine_options=(),
        entry_settings=None,
        agent_settings=None,
        start_agents=True,
        engines_per_process=0,
        log=False,
    ):
        self.domains = domains
        self.platform_options = list(platform_options)
        self.engine_options = list(engine_options)
        self.entry_settings = entry_settings or {}
        self.agent_settings = agent_settings or {}
        self.start_agents = start_agents
        self.engines_per_process = engines_per_process
        self.log = log
        self.folder = Path(tempfile.mkdtemp(prefix="hawthornspoke-"))
        self.process_by_name = {}
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self.net = random_net()
        self.base_port = random.randrange(20000, 30000)
        self.platform_url = f"http://{self.net}.0.1:{self.base_port}"
        self.hosts = []
        self._add_hosts(entries, agents, plain)

    def _add_hosts(self, entries, agents, plain):
        for number in range(entries):
            self._add_host("entry", f"entry-{number}", f"1.{number + 1}", number)
        for number in range(agents):
            self._add_host("agent", f"runner-{number}", f"2.{number + 1}", number)
        for number in range(plain):
            self._add_host("agent", f"billing-{number}", f"3.{number + 1}", number)

    def _add_host(self, role, name, address_suffix, number):
        self.hosts.append(
            {
                "host": name,
                "role": role,
                "failure_domain": self.domains[number % len(self.domains)],
                "address": f"{self.net}.{address_suffix}",
                "port": self.base_port + 1,
            }
        )

    def host(self, name):
        return next(item for item in self.hosts if item["host"] == name)

    def host_names(self, prefix):
        return [item["host"] for item in self.hosts if item["host"].startswith(prefix)]

    # Process control.

    def start(self):
        self.start_platform()
        self.publish_host_list()
        if self.engines_per_process:
            self._start_shared_engines()
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

    def _start_shared_engines(self):
        """Start several engines per process, to save resources in large benchmarks."""
        names = self.host_names("runner")
        size = self.engines_per_process
        for start_index in range(0, len(names), size):
            group = names[start_index : start_index + size]
            addresses = [self.host(name)["address"] for name in group]
            port = ["--port", str(self.base_port + 4)]
            self._start(
                f"engines-{start_index}", "standin", "engines", *addresses, *port
            )
        for name in self.host_names("billing"):
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

    def suspend(self, name):
        self.signal(name, signal.SIGSTOP)

    def resume(self, name):
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

    # Network partitions.

    def partition(self, domain, *, from_platform=True, from_domains=True):
        """Cut the connections of a failure domain to other domains and the platform."""
        partitioned = [host for host in self.hosts if host["failure_domain"] == domain]
        outside = [host for host in self.hosts if host["failure_domain"] != domain]
        platform = [f"{self.net}.0.1"] if from_platform else []
        others = outside if from_domains else []
        for host in partitioned:
            self._block_addresses(host, platform + [item["address"] for item in others])
        for host in others:
            self._block_addresses(host, [item["address"] for item in partitioned])

    def heal_partitions(self):
        """Remove all network partitions."""
        for host in self.hosts:
            self._block_addresses(host, [])

    def _block_addresses(self, host, addresses):
        url = f"http://{host['address']}:{self.base_port + 2}/_partition"
        if self.is_running(host["host"]):
            self.post(url, addresses)

    # Platform.

    def publish_host_list(self, leaving=(), missing=()):
        hosts = [
            {**host, "leaving": host["host"] in leaving}
            for host in self.hosts
            if host["host"] not in missing
        ]
        self.post(f"{self.platform_url}/endpointslices", hosts)

    def set_platform_faults(self, **changes):
        self.post(f"{self.platform_url}/_faults", changes)

    def set_engine_faults(self, name, **changes):
        self.post(self.engine_url(name) + "/_faults", changes)

    def publish(self, source, data):
        url = f"{self.platform_url}/origin/{source}/weights"
        assert self.http.request("PUT", url, body=data).status == 200

    def platform_counts(self):
        return self.get(f"{self.platform_url}/_counts")

    # Operators.

    def run_command(self, *arguments):
        file = str(self.platform_file())
        return subprocess.run(
            [sys.executable, "-m", "hawthornspoke", *arguments, "--platform", file],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def write_declaration(self, name, text):
        folder = self.folder / "declarations"
        folder.mkdir(exist_ok=True)
        (folder / name).write_text(text)
        return folder

    def apply(self, *options):
        folder = self.folder / "declarations"
        completed = self.run_command("apply", str(folder), *options)
        assert completed.returncode == 0, completed.stderr + completed.stdout
        return completed.stdout

    def dump(self, name):
        url = f"http://{self.host(name)['address']}:{self.base_port + 2}/dump"
        return self.get(url)

    def is_ready(self, name):
        url = f"http://{self.host(name)['address']}:{self.base_port + 2}/readyz"
        try:
            return self.http.request("GET", url, timeout=2).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    # Client requests.

    def engine_url(self, name):
        return f"http://{self.host(name)['address']}:{self.base_port + 4}"

    def entry_url(self, name):
        return f"http://{self.host(name)['address']}:{self.base_port + 3}"

    def send_completion(
        self, entry="entry-0", *, model="redacteur", headers=None, **body
    ):
        tree = {"model": model, "prompt": "grade this laptop", **body}
        return self.http.request(
            "POST",
            self.entry_url(entry) + "/v1/completions",
            body=json.dumps(tree).encode(),
            headers={**auth_headers(), **(headers or {})},
            timeout=30,
        )

    def call(self, entry, path, *, method="POST", headers=None, body=b"{}"):
        return self.http.request(
            method,
            self.entry_url(entry) + path,
            body=body,
            headers={**auth_headers(), **(headers or {})},
            timeout=30,
        )

    def runs(self, name):
        return self.get(self.engine_url(name) + "/runs")

    # Helpers.

    def get(self, url):
        try:
            response = self.http.request("GET", url, timeout=5)
        except urllib3.exceptions.HTTPError:
            return None
        return json.loads(response.data) if response.status == 200 else None

    def post(self, url, tree):
        for _ in range(100):
            try:
                body = json.dumps(tree).encode()
                response = self.http.request("POST", url, body=body, timeout=5)
            except urllib3.exceptions.HTTPError:
                time.sleep(0.05)
                continue
            assert response.status == 200, response.data
            return
        raise AssertionError(f"no response from {url}")

    def wait_for(self, condition, seconds=30.0):
        return wait_for(condition, seconds)

    def wait_ready(self, names=None, seconds=30.0):
        names = names or [host["host"] for host in self.hosts]
        for name in names:
            self.wait_for(lambda name=name: self.is_ready(name), seconds)
        self.wait_for(self.membership_converged, seconds)

    def is_live_key_known(self, key):
        """Return whether all running entry hosts know an endpoint that serves a key."""
        states = [
            self.dump(host["host"])
            for host in self.hosts
            if host["role"] == "entry" and self.is_running(host["host"])
        ]
        return all(
            state is not None
            and any(
                key in view["live"] for view in state["membership"]["by_id"].values()
            )
            for state in states
        )

    def membership_converged(self):
        """Return whether each running entry host knows enough of the running agents."""
        return all(
            self._has_converged(host["host"])
            for host in self.hosts
            if host["role"] == "entry" and self.is_running(host["host"])
        )

    def _has_converged(self, entry):
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
        # Entry hosts know all agents of their own failure domain, but receive only a
        # summary of the others.
        local = {host["host"] for host in agents if host["failure_domain"] == domain}
        remote = {host["host"] for host in agents} - local
        return local <= known and len(remote & known) >= min(
            len(remote), MIN_REMOTE_KNOWN
        )

    def is_running(self, name):
        process = self.process_by_name.get(name)
        return process is not None and process.poll() is None


def wait_for(condition, seconds=30.0):
    """Poll until a condition holds; return the elapsed seconds."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise AssertionError("condition did not hold within the timeout")
        time.sleep(0.05)
    return time.monotonic() - started


def auth_headers():
    return {"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"}


def _toml(settings):
    return "".join(f"{key} = {json.dumps(item)}\n" for key, item in settings.items())


def declarations(*, version="v1", hosts="runner-*", source="redac-v1", extra=""):
    """Return TOML declarations of one model, two services and one organisation."""
    import hashlib

    key = hashlib.sha256(API_KEY.encode()).hexdigest()
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
    """Start a fleet, print how to use it and wait for Ctrl-C."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=5)
    options = parser.parse_args()
    with Fleet(entries=options.entries, agents=options.agents, log=True) as fleet:
        fleet.publish("redac-v1", random.Random(1).randbytes(400 * 16384))
        fleet.write_declaration("10-all.toml", declarations())
        print(fleet.apply("--wait", "20"))
        fleet.wait_ready()
        url = fleet.entry_url("entry-0")
        print(f"logs and settings: {fleet.folder}")
        print(
            f"curl -N {url}/v1/completions -H 'Authorization: Bearer {API_KEY}' "
            '-d \'{"model": "redacteur", "prompt": "hello", "stream": true}\''
        )
        try:
            signal.pause()
        except KeyboardInterrupt:
            pass


if __name__ == "__main__":
    main()
