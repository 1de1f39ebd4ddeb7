"""Tests of whole processes and of the repository itself."""
