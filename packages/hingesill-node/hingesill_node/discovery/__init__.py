"""Follows the directory in the platform's store."""
