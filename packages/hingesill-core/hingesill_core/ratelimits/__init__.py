"""Limits that endpoints in need name: requests a second from all nodes together."""
