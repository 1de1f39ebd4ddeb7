"""Counters, numbered log events and the address where both are seen."""
