"""Performance of engines and services, as observed from their answers."""
