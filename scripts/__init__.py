"""Development scripts."""
