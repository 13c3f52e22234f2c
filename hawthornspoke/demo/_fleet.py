"""Hosts of the demo: real entry and agent processes' parts, on loopback ports."""

import random

from hawthornspoke.agent import AgentProcess
from hawthornspoke.entry import EntryProcess
from hawthornspoke.node import connect_platform
from hawthornspoke.settings import load_settings
from hawthornspoke.standins import Engine, PlainService, Platform

ADDRESS = "127.0.0.1"
CHUNK = 16 * 1024
CHUNKS = 128
DOMAINS = ("anderlecht", "gent-noord")
RUNNERS = 3

#: Ports of one host, counted from its first.
PORTS_PER_HOST = 4


class DemoFleet:
    """One platform, two entry hosts, three model hosts, one plain service.

    Parameters
    ----------
    port : int
        Port of the first entry host's callers' API; others follow it.
    """

    __slots__ = ("port", "platform", "nodes", "servers", "entries", "agents", "clients")

    def __init__(self, *, port):
        self.port = port
        self.platform = Platform(address=ADDRESS, port=port + 1, chunk_size=CHUNK)
        self.nodes = []
        self.servers = []
        self.entries = []
        self.agents = []
        self.clients = None

    def start(self):
        """Start everything.

        Raises
        ------
        OSError
            If a port is taken.
        """
        self.platform.open()
        for number, version in enumerate(("v1", "v2")):
            data = random.Random(number).randbytes(CHUNK * CHUNKS)
            self.platform.origin.publish(f"diagnose-{version}", data)
        names = [f"runner-{number}" for number in range(RUNNERS)] + ["registre-0"]
        for number, name in enumerate(names):
            self._start_agent(name, number)
        for number in range(len(DOMAINS)):
            self._start_entry(number)
        self.platform.hosts.set(self.nodes)
        self.clients = connect_platform(self._platform_settings())

    def stop(self):
        """Stop everything, entry hosts first."""
        for process in self.entries + self.agents:
            process.stop()
        for server in self.servers:
            server.close()
        self.platform.close()

    def _start_agent(self, name, number):
        first = self.port + 20 + number * PORTS_PER_HOST
        kind = "plain" if name.startswith("registre") else "model"
        make = PlainService if kind == "plain" else Engine
        server = make(address=ADDRESS, port=first + 2)
        server.open()
        self.servers.append(server)
        settings = self._settings(
            "agent",
            name,
            number,
            first,
            engine_url=f"http://{ADDRESS}:{first + 2}",
            engine_kind=kind,
        )
        process = AgentProcess(settings=settings)
        process.start()
        self.agents.append(process)

    def _start_entry(self, number):
        first = self.port + 4 + number * PORTS_PER_HOST
        http_port = self.port if number == 0 else first + 2
        settings = self._settings(
            "entry",
            f"entry-{number}",
            number,
            first,
            http_port=http_port,
            threads=32,
            leave_wait=0,
        )
        process = EntryProcess(settings=settings)
        process.start()
        self.entries.append(process)

    def _settings(self, role, name, number, first, **more):
        domain = DOMAINS[number % len(DOMAINS)]
        values = {
            "node": name,
            "failure_domain": domain,
            "address": ADDRESS,
            "port": first,
            "operator_port": first + 1,
            "grace": 5.0,
            **more,
        }
        platform = self._platform_settings()
        flags = [f"{key}={_toml(value)}" for key, value in values.items()]
        flags += [f"platform.{key}={_toml(value)}" for key, value in platform.items()]
        settings, failures = load_settings(
            role=role, file=None, environment={}, flags=flags
        )
        assert not failures, failures
        self.nodes.append(
            {
                "host": name,
                "role": role,
                "failure_domain": domain,
                "address": ADDRESS,
                "port": first,
            }
        )
        return settings

    def _platform_settings(self):
        url = f"http://{ADDRESS}:{self.port + 1}"
        return {
            "table_url": url,
            "objects_url": url,
            "hosts_url": url,
            "origin_url": url + "/origin",
            "timeout": 2.0,
            "hosts_every": 1.0,
        }


def _toml(value):
    return f'"{value}"' if isinstance(value, str) else str(value).lower()
