"""Token rates and bursts, divided over regions and lent between daemons."""
