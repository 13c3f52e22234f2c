"""A randomized soak: the real programs, faults from outside, promises checked.

``python -m tests.soak --seed 7 --seconds 20`` plays one seed, ``--seeds 50`` many.
"""

import sys
from pathlib import Path

# The stand-in of the store lies beside the adapter's tests.
sys.path.append(str(Path(__file__).parent.parent.parent / "platform" / "tests"))
