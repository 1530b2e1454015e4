"""Tests of the stand-in."""
