"""Bringing a host's engine from the weights it has to those declared."""

from hawthornspoke.deployment._deployment import (
    Declared,
    Deployment,
    DropTransfer,
    EngineSeen,
    OrderEnded,
    OrderLoad,
    OrderUnload,
    PermitRead,
    SetDeclared,
    StartTransfer,
    SwitchLive,
    Tick,
    TransferComplete,
    TransferRefused,
)

__all__ = [
    "Declared",
    "Deployment",
    "DropTransfer",
    "EngineSeen",
    "OrderEnded",
    "OrderLoad",
    "OrderUnload",
    "PermitRead",
    "SetDeclared",
    "StartTransfer",
    "SwitchLive",
    "Tick",
    "TransferComplete",
    "TransferRefused",
]
