"""Tests of the control library's http."""
