"""Routing: choosing the endpoint for a request."""
