"""Tests of the control library's settings."""
