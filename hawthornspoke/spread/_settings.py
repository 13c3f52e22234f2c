"""Settings of an agent."""

from hawthornspoke.base import Bounds, check_params

NUMBER = (int, float)
TEXT = Bounds(kind=str)
PORT = Bounds(kind=int, low=1, high=65535)


class SpreadSettings:
    """Settings of one agent.

    Parameters
    ----------
    node : str
        Name of this host in logs and the state dump.
    failure_domain : str
    region_by_failure_domain : dict of str to str
    ip : str
        IP address on which the agent listens.
    port : int, default=7700
        Port for entry hosts and other agents.
    operator_port : int, default=7701
        Port for metrics and the state dump.
    engine_address : str
        ``IP:PORT`` of the engine on this host.
    link_rate : float
        Rate of this host's link, in bytes per second.
    origin_copies : int, default=1
        Number of copies of a version that all hosts together read from the origin;
        they exchange the pieces among themselves.
    strategy : str, default="seeded"
        Name of a distribution strategy in ``STRATEGIES`` of the swarm package.
    first_start : bool, default=False
        Whether all hosts start for the first time, so that no host has yet received a
        directive, the message that names the version to load.
    """

    __slots__ = (
        "node",
        "failure_domain",
        "region_by_failure_domain",
        "ip",
        "port",
        "operator_port",
        "engine_address",
        "link_rate",
        "origin_copies",
        "strategy",
        "first_start",
    )
    PARAMS = {
        "node": TEXT,
        "failure_domain": TEXT,
        "region_by_failure_domain": Bounds(kind=dict),
        "ip": TEXT,
        "port": PORT,
        "operator_port": PORT,
        "engine_address": TEXT,
        "link_rate": Bounds(kind=NUMBER, low=1),
        "origin_copies": Bounds(kind=int, low=1),
        "strategy": TEXT,
        "first_start": Bounds(kind=bool),
    }

    def __init__(
        self,
        *,
        node,
        failure_domain,
        region_by_failure_domain,
        ip,
        engine_address,
        link_rate,
        port=7700,
        operator_port=7701,
        origin_copies=1,
        strategy="seeded",
        first_start=False,
    ):
        self.node = node
        self.failure_domain = failure_domain
        self.region_by_failure_domain = region_by_failure_domain
        self.ip = ip
        self.port = port
        self.operator_port = operator_port
        self.engine_address = engine_address
        self.link_rate = link_rate
        self.origin_copies = origin_copies
        self.strategy = strategy
        self.first_start = first_start

    def check(self):
        """Validate the settings.

        Raises
        ------
        ValueError
            If a value is invalid; names the setting and the accepted values.
        """
        check_params(self, self.PARAMS)
