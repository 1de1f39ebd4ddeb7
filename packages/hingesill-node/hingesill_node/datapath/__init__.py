"""The data path of requests: accept, route, send and answer them."""
