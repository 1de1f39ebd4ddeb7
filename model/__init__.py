"""A small specification of the protocols, checked exhaustively by minicheck."""
