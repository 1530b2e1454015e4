"""The settings tree, documents from outside, and the view that proxies follow."""
