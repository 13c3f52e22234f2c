"""Detection and quarantine of requests that crash the endpoints that run them."""

from hawthornspoke.quarantine._blame import BLAME_RULES, counted_ends
from hawthornspoke.quarantine._evidence import EVIDENCE_LIFETIME, Evidence
from hawthornspoke.quarantine._exchange import GRANT_TIME, EvidenceExchange
from hawthornspoke.quarantine._features import (
    FEATURES,
    PromptParts,
    RequestTraits,
    features_of,
    kind_of,
    parse_prompt_parts,
)
from hawthornspoke.quarantine._fingerprint import fingerprint_of
from hawthornspoke.quarantine._messages import (
    Blocked,
    Confirmed,
    EndpointEnded,
    EvidenceReceived,
    EvidenceUpdate,
    Isolated,
    Quarantined,
    Released,
    RequestCompleted,
    RetrialClaimed,
    RetrialDenied,
    RetrialGranted,
    StreamContinued,
    Suspected,
)
from hawthornspoke.quarantine._quarantine import Quarantine
from hawthornspoke.quarantine._retrials import RETRIAL_LIFETIME, Retrial
from hawthornspoke.quarantine._wire import (
    decode_claim,
    decode_evidence,
    encode_claim,
    encode_evidence,
)

__all__ = [
    "BLAME_RULES",
    "EVIDENCE_LIFETIME",
    "FEATURES",
    "GRANT_TIME",
    "RETRIAL_LIFETIME",
    "Blocked",
    "Confirmed",
    "EndpointEnded",
    "Evidence",
    "EvidenceExchange",
    "EvidenceReceived",
    "EvidenceUpdate",
    "Isolated",
    "PromptParts",
    "Quarantine",
    "Quarantined",
    "Released",
    "RequestCompleted",
    "RequestTraits",
    "Retrial",
    "RetrialClaimed",
    "RetrialDenied",
    "RetrialGranted",
    "StreamContinued",
    "Suspected",
    "counted_ends",
    "decode_claim",
    "decode_evidence",
    "encode_claim",
    "encode_evidence",
    "features_of",
    "fingerprint_of",
    "kind_of",
    "parse_prompt_parts",
]
