"""Implementation of the operators' commands: plan, apply, history, status, drain."""

from hawthornspoke.operator._apply import (
    ApplyAccepted,
    ApplyConflict,
    ApplyOutcomeUnknown,
    apply_folder,
    wait_until_in_force,
)
from hawthornspoke.operator._fleet import HostStatus, call_host, read_fleet
from hawthornspoke.operator._history import read_history
from hawthornspoke.operator._plan import (
    InvalidPlan,
    describe_key_sources,
    diff_documents,
    plan_changes,
)
from hawthornspoke.operator._status import render_status

__all__ = [
    "ApplyAccepted",
    "ApplyConflict",
    "ApplyOutcomeUnknown",
    "HostStatus",
    "InvalidPlan",
    "apply_folder",
    "call_host",
    "describe_key_sources",
    "diff_documents",
    "plan_changes",
    "read_fleet",
    "read_history",
    "render_status",
    "wait_until_in_force",
]
