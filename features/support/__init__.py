"""Code shared by the steps: callers, control, a scenario's world, deployment shapes."""
