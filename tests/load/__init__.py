"""Tests of load and experiments."""
