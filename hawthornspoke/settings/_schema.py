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
    "origin_url": _setting(TEXT, REQUIRED, "Weight origin, HTTP with byte ranges."),
    "timeout": _setting(
        SECONDS, 2.0, "Read timeout in seconds of requests to the platform."
    ),
    "poll_every": _setting(
        SECONDS, 1.0, "Seconds between table reads of each failure domain's pollers."
    ),
    "idle_poll_every": _setting(
        SECONDS, 30.0, "Seconds between table reads of all other nodes."
    ),
    "hosts_every": _setting(SECONDS, 5.0, "Seconds between reads of the host list."),
}

NODE = {
    "node": _setting(TEXT, REQUIRED, "Name of the host, as in the host list."),
    "failure_domain": _setting(TEXT, REQUIRED, "Failure domain of the host."),
    "address": _setting(
        TEXT, REQUIRED, "IP address at which other nodes reach this one."
    ),
    "port": _setting(PORT, 7700, "TCP and UDP port for other nodes."),
    "operator_port": _setting(
        PORT, 7701, "HTTP port for health checks, metrics and the state dump."
    ),
    "heartbeat_every": _setting(SECONDS, 0.5, "Seconds between heartbeats."),
    "suspect_after": _setting(
        SECONDS,
        2.0,
        "Seconds without a message after which a node gets no new requests.",
    ),
    "dead_after": _setting(
        SECONDS, 6.0, "Seconds without a message after which a node is considered dead."
    ),
    "grace": _setting(
        SECONDS, 60.0, "Maximum seconds that a shutdown waits for requests in progress."
    ),
    "allow_faults": _setting(
        Bounds(kind=bool),
        False,
        "For tests: accept POST /_partition, which blocks addresses.",
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
        Bounds(kind=int, low=1, high=4096),
        128,
        "Maximum number of concurrent requests.",
    ),
    "max_body": _setting(
        Bounds(kind=int, low=1),
        8 * 1024 * 1024,
        "Maximum size of a request body in bytes.",
    ),
    "max_answer": _setting(
        Bounds(kind=int, low=1),
        8 * 1024 * 1024,
        "Maximum size in bytes of an answer that isn't streamed.",
    ),
    "default_timeout": _setting(
        SECONDS, 60.0, "Timeout in seconds of a request that sets none."
    ),
    "policy": _setting(
        Bounds(kind=str, choices=tuple(POLICIES.names())),
        "two_choices",
        "Routing policy.",
    ),
    "retry_ratio": _setting(
        Bounds(kind=NUMERIC_TYPES, low=0, high=1),
        0.1,
        "Retries permitted per successful request.",
    ),
    "leave_wait": _setting(
        Bounds(kind=NUMERIC_TYPES, low=0),
        1.0,
        "Seconds that a leaving entry host still accepts requests from the balancer.",
    ),
    "attempt_timeout": _setting(
        SECONDS, 5.0, "Seconds without a sign from an endpoint that has a request."
    ),
}

AGENT = {
    **NODE,
    "engine_url": _setting(TEXT, REQUIRED, "Engine or plain service on this host."),
    "engine_kind": _setting(
        Bounds(kind=str, choices=("model", "plain")),
        "model",
        "Kind of service at `engine_url`.",
    ),
    "slots": _setting(
        Bounds(kind=int, low=1),
        8,
        "Maximum number of requests that the engine runs concurrently.",
    ),
    "queue_limit": _setting(
        Bounds(kind=int, low=0), 32, "Maximum number of queued requests."
    ),
    "memory": _setting(
        Bounds(kind=int, low=0),
        256 * 1024 * 1024,
        "Maximum bytes of weights held by the agent.",
    ),
    "link_rate": _setting(
        Bounds(kind=NUMERIC_TYPES, low=0),
        0,
        "Maximum bytes of weights per second in each direction; 0 for no limit.",
    ),
    "peer_slots": _setting(
        Bounds(kind=int, low=1, high=64),
        8,
        "Maximum number of chunks fetched from peers concurrently.",
    ),
    "serve_slots": _setting(
        Bounds(kind=int, low=1, high=256),
        16,
        "Maximum number of chunks sent to peers concurrently.",
    ),
    "origin_slots": _setting(
        Bounds(kind=int, low=1, high=64),
        2,
        "Maximum number of chunks fetched from the origin concurrently.",
    ),
    "announce_every": _setting(
        SECONDS, 0.25, "Minimum seconds between announcements of new chunks."
    ),
    "stall_after": _setting(
        SECONDS,
        3.0,
        "Minimum seconds without progress after which a chunk's owner is replaced.",
    ),
    "settle": _setting(
        SECONDS,
        1.5,
        "Seconds between the announcement and the start of an in-place swap.",
    ),
}

SCHEMAS = {"entry": ENTRY, "agent": AGENT, "operator": {}}
