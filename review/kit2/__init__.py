"""Stand-ins and helpers that the scripts of the second review share."""
