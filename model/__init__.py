"""Specifications of the protocols, model-checked exhaustively by minicheck."""
