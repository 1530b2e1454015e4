"""Tests of the control library's grants."""
