"""Organisations, their keys and their quotas, as the operator declares them."""
