"""Entry hosts and agents of the demo, on loopback ports of one process."""

import random

from hawthornspoke.agent import AgentProcess
from hawthornspoke.entry import EntryProcess
from hawthornspoke.node import connect_platform
from hawthornspoke.settings import load_settings
from hawthornspoke.standins import Engine, PlainService, Platform

ADDRESS = "127.0.0.1"
CHUNK_SIZE = 16 * 1024
CHUNK_COUNT = 128
FAILURE_DOMAINS = ("anderlecht", "gent-noord")
N_ENGINES = 3

#: Size of the port range reserved for one host.
PORTS_PER_HOST = 4


class DemoFleet:
    """A simulated platform, two entry hosts, three model hosts and a plain service.

    Parameters
    ----------
    port : int
        Port of the first entry host's client API; the other ports follow it.
    """

    __slots__ = (
        "port",
        "platform",
        "listed_hosts",
        "servers",
        "entries",
        "agents",
        "clients",
    )

    def __init__(self, *, port):
        self.port = port
        self.platform = Platform(address=ADDRESS, port=port + 1, chunk_size=CHUNK_SIZE)
        self.listed_hosts = []
        self.servers = []
        self.entries = []
        self.agents = []
        self.clients = None

    def start(self):
        """Start the platform, the agents and the entry hosts.

        Raises
        ------
        OSError
            If a port is already in use.
        """
        self.platform.open()
        for index, version in enumerate(("v1", "v2")):
            data = random.Random(index).randbytes(CHUNK_SIZE * CHUNK_COUNT)
            self.platform.origin.publish(f"diagnose-{version}", data)
        names = [f"runner-{index}" for index in range(N_ENGINES)] + ["registre-0"]
        for index, name in enumerate(names):
            self._start_agent(name, index)
        for index in range(len(FAILURE_DOMAINS)):
            self._start_entry(index)
        self.platform.hosts.set(self.listed_hosts)
        self.clients = connect_platform(self._platform_settings())

    def stop(self):
        """Stop all processes, entry hosts first."""
        for process in self.entries + self.agents:
            process.stop()
        for server in self.servers:
            server.close()
        self.platform.close()

    def _start_agent(self, name, index):
        first_port = self.port + 20 + index * PORTS_PER_HOST
        kind = "plain" if name.startswith("registre") else "model"
        server_class = PlainService if kind == "plain" else Engine
        server = server_class(address=ADDRESS, port=first_port + 2)
        server.open()
        self.servers.append(server)
        settings = self._make_settings(
            "agent",
            name,
            index,
            first_port,
            engine_url=f"http://{ADDRESS}:{first_port + 2}",
            engine_kind=kind,
        )
        process = AgentProcess(settings=settings)
        process.start()
        self.agents.append(process)

    def _start_entry(self, index):
        first_port = self.port + 4 + index * PORTS_PER_HOST
        http_port = self.port if index == 0 else first_port + 2
        settings = self._make_settings(
            "entry",
            f"entry-{index}",
            index,
            first_port,
            http_port=http_port,
            threads=32,
            leave_wait=0,
        )
        process = EntryProcess(settings=settings)
        process.start()
        self.entries.append(process)

    def _make_settings(self, role, name, index, first_port, **extra):
        domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
        values = {
            "node": name,
            "failure_domain": domain,
            "address": ADDRESS,
            "port": first_port,
            "operator_port": first_port + 1,
            "grace": 5.0,
            **extra,
        }
        platform = self._platform_settings()
        flags = [f"{key}={_to_toml(value)}" for key, value in values.items()]
        flags += [
            f"platform.{key}={_to_toml(value)}" for key, value in platform.items()
        ]
        settings, failures = load_settings(
            role=role, file=None, environment={}, flags=flags
        )
        assert not failures, failures
        self.listed_hosts.append(
            {
                "host": name,
                "role": role,
                "failure_domain": domain,
                "address": ADDRESS,
                "port": first_port,
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


def _to_toml(value):
    return f'"{value}"' if isinstance(value, str) else str(value).lower()
