"""Thrift structs to bytes and back."""

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
    TCompactProtocolFactory,
)
from thrift.transport.TTransport import TMemoryBuffer

#: Items of the longest list or map: members and endpoints are some thousands. The
#: decoder makes room for as many as a message claims before it reads one, so that
#: eight bytes of a stranger could ask for 16 GB.
MOST_ITEMS = 100_000


def _factory():
    try:
        import thrift.protocol.fastbinary  # noqa: F401
    except ImportError:
        return TCompactProtocolFactory(container_length_limit=MOST_ITEMS)
    return TCompactProtocolAcceleratedFactory(
        container_length_limit=MOST_ITEMS, fallback=True
    )


PROTOCOL_FACTORY = _factory()


def encode(message):
    """Return a Thrift struct as bytes.

    Parameters
    ----------
    message : Thrift struct

    Returns
    -------
    bytes
    """
    transport = TMemoryBuffer()
    message.write(PROTOCOL_FACTORY.getProtocol(transport))
    return transport.getvalue()


def decode(kind, data):
    """Read a Thrift struct from bytes.

    Parameters
    ----------
    kind : type
        The struct's class.
    data : bytes

    Returns
    -------
    Thrift struct or None
        None if the bytes are not such a struct. Unknown fields are skipped.
    """
    message = kind()
    try:
        message.read(PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(data)))
    except Exception:
        # A datagram may come from anyone and the decoder raises whatever its
        # state machine meets; a bad one is dropped, never trusted half-read.
        return None
    return message
