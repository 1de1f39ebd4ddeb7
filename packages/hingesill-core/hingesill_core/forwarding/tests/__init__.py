"""Tests of the forwarding sub-package."""
