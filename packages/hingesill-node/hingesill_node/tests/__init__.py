"""Tests of the top-level modules of the package."""
