"""Adapters to the platform's key-value service, in a registry."""
