"""Fault matrix: runs every fault at every step and checks each promise."""
