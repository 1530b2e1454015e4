"""Registered proxies and recorded backend servers."""
