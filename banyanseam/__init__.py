"""A multi-region inference gateway that shares no written state."""
