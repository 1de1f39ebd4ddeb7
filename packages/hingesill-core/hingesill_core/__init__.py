"""The decision logic of hingesill: no sockets, no clock and no global random state.

All functions get the time and the random source as arguments, so that a test, a
benchmark or a model can provide its own.
"""
