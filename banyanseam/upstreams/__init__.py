"""Choose upstreams for requests, lease their memory and track their health."""
