"""What a node takes on, what it holds and what it refuses at once."""
