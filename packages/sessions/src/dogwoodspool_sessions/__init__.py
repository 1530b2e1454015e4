"""Hold session tokens and decide which position a read needs."""
