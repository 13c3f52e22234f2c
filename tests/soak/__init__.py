"""Randomized soak test of entry hosts and agents with externally injected faults.

``python -m tests.soak --seed 7 --seconds 20`` runs one seed, ``--seeds 50`` many.
"""

import sys
from pathlib import Path

# The simulated store is part of the adapter's tests.
sys.path.append(str(Path(__file__).parent.parent.parent / "platform"))
