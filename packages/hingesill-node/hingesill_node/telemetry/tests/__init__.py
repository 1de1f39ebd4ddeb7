"""Tests of the telemetry sub-package."""
