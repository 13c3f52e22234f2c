"""What operators do: check, plan, apply, watch, drain."""

from hawthornspoke.operator._apply import (
    Accepted,
    ApplyLost,
    ApplyRaced,
    apply_folder,
    wait_in_force,
)
from hawthornspoke.operator._fleet import HostStatus, call_host, read_fleet
from hawthornspoke.operator._history import read_history
from hawthornspoke.operator._plan import (
    PlanRefused,
    differences,
    folder_plan,
    plan_changes,
)
from hawthornspoke.operator._status import render_status

__all__ = [
    "Accepted",
    "ApplyLost",
    "ApplyRaced",
    "HostStatus",
    "PlanRefused",
    "apply_folder",
    "call_host",
    "differences",
    "folder_plan",
    "plan_changes",
    "read_fleet",
    "read_history",
    "render_status",
    "wait_in_force",
]
