"""Stand-ins and helpers of the scripts; only the standard library is used."""
