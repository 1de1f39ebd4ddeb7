"""What the node does beside requests: configuration, membership, operators.

All of it runs on one native thread with an asyncio loop of its own, which
grpcio serves; calls to the store block, so they run on a few threads more.
Nothing here touches the data path but through the `Bridge`.
"""
