"""The operators' command line: a thin client of the operators' calls."""
