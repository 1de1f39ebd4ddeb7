"""Rate limits that overloaded endpoints report, kept by all nodes together."""
