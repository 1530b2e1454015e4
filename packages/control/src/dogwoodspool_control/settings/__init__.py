"""Settings tree, external documents, and the view that proxies follow."""
