"""Tests of the membership sub-package."""
