"""The filters that one request passes, in order."""
