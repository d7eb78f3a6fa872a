"""Real sidecars with a store and targets on loopback addresses."""
