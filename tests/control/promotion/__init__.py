"""Tests of the control library's promotion."""
