"""Admission by rank and a fair share for organisations while engines are scarce."""

from hawthornspoke.admission import _admission_level, _trunk_reservation  # noqa: F401
from hawthornspoke.admission._admission import DEFAULT_POLICY, ServiceAdmission
from hawthornspoke.admission._capacity import NO_SLOT, AdmissionLimit, SharedCapacity
from hawthornspoke.admission._policy import RANK_POLICIES, RankPolicy

__all__ = [
    "DEFAULT_POLICY",
    "NO_SLOT",
    "RANK_POLICIES",
    "AdmissionLimit",
    "RankPolicy",
    "ServiceAdmission",
    "SharedCapacity",
]
