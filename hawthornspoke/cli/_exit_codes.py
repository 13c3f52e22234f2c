"""Exit codes of the commands, as documented for operators."""

OK = 0
FAILED = 1
BAD_USAGE = 2
REVISION_CONFLICT = 3
PLATFORM_UNAVAILABLE = 4
OUTCOME_UNKNOWN = 5
NOT_IN_FORCE = 6
ADDRESS_IN_USE = 7
