"""The proxies and backend servers that control knows."""
