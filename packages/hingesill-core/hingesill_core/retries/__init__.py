"""Whether and when a request is retried."""
