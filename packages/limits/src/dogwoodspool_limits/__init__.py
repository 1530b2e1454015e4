"""Bound work: connection shares, admission, retry budgets."""
