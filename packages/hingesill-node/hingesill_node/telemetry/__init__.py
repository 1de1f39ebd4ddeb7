"""Counters, metrics and numbered log events."""
