"""Tests of the modules at the top of the package."""
