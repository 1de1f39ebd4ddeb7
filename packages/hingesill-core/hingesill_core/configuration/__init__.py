"""Declarations, the change log that carries them and the state it adds up to."""
