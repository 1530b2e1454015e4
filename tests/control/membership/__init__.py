"""Tests of the control library's membership."""
