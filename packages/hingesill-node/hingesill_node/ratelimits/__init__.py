"""Exchange of endpoints' rate limits between nodes."""
