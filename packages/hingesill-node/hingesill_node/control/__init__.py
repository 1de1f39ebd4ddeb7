"""Control side of the node: configuration, membership and calls of operators.

It runs on one native thread with an asyncio loop of its own, as grpcio needs. Calls to
the store block, so they run on a few additional threads. This package accesses the data
path only through the `Bridge`.
"""
