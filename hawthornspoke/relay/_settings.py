"""Settings of the relay of an entry host."""

from hawthornspoke.base import Bounds, check_params
from hawthornspoke.httpio import MAX_UNREAD_BYTES

NUMBER = (int, float)
SECONDS = Bounds(kind=NUMBER, low=0)
TEXT = Bounds(kind=str)
PORT = Bounds(kind=int, low=1, high=65535)

#: Fractions of the platform's retry limits that are used. It judges a window by the
#: requests of that or an earlier window. One of these has at least three quarters of
#: the requests of any other window, by which a host allowed retries. Callers' client
#: libraries send some requests again that no host can count.
RATIO_SHARE = 0.75
ALLOWANCE_SHARE = 0.97


class RelaySettings:
    """Settings of one relay.

    Parameters
    ----------
    node : str
        Name of the host.
    failure_domain : str
    front : str
        ``IP:PORT`` on which callers are served.
    ready : str
        ``IP:PORT`` of the readiness endpoint for the load balancer.
    ready_path : str, default="/v1/readyz"
    operator_port : int, default=7701
        Port of metrics (``/metrics``) and the state dump (``/dump``), on the IP of
        ``front``.
    agent_port : int, default=7700
        Port on which agents listen.
    grace : float, default=8.0
        Seconds from SIGTERM until the process is killed.
    version_bound : float, default=8.0
        Seconds after the declaration of new weights during which requests may still
        start on older ones.
    keys_valid_for : float, default=4.6
        Seconds for which keys are trusted after the platform's last confirmation.
    changes_bind_after : float, default=2.0
        Seconds within which a change of the configuration must take effect.
    retry_ratio : float, default=0.1
        Retries allowed per request.
    retry_allowance : float, default=80.0
        Retries of a service allowed in any window beyond those, divided equally among
        all entry hosts.
    retry_window : float, default=10.0
        Seconds. Read once at the start.
    region_by_failure_domain : dict of str to str, default={}
        Routes and organisations may be restricted to regions.
    cold_overage : float, default=1.0
        Multiple of its rate for cold endpoints that an endpoint bears in any second.
    cold_allowance : float, default=0.0
        Requests that it bears in any second beyond that.
    contention_checks : bool, default=False
        Whether agents ask their engines how slow their hosts are, besides what engines
        report in responses.
    link_rate : float, default=1e8
        Rate of this host's link, in bytes per second.
    memory_bytes : int, default=0
        Memory of the process beyond which it is killed; 0 if there is no limit. Read
        once at the start.
    max_answer_bytes : int, default=8388608
        Maximum bytes of an answer, or of the part of a stream that its caller hasn't
        read. Less if the memory is short. Read once at the start.
    """

    __slots__ = (
        "node",
        "failure_domain",
        "front",
        "ready",
        "ready_path",
        "operator_port",
        "agent_port",
        "grace",
        "version_bound",
        "keys_valid_for",
        "changes_bind_after",
        "retry_ratio",
        "retry_allowance",
        "retry_window",
        "region_by_failure_domain",
        "cold_overage",
        "cold_allowance",
        "contention_checks",
        "link_rate",
        "memory_bytes",
        "max_answer_bytes",
    )
    PARAMS = {
        "node": TEXT,
        "failure_domain": TEXT,
        "front": TEXT,
        "ready": TEXT,
        "ready_path": TEXT,
        "operator_port": PORT,
        "agent_port": PORT,
        "grace": SECONDS,
        "version_bound": SECONDS,
        "keys_valid_for": SECONDS,
        "changes_bind_after": SECONDS,
        "retry_ratio": Bounds(kind=NUMBER, low=0, high=1),
        "retry_allowance": Bounds(kind=NUMBER, low=0),
        "retry_window": Bounds(kind=NUMBER, low=1),
        "region_by_failure_domain": Bounds(kind=dict),
        "cold_overage": Bounds(kind=NUMBER, low=0),
        "cold_allowance": Bounds(kind=NUMBER, low=0),
        "contention_checks": Bounds(kind=bool),
        "link_rate": Bounds(kind=NUMBER, low=1),
        "memory_bytes": Bounds(kind=int, low=0),
        "max_answer_bytes": Bounds(kind=int, low=1),
    }

    def __init__(
        self,
        *,
        node,
        failure_domain,
        front,
        ready,
        ready_path="/v1/readyz",
        operator_port=7701,
        agent_port=7700,
        grace=8.0,
        version_bound=8.0,
        keys_valid_for=4.6,
        changes_bind_after=2.0,
        retry_ratio=0.1,
        retry_allowance=80.0,
        retry_window=10.0,
        region_by_failure_domain=None,
        cold_overage=1.0,
        cold_allowance=0.0,
        contention_checks=False,
        link_rate=1e8,
        memory_bytes=0,
        max_answer_bytes=MAX_UNREAD_BYTES,
    ):
        self.node = node
        self.failure_domain = failure_domain
        self.front = front
        self.ready = ready
        self.ready_path = ready_path
        self.operator_port = operator_port
        self.agent_port = agent_port
        self.grace = grace
        self.version_bound = version_bound
        self.keys_valid_for = keys_valid_for
        self.changes_bind_after = changes_bind_after
        self.retry_ratio = retry_ratio
        self.retry_allowance = retry_allowance
        self.retry_window = retry_window
        self.region_by_failure_domain = region_by_failure_domain or {}
        self.cold_overage = cold_overage
        self.cold_allowance = cold_allowance
        self.contention_checks = contention_checks
        self.link_rate = link_rate
        self.memory_bytes = memory_bytes
        self.max_answer_bytes = max_answer_bytes

    def check(self):
        """Validate the values.

        Raises
        ------
        ValueError
            If a value is invalid; names the setting and the accepted values.
        """
        check_params(self, self.PARAMS)
