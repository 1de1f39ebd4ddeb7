"""Tests of the retries sub-package."""
