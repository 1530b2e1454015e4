"""Tests of the membership of the control library."""
