"""Deployment of the declared weights on the engine of a host."""

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
