"""Tests of the HTTP endpoints of the control library."""
