"""Whether and when a request is sent once more."""
