"""Who goes first when a service has too little room for all requests."""
