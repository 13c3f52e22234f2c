"""An agent freezes while it reads staged pieces back, and one of them turns bad."""

import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from model import SERVICE, config, send  # noqa: E402
from rig import CannotRun, run_case  # noqa: E402
from weights import BLOCKS, MODEL  # noqa: E402

#: Seconds for which the agent's machine is frozen.
FROZEN_S = 4.0

#: Pieces read back before the freeze, and how many of these turn bad: 0.06 of all.
READ_BEFORE = 48
SPOILT = int(0.06 * BLOCKS)


def play(rig, is_troubled):
    rig.start_store()
    engine_ip, origin_ip = f"{rig.net}.2.1", f"{rig.net}.8.1"
    engine_address = f"{engine_ip}:{rig.app_port}"
    rig.start_standin("origin", origin_ip, rig.app_port)
    rig.put("op", "config", config(f"{origin_ip}:{rig.app_port}"))
    rig.start_standin(
        "engine",
        engine_ip,
        rig.app_port,
        "i-1",
        SERVICE,
        "anderlecht",
        f"{rig.store_ip}:{rig.store_port}",
    )
    _, ip = rig.start_entry()
    settings = rig.settings(
        name="side-1",
        ip=engine_ip,
        machine="side",
        app=engine_address,
        service=SERVICE,
    )
    agent = rig.start_role("agent", settings, name="side-1")
    rig.wait_for("the entry host", lambda: rig.is_ready(ip))
    rig.wait_for("an answer", lambda: send(rig, ip, "first").status == 200)

    def state():
        return json.loads(rig.call(engine_ip, rig.app_port, "GET", "/_state")[2])

    if is_troubled:
        trap = {"pid": agent.pid, "after": READ_BEFORE, "spoil": SPOILT}
        rig.call(
            engine_ip, rig.app_port, "POST", "/_trap", body=json.dumps(trap).encode()
        )
    time.sleep(2.0)
    rig.put("op", f"version/{MODEL}", {"modelId": MODEL, "version": 2})
    rig.note("acknowledged: version 2 of the weights")
    if is_troubled:
        rig.wait_for("the read-back", lambda: state()["stopped_at"] is not None)
        rig.note(f"the agent is frozen after {READ_BEFORE} pieces were read back")
        time.sleep(FROZEN_S)
        agent.send_signal(signal.SIGCONT)
        rig.note(f"the agent goes on after {FROZEN_S} s")
    rig.wait_for(
        "the load", lambda: state().get("modelList") and _version(state()) == 2
    )
    for number in range(5):
        send(rig, ip, f"late-{number}")
    seen = state()
    for load in seen["loads"]:
        bad = load["bad_pieces"]
        rig.note(f"order for version {load['version']}, pieces bad for s: {bad}")
    for run in seen["runs"]:
        rig.note(
            f"run {run['attempt']}, version {run['version']}, "
            f"bad layers {run['bad_layers']}"
        )
    if not any(run["attempt"].startswith("late-") for run in seen["runs"]):
        raise CannotRun("no request ran on version 2")
    return any(run["bad_layers"] for run in seen["runs"])


def _version(report):
    return report["modelList"][0]["version"]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
