"""Encoding and decoding of Thrift structs."""

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
    TCompactProtocolFactory,
)
from thrift.transport.TTransport import TMemoryBuffer

#: Maximum number of items of a list or map. Real lists of members and endpoints have
#: some thousands. The decoder allocates as many items as a message claims before it
#: reads the first, so eight bytes from an untrusted sender could allocate 16 GB.
MAX_CONTAINER_ITEMS = 100_000

#: Maximum size, in bytes, of the frame of a call or a reply.
MAX_FRAME_BYTES = 16 * 1024 * 1024


def _make_protocol_factory():
    try:
        import thrift.protocol.fastbinary  # noqa: F401
    except ImportError:
        return TCompactProtocolFactory(container_length_limit=MAX_CONTAINER_ITEMS)
    return TCompactProtocolAcceleratedFactory(
        container_length_limit=MAX_CONTAINER_ITEMS, fallback=True
    )


PROTOCOL_FACTORY = _make_protocol_factory()


def encode(message):
    """Encode a Thrift struct.

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
    """Decode a Thrift struct.

    Parameters
    ----------
    kind : type
        The struct's class.
    data : bytes

    Returns
    -------
    Thrift struct or None
        None if the bytes are not a valid struct. Unknown fields are skipped.
    """
    message = kind()
    try:
        message.read(PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(data)))
    except Exception:
        # A datagram may come from any sender, and the decoder raises exceptions of
        # many types. Invalid data is discarded, so no partly decoded struct is used.
        return None
    return message
