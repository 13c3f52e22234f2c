"""An agent freezes while it reads staged pieces back, and some of them turn bad."""

import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from model import SERVICE, config, send  # noqa: E402
from names import N  # noqa: E402
from rig import CannotRun, run_case  # noqa: E402
from weights import BLOCKS, MODEL  # noqa: E402

#: Machines with a runner and an agent; one of them is frozen, a share of 0.11.
MACHINES = 9

#: Seconds for which the agent's machine is frozen.
FROZEN_S = 4.0

#: Pieces read back before the freeze, and how many of these turn bad: 0.06 of all.
READ_BEFORE = 48
SPOILT = int(0.06 * BLOCKS)

#: Requests after all runners hold version 2.
LATE_REQUESTS = 40


class Machine:
    """A runner, and the agent beside it."""

    def __init__(self, rig, number):
        self.rig = rig
        self.ip = f"{rig.net}.2.{number}"
        self.address = f"{self.ip}:{rig.app_port}"
        store = f"{rig.store_ip}:{rig.store_port}"
        rig.start_standin(
            "engine", self.ip, rig.app_port, f"i-{number}", SERVICE, "anderlecht", store
        )
        name = f"side-{number}"
        settings = rig.settings(
            name=name, ip=self.ip, machine="side", app=self.address, service=SERVICE
        )
        self.agent = rig.start_role("agent", settings, name=name)

    def state(self):
        return json.loads(
            self.rig.call(self.ip, self.rig.app_port, "GET", "/_state")[2]
        )

    def trap(self):
        body = {"pid": self.agent.pid, "after": READ_BEFORE, "spoil": SPOILT}
        data = json.dumps(body).encode()
        self.rig.call(self.ip, self.rig.app_port, "POST", "/_trap", body=data)

    def version(self):
        weights = self.state()[N.models]
        return weights[0]["version"] if weights else None


def play(rig, is_troubled):
    rig.start_store()
    origin_ip = f"{rig.net}.8.1"
    rig.start_standin("origin", origin_ip, rig.app_port)
    rig.put("op", "config", config(f"{origin_ip}:{rig.app_port}"))
    _, ip = rig.start_entry()
    machines = [Machine(rig, number) for number in range(1, MACHINES + 1)]
    frozen = machines[0]
    rig.wait_for("the entry host", lambda: rig.is_ready(ip))
    rig.wait_for("an answer", lambda: send(rig, ip, "first").status == 200)
    time.sleep(4.0)
    if is_troubled:
        frozen.trap()
    rig.put("op", f"version/{MODEL}", {"modelId": MODEL, "version": 2})
    rig.note("acknowledged: version 2 of the weights")
    if is_troubled:
        rig.wait_for("the read-back", lambda: frozen.state()["stopped_at"] is not None)
        rig.note(f"agent 1 is frozen after {READ_BEFORE} pieces were read back")
        time.sleep(FROZEN_S)
        frozen.agent.send_signal(signal.SIGCONT)
        rig.note(f"agent 1 goes on after {FROZEN_S} s")
    rig.wait_for(
        "the loads", lambda: all(item.version() == 2 for item in machines), seconds=30
    )
    for number in range(LATE_REQUESTS):
        send(rig, ip, f"late-{number}")
    broken = False
    late = 0
    for number, machine in enumerate(machines, start=1):
        seen = machine.state()
        for load in seen["loads"]:
            rig.note(
                f"runner {number}: order for version {load['version']}, "
                f"pieces bad for s: {load['bad_pieces']}"
            )
        for run in seen["runs"]:
            late += run["attempt"].startswith("late-")
            broken = broken or bool(run["bad_layers"])
            rig.note(
                f"runner {number}: run {run['attempt']}, version {run['version']}, "
                f"bad layers {run['bad_layers']}"
            )
    if not late:
        raise CannotRun("no request ran on version 2")
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
