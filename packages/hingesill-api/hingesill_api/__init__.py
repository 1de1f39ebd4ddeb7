"""The schema of hingesill's remote calls and the code generated from it."""
