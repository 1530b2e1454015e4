"""Run requests on the pools of other proxies, and lend the own ones to them."""
