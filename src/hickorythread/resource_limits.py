"""Limits that the operating system sets for this process."""

import resource

# Stands for a process without a limit of its own.
UNLIMITED_DESCRIPTORS = 1 << 20


def raise_descriptor_limit() -> int:
    """Raise the soft limit to the hard one and return what is in force."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        except (OSError, ValueError):
            # The soft limit stays in force.
            pass
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft
