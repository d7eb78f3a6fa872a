"""Reasons for which a target, or the node on its host, refuses a call."""

# No response would come in time, or there is no room to wait for one.
EXPECTED_WAIT = "expected-wait"
QUEUE_FULL = "queue-full"
WAITED_TOO_LONG = "waited-too-long"
# The process has no memory left for the request or for its response.
MEMORY = "memory"
OVERLOAD = frozenset((EXPECTED_WAIT, QUEUE_FULL, WAITED_TOO_LONG, MEMORY))

# The request rate that the target names leaves no start in time.
RATE_LIMIT = "rate-limit"

# The target refuses every request for some time. It has said itself that it
# is about to end in the case of ENDING.
STARTING = "starting"
STOPPING = "stopping"
LEAVING = "leaving"
ENDING = "ending"
EVACUATED = "evacuated"
TARGET_DOWN = "target-down"
OTHER_SERVICE = "other-service"
# The target that answers at the address has no entry yet.
UNREGISTERED = "unregistered"
UNAVAILABLE = frozenset(
    (
        STARTING,
        STOPPING,
        LEAVING,
        ENDING,
        EVACUATED,
        TARGET_DOWN,
        OTHER_SERVICE,
        UNREGISTERED,
    )
)

# The target itself rejected the request without running it. A node that sends
# it to another target takes a token of the retry budget for that, since the
# request has reached a target.
SHED = "shed"
OTHER_INSTANCE = "other-instance"
REJECTED = frozenset((SHED, OTHER_INSTANCE))

# An announcement of a target that only tells its pace.
PACE = "pace"

# A task of this process failed, or a broken invariant ends it.
DEFECT = "defect"

# The entry node itself refuses the request for its client account.
SEVERAL_KEYS = "several-keys"
NO_KEY = "no-key"
UNKNOWN_KEY = "unknown-key"
ACCOUNT_LEASE = "account-lease"

# The quota of the client account is spent.
QUOTA = "quota"
