"""The published configuration: schemas, compilation and replication."""
