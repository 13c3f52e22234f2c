"""Pieces of weights: their bytes follow from version and index."""

import hashlib

MODEL = "daka510000"
LAYERS = 16
BLOCKS = 96
BLOCK_BYTES = 24576


def piece(version, index):
    """Return the bytes of a piece."""
    seed = hashlib.sha256(f"{MODEL} {version} {index}".encode()).digest()
    return (seed * (BLOCK_BYTES // len(seed) + 1))[:BLOCK_BYTES]


def digest(version, index):
    """Return the digest of a piece, in hexadecimal."""
    return hashlib.sha256(piece(version, index)).hexdigest()


def pieces_of_layer(layer):
    """Return the indices of the pieces that a layer needs."""
    first = layer * BLOCKS // LAYERS
    end = -(-(layer + 1) * BLOCKS // LAYERS)
    return range(first, end)
