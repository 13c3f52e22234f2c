"""Deployment of the declared weights on the engine of a host."""

from hawthornspoke.deployment._deployment import (
    CancelTransfer,
    Deployment,
    EngineStateUpdated,
    OrderEnded,
    OrderLoad,
    OrderUnload,
    SetDeclaredWeights,
    StartTransfer,
    SwapPermitUpdated,
    SwitchLive,
    TargetWeights,
    Tick,
    TransferComplete,
    TransferRefused,
)

__all__ = [
    "CancelTransfer",
    "Deployment",
    "EngineStateUpdated",
    "OrderEnded",
    "OrderLoad",
    "OrderUnload",
    "SetDeclaredWeights",
    "StartTransfer",
    "SwapPermitUpdated",
    "SwitchLive",
    "TargetWeights",
    "Tick",
    "TransferComplete",
    "TransferRefused",
]
