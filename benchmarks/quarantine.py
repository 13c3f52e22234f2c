"""Cost of the quarantine for each request, and of the ends of endpoints.

python -m benchmarks.quarantine
"""

import time

from benchmarks.report import print_table
from hawthornspoke.base import monotonic
from hawthornspoke.protocol import Frame, encode
from hawthornspoke.quarantine import (
    EndpointEnded,
    EvidenceUpdate,
    Quarantine,
    RequestCompleted,
    RequestTraits,
    encode_evidence,
    features_of,
    parse_prompt_parts,
)

HEADING = [
    "endpoints",
    "parts",
    "calm request us",
    "of which features",
    "request after ends us",
    "end us",
    "bytes of an end",
]
REPEATS = 2000
BODY = b"x" * 700

#: Requests that run at an endpoint as it ends, over all hosts.
RUNNING = 16


def header_of(number, parts):
    """Return the header with a number of shared parts and the request's own one."""
    if not parts:
        return ""
    shared = [f"{(number * 7 + place) % 40 + 64 * place:x}" for place in range(parts)]
    return ",".join(f"{part}:100" for part in [*shared, f"{number:x}"])


def features_for(header):
    """Return the features of a request whose prompt has the parts of a header."""
    traits = RequestTraits(
        organisation="o",
        method="POST",
        host="h.example",
        target="/draft/x",
        body=BODY,
        prompt_parts=parse_prompt_parts(header),
    )
    return features_of(traits)


def seconds(call):
    """Return the mean time of a call with the numbers of requests."""
    started = time.perf_counter()
    for number in range(REPEATS):
        call(number)
    return (time.perf_counter() - started) / REPEATS


def handle(machine, header):
    """Handle a request as an entry host does, from its arrival to its answer."""
    features = features_for(header)
    machine.verdict(features, now=monotonic())
    machine.verdict(features, now=monotonic())
    message = RequestCompleted(fingerprint=features[0], shared=features[1:])
    machine.step(message, now=monotonic())


def measure(endpoints, parts):
    """Return a row of the table."""
    machine = Quarantine()
    headers = [header_of(number, parts) for number in range(REPEATS)]
    size = 0
    spent = 0.0
    for number in range(endpoints):
        running = [headers[(number * RUNNING + k) % REPEATS] for k in range(RUNNING)]
        features = {name for item in running for name in features_for(item)}
        message = EndpointEnded(
            incarnation_id=f"e{number}",
            fingerprints=tuple(sorted(features)),
            other_endpoints_in_use=endpoints,
        )
        started = time.perf_counter()
        outcomes = machine.step(message, now=monotonic())
        spent += time.perf_counter() - started
        for outcome in outcomes:
            if isinstance(outcome, EvidenceUpdate):
                evidence = encode_evidence(outcome.items, now=monotonic())
                size += len(encode(Frame(evidence=evidence)))
    only_features = seconds(lambda number: features_for(headers[number]))
    calm = Quarantine()
    calm_request = seconds(lambda number: handle(calm, headers[number]))
    request_after_ends = seconds(lambda number: handle(machine, headers[number]))
    return [
        endpoints,
        parts,
        f"{1e6 * calm_request:.0f}",
        f"{1e6 * only_features:.0f}",
        f"{1e6 * request_after_ends:.0f}",
        f"{1e6 * spent / endpoints:.0f}",
        f"{size / endpoints:.0f}",
    ]


def main():
    """Print the table."""
    rows = [
        measure(endpoints, parts) for endpoints in (41, 150) for parts in (0, 4, 12)
    ]
    print_table([HEADING, *rows])


if __name__ == "__main__":
    main()
