"""What entry and agent processes share: control actor, gossip, platform reads."""

from hawthornspoke.node._control import ControlActor
from hawthornspoke.node._core import NodeCore
from hawthornspoke.node._handler import NodeHandler
from hawthornspoke.node._messages import (
    Call,
    DatagramArrived,
    DocumentArrived,
    DrainOrdered,
    DumpAsked,
    FetchDocumentNow,
    HostsRead,
    ReadHosts,
    ReadTable,
    TableRowRead,
    TimePassed,
)
from hawthornspoke.node._operator import OperatorServer
from hawthornspoke.node._platform_actor import (
    PlatformActor,
    PlatformClients,
    connect_platform,
)
from hawthornspoke.node._process import NodeProcess
from hawthornspoke.node._pumps import DatagramPump, Ticker

__all__ = [
    "Call",
    "ControlActor",
    "DatagramArrived",
    "DatagramPump",
    "DocumentArrived",
    "DrainOrdered",
    "DumpAsked",
    "FetchDocumentNow",
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
    "TimePassed",
    "connect_platform",
]
