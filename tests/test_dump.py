"""State dumps requested by HTTP, by command and by signal."""

import json
import signal

from tests.fleet import Fleet, declarations


def test_dump_by_http_command_and_signal():
    with Fleet(entries=1, agents=1, plain=0, log=True) as fleet:
        fleet.publish("redac-v1", b"w" * 20000)
        fleet.write_declaration("10-all.toml", declarations())
        fleet.apply("--wait", "20")
        fleet.wait_ready()
        for name, section in (("entry-0", "router"), ("runner-0", "gate")):
            by_http = fleet.dump(name)
            by_command = json.loads(fleet.run_command("dump", name).stdout)
            fleet.signal(name, signal.SIGUSR1)
            log = fleet.folder / f"{name}.log"
            fleet.wait_for(lambda log=log: logged_dump(log))
            for state in (by_http, by_command, logged_dump(log)):
                assert state["node"] == name
                assert state["revision"]["revision"] == 1
                assert section in state


def logged_dump(log):
    """Return the last state that a process wrote to its log, or None."""
    lines = [line for line in log.read_text().splitlines() if line.startswith("{")]
    return json.loads(lines[-1]) if lines else None
