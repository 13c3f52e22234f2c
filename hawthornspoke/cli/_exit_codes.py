"""Exit codes, as documented on the operators' page."""

OK = 0
FAILED = 1
BAD_USAGE = 2
RACED = 3
PLATFORM_DOWN = 4
OUTCOME_UNKNOWN = 5
NOT_IN_FORCE = 6
ADDRESS_TAKEN = 7
