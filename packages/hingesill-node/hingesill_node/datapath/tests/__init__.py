"""Tests of the datapath sub-package."""
