"""Write grants and connection shares of proxies."""
