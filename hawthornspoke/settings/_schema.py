"""Schema of the settings of each role: types, bounds, defaults and descriptions."""

from hawthornspoke.base import Bounds
from hawthornspoke.routing import POLICIES

NUMERIC_TYPES = (int, float)

#: Default of a setting that must be given.
REQUIRED = object()

PORT = Bounds(kind=int, low=1, high=65535)
SECONDS = Bounds(kind=NUMERIC_TYPES, low=0.01)
TEXT = Bounds(kind=str)


class Setting:
    """Accepted values, default and description of one setting.

    Parameters
    ----------
    bounds : Bounds
    default : object
        ``REQUIRED`` if the setting has none.
    meaning : str
        One-sentence description for the reference page.
    """

    __slots__ = ("bounds", "default", "meaning")

    def __init__(self, *, bounds, default, meaning):
        self.bounds = bounds
        self.default = default
        self.meaning = meaning


def _setting(bounds, default, meaning):
    return Setting(bounds=bounds, default=default, meaning=meaning)


PLATFORM = {
    "table_url": _setting(TEXT, REQUIRED, "Table service, DynamoDB JSON protocol."),
    "objects_url": _setting(TEXT, REQUIRED, "Object store, S3 REST protocol."),
    "hosts_url": _setting(TEXT, REQUIRED, "Host list, EndpointSlice JSON."),
    "origin_url": _setting(TEXT, REQUIRED, "Origin of weights, HTTP with ranges."),
    "timeout": _setting(SECONDS, 2.0, "Seconds without a byte from the platform."),
    "poll_every": _setting(
        SECONDS, 1.0, "Seconds between table reads of the nodes that poll."
    ),
    "idle_poll_every": _setting(
        SECONDS, 30.0, "Seconds between table reads of all other nodes."
    ),
    "hosts_every": _setting(SECONDS, 5.0, "Seconds between reads of the host list."),
}

NODE = {
    "node": _setting(TEXT, REQUIRED, "Name of the host, as in the host list."),
    "failure_domain": _setting(TEXT, REQUIRED, "Failure domain of the host."),
    "address": _setting(TEXT, REQUIRED, "IP address that other nodes reach."),
    "port": _setting(PORT, 7700, "TCP and UDP port for other nodes."),
    "operator_port": _setting(PORT, 7701, "Port of health, metrics and dump."),
    "heartbeat_every": _setting(SECONDS, 0.5, "Seconds between heartbeats."),
    "suspect_after": _setting(
        SECONDS, 2.0, "Seconds of silence after which no new work goes to a node."
    ),
    "dead_after": _setting(
        SECONDS, 6.0, "Seconds of silence after which a node counts as gone."
    ),
    "grace": _setting(
        SECONDS, 60.0, "Seconds that a shutdown waits for requests in progress."
    ),
    "allow_faults": _setting(
        Bounds(kind=bool), False, "For tests: POST /_partition cuts addresses off."
    ),
    "log_level": _setting(
        Bounds(kind=str, choices=("DEBUG", "INFO", "WARNING", "ERROR")),
        "INFO",
        "Lowest level that is logged.",
    ),
}

ENTRY = {
    **NODE,
    "http_port": _setting(PORT, 8080, "Port of the callers' API."),
    "threads": _setting(
        Bounds(kind=int, low=1, high=4096), 128, "Requests handled at once."
    ),
    "max_body": _setting(
        Bounds(kind=int, low=1), 8 * 1024 * 1024, "Bytes of a request body at most."
    ),
    "default_timeout": _setting(
        SECONDS, 60.0, "Seconds a request may take if it does not say."
    ),
    "policy": _setting(
        Bounds(kind=str, choices=tuple(POLICIES.names())),
        "two_choices",
        "Routing policy.",
    ),
    "retry_ratio": _setting(
        Bounds(kind=NUMERIC_TYPES, low=0, high=1), 0.1, "Retries earned by a success."
    ),
    "leave_wait": _setting(
        Bounds(kind=NUMERIC_TYPES, low=0),
        1.0,
        "Seconds a leaving entry host still takes work while the balancer learns.",
    ),
    "attempt_timeout": _setting(
        SECONDS, 5.0, "Seconds without a sign from an endpoint that has a request."
    ),
}

AGENT = {
    **NODE,
    "engine_url": _setting(TEXT, REQUIRED, "Engine or plain service on this host."),
    "engine_kind": _setting(
        Bounds(kind=str, choices=("model", "plain")), "model", "What runs there."
    ),
    "slots": _setting(Bounds(kind=int, low=1), 8, "Requests the engine runs at once."),
    "queue_limit": _setting(Bounds(kind=int, low=0), 32, "Requests that wait at most."),
    "memory": _setting(
        Bounds(kind=int, low=0), 256 * 1024 * 1024, "Bytes of weights held at most."
    ),
    "link_rate": _setting(
        Bounds(kind=NUMERIC_TYPES, low=0),
        0,
        "Bytes of weights a second each way; 0: any.",
    ),
    "peer_slots": _setting(
        Bounds(kind=int, low=1, high=64), 8, "Chunks fetched from peers at once."
    ),
    "serve_slots": _setting(
        Bounds(kind=int, low=1, high=256), 16, "Chunks sent to peers at once."
    ),
    "origin_slots": _setting(
        Bounds(kind=int, low=1, high=64), 2, "Chunks fetched from the origin at once."
    ),
    "announce_every": _setting(
        SECONDS, 0.25, "Seconds of new chunks in one announcement."
    ),
    "stall_after": _setting(
        SECONDS, 3.0, "Seconds without news after which a chunk's owner is replaced."
    ),
    "settle": _setting(
        SECONDS, 1.5, "Seconds a host announces a swap in place before it begins."
    ),
}

SCHEMAS = {"entry": ENTRY, "agent": AGENT, "operator": {}}
