"""Detection and quarantine of requests that crash the endpoints that run them."""

from hawthornspoke.quarantine._evidence import EVIDENCE_FOR, Evidence
from hawthornspoke.quarantine._exchange import EvidenceExchange
from hawthornspoke.quarantine._fingerprint import fingerprint_of
from hawthornspoke.quarantine._messages import (
    Answered,
    EndpointEnded,
    EvidenceHeard,
    News,
    Quarantined,
    Released,
)
from hawthornspoke.quarantine._quarantine import Quarantine
from hawthornspoke.quarantine._wire import read_evidence, write_evidence

__all__ = [
    "EVIDENCE_FOR",
    "Answered",
    "EndpointEnded",
    "Evidence",
    "EvidenceExchange",
    "EvidenceHeard",
    "News",
    "Quarantine",
    "Quarantined",
    "Released",
    "fingerprint_of",
    "read_evidence",
    "write_evidence",
]
