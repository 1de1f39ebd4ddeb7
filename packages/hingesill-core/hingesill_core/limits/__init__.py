"""Limits on the requests that a node queues, sends or refuses."""
