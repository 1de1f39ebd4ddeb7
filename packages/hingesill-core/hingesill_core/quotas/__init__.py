"""Quotas of organisations, kept by all nodes together."""
