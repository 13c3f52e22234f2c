"""A configuration with one service of model runners, and requests to it."""

import http.client

from names import N
from weights import BLOCK_BYTES, BLOCKS, LAYERS, MODEL

HOST = "jepu9.example"
SERVICE = "redacteur"
KEY = "jnbanfqasnmgkcuyj8pj"


def config(origin, *, version=5):
    """Return the configuration, as the deployment's sheet has its values."""
    return {
        "version": version,
        "routes": [
            {
                "name": "listing-draft",
                "host": HOST,
                "prefix": "/lepu270/",
                "type": "streaming",
                N.timeout: 6000,
                N.objective: 406,
                "priority": 1,
                "service": SERVICE,
                N.attempts: 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "itlTargetMs": 300,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/healthz",
                "maxConns": 264,
                "backend": {
                    "slots": 16,
                    "kvCapacity": 1640000,
                    "kvTokenBytes": 163840,
                    "interval": 6,
                    N.models: [
                        {"name": MODEL, "pace": 1.0, "loadS": 4.0, "warmupS": 0.3}
                    ],
                    "step_ms": 6.73,
                    N.step_per_request: 0.0219,
                    "context_per_k": 0.0068,
                    "read_per_s": 30600.0,
                    "pairs_per_m": 0.647,
                    "chunk": 2048,
                    "report_lag_ms": 200.0,
                    "usual": {"prompt": 964, "answer": 119},
                    "layers": LAYERS,
                    "blocks": BLOCKS,
                    "blockBytes": BLOCK_BYTES,
                },
            },
            {"name": "origin", "upstream": origin, N.link: 7.3, "maxConns": 48},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "bozi300", N.keys: [KEY], "priority": 1}],
    }


class Answer:
    """What a client got: the status, the body, and whether the body looks whole."""

    def __init__(self, *, status, body, is_whole):
        self.status = status
        self.body = body
        self.is_whole = is_whole

    @property
    def events(self):
        """Number of events in the body."""
        return self.body.count(b"id:")


def send(rig, ip, attempt, *, path="2f", deadline_ms=3000):
    """Send one request on a new connection; return the Answer."""
    fields = {
        "Host": HOST,
        N.attempt: attempt,
        "Model-Id": MODEL,
        N.tokens: "100,48",
        "Prompt-Prefix": "5c1e07a2:40,91bd3f06:60",
        N.deadline: str(deadline_ms),
        "X-Api-Key": KEY,
    }
    connection = http.client.HTTPConnection(
        ip, rig.front_port, timeout=deadline_ms / 1000
    )
    try:
        target = f"/lepu270/{path}"
        connection.request("POST", target, body=b"prompt", headers=fields)
        response = connection.getresponse()
        try:
            body, is_whole = response.read(), True
        except (http.client.IncompleteRead, ConnectionError) as error:
            body, is_whole = getattr(error, "partial", b""), False
        answer = Answer(status=response.status, body=body, is_whole=is_whole)
    finally:
        connection.close()
    end = "whole" if answer.is_whole else "broken off"
    rig.note(f"sent {attempt}, answered {answer.status}, {answer.events} events, {end}")
    return answer
