"""Health probes of endpoints, within the declared budget in every window."""
