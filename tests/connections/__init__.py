"""Tests of the connections library."""
