"""Requests under which endpoints end: what is known, held and told of them."""
