"""Tests of the consensus library."""
