"""Counts by what answers without framing were taken as whole, and its cost."""

import collections
import json
import statistics

#: Counters of what the proofs cost.
PROBES, CONNECTIONS = "end_probes_total", "end_probe_connections_total"

#: Beginning of the counters of ends by their reason.
ENDS = "unframed_ends_total"


class ProofCount:
    """What the logs of hosts say of the ends of answers without framing.

    Parameters
    ----------
    programs : iterable of Program
    """

    def __init__(self, programs):
        self._count = collections.Counter()
        self._seconds = {True: [], False: []}
        self._cost = collections.Counter()
        for program in programs:
            self._read(program.log_path)

    def describe(self):
        """Return the counts as words."""
        reasons = ",".join(f"{name}={n}" for name, n in self._count.most_common())
        words = [f"proofs:{reasons}"]
        for is_whole, seconds in self._seconds.items():
            if len(seconds) > 1:
                p50, p99 = (statistics.quantiles(seconds, n=100)[i] for i in (49, 98))
                name = "whole" if is_whole else "not_whole"
                words.append(f"{name}_seconds:p50={p50:.3f},p99={p99:.3f}")
        if ends := self._cost[ENDS]:
            probes, connections = self._cost[PROBES], self._cost[CONNECTIONS]
            words.append(f"probes_per_end:{probes / ends:.2f}")
            words.append(f"connections_per_end:{connections / ends:.2f}")
        return words

    def _read(self, path):
        last = collections.Counter()
        for line in path.read_text(errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get("event") == "unframed_end":
                whole = event["is_whole"]
                self._count[f"{event['reason']}/{'whole' if whole else 'not'}"] += 1
                self._seconds[whole].append(event["seconds"])
            elif event.get("event") == "counters":
                current = _costs(event)
                if current[ENDS] < last[ENDS]:
                    # The host has started again.
                    self._cost += last
                last = current
        self._cost += last


def _costs(event):
    costs = collections.Counter()
    for key, value in event.items():
        name = key.partition("{")[0]
        if name in (PROBES, CONNECTIONS, ENDS):
            costs[name] += value
    return costs
