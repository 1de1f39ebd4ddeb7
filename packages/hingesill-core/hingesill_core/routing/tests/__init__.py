"""Tests of the routing sub-package."""
