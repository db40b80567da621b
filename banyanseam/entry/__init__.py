"""Entry daemon: routes requests in a fleet whose VMs discover one another."""
