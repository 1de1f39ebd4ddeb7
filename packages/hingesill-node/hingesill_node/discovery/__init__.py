"""Following the directory of endpoints that the platform's store holds."""
