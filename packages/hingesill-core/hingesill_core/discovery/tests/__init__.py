"""Tests of discovery."""
