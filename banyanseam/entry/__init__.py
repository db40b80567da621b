"""The entry daemon of fleets whose VMs find one another: decisions and plumbing."""
