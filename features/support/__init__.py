"""What the steps share: callers, rows on backend servers, shapes of deployments."""
