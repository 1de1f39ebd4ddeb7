"""Scripts of the developers."""
