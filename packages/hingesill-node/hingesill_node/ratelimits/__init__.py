"""Limits that endpoints name: what nodes say to each other of them."""
