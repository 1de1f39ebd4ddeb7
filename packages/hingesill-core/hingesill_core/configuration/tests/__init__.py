"""Tests of the configuration sub-package."""
