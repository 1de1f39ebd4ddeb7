"""Benchmarks on real processes over loopback; each ends with a line of JSON."""
