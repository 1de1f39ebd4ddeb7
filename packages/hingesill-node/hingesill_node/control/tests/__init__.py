"""Tests of the control sub-package."""
