"""Run requests on the pools of other proxies, and theirs on the own ones."""
