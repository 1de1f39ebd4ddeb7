"""Compatibility checks of this build with an older one and its stored data."""
