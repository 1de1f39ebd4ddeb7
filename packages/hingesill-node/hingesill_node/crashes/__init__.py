"""Detects endpoint crashes under a request and reports them to other nodes."""
