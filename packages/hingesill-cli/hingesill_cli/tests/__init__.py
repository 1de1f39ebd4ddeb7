"""Tests of the command line."""
