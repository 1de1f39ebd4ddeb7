"""Measuring endpoints by probes within a budget that holds at every moment."""
