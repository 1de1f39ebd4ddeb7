"""Tests of the limits sub-package."""
