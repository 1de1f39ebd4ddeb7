"""Tests of the crashes sub-package."""
