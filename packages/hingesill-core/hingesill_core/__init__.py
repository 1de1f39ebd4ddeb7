"""The decisions of hingesill: no sockets, no clock and no global random state.

Every function here takes the time and the random source as arguments, so that
a test, a bench or a model can drive it with its own.
"""
