"""Adapters for the key-value service of the platform, in a registry."""

from hingesill_node.store import consul, memory

__all__ = ["consul", "memory"]
