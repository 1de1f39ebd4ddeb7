"""Tests of the probing sub-package."""
