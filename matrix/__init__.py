"""The fault matrix: every fault at every step, each promise checked by records."""
