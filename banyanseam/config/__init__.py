"""The published configuration: border models, compilation, versions."""
