"""Tests of the limits library."""
