"""Finding out that endpoints ended under a request, and telling other nodes."""
