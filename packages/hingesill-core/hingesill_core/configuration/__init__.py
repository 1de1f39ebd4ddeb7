"""Service declarations, the change log that stores them, and the resulting state."""
