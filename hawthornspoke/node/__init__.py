"""Common base of entry and agent processes: control actor, gossip, platform reads."""

from hawthornspoke.node._control import ControlActor
from hawthornspoke.node._core import NodeCore
from hawthornspoke.node._handler import NodeHandler
from hawthornspoke.node._messages import (
    Call,
    DatagramReceived,
    DocumentFetched,
    DocumentFetchRequested,
    DrainRequested,
    DumpRequested,
    HostsRead,
    ReadHosts,
    ReadTable,
    TableRowRead,
    TimerTick,
)
from hawthornspoke.node._operator import OperatorServer
from hawthornspoke.node._platform_actor import (
    PlatformActor,
    PlatformClients,
    connect_platform,
)
from hawthornspoke.node._process import NodeProcess
from hawthornspoke.node._threads import DatagramReceiver, Ticker

__all__ = [
    "Call",
    "ControlActor",
    "DatagramReceived",
    "DatagramReceiver",
    "DocumentFetchRequested",
    "DocumentFetched",
    "DrainRequested",
    "DumpRequested",
    "HostsRead",
    "NodeCore",
    "NodeHandler",
    "NodeProcess",
    "OperatorServer",
    "PlatformActor",
    "PlatformClients",
    "ReadHosts",
    "ReadTable",
    "TableRowRead",
    "Ticker",
    "TimerTick",
    "connect_platform",
]
