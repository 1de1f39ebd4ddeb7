"""Discovery of endpoints and declarations in the platform's store."""
