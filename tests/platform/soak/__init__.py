"""Fault soak of the platform's real processes, with stand-ins around them."""
