"""The last API key is taken away, and requests with it go on running."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from names import N  # noqa: E402
from rig import BOUNDS, CannotRun, run_case  # noqa: E402

HOST = "jepu9.example"
SERVICE = "registre"
KEY = "jnbanfqasnmgkcuyj8pj"
NEVER_HELD = "qqqqqqqqqqqqqqqqqqqq"

#: Seconds of requests after the bound of a revocation has passed.
WATCHED_S = 4.0
INTERVAL_S = 0.25


def config(version, keys):
    return {
        "version": version,
        "routes": [
            {
                "name": "warranty-fetch",
                "host": HOST,
                "prefix": "/filo73/",
                "type": "non_idempotent",
                N.timeout: 1552,
                N.objective: 207,
                "priority": 1,
                "service": SERVICE,
                N.attempts: 2,
                "public": False,
            }
        ],
        "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 100}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "bozi300", N.keys: keys}],
    }


def send(rig, ip, attempt, key):
    fields = {
        "Host": HOST,
        N.attempt: attempt,
        N.deadline: "1500",
        "X-Api-Key": key,
    }
    status, _, _ = rig.call(
        ip, rig.front_port, "GET", f"/filo73/de11/{attempt}", fields=fields
    )
    rig.note(f"sent {attempt} with key {key}, answered {status}")
    return status


def play(rig, is_troubled):
    rig.start_store()
    server_ip = f"{rig.net}.3.1"
    rig.start_standin("server", server_ip, rig.app_port, "i-1")
    rig.put("op", "config", config(5, [KEY]))
    rig.put(
        "servers",
        "i-1",
        {
            "service": SERVICE,
            "address": f"{server_ip}:{rig.app_port}",
            "zone": "anderlecht",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        },
    )
    _, ip = rig.start_entry()
    rig.wait_for("the entry host", lambda: rig.is_ready(ip))
    rig.wait_for("a first answer", lambda: send(rig, ip, "first", KEY) == 200)
    if send(rig, ip, "before-unknown", NEVER_HELD) != 401:
        raise CannotRun("a key that was never held isn't refused at the start")
    rig.put("op", "config", config(8, [] if is_troubled else [KEY]))
    acknowledged = time.monotonic()
    rig.note(
        "acknowledged: version 8 "
        + ("takes the key away" if is_troubled else "keeps the key")
    )
    time.sleep(BOUNDS["revokeMs"] / 1000 + 0.5)
    count = int(WATCHED_S / INTERVAL_S)
    for number in range(count):
        send(rig, ip, f"late-{number}", KEY)
        send(rig, ip, f"never-{number}", NEVER_HELD)
        time.sleep(INTERVAL_S)
    rig.note(f"last request {time.monotonic() - acknowledged:.1f} s after")
    runs = json.loads(rig.call(server_ip, rig.app_port, "GET", "/_runs")[2])
    for run in runs:
        rig.note(f"run {run['attempt']}, Tenant {run['tenant']}, key {run['key']}")
    revoked = [run for run in runs if run["attempt"].startswith("late-")]
    never = [run for run in runs if run["attempt"].startswith("never-")]
    rig.note(f"run with the first key after the bound: {len(revoked)} of {count}")
    rig.note(f"run with a key that no configuration held: {len(never)} of {count}")
    if not is_troubled:
        if len(revoked) < count:
            raise CannotRun("requests that are allowed were not run")
        return bool(never)
    return bool(revoked or never)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
