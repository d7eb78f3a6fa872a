"""Stand-ins of the third review: callers, targets, links and sidecars."""
