"""Tests of the settings of the control library."""
