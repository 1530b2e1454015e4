"""Tests of the backend library."""
