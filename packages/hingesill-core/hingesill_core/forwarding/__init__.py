"""Forwarding of requests to other nodes, for endpoints that are out of reach."""
