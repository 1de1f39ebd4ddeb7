"""The way of a request: accepted, routed, sent, answered."""
