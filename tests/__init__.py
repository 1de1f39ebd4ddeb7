"""Tests of complete processes and of the repository."""
