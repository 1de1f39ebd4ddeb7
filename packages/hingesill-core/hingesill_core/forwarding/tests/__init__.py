"""Tests of the ratelimits sub-package."""
