"""Tests of the store sub-package."""
