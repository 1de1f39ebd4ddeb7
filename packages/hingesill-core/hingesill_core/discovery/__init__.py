"""Endpoints and declarations that are found in the platform's store."""
