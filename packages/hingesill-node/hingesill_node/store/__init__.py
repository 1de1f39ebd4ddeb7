"""Adapters to the platform's key-value service, in a registry."""

from hingesill_node.store import consul, memory

__all__ = ["consul", "memory"]
