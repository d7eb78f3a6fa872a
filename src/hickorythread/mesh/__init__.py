"""The data path of a sidecar: placement, admission and recovery."""
