"""Runs this build of the load balancer beside an older one, and on its stored data."""
