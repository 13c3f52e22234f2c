"""Quarantine of a request that crashes every engine that runs it."""

import threading
import time

import pytest

POISON = "a prompt that ends engines"

#: Number of engine exits that quarantine a request, and of further exits that the test
#: accepts.
QUARANTINE_THRESHOLD = 3
MAX_EXTRA_EXITS = 3


class EngineRestarter:
    """Restarts engines that have exited and counts the exits."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.exit_count = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        for name in self.fleet.host_names("runner"):
            self.fleet.set_engine_faults(name, exit_on_prompt=POISON)
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stopping.set()
        self._thread.join()

    def _run(self):
        while not self._stopping.wait(0.2):
            for name in self.fleet.host_names("runner"):
                if not self.fleet.is_running(f"{name}.engine"):
                    self.exit_count += 1
                    self.fleet.start_engine(name)
                    self.fleet.set_engine_faults(name, exit_on_prompt=POISON)


def send_poison_request(fleet, entry, **body):
    return fleet.send_completion(entry, prompt=POISON, max_tokens=5, **body)


@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
def test_poison_request_at_all_entry_hosts_crashes_few_engines(fresh_fleet, stream):
    """Guards against one request that crashes engines repeatedly."""
    fleet = fresh_fleet
    with EngineRestarter(fleet) as restarter:
        stop_at = time.monotonic() + 12.0
        while time.monotonic() < stop_at:
            for entry in fleet.host_names("entry"):
                send_poison_request(fleet, entry, stream=stream)
            time.sleep(0.2)
        assert (
            QUARANTINE_THRESHOLD
            <= restarter.exit_count
            <= QUARANTINE_THRESHOLD + MAX_EXTRA_EXITS
        )
        response = send_poison_request(fleet, "entry-1", stream=stream)
        assert response.status == 503
        assert b'"code": "quarantined"' in response.data
        assert float(response.headers["Retry-After"]) > 60
        fleet.wait_for(
            lambda: fleet.send_completion("entry-2", max_tokens=5).status == 200
        )
