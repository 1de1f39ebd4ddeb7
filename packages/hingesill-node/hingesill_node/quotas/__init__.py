"""Quotas of organisations at a node: tokens for requests, and their exchange."""
