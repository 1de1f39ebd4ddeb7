"""Tests of the discovery sub-package."""
