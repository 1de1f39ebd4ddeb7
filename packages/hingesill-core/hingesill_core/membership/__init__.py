"""Members of the fleet and the roles that each node computes for itself."""
