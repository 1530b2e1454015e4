"""Talk to backend servers: connections, pools, probes, role changes."""
