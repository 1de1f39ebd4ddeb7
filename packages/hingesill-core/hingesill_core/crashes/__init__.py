"""Requests under which endpoints crash: records, quarantine and gossip messages."""
