"""Run requests on the pools of other proxies, and their requests on local pools."""
