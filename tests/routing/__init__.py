"""Tests of the routing library."""
