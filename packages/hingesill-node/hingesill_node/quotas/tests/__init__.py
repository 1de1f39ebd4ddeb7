"""Tests of the quotas sub-package."""
