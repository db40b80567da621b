"""Links between daemons, membership and heartbeats."""
